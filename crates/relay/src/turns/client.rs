//! The entry VM's side of kept turns: stores them on VMs with a disk and finds them there.

use std::collections::HashSet;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::turns::{CopyPlan, CopyStep, LookupStep, StoredTurn, TurnKey, TurnLookup};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::cache::ChainCache;
use super::errors::{FetchState, FetchStates, HistoryError};
use super::rpc::{AppendAnswer, Content, FetchAnswer, TurnRpcClient, WireTurn};
use crate::metrics::Metrics;
use crate::storage_vms::StorageVms;

/// Time after which a late answer is no longer waited for alone.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Time after which a lookup counts as late.
const LATE_DELAY: Duration = Duration::from_millis(400);

/// Lookups that may be late at the same time. Each of their calls holds a place at an upstream,
/// which calls that need no storage VM lack meanwhile.
const MAX_LATE_LOOKUPS: usize = 8;

/// Time limit for storing a turn that ends shortly before the deadline of its response.
const MIN_STORE_LIMIT: Duration = Duration::from_millis(1_500);

/// Delay before a turn that too few VMs have stored is sent to the others again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What requests are about, in log lines.
const PURPOSE: &str = "turns";

/// Stores and finds kept turns.
#[derive(Debug)]
pub(crate) struct TurnClient {
    vms: Arc<StorageVms>,
    tolerated_losses: usize,
    cache: Mutex<ChainCache>,
    late_lookups: Semaphore,
    metrics: Arc<Metrics>,
}

