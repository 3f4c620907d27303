//! Finds the chain of a kept turn in the cache or on the storage VMs.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::turns::{LookupStep, TurnKey, TurnLookup};
use knapweeddale_runtime::MemoryReservation;
use tokio::time::{Instant, timeout, timeout_at};

use super::client::{HEDGE_DELAY, PURPOSE, TurnClient, lock};
use super::errors::{FetchState, FetchStates, HistoryError};
use super::memory::ORDINARY_BYTES;
use super::rpc::{Content, FetchAnswer, TurnRpcClient};

/// Time after which a lookup counts as late.
const LATE_DELAY: Duration = Duration::from_millis(400);

/// Lookups that may be late at the same time. Each of their calls holds a place at an upstream,
/// which calls that need no storage VM lack meanwhile.
pub(super) const MAX_LATE_LOOKUPS: usize = 8;

/// Maximum size of a prompt together with the turns before it.
pub(crate) const MAX_PROMPT_BYTES: usize = 4 * 1024 * 1024;

/// What a turn needs besides the turns before it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TurnSize {
    /// Size of its input.
    pub input_bytes: usize,
    /// Size that its output is expected to have at most.
    pub output_bytes: usize,
}

impl TurnSize {
    /// Returns whether the prompt after a chain of this size is short enough.
    fn allows(self, chain_bytes: usize) -> bool {
        chain_bytes + self.input_bytes <= MAX_PROMPT_BYTES
    }

    /// Returns the memory that the turn holds after a chain of this size: its prompt, which is the
    /// caller's own body if there is no chain, and its content.
    ///
    /// A long content counts twice. It is copied when the response ends, and with more long turns
    /// at a time their transfers would last beyond the deadlines of their responses.
    pub fn held_bytes(self, chain_bytes: usize) -> usize {
        let prompt_bytes = match chain_bytes {
            0 => 0,
            _ => chain_bytes + self.input_bytes,
        };
        let content_bytes = self.input_bytes + self.output_bytes;
        let copies = if content_bytes > ORDINARY_BYTES { 2 } else { 1 };
        prompt_bytes + content_bytes * copies
    }
}

/// The contents of all turns before a turn, with the memory that the turn holds.
#[derive(Debug)]
pub(crate) struct HeldChain {
    /// The contents, the oldest first.
    pub chain: Bytes,
    /// The memory for the prompt and the content of the turn.
    pub reservation: MemoryReservation,
}

/// The answer of a storage VM that has a turn.
enum Fetched {
    Chain(Bytes),
    /// The chain has this many bytes, which is more than was asked for.
    TooLarge(usize),
}

/// What a search on the storage VMs has found.
enum Located {
    Chain(HeldChain),
    /// The VM at this address has the chain, which waits for memory.
    Waiting {
        address: Arc<str>,
        chain_bytes: usize,
    },
}

/// # Lookup
impl TurnClient {
    /// Returns the contents of a turn and all turns before it, with the memory for the turn of this
    /// `size` that goes on from it.
    ///
    /// # Errors
    ///
    /// Fails if the turn does not exist, if that cannot be told before the deadline, or if there is
    /// no memory.
    pub async fn find(
        &self,
        key: &TurnKey,
        size: TurnSize,
        deadline: Instant,
    ) -> Result<HeldChain, HistoryError> {
        let (result, label) = match self.find_cached(key, size, deadline).await {
            Some(cached) => (cached, "cached"),
            None => {
                let mut states = FetchStates::default();
                let found = self.find_in_time(key, size, deadline, &mut states).await;
                let timeout = Err(HistoryError::LookupTimeout { states });
                (found.unwrap_or(timeout), "fetched")
            }
        };
        self.metrics.count_turn(match &result {
            Ok(_) => label,
            Err(HistoryError::Unknown { .. }) => "unknown",
            Err(HistoryError::NoMemory { .. }) => "no_memory",
            Err(_) => "unavailable",
        });
        let held = result?;
        lock(&self.cache).insert(key.clone(), held.chain.clone());
        Ok(held)
    }

    /// Returns the chain of a turn if it is cached.
    async fn find_cached(
        &self,
        key: &TurnKey,
        size: TurnSize,
        deadline: Instant,
    ) -> Option<Result<HeldChain, HistoryError>> {
        let chain_bytes = lock(&self.cache).chain_bytes(key)?;
        let reservation = match self.hold_for(chain_bytes, size, deadline).await {
            Ok(reservation) => reservation,
            Err(error) => return Some(Err(error)),
        };
        // Not read before: a chain that leaves the cache meanwhile is held by nobody.
        let chain = lock(&self.cache).get(key)?;
        Some(Ok(HeldChain { chain, reservation }))
    }

    /// Waits for the memory of a turn after a chain of this size.
    async fn hold_for(
        &self,
        chain_bytes: usize,
        size: TurnSize,
        deadline: Instant,
    ) -> Result<MemoryReservation, HistoryError> {
        if !size.allows(chain_bytes) {
            return Err(HistoryError::PromptTooLarge {
                bytes: chain_bytes + size.input_bytes,
            });
        }
        let bytes = size.held_bytes(chain_bytes);
        self.memory.hold(bytes, deadline).await
    }

