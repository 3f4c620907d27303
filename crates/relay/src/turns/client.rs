//! The entry VM's side of kept turns: stores them on VMs with a disk and finds them there.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::turns::{
    CopyPlan, CopyStep, LookupStep, StoredTurn, TurnAnswer, TurnKey, TurnLookup,
};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::cache::ChainCache;
use super::rpc::{AppendAnswer, Content, FetchAnswer, TurnRpcClient, WireTurn};
use crate::metrics::Metrics;
use crate::storage_clients::StorageClients;

/// Time limit for one request to a VM with a disk.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a late answer is no longer waited for alone.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Time limit for storing a turn, which holds back the end of its response.
const STORE_LIMIT: Duration = Duration::from_millis(1_500);

/// Longest wait for the list of VMs with a disk, which a VM reads after its start.
const LIST_WAIT: Duration = Duration::from_millis(400);

/// Why the turns before a request cannot be used, or a turn cannot be stored.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HistoryError {
    /// The turn certainly does not exist.
    #[display("the turn does not exist")]
    Unknown,
    /// Too few VMs with a disk answer.
    #[display("too few VMs with a disk answer")]
    Unavailable,
}

/// Stores and finds kept turns.
#[derive(Debug)]
pub(crate) struct TurnClient {
    /// Addresses of VMs with a disk, those in this VM's failure domain first.
    keepers: watch::Receiver<Vec<String>>,
    tolerated_losses: usize,
    clients: StorageClients,
    cache: Mutex<ChainCache>,
    metrics: Arc<Metrics>,
}

/// # Construction
impl TurnClient {
    /// Creates a client of the VMs with a disk that `keepers` names.
    pub fn new(
        keepers: watch::Receiver<Vec<String>>,
        tolerated_losses: usize,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            keepers,
            tolerated_losses,
            clients: StorageClients::new("turns", REQUEST_TIMEOUT),
            cache: Mutex::default(),
            metrics,
        }
    }
}

/// # Lookup
impl TurnClient {
    /// Returns the contents of a turn and all turns before it, the oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the turn does not exist, or if that cannot be told.
    pub async fn find(&self, key: &TurnKey) -> Result<Bytes, HistoryError> {
        if let Some(chain) = lock(&self.cache).get(key) {
            self.metrics.count_turn("cached");
            return Ok(chain);
        }
        let result = self.find_remote(key).await;
        self.metrics.count_turn(match &result {
            Ok(_) => "fetched",
            Err(HistoryError::Unknown) => "unknown",
            Err(HistoryError::Unavailable) => "unavailable",
        });
        let chain = result?;
        lock(&self.cache).insert(key.clone(), chain.clone());
        Ok(chain)
    }

    /// Asks the VMs with a disk for the chain of a turn.
    async fn find_remote(&self, key: &TurnKey) -> Result<Bytes, HistoryError> {
        let mut lookup = TurnLookup::new(self.addresses().await, self.tolerated_losses + 1);
        let mut answers = FuturesUnordered::new();
        let mut step = lookup.start();
        loop {
            match step {
                LookupStep::Ask(addresses) => {
                    answers.extend(addresses.into_iter().map(|to| self.fetch_from(to, key)));
                }
                LookupStep::Wait | LookupStep::Found => {}
                LookupStep::Missing => return Err(HistoryError::Unknown),
                LookupStep::Unavailable => return Err(HistoryError::Unavailable),
            }
            step = match timeout(HEDGE_DELAY, answers.next()).await {
                Ok(Some(Ok(chain))) => return Ok(chain),
                Ok(Some(Err(answer))) => lookup.record(answer),
                Ok(None) => return Err(HistoryError::Unavailable),
                Err(_) => lookup.hedge(),
            };
        }
    }

    /// Asks one VM for the chain of a turn; if it has none, returns what that means.
    async fn fetch_from(&self, address: Arc<str>, key: &TurnKey) -> Result<Bytes, TurnAnswer> {
        let (account, id) = (key.account.clone(), key.id.clone());
        let fetch = |client: Arc<HttpClient>| async move { client.fetch(account, id).await };
        let answer = self.clients.request(&address, fetch).await;
        match answer {
            Some(FetchAnswer::Found(Content(chain))) => Ok(chain),
            Some(FetchAnswer::Absent) => Err(TurnAnswer::Absent),
            Some(FetchAnswer::Unknown) | None => Err(TurnAnswer::Unknown),
        }
    }
}

