//! The entry VM's side of kept turns: stores them on VMs with a disk and finds them there.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::turns::{
    CopyPlan, CopyStep, LookupStep, StoredTurn, TurnAnswer, TurnKey, TurnLookup,
};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{Instant, timeout};

use super::cache::ChainCache;
use super::rpc::{AppendAnswer, Content, FetchAnswer, TurnRpcClient, WireTurn};
use crate::metrics::Metrics;

/// Time limit for one request to a VM with a disk.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a late answer is no longer waited for alone.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Time limit for storing a turn, which holds back the end of its response.
const STORE_LIMIT: Duration = Duration::from_millis(1_500);

/// Longest wait for the list of VMs with a disk, which a VM reads after its start.
const LIST_WAIT: Duration = Duration::from_millis(400);

/// Time for which a VM that did not answer is asked last.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Requests to VMs with a disk that may be open at the same time.
const MAX_OPEN_REQUESTS: usize = 256;

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

/// The connection to a VM with a disk.
#[derive(Debug, Clone)]
struct Peer {
    /// `None` after a failure: a connection that fell silent is not used again.
    client: Option<Arc<HttpClient>>,
    avoid_until: Instant,
}

/// Stores and finds kept turns.
#[derive(Debug)]
pub(crate) struct TurnClient {
    /// Addresses of VMs with a disk, those in this VM's failure domain first.
    keepers: watch::Receiver<Vec<String>>,
    tolerated_losses: usize,
    peers: Mutex<HashMap<Arc<str>, Peer>>,
    cache: Mutex<ChainCache>,
    requests: Semaphore,
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
            peers: Mutex::default(),
            cache: Mutex::default(),
            requests: Semaphore::new(MAX_OPEN_REQUESTS),
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
        let answer = self
            .request(
                &address,
                |client| async move { client.fetch(account, id).await },
            )
            .await;
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
    /// `earlier` holds the contents of all turns before it, for VMs that lack them.
    ///
    /// # Errors
    ///
    /// Fails if too few VMs store the turn in time.
    pub async fn store(
        self: &Arc<Self>,
        mut turn: StoredTurn,
        earlier: Bytes,
    ) -> Result<(), HistoryError> {
        let mut plan = CopyPlan::new(self.addresses().await, self.tolerated_losses);
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
        self.request(address, |client| async move { client.append(turns).await })
            .await
    }
}

/// # Connections
impl TurnClient {
    /// Returns the VMs with a disk in the order in which they are used.
    async fn addresses(&self) -> Vec<Arc<str>> {
        let mut keepers = self.keepers.clone();
        // Without a list in time, or after the control thread has ended, there is no VM to use.
        let _ = timeout(LIST_WAIT, keepers.wait_for(|list| !list.is_empty())).await;
        let now = Instant::now();
        let keepers = keepers.borrow();
        let peers = lock(&self.peers);
        let mut addresses: Vec<Arc<str>> = keepers.iter().map(|row| Arc::from(&**row)).collect();
        addresses.sort_by_key(|address| {
            peers
                .get(address)
                .is_some_and(|peer| peer.avoid_until > now)
        });
        addresses
    }

    /// Sends a request to a VM; returns `None` and avoids the VM for a while if it fails.
    async fn request<T, F>(
        &self,
        address: &Arc<str>,
        send: impl FnOnce(Arc<HttpClient>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let result = match self.client(address) {
            // The semaphore is never closed.
            Ok(client) => match self.requests.acquire().await {
                Ok(_permit) => send(client).await,
                Err(_) => return None,
            },
            Err(error) => Err(error),
        };
        let error = match result {
            Ok(answer) => return Some(answer),
            Err(error) => error,
        };
        let avoid_until = Instant::now() + AVOID_TIME;
        let peer = Peer {
            client: None,
            avoid_until,
        };
        lock(&self.peers).insert(Arc::clone(address), peer);
        tracing::warn!(keeper = &**address, "turns: request failed ({error})");
        None
    }

    /// Returns the client of a VM.
    fn client(&self, address: &Arc<str>) -> Result<Arc<HttpClient>, ClientError> {
        let mut peers = lock(&self.peers);
        let peer = peers.entry(Arc::clone(address)).or_insert_with(|| Peer {
            client: None,
            avoid_until: Instant::now(),
        });
        if let Some(client) = &peer.client {
            return Ok(Arc::clone(client));
        }
        let client = HttpClient::builder()
            .request_timeout(REQUEST_TIMEOUT)
            .build(format!("http://{address}"))?;
        let client = Arc::new(client);
        peer.client = Some(Arc::clone(&client));
        Ok(client)
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