    /// Does the same as [`Self::find_remote`]; `None` if the lookup is not complete at the deadline,
    /// or is late while many others are.
    async fn find_in_time(
        &self,
        key: &TurnKey,
        size: TurnSize,
        deadline: Instant,
        states: &mut FetchStates,
    ) -> Option<Result<HeldChain, HistoryError>> {
        let late_time = deadline.min(Instant::now() + LATE_DELAY);
        let mut lookup = pin!(self.find_remote(key, size, deadline, states));
        if let Ok(result) = timeout_at(late_time, &mut lookup).await {
            return Some(result);
        }
        let _permit = self.late_lookups.try_acquire().ok()?;
        timeout_at(deadline, lookup).await.ok()
    }

    /// Reads the chain of a turn from a storage VM; `states` gets the answers of all that are asked.
    async fn find_remote(
        &self,
        key: &TurnKey,
        size: TurnSize,
        deadline: Instant,
        states: &mut FetchStates,
    ) -> Result<HeldChain, HistoryError> {
        match self.locate(key, size, deadline, states).await? {
            Located::Chain(held) => Ok(held),
            Located::Waiting {
                address,
                chain_bytes,
            } => {
                let reservation = self.hold_for(chain_bytes, size, deadline).await?;
                let chain = self.fetch_long(chain_bytes, address, key, deadline).await;
                let states = std::mem::take(states);
                let chain = chain.ok_or(HistoryError::NotFound { states })?;
                Ok(HeldChain { chain, reservation })
            }
        }
    }

    /// Asks the VMs with a disk for the chain of a turn; `states` gets their answers.
    async fn locate(
        &self,
        key: &TurnKey,
        size: TurnSize,
        deadline: Instant,
        states: &mut FetchStates,
    ) -> Result<Located, HistoryError> {
        let mut known = self.vms.addresses(deadline).await;
        if known.is_empty() {
            return Err(HistoryError::NoStorageVms);
        }
        // One for all requests of the lookup, which ends with the first answer that has the chain:
        // lookups that wait for a VM which does not answer must not keep each other from asking the
        // next one.
        let _memory = self.memory.receive(ORDINARY_BYTES).await;
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
                Ok(Some((address, Ok(fetched)))) => {
                    return Ok(self.hold_fetched(address, fetched, size));
                }
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

    /// Asks one VM for the chain of a turn if that is an ordinary one.
    async fn fetch_from(
        &self,
        address: Arc<str>,
        key: &TurnKey,
        deadline: Instant,
    ) -> (Arc<str>, Result<Fetched, FetchState>) {
        let fetched = self
            .fetch_up_to(ORDINARY_BYTES, &address, key, deadline)
            .await;
        (address, fetched)
    }

    /// Reserves the memory for a turn after the chain that the VM at `address` has sent. The chain
    /// is not kept if it has to wait for that.
    fn hold_fetched(&self, address: Arc<str>, fetched: Fetched, size: TurnSize) -> Located {
        let chain_bytes = match fetched {
            Fetched::Chain(chain) => {
                let chain_bytes = chain.len();
                if size.allows(chain_bytes)
                    && let Some(reservation) = self.memory.try_hold(size.held_bytes(chain_bytes))
                {
                    return Located::Chain(HeldChain { chain, reservation });
                }
                chain_bytes
            }
            Fetched::TooLarge(chain_bytes) => chain_bytes,
        };
        Located::Waiting {
            address,
            chain_bytes,
        }
    }

    /// Reads a chain of this size, for which there is memory, first from the VM at `address`; `None`
    /// if no VM sends it in time.
    async fn fetch_long(
        &self,
        chain_bytes: usize,
        address: Arc<str>,
        key: &TurnKey,
        deadline: Instant,
    ) -> Option<Bytes> {
        let mut addresses = self.vms.addresses(deadline).await;
        addresses.retain(|other| *other != address);
        addresses.insert(0, address);
        for address in addresses {
            // Half of the time is left for the others if this one does not answer.
            let left = deadline.saturating_duration_since(Instant::now());
            let limit = Instant::now() + left / 2;
            let fetched = timeout_at(limit, async {
                // Held until the answer is decoded.
                let _memory = self.memory.receive(chain_bytes).await;
                self.fetch_up_to(chain_bytes, &address, key, limit).await
            });
            if let Ok(Ok(Fetched::Chain(chain))) = fetched.await {
                return Some(chain);
            }
        }
        None
    }

    /// Asks one VM for the chain of a turn if it has up to `max_bytes`.
    async fn fetch_up_to(
        &self,
        max_bytes: usize,
        address: &Arc<str>,
        key: &TurnKey,
        deadline: Instant,
    ) -> Result<Fetched, FetchState> {
        let (account, id) = (key.account.clone(), key.id.clone());
        let max_bytes = u64::try_from(max_bytes).unwrap_or(u64::MAX);
        let fetch = |client: Arc<HttpClient>| async move {
            client.fetch(account, id, Some(max_bytes)).await
        };
        let answer = self.vms.request_until(PURPOSE, address, deadline, fetch);
        match answer.await {
            Some(FetchAnswer::Found(Content(chain))) => Ok(Fetched::Chain(chain)),
            Some(FetchAnswer::TooLarge { bytes }) => Ok(Fetched::TooLarge(
                usize::try_from(bytes).unwrap_or(usize::MAX),
            )),
            Some(FetchAnswer::Absent) => Err(FetchState::Absent),
            Some(FetchAnswer::Unknown) => Err(FetchState::MayHaveLost),
            None => Err(FetchState::NoAnswer),
        }
    }
}
