//! The daemon of a VM with a disk: stores charge records and kept turns.

mod ledger;
mod members;
mod repair;
mod request_memory;

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::server::{Methods, Server, ServerConfig, ServerHandle};
use knapweeddale_core::VmName;
use knapweeddale_runtime::MemoryQueue;
use knapweeddale_store::StoreError;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tower::ServiceBuilder;

use crate::adapter::FleetStore;
use crate::charges::{ChargeBatch, ChargeRpcServer, send_batch};
use crate::daemon::StartError;
use crate::memory::StorageMemoryPlan;
use crate::origins::{OriginRpcServer, OriginServer};
use crate::settings::StorageSettings;
use crate::store::{Registration, Role, register};
use crate::turns::{CopyCounts, TurnReplicator, TurnRpcServer, TurnServer, TurnStore};
use crate::usage::{UsageRpcServer, UsageServer, UsageStore};

use self::ledger::{ChargeServer, Ledger};
pub(crate) use self::members::Members;
use self::repair::{Repair, hand_over};
pub(crate) use self::request_memory::AnswerMemory;
use self::request_memory::RequestMemoryLayer;

/// Name of the folder of kept turns.
const TURN_FOLDER: &str = "turns";

/// Name of the folder of claims on budgets.
const USAGE_FOLDER: &str = "usage";

/// Interval at which expired turns and claims are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for handing records over to another VM.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed registration is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Interval at which the registered VMs are read again. VMs that join ask this one for copies, but
/// those of earlier builds do not.
const REGISTER_INTERVAL: Duration = Duration::from_secs(60);

/// Longest time for which a stopping VM waits for the others to take over its turns.
const STOP_HAND_OVER_LIMIT: Duration = Duration::from_millis(3_000);

/// A running daemon that stores charge records.
#[derive(Debug)]
pub struct Storage {
    server: ServerHandle,
    background: JoinSet<()>,
    turns: Arc<TurnStore>,
    members: Arc<Members>,
    replicator: TurnReplicator,
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
        let memory = StorageMemoryPlan::new(settings.memory_bytes);
        // The library's own limit of 100 requests is below the number of VMs that may ask at once.
        let config = ServerConfig::builder().max_connections(memory.max_requests);
        let memory_layer = RequestMemoryLayer {
            requests: MemoryQueue::new(memory.long_request_bytes),
            answers: MemoryQueue::new(memory.long_answer_bytes),
        };
        let server = Server::builder()
            .set_config(config.build())
            .set_http_middleware(ServiceBuilder::new().layer(memory_layer));
        let server = server.build(settings.peer_listen).await?;
        let address = server.local_addr()?;
        let charge_server = ChargeServer {
            ledger: Arc::clone(&ledger),
        };
        let turns = TurnStore::open(
            &settings.data_folder.join(TURN_FOLDER),
            settings.is_first_start,
            memory,
        )
        .map_err(io::Error::other)?;
        let turns = Arc::new(turns);
        let registration = Registration {
            vm: settings.vm.clone(),
            address: address.to_string(),
            role: Role::Storage,
            failure_domain: failure_domain.to_owned(),
        };
        let own = registration.clone().into_keeper();
        let members = Arc::new(Members::new(own, settings.regions.clone()));
        let replicator = TurnReplicator::new(
            Arc::clone(&turns),
            Arc::clone(&members),
            settings.tolerated_losses,
        );
        let turn_server = TurnServer {
            store: Arc::clone(&turns),
            replicator: replicator.clone(),
        };
        let usage = UsageStore::open(&settings.data_folder.join(USAGE_FOLDER), memory);
        let usage = Arc::new(usage.map_err(io::Error::other)?);
        let usage_server = UsageServer {
            store: Arc::clone(&usage),
        };
        let mut methods = Methods::from(charge_server.into_rpc());
        methods
            .merge(turn_server.into_rpc())
            .and_then(|()| methods.merge(usage_server.into_rpc()))
            .and_then(|()| methods.merge(OriginServer::default().into_rpc()))
            .map_err(io::Error::other)?;
        let server = server.start(methods);
        tracing::info!(vm = settings.vm, %address, "start: stores charge records and kept turns");
        let background = BackgroundTask {
            settings,
            store,
            registration,
            ledger,
            turns: Arc::clone(&turns),
            members: Arc::clone(&members),
            replicator: replicator.clone(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(background.run());
        tasks.spawn(expire(Arc::clone(&turns), usage));
        Ok(Self {
            server,
            background: tasks,
            turns,
            members,
            replicator,
        })
    }

    /// Returns which turns this VM has received as copies since its start.
    pub fn copied(&self) -> CopyCounts {
        self.replicator.received()
    }

    /// Stops the daemon. Confirmed batches are already synced to the disk.
    ///
    /// The VM may never come back with its disk, so the others first take over those of its turns
    /// that would be on too few disks without it.
    pub async fn stop(mut self) {
        tracing::info!("stop: shutting down");
        self.background.abort_all();
        self.turns.close().await;
        if !self.turns.turns().is_empty() {
            let hand_over = hand_over(&self.replicator, &self.members);
            if timeout(STOP_HAND_OVER_LIMIT, hand_over).await.is_err() {
                tracing::warn!("stop: not all turns were handed over in time");
            }
        }
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
    members: Arc<Members>,
    replicator: TurnReplicator,
}

impl<S: FleetStore> BackgroundTask<S> {
    /// Registers this VM, then keeps its turns on enough VMs and looks for a request to retire it.
    async fn run(self) {
        let mut has_failed = false;
        while let Err(error) = self.register().await {
            if !std::mem::replace(&mut has_failed, true) {
                tracing::warn!("source: registration failed, retrying ({error})");
            }
            sleep(RETRY_INTERVAL).await;
        }
        let repair = Repair::new(
            Arc::clone(&self.members),
            Arc::clone(&self.turns),
            self.replicator.clone(),
        );
        tokio::join!(repair.run(), self.watch_store());
    }

    /// Polls the store for other VMs with a disk and for a request to retire this VM, until the task
    /// is aborted.
    async fn watch_store(&self) {
        let mut has_failed = false;
        let mut registered = Instant::now();
        loop {
            if registered.elapsed() >= REGISTER_INTERVAL && self.register().await.is_ok() {
                registered = Instant::now();
            }
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

    /// Registers this VM and learns the other VMs with a disk.
    async fn register(&self) -> Result<(), StoreError> {
        let registered = with_timeout(register(&self.store, &self.registration, true)).await?;
        let storage_vms = registered
            .into_iter()
            .filter(|row| row.role == Role::Storage);
        for vm in storage_vms.map(Registration::into_keeper) {
            self.members.learn(&vm);
        }
        Ok(())
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
        self.register().await?;
        self.hand_over_records().await?;
        self.hand_over_turns().await?;
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
        let batch = ChargeBatch {
            sender: format!("emptied {}", self.settings.vm),
            number: 1,
            records,
        };
        for keeper in self.members.living().iter().map(|row| &row.address) {
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

    /// Has the other VMs with a disk copy all kept turns that they are to hold.
    async fn hand_over_turns(&self) -> Result<(), StoreError> {
        if self.turns.turns().is_empty() {
            return Ok(());
        }
        match hand_over(&self.replicator, &self.members).await {
            0 => Err(unavailable("no other VM with a disk accepts the turns")),
            _ => Ok(()),
        }
    }
}

/// Removes expired turns and claims until it is aborted.
async fn expire(turns: Arc<TurnStore>, usage: Arc<UsageStore>) {
    loop {
        sleep(EXPIRE_INTERVAL).await;
        turns.expire().await;
        usage.expire().await;
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
