//! The daemon of a VM with a disk: stores charge records and kept turns.

use std::collections::{HashMap, HashSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Methods, Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use knapweeddale_core::{StorageVm, VmName};
use knapweeddale_store::StoreError;
use tokio::task::{JoinSet, spawn_blocking};
use tokio::time::{Instant, sleep, timeout};

use crate::adapter::FleetStore;
use crate::charges::{ChargeBatch, ChargeRecord, ChargeRpcServer, send_batch};
use crate::daemon::StartError;
use crate::origins::{OriginRpcServer, OriginServer};
use crate::settings::StorageSettings;
use crate::store::{Registration, Role, register};
use crate::turns::{TurnRpcServer, TurnServer, TurnStore, hand_over, recover};

/// Name of the file of charge records, which has one JSON object per line.
const FILE_NAME: &str = "charges.jsonl";

/// Name of the folder of kept turns.
const TURN_FOLDER: &str = "turns";

/// Interval at which expired turns are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which routes keep turns; a lost disk lacks nothing after that time.
const MAX_RETENTION: Duration = Duration::from_secs(600);

/// VMs to which the turns of a retired VM are handed over.
const HAND_OVER_COPIES: usize = 2;

/// Time limit for a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for handing records over to another VM.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed registration is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Longest delay before VMs that have not answered are asked for lost copies again.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(6);

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
    background: JoinSet<()>,
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
        let turns = TurnStore::open(
            &settings.data_folder.join(TURN_FOLDER),
            settings.is_first_start,
        )
        .map_err(io::Error::other)?;
        let turns = Arc::new(turns);
        let turn_server = TurnServer {
            store: Arc::clone(&turns),
        };
        let mut methods = Methods::from(charge_server.into_rpc());
        methods
            .merge(turn_server.into_rpc())
            .and_then(|()| methods.merge(OriginServer::default().into_rpc()))
            .map_err(io::Error::other)?;
        let server = server.start(methods);
        let registration = Registration {
            vm: settings.vm.clone(),
            address: address.to_string(),
            role: Role::Storage,
            failure_domain: failure_domain.to_owned(),
        };
        tracing::info!(vm = settings.vm, %address, "start: stores charge records and kept turns");
        let background = BackgroundTask {
            settings,
            store,
            registration,
            ledger,
            turns: Arc::clone(&turns),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(background.run());
        tasks.spawn(expire_turns(turns));
        Ok(Self {
            server,
            background: tasks,
        })
    }

    /// Stops the daemon. Confirmed batches are already synced to the disk.
    pub async fn stop(mut self) {
        tracing::info!("stop: shutting down");
        self.background.abort_all();
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
    turns: Arc<TurnStore>,
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
        if !self.turns.is_complete() {
            self.recover_turns().await;
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

    /// Gets the turns of which this VM had a copy back from the other VMs with a disk.
    ///
    /// Ends when each of them has answered once, or when every turn of before has expired.
    async fn recover_turns(&self) {
        let end = Instant::now() + MAX_RETENTION;
        let mut answered = HashSet::new();
        let mut delay = RETRY_INTERVAL;
        while Instant::now() < end {
            let others = self.others().await.ok();
            let missing = others.map(|mut others| {
                others.retain(|other| !answered.contains(&other.address));
                others
            });
            if missing.as_ref().is_some_and(Vec::is_empty) {
                break;
            }
            for other in missing.into_iter().flatten() {
                if self.recover_from(&other).await {
                    answered.insert(other.address);
                }
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_INTERVAL);
        }
        match self.turns.mark_complete() {
            Ok(()) => tracing::info!("turns: folder complete"),
            Err(error) => tracing::error!("turns: folder not marked as complete ({error})"),
        }
    }

    /// Gets the turns of which this VM had a copy from another VM; returns whether it answered.
    async fn recover_from(&self, other: &StorageVm) -> bool {
        let result = recover(&self.turns, &self.registration.address, &other.address).await;
        match &result {
            Ok(turns) => tracing::info!(vm = %other.vm, turns, "turns: copies received"),
            Err(error) => tracing::warn!(vm = %other.vm, "turns: copies not received ({error})"),
        }
        result.is_ok()
    }

    /// Returns the other VMs with a disk, the nearest first.
    async fn others(&self) -> Result<Vec<StorageVm>, StoreError> {
        let registered = self.register().await?;
        let others = registered
            .into_iter()
            .filter(|row| row.role == Role::Storage && row.vm != self.settings.vm);
        let mut others: Vec<StorageVm> = others.map(Registration::into_keeper).collect();
        let own = &self.registration.failure_domain;
        others.sort_by_key(|row| (row.failure_domain.as_str() != own, row.vm.clone()));
        Ok(others)
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
        let others = self.others().await?;
        self.hand_over_records(&others).await?;
        self.hand_over_turns(&others).await?;
        with_timeout(self.store.report_retirement(&own_name, true)).await?;
        tracing::info!("storage: retirement complete");
        Ok(())
    }

    /// Copies all records to the nearest other VM with a disk that accepts them.
    async fn hand_over_records(&self, others: &[StorageVm]) -> Result<(), StoreError> {
        let records = {
            let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.read_records()
        };
        let records = records.map_err(|error| unavailable(&error.to_string()))?;
        let batch = ChargeBatch {
            sender: format!("emptied {}", self.settings.vm),
            number: 1,
            records,
        };
        for keeper in others.iter().map(|row| &row.address) {
            match send_batch(keeper, batch.clone(), HAND_OVER_TIMEOUT).await {
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

    /// Copies all kept turns to the nearest other VMs with a disk that accept them.
    async fn hand_over_turns(&self, others: &[StorageVm]) -> Result<(), StoreError> {
        if self.turns.turns().is_empty() {
            return Ok(());
        }
        let mut copies = 0;
        for other in others {
            if copies == HAND_OVER_COPIES {
                break;
            }
            match hand_over(&self.turns, &other.address).await {
                Ok(turns) => {
                    copies += 1;
                    tracing::info!(vm = %other.vm, turns, "storage: turns handed over");
                }
                Err(error) => {
                    tracing::warn!(vm = %other.vm, "storage: turns not accepted ({error})");
                }
            }
        }
        if copies == 0 {
            return Err(unavailable("no other VM with a disk accepts the turns"));
        }
        Ok(())
    }
}

/// Removes expired turns until it is aborted.
async fn expire_turns(turns: Arc<TurnStore>) {
    loop {
        sleep(EXPIRE_INTERVAL).await;
        turns.expire().await;
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
