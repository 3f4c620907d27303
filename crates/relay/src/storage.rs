//! The daemon of a VM with a disk: stores charge records.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use knapweeddale_core::{DomainName, StorageVm, VmName};
use knapweeddale_store::StoreError;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::{sleep, timeout};

use crate::adapter::FleetStore;
use crate::charges::{ChargeBatch, ChargeRecord, ChargeRpcServer, send_batch};
use crate::daemon::StartError;
use crate::settings::StorageSettings;
use crate::store::{Registration, Role, keeper_addresses, register};

/// Name of the file of charge records, which has one JSON object per line.
const FILE_NAME: &str = "charges.jsonl";

/// Time limit for a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for handing records over to another VM.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed registration is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// JSON-RPC error code for a batch that could not be written; the sender may retry.
const WRITE_FAILED_CODE: i32 = -32_001;

/// The append-only file of charge records.
#[derive(Debug)]
struct Ledger {
    file: File,
    path: PathBuf,
    /// Number of the last batch stored, by sender.
    last_batches: HashMap<String, u64>,
}

impl Ledger {
    /// Opens or creates the file in a folder, creating the folder if needed.
    fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(FILE_NAME);
        let mut file = OpenOptions::new().create(true).append(true).open(&path)?;
        // Without the line break, the next record would continue a line torn by a power loss and
        // be lost with it.
        if ends_mid_line(&path)? {
            tracing::warn!("charges: the last record is torn");
            file.write_all(b"\n")?;
        }
        file.sync_all()?;
        // A new file survives a power loss only if its directory entry has been synced.
        File::open(folder)?.sync_all()?;
        Ok(Self {
            file,
            path,
            last_batches: HashMap::new(),
        })
    }

    /// Appends a batch and syncs the file, unless the batch has been stored before.
    fn append(&mut self, batch: &ChargeBatch) -> io::Result<()> {
        let last = self
            .last_batches
            .get(&batch.sender)
            .copied()
            .unwrap_or_default();
        if batch.number <= last {
            return Ok(());
        }
        let mut lines = Vec::new();
        for record in &batch.records {
            serde_json::to_writer(&mut lines, record)?;
            lines.push(b'\n');
        }
        self.file.write_all(&lines)?;
        self.file.sync_data()?;
        self.last_batches.insert(batch.sender.clone(), batch.number);
        Ok(())
    }

    /// Reads all records, skipping lines torn by a power loss.
    fn read_records(&self) -> io::Result<Vec<ChargeRecord>> {
        let text = std::fs::read(&self.path)?;
        let lines = text.split(|byte| *byte == b'\n');
        let mut records = Vec::new();
        for line in lines.filter(|line| !line.is_empty()) {
            match serde_json::from_slice(line) {
                Ok(record) => records.push(record),
                Err(error) => tracing::warn!("charges: torn record skipped ({error})"),
            }
        }
        Ok(records)
    }
}

/// Returns whether the last line of a file is incomplete.
fn ends_mid_line(path: &Path) -> io::Result<bool> {
    let mut file = File::open(path)?;
    if file.seek(SeekFrom::End(0))? == 0 {
        return Ok(false);
    }
    file.seek(SeekFrom::End(-1))?;
    let mut last = [0];
    file.read_exact(&mut last)?;
    Ok(last != *b"\n")
}

/// The RPC server to which other VMs send charge records.
#[derive(Debug, Clone)]
struct ChargeServer {
    ledger: Arc<Mutex<Ledger>>,
}

#[jsonrpsee::core::async_trait]
impl ChargeRpcServer for ChargeServer {
    async fn store_batch(&self, batch: ChargeBatch) -> RpcResult<()> {
        let ledger = Arc::clone(&self.ledger);
        let task = spawn_blocking(move || {
            let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.append(&batch)
        });
        let result = task
            .await
            .unwrap_or_else(|error| Err(io::Error::other(error)));
        result.map_err(|error| {
            tracing::error!("charges: batch not kept ({error})");
            ErrorObjectOwned::owned(WRITE_FAILED_CODE, error.to_string(), None::<()>)
        })
    }
}

/// A running daemon that stores charge records.
#[derive(Debug)]
pub struct Storage {
    server: ServerHandle,
    background: JoinHandle<()>,
}

