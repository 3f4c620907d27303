//! The entry VM's side of kept turns: stores them on VMs with a disk.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::turns::{CopyPlan, CopyStep, StoredTurn};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::cache::ChainCache;
use super::errors::HistoryError;
use super::lookup::MAX_LATE_LOOKUPS;
use super::memory::{HeldMemory, TurnMemory};
use super::rpc::{AppendAnswer, Content, TurnRpcClient, WireTurn};
use crate::memory::TurnMemoryPlan;
use crate::metrics::Metrics;
use crate::storage_vms::StorageVms;

/// Time after which a late answer is no longer waited for alone.
pub(super) const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Bytes of a content that a storage VM is given a millisecond more for, beyond [`HEDGE_DELAY`]. A
/// long content takes longer to send than a storage VM to answer, and each copy more delays it.
const BYTES_PER_MS: usize = 8 * 1024;

/// Time limit for storing a turn that ends shortly before the deadline of its response.
const MIN_STORE_LIMIT: Duration = Duration::from_millis(1_500);

/// Delay before a turn that too few VMs have stored is sent to the others again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What requests are about, in log lines.
pub(super) const PURPOSE: &str = "turns";

/// Stores and finds kept turns.
#[derive(Debug)]
pub(crate) struct TurnClient {
    pub(super) vms: Arc<StorageVms>,
    pub(super) tolerated_losses: usize,
    pub(super) cache: Mutex<ChainCache>,
    pub(super) late_lookups: Semaphore,
    pub(super) memory: TurnMemory,
    pub(super) metrics: Arc<Metrics>,
}

/// # Construction
impl TurnClient {
    /// Creates a client of these VMs with a disk.
    pub fn new(
        vms: Arc<StorageVms>,
        tolerated_losses: usize,
        memory: &TurnMemoryPlan,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            vms,
            tolerated_losses,
            cache: Mutex::new(ChainCache::new(memory.cache_bytes)),
            late_lookups: Semaphore::new(MAX_LATE_LOOKUPS),
            memory: TurnMemory::new(memory),
            metrics,
        }
    }
}

/// # Memory
impl TurnClient {
    /// Returns the memory for turns under way.
    pub fn memory(&self) -> &TurnMemory {
        &self.memory
    }

    /// Returns the size of the cached chains.
    pub fn cached_bytes(&self) -> usize {
        lock(&self.cache).bytes()
    }
}

/// # Storing
impl TurnClient {
    /// Stores a turn and returns once enough VMs have it on their disks.
    ///
    /// `earlier` holds the contents of all turns before it, for VMs that lack them, and `memory`
    /// lasts as long as a copy is under way. Only VMs at the `allowed` addresses get it, if they are
    /// stated. The response is held back meanwhile, until its deadline or, if that is near, for
    /// [`MIN_STORE_LIMIT`].
    ///
    /// # Errors
    ///
    /// Fails if too few VMs store the turn in time.
    pub async fn store(
        self: &Arc<Self>,
        mut turn: StoredTurn,
        earlier: Bytes,
        memory: HeldMemory,
        allowed: Option<&[Arc<str>]>,
        deadline: Instant,
    ) -> Result<(), HistoryError> {
        let deadline = deadline.max(Instant::now() + MIN_STORE_LIMIT);
        let addresses = self.allowed_addresses(allowed, deadline).await;
        let mut known = addresses.clone();
        let mut is_list_requested = false;
        let mut plan = CopyPlan::new(addresses, self.tolerated_losses);
        let first = plan.start();
        let hedge_delay = hedge_delay(turn.content.len());
        turn.copies = first.iter().cloned().collect();
        let turn = Arc::new(turn);
        let memory = Arc::new(memory);
        // VMs that have the turn or have not answered yet.
        let mut asked: HashSet<Arc<str>> = first.iter().cloned().collect();
        let (results, mut answers) = mpsc::unbounded_channel();
        let send = |address: Arc<str>| {
            // The copies that are not waited for are made nevertheless.
            let (client, turn, earlier) = (Arc::clone(self), Arc::clone(&turn), earlier.clone());
            let (memory, results) = (Arc::clone(&memory), results.clone());
            tokio::spawn(async move {
                let is_stored = client.append_to(&address, &turn, earlier, deadline).await;
                drop((turn, memory));
                // Fails if enough other copies were made first.
                let _ = results.send((address, is_stored));
            });
        };
        first.into_iter().for_each(&send);
        let stored = timeout_at(deadline, async {
            loop {
                let mut step = match timeout(hedge_delay, answers.recv()).await {
                    Ok(Some((address, is_stored))) => {
                        if !is_stored {
                            asked.remove(&address);
                        }
                        plan.record(is_stored)
                    }
                    Ok(None) => CopyStep::Failed,
                    Err(_) => match plan.hedge() {
                        CopyStep::Wait => {
                            let new = self.look_for_others(&mut known, &mut is_list_requested);
                            let mut new = new.await;
                            new.retain(|to| is_allowed(to, allowed) && !asked.contains(to));
                            plan.extend(new)
                        }
                        step => step,
                    },
                };
                if step == CopyStep::Failed {
                    // Other VMs may have taken the place of those that do not answer.
                    let retry_time = Instant::now() + RETRY_DELAY;
                    self.vms.read_list(retry_time).await;
                    sleep_until(retry_time).await;
                    let mut addresses = self.allowed_addresses(allowed, deadline).await;
                    addresses.retain(|address| !asked.contains(address));
                    step = plan.extend(addresses);
                }
                match step {
                    CopyStep::Send(address) => {
                        asked.insert(Arc::clone(&address));
                        send(address);
                    }
                    CopyStep::Wait | CopyStep::Failed => {}
                    CopyStep::Stored => return Ok(()),
                }
            }
        });
        let result = stored.await.unwrap_or(Err(HistoryError::NotStored {
            stored: plan.stored_copies(),
            needed: self.tolerated_losses + 1,
        }));
        let label = if result.is_ok() {
            "stored"
        } else {
            "not_stored"
        };
        self.metrics.count_turn(label);
        result?;
        if lock(&self.cache).accepts(earlier.len() + turn.content.len()) {
            let chain = Bytes::from([&earlier[..], &turn.content].concat());
            lock(&self.cache).insert(turn.key.clone(), chain);
        }
        Ok(())
    }