/// # Construction
impl TurnClient {
    /// Creates a client of these VMs with a disk.
    pub fn new(vms: Arc<StorageVms>, tolerated_losses: usize, metrics: Arc<Metrics>) -> Self {
        Self {
            vms,
            tolerated_losses,
            cache: Mutex::default(),
            late_lookups: Semaphore::new(MAX_LATE_LOOKUPS),
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
    /// Fails if the turn does not exist, or if that cannot be told before the deadline.
    pub async fn find(&self, key: &TurnKey, deadline: Instant) -> Result<Bytes, HistoryError> {
        if let Some(chain) = lock(&self.cache).get(key) {
            self.metrics.count_turn("cached");
            return Ok(chain);
        }
        let mut states = FetchStates::default();
        let found = self.find_in_time(key, deadline, &mut states).await;
        let result = found.unwrap_or(Err(HistoryError::LookupTimeout { states }));
        self.metrics.count_turn(match &result {
            Ok(_) => "fetched",
            Err(HistoryError::Unknown { .. }) => "unknown",
            Err(_) => "unavailable",
        });
        let chain = result?;
        lock(&self.cache).insert(key.clone(), chain.clone());
        Ok(chain)
    }

    /// Does the same as [`Self::find_remote`]; `None` if the lookup is not complete at the deadline,
    /// or is late while many others are.
    async fn find_in_time(
        &self,
        key: &TurnKey,
        deadline: Instant,
        states: &mut FetchStates,
    ) -> Option<Result<Bytes, HistoryError>> {
        let late_time = deadline.min(Instant::now() + LATE_DELAY);
        let mut lookup = pin!(self.find_remote(key, deadline, states));
        if let Ok(result) = timeout_at(late_time, &mut lookup).await {
            return Some(result);
        }
        let _permit = self.late_lookups.try_acquire().ok()?;
        timeout_at(deadline, lookup).await.ok()
    }

    /// Asks the VMs with a disk for the chain of a turn; `states` gets their answers.
    async fn find_remote(
        &self,
        key: &TurnKey,
        deadline: Instant,
        states: &mut FetchStates,
    ) -> Result<Bytes, HistoryError> {
        let mut known = self.vms.addresses(deadline).await;
        if known.is_empty() {
            return Err(HistoryError::NoStorageVms);
        }
        let mut lookup = TurnLookup::new(known.iter().cloned(), self.tolerated_losses + 1);
        let mut answers = FuturesUnordered::new();
        let mut step = lookup.start();
        let mut is_list_requested = false;
        loop {
            if matches!(step, LookupStep::Missing | LookupStep::Unavailable) {
                let Some(new) = self.read_unknown(&known, deadline).await else {
                    let states = std::mem::take(states);
                    return Err(HistoryError::ListNotRead { states });
                };
                if new.is_empty() {
                    let states = std::mem::take(states);
                    return Err(match step {
                        LookupStep::Missing => HistoryError::Unknown { states },
                        _ => HistoryError::NotFound { states },
                    });
                }
                known.extend(new.iter().cloned());
                step = lookup.extend(new);
            }
            if let LookupStep::Ask(addresses) = step {
                states.ask(&addresses);
                let addresses = addresses.into_iter();
                answers.extend(addresses.map(|to| self.fetch_from(to, key, deadline)));
            }
            step = match timeout(HEDGE_DELAY, answers.next()).await {
                Ok(Some((_, Ok(chain)))) => return Ok(chain),
                Ok(Some((address, Err(state)))) => {
                    states.record(&address, state);
                    lookup.record(state.into())
                }
                Ok(None) => LookupStep::Unavailable,
                Err(_) => match lookup.hedge() {
                    LookupStep::Wait => {
                        let new = self.look_for_others(&mut known, &mut is_list_requested);
                        lookup.extend(new.await)
                    }
                    step => step,
                },
            };
        }
    }

    /// Adds VMs to the `known` ones while all of these are late, and returns them.
    ///
    /// Others may have taken the place of those; the list is read once for that.
    async fn look_for_others(
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

    /// Returns the VMs that are not among the `known` ones, from a list that the store is asked for
    /// now; `None` if the store does not answer.
    ///
    /// A turn was stored before a request names it, and its VMs had registered before that. So no
    /// other VM than those of this list can hold it.
    async fn read_unknown(&self, known: &[Arc<str>], deadline: Instant) -> Option<Vec<Arc<str>>> {
        if !self.vms.read_list(deadline).await {
            return None;
        }
        let mut addresses = self.vms.listed();
        addresses.retain(|address| !known.contains(address));
        Some(addresses)
    }

    /// Asks one VM for the chain of a turn.
    async fn fetch_from(
        &self,
        address: Arc<str>,
        key: &TurnKey,
        deadline: Instant,
    ) -> (Arc<str>, Result<Bytes, FetchState>) {
        let (account, id) = (key.account.clone(), key.id.clone());
        let fetch = |client: Arc<HttpClient>| async move { client.fetch(account, id).await };
        let answer = self.vms.request_until(PURPOSE, &address, deadline, fetch);
        let answer = answer.await;
        let result = match answer {
            Some(FetchAnswer::Found(Content(chain))) => Ok(chain),
            Some(FetchAnswer::Absent) => Err(FetchState::Absent),
            Some(FetchAnswer::Unknown) => Err(FetchState::MayHaveLost),
            None => Err(FetchState::NoAnswer),
        };
        (address, result)
    }
}

/// # Storing
impl TurnClient {
    /// Stores a turn and returns once enough VMs have it on their disks.
    ///
    /// `earlier` holds the contents of all turns before it, for VMs that lack them. Only VMs at the
    /// `allowed` addresses get it, if they are stated. The response is held back meanwhile, until
    /// its deadline or, if that is near, for [`MIN_STORE_LIMIT`].
    ///
    /// # Errors
    ///
    /// Fails if too few VMs store the turn in time.
    pub async fn store(
        self: &Arc<Self>,
        mut turn: StoredTurn,
        earlier: Bytes,
        allowed: Option<&[Arc<str>]>,
        deadline: Instant,
    ) -> Result<(), HistoryError> {
        let deadline = deadline.max(Instant::now() + MIN_STORE_LIMIT);
        let addresses = self.allowed_addresses(allowed, deadline).await;
        let mut known = addresses.clone();
        let mut is_list_requested = false;
        let mut plan = CopyPlan::new(addresses, self.tolerated_losses);
        let first = plan.start();
        turn.copies = first.iter().cloned().collect();
        let (key, chain) = (turn.key.clone(), join(&earlier, &turn.content));
        let turn = Arc::new(turn);
        // VMs that have the turn or have not answered yet.
        let mut asked: HashSet<Arc<str>> = first.iter().cloned().collect();
        let (results, mut answers) = mpsc::unbounded_channel();
        let send = |address: Arc<str>| {
            // The copies that are not waited for are made nevertheless.
            let (client, turn, earlier) = (Arc::clone(self), Arc::clone(&turn), earlier.clone());
            let results = results.clone();
            tokio::spawn(async move {
                let is_stored = client.append_to(&address, &turn, earlier, deadline).await;
                // Fails if enough other copies were made first.
                let _ = results.send((address, is_stored));
            });
        };
        first.into_iter().for_each(&send);
        let stored = timeout_at(deadline, async {
            loop {
                let mut step = match timeout(HEDGE_DELAY, answers.recv()).await {
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
        lock(&self.cache).insert(key, chain);
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
        let append = |client: Arc<HttpClient>| async move { client.append(turns).await };
        let answer = self.vms.request_until(PURPOSE, address, deadline, append);
        answer.await
    }
}

/// # Storage VMs
impl TurnClient {
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

/// Returns whether a VM is one of the `allowed` ones, or none are stated.
fn is_allowed(address: &Arc<str>, allowed: Option<&[Arc<str>]>) -> bool {
    allowed.is_none_or(|allowed| allowed.contains(address))
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