/// # Storing
impl TurnClient {
    /// Stores a turn and returns once enough VMs have it on their disks.
    ///
    /// `earlier` holds the contents of all turns before it, for VMs that lack them. Only VMs at the
    /// `allowed` addresses get it, if they are stated.
    ///
    /// # Errors
    ///
    /// Fails if too few VMs store the turn in time.
    pub async fn store(
        self: &Arc<Self>,
        mut turn: StoredTurn,
        earlier: Bytes,
        allowed: Option<&[Arc<str>]>,
    ) -> Result<(), HistoryError> {
        let mut addresses = self.addresses().await;
        addresses.retain(|address| allowed.is_none_or(|allowed| allowed.contains(address)));
        let mut plan = CopyPlan::new(addresses, self.tolerated_losses);
        let first = plan.start();
        turn.copies = first.iter().cloned().collect();
        let (key, chain) = (turn.key.clone(), join(&earlier, &turn.content));
        let turn = Arc::new(turn);
        let (results, mut answers) = mpsc::unbounded_channel();
        let send = |address: Arc<str>| {
            // The copies that are not waited for are made nevertheless.
            let (client, turn, earlier) = (Arc::clone(self), Arc::clone(&turn), earlier.clone());
            let results = results.clone();
            tokio::spawn(async move {
                let is_stored = client.append_to(&address, &turn, earlier).await;
                // Fails if enough other copies were made first.
                let _ = results.send(is_stored);
            });
        };
        first.into_iter().for_each(&send);
        let stored = timeout(STORE_LIMIT, async {
            loop {
                let step = match timeout(HEDGE_DELAY, answers.recv()).await {
                    Ok(Some(is_stored)) => plan.record(is_stored),
                    Ok(None) => CopyStep::Failed,
                    Err(_) => plan.hedge(),
                };
                match step {
                    CopyStep::Send(address) => send(address),
                    CopyStep::Wait => {}
                    CopyStep::Stored => return Ok(()),
                    CopyStep::Failed => return Err(HistoryError::Unavailable),
                }
            }
        });
        let result = stored.await.unwrap_or(Err(HistoryError::Unavailable));
        let label = if result.is_ok() {
            "stored"
        } else {
            "not_stored"
        };
        self.metrics.count_turn(label);
        result?;
        lock(&self.cache).insert(key, chain);
        Ok(())
    }

    /// Stores a turn on one VM, with the turns before it if that VM lacks them.
    async fn append_to(&self, address: &Arc<str>, turn: &StoredTurn, earlier: Bytes) -> bool {
        let turns = vec![WireTurn::from(turn)];
        let answer = self.append(address, turns).await;
        let (Some(AppendAnswer::LacksPrevious), Some(previous)) = (answer, &turn.previous) else {
            return answer == Some(AppendAnswer::Stored);
        };
        let before = WireTurn {
            id: previous.clone(),
            previous: None,
            content: Content(earlier),
            ..WireTurn::from(turn)
        };
        let turns = vec![before, WireTurn::from(turn)];
        self.append(address, turns).await == Some(AppendAnswer::Stored)
    }

    /// Sends turns to one VM; returns `None` if it does not answer.
    async fn append(&self, address: &Arc<str>, turns: Vec<WireTurn>) -> Option<AppendAnswer> {
        let append = |client: Arc<HttpClient>| async move { client.append(turns).await };
        self.clients.request(address, append).await
    }
}

/// # Storage VMs
impl TurnClient {
    /// Returns whether a VM with a disk is reachable, as far as known.
    ///
    /// Without one, a turn would run in vain: its response cannot end before it is stored. While
    /// some are reachable, too few of them may be so for a moment only.
    pub fn can_store(&self) -> bool {
        let keepers = self.keepers.borrow();
        keepers.is_empty() || keepers.iter().any(|row| !self.clients.is_lost(row))
    }

    /// Probes VMs with a disk that did not answer, until the task is aborted.
    pub async fn probe_lost(self: Arc<Self>) {
        self.clients.probe_lost().await;
    }

    /// Returns the VMs with a disk in the order in which they are used.
    async fn addresses(&self) -> Vec<Arc<str>> {
        let mut keepers = self.keepers.clone();
        // Without a list in time, or after the control thread has ended, there is no VM to use.
        let _ = timeout(LIST_WAIT, keepers.wait_for(|list| !list.is_empty())).await;
        let keepers = keepers.borrow();
        let mut addresses: Vec<Arc<str>> = keepers.iter().map(|row| Arc::from(&**row)).collect();
        self.clients.sort_by_health(&mut addresses);
        addresses
    }
}

/// Joins the contents of earlier turns and of a new one.
fn join(earlier: &[u8], content: &[u8]) -> Bytes {
    let mut chain = BytesMut::with_capacity(earlier.len() + content.len());
    chain.extend_from_slice(earlier);
    chain.extend_from_slice(content);
    chain.freeze()
}

/// Locks a mutex; a panic while it was held leaves its content usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