    /// Stores a turn on one VM, with the turns before it if that VM lacks them.
    async fn append_to(
        &self,
        address: &Arc<str>,
        turn: &StoredTurn,
        earlier: Bytes,
        deadline: Instant,
    ) -> bool {
        let mut turn = turn.clone();
        if !turn.copies.contains(address) {
            turn.copies.push(Arc::clone(address));
        }
        let turn = &turn;
        let turns = vec![WireTurn::from(turn)];
        let answer = self.append(address, turns, deadline).await;
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
        self.append(address, turns, deadline).await == Some(AppendAnswer::Stored)
    }

    /// Sends turns to one VM; returns `None` if it does not answer.
    async fn append(
        &self,
        address: &Arc<str>,
        turns: Vec<WireTurn>,
        deadline: Instant,
    ) -> Option<AppendAnswer> {
        let content_bytes = turns.iter().map(|turn| turn.content.0.len()).sum();
        let memory = timeout_at(deadline, self.memory.send(content_bytes));
        // Held until the request has ended.
        let _memory = memory.await.ok()?;
        let append = |client: Arc<HttpClient>| async move { client.append(turns).await };
        let answer = self.vms.request_until(PURPOSE, address, deadline, append);
        answer.await
    }
}

/// # Storage VMs
impl TurnClient {
    /// Adds VMs to the `known` ones while all of these are late, and returns them.
    ///
    /// Others may have taken the place of those; the list is read once for that.
    pub(super) async fn look_for_others(
        &self,
        known: &mut Vec<Arc<str>>,
        is_list_requested: &mut bool,
    ) -> Vec<Arc<str>> {
        if !std::mem::replace(is_list_requested, true) {
            self.vms.request_list().await;
        }
        let mut new = self.vms.listed();
        new.retain(|address| !known.contains(address));
        known.extend(new.iter().cloned());
        new
    }

    /// Checks that enough of the `allowed` VMs with a disk accept connections to store a turn; all
    /// of them may if none are stated.
    ///
    /// Otherwise, a turn would run in vain: its response cannot end before it is stored.
    ///
    /// # Errors
    ///
    /// Fails if too few accept connections.
    pub async fn check_storable(
        &self,
        allowed: Option<&[Arc<str>]>,
        deadline: Instant,
    ) -> Result<(), HistoryError> {
        let needed = self.tolerated_losses + 1;
        let reachable = self.vms.count_reachable(needed, allowed, deadline).await;
        if reachable >= needed {
            return Ok(());
        }
        Err(HistoryError::TooFewReachable {
            reachable,
            known: self.allowed_addresses(allowed, deadline).await.len(),
            needed,
        })
    }

    /// Returns the VMs with a disk that may store a turn, in the order in which they are used.
    async fn allowed_addresses(
        &self,
        allowed: Option<&[Arc<str>]>,
        deadline: Instant,
    ) -> Vec<Arc<str>> {
        let mut addresses = self.vms.addresses(deadline).await;
        addresses.retain(|address| is_allowed(address, allowed));
        addresses
    }
}

/// Returns the time after which another VM gets a copy of a content of this size as well.
fn hedge_delay(content_bytes: usize) -> Duration {
    let more_ms = u64::try_from(content_bytes / BYTES_PER_MS).unwrap_or(u64::MAX);
    HEDGE_DELAY + Duration::from_millis(more_ms)
}

/// Returns whether a VM is one of the `allowed` ones, or none are stated.
fn is_allowed(address: &Arc<str>, allowed: Option<&[Arc<str>]>) -> bool {
    allowed.is_none_or(|allowed| allowed.contains(address))
}

/// Locks a mutex; a panic while it was held leaves its content usable.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