impl Storage {
    /// Opens the file of records and starts the RPC server and the background task.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used or the listener cannot be opened.
    pub async fn start<S: FleetStore>(
        settings: StorageSettings,
        failure_domain: &str,
        store: S,
    ) -> Result<Self, StartError> {
        let ledger = Arc::new(Mutex::new(Ledger::open(&settings.data_folder)?));
        let server = Server::builder().build(settings.peer_listen).await?;
        let address = server.local_addr()?;
        let charge_server = ChargeServer {
            ledger: Arc::clone(&ledger),
        };
        let server = server.start(charge_server.into_rpc());
        let registration = Registration {
            vm: settings.vm.clone(),
            address: address.to_string(),
            role: Role::Storage,
            failure_domain: failure_domain.to_owned(),
        };
        tracing::info!(vm = settings.vm, %address, "start: stores charge records");
        let background = BackgroundTask {
            settings,
            store,
            registration,
            ledger,
        };
        Ok(Self {
            server,
            background: tokio::spawn(background.run()),
        })
    }

    /// Stops the daemon. Confirmed batches are already synced to the disk.
    pub async fn stop(self) {
        tracing::info!("stop: shutting down");
        self.background.abort();
        // Fails only if the server has already stopped.
        let _ = self.server.stop();
        self.server.stopped().await;
        tracing::info!("stop: server has stopped");
    }
}

/// The background task, which registers this VM and handles its retirement.
struct BackgroundTask<S> {
    settings: StorageSettings,
    store: S,
    registration: Registration,
    ledger: Arc<Mutex<Ledger>>,
}

impl<S: FleetStore> BackgroundTask<S> {
    /// Registers this VM, then polls the store for a request to retire it.
    async fn run(self) {
        let mut has_failed = false;
        while let Err(error) = self.register().await {
            if !std::mem::replace(&mut has_failed, true) {
                tracing::warn!("source: registration failed, retrying ({error})");
            }
            sleep(RETRY_INTERVAL).await;
        }
        loop {
            match self.handle_retirement().await {
                Ok(()) if std::mem::take(&mut has_failed) => {
                    tracing::info!("source: the store answers again");
                }
                Ok(()) => {}
                Err(error) if !std::mem::replace(&mut has_failed, true) => {
                    tracing::warn!("source: the store does not answer ({error})");
                }
                Err(_) => {}
            }
            sleep(self.settings.retirement_interval).await;
        }
    }

    /// Registers this VM and returns all registered ones.
    async fn register(&self) -> Result<Vec<Registration>, StoreError> {
        with_timeout(register(&self.store, &self.registration, true)).await
    }

    /// Hands all records over and reports it, if the operator has requested this VM's retirement.
    async fn handle_retirement(&self) -> Result<(), StoreError> {
        let own_name = VmName::from(self.settings.vm.as_str());
        let retirements = with_timeout(self.store.list_retirements()).await?;
        let retirement = retirements.iter().find(|row| row.vm == own_name);
        if retirement.is_none_or(|row| row.is_done) {
            return Ok(());
        }
        tracing::info!("storage: retirement requested, handing records over");
        with_timeout(self.store.report_retirement(&own_name, false)).await?;
        self.hand_over_records().await?;
        with_timeout(self.store.report_retirement(&own_name, true)).await?;
        tracing::info!("storage: retirement complete");
        Ok(())
    }

    /// Copies all records to the nearest other VM with a disk that accepts them.
    async fn hand_over_records(&self) -> Result<(), StoreError> {
        let records = {
            let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.read_records()
        };
        let records = records.map_err(|error| unavailable(&error.to_string()))?;
        let others = self.register().await?;
        let others: Vec<StorageVm> = others
            .into_iter()
            .filter(|row| row.role == Role::Storage && row.vm != self.settings.vm)
            .map(Registration::into_keeper)
            .collect();
        let nearest = DomainName::from(self.registration.failure_domain.as_str());
        let batch = ChargeBatch {
            sender: format!("emptied {}", self.settings.vm),
            number: 1,
            records,
        };
        for keeper in keeper_addresses(&others, &nearest) {
            match send_batch(&keeper, batch.clone(), HAND_OVER_TIMEOUT).await {
                Ok(()) => {
                    let records = batch.records.len();
                    tracing::info!(keeper, records, "storage: records handed over");
                    return Ok(());
                }
                Err(error) => tracing::warn!(keeper, "storage: records not accepted ({error})"),
            }
        }
        Err(unavailable("no other VM with a disk accepts the records"))
    }
}

/// Limits a request to the store to [`STORE_TIMEOUT`].
async fn with_timeout<T>(
    answer: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let answer = timeout(STORE_TIMEOUT, answer).await;
    answer.unwrap_or_else(|_| Err(unavailable("no answer in time")))
}

/// Builds a [`StoreError::Unavailable`].
fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
    }
}
