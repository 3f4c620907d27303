//! Copies turns to the VMs that are to hold them after one of them was lost, left or joined.
//!
//! Each VM asks the others what it is to hold, and then reads what it lacks of that from one of
//! them after the other, the nearest first. So a turn is sent once, whoever else holds it.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::ops::AddAssign;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use knapweeddale_core::StorageVm;
use knapweeddale_core::turns::{HolderSet, Offers, RejectedTurn, StoredTurn};
use tokio::time::{Instant, sleep};

use super::rpc::{AppendAnswer, Digests, OfferCursor, TurnRpcClient, WireOffers, WireTurn};
use super::source::{PAGE_TIMEOUT, Source, SourceOffers, connect};
use super::store::{AppendError, TurnStore};
use crate::storage::Members;
use crate::storage_clients::is_unknown_method;

/// Time limit for a VM to take over what this VM is the last to hold.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Turns that are handed over in one request.
const HAND_OVER_TURNS: usize = 64;

/// Turns that are asked for in one request.
const READ_TURNS: usize = 512;

/// Longest pause after a page of turns.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// How fast turns are copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// Pauses after each page for as long as the page took, so that callers' turns, claims and
    /// probes get half of the time.
    Background,
    /// Without pauses.
    Urgent,
}

impl Pace {
    /// Waits after a page that took this long.
    async fn pause(self, took: Duration) {
        if self == Self::Background {
            sleep(took.min(MAX_PAUSE)).await;
        }
    }
}

/// Turns that this VM has received as copies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CopyCounts {
    /// Turns, those included that it held already.
    pub turns: usize,
    /// Bytes of their contents.
    pub bytes: usize,
    /// Turns among them that it held already.
    pub duplicates: usize,
}

impl AddAssign for CopyCounts {
    fn add_assign(&mut self, other: Self) {
        self.turns += other.turns;
        self.bytes += other.bytes;
        self.duplicates += other.duplicates;
    }
}

/// Keeps the turns of this VM on enough VMs with a disk.
#[derive(Debug, Clone)]
pub(crate) struct TurnReplicator {
    store: Arc<TurnStore>,
    members: Arc<Members>,
    tolerated_losses: usize,
    /// Identifies this process, which numbers its turns.
    process: u64,
    /// Held while a page is read and stored, so that no turn is asked of two VMs.
    paging: Arc<tokio::sync::Mutex<()>>,
    /// What this process has received since its start.
    received: Arc<Mutex<CopyCounts>>,
}

/// # Construction
impl TurnReplicator {
    /// Creates the replicator of the turns in `store` among the `members`.
    pub fn new(store: Arc<TurnStore>, members: Arc<Members>, tolerated_losses: usize) -> Self {
        Self {
            store,
            members,
            tolerated_losses,
            process: RandomState::new().hash_one(()),
            paging: Arc::default(),
            received: Arc::default(),
        }
    }

    /// Returns what this process has received since its start.
    pub fn received(&self) -> CopyCounts {
        *self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the VMs that may hold turns; those at the `lost` addresses do not answer.
    fn holder_set(&self, lost: &[Arc<str>]) -> HolderSet {
        HolderSet::new(self.members.holder_vms(lost), self.tolerated_losses)
    }
}

/// # Requests of other VMs
impl TurnReplicator {
    /// Returns the digests of the turns that another VM is to hold, the youngest first.
    pub fn offers(&self, asking: &StorageVm, lost: &[Arc<str>]) -> Vec<u64> {
        self.members.learn(asking);
        let holders = self.holder_set(lost);
        let own = self.members.own_address();
        self.store.turns().offers(&holders, &asking.address, own)
    }

    /// Returns the turns that another VM is to hold, with the turns before them; only those since
    /// `cursor` that name it already.
    pub fn offered_chains(
        &self,
        asking: &StorageVm,
        lost: &[Arc<str>],
        cursor: Option<OfferCursor>,
    ) -> WireOffers {
        self.members.learn(asking);
        let cursor = cursor.filter(|cursor| cursor.process == self.process);
        let from_number = cursor.map_or(0, |cursor| cursor.next_number);
        let holders = self.holder_set(lost);
        let own = self.members.own_address();
        let turns = self.store.turns();
        let offers = turns.offered_chains(&holders, &asking.address, own, from_number);
        WireOffers::new(offers, self.process)
    }

    /// Names another VM as a holder of turns that it has copied.
    pub fn add_holder(&self, address: &Arc<str>, digests: Digests) {
        let digests = digests.0.into_iter().collect();
        let holders = self.holder_set(&[]);
        let mut turns = self.store.turns();
        turns.add_holder(&digests, address, &holders);
    }

    /// Copies what this VM is to hold when the asking VM has stopped; returns what it received.
    ///
    /// # Errors
    ///
    /// Fails if this VM stops as well, or if a turn could not be copied.
    pub async fn take_over(&self, leaving: &StorageVm) -> Result<CopyCounts, String> {
        if self.store.is_closed() {
            return Err("this VM stops as well".to_owned());
        }
        let mut lost = self.members.lost();
        lost.push(Arc::from(leaving.address.as_str()));
        let source = self.list(&leaving.address, lost).await?;
        self.copy(&source, Pace::Urgent).await
    }
}

/// # Copies for this VM
impl TurnReplicator {
    /// Asks another VM for what this VM is to hold.
    ///
    /// # Errors
    ///
    /// Fails if the other VM does not answer.
    pub async fn list(&self, address: &str, lost: Vec<Arc<str>>) -> Result<Source, String> {
        let cursor = self.members.cursor(address);
        let source = Source::list(address, self.members.own(), lost, cursor).await;
        source.map_err(as_text)
    }

    /// Copies the turns that this VM lacks of those that another one offers; returns what it
    /// received.
    ///
    /// # Errors
    ///
    /// Fails if the other VM does not answer or the turns cannot be stored.
    pub async fn copy(&self, source: &Source, pace: Pace) -> Result<CopyCounts, String> {
        match &source.offers {
            SourceOffers::Chains(offers, cursor) => {
                self.copy_chains(source, offers, *cursor, pace).await
            }
            SourceOffers::Digests(offers) => self.copy_whole_chains(source, offers, pace).await,
            SourceOffers::Unlisted => self.copy_unlisted(source, pace).await,
        }
    }

    /// Copies what this VM lacks of the offered chains.
    async fn copy_chains(
        &self,
        source: &Source,
        offers: &Offers,
        cursor: OfferCursor,
        pace: Pace,
    ) -> Result<CopyCounts, String> {
        let mut received = CopyCounts::default();
        let mut is_whole = true;
        // Turns that were read, or that have expired at the other VM.
        let mut done = HashSet::new();
        loop {
            let paging = self.paging.lock().await;
            let started = Instant::now();
            let wanted = self.lacking(offers, &done);
            if wanted.is_empty() {
                break;
            }
            let turns = source.client.read_turns(Digests(wanted.clone())).await;
            let mut turns = stored_turns(turns.map_err(as_text)?);
            turns.retain(|turn| wanted.contains(&turn.key.digest()));
            if turns.is_empty() {
                done.extend(wanted);
                continue;
            }
            done.extend(turns.iter().map(|turn| turn.key.digest()));
            let stored = self.store_copies(turns).await?;
            received += stored.received;
            is_whole &= stored.is_whole;
            drop(paging);
            pace.pause(started.elapsed()).await;
        }
        if pace == Pace::Background {
            self.announce(source, offers).await;
        }
        if !is_whole {
            return Err("not all copies could be stored".to_owned());
        }
        self.members.set_cursor(&source.address, cursor);
        Ok(received)
    }

    /// Returns the digests of turns that this VM lacks and that are not `done`, for one page.
    fn lacking(&self, offers: &Offers, done: &HashSet<u64>) -> Vec<u64> {
        if offers.chains.is_empty() {
            return Vec::new();
        }
        let mut held = self.store.turns().digests();
        held.extend(done);
        let mut lacking = offers.lacking(&held);
        lacking.truncate(READ_TURNS);
        lacking
    }

    /// Tells another VM which of its turns this VM holds without being named by them. Otherwise,
    /// it would choose further holders of them when the next VM is lost.
    async fn announce(&self, source: &Source, offers: &Offers) {
        if offers.unnamed.is_empty() {
            return;
        }
        let held = self.store.turns().digests();
        let unnamed = offers.unnamed.iter().copied();
        let held: Vec<u64> = unnamed.filter(|digest| held.contains(digest)).collect();
        if held.is_empty() {
            return;
        }
        let own = Arc::from(self.members.own_address());
        let (address, turns) = (&source.address, held.len());
        if let Err(error) = source.client.add_holder(own, Digests(held)).await {
            tracing::warn!(address, turns, "turns: not named as a holder ({error})");
        }
    }

    /// Copies turns from a VM of a build that sends each turn with its whole chain.
    async fn copy_whole_chains(
        &self,
        source: &Source,
        offers: &[u64],
        pace: Pace,
    ) -> Result<CopyCounts, String> {
        let mut received = CopyCounts::default();
        let mut done = HashSet::new();
        loop {
            let paging = self.paging.lock().await;
            let started = Instant::now();
            let held = self.store.turns().digests();
            let wanted = offers.iter().copied();
            let wanted = wanted.filter(|row| !held.contains(row) && !done.contains(row));
            let wanted: Vec<u64> = wanted.take(READ_TURNS).collect();
            if wanted.is_empty() {
                return Ok(received);
            }
            let turns = source.client.read(Digests(wanted.clone())).await;
            let turns = stored_turns(turns.map_err(as_text)?);
            let read: HashSet<u64> = turns.iter().map(|turn| turn.key.digest()).collect();
            if !wanted.iter().any(|digest| read.contains(digest)) {
                // They have expired since they were offered.
                done.extend(wanted);
                continue;
            }
            done.extend(read);
            received += self.store_copies(turns).await?.received;
            drop(paging);
            pace.pause(started.elapsed()).await;
        }
    }

    /// Copies turns from a VM of a build that cannot tell which of its turns are to be copied.
    async fn copy_unlisted(&self, source: &Source, pace: Pace) -> Result<CopyCounts, String> {
        let holders = self.holder_set(&source.lost);
        let own = self.members.own_address();
        let mut received = CopyCounts::default();
        for named in [own, &source.address] {
            let mut from = 0;
            loop {
                let paging = self.paging.lock().await;
                let started = Instant::now();
                let page = source.client.copies(named.to_owned(), from).await;
                let page = page.map_err(as_text)?;
                let turns = select_own(stored_turns(page.turns), &holders, own);
                received += self.store_copies(turns).await?.received;
                drop(paging);
                pace.pause(started.elapsed()).await;
                match page.next {
                    Some(next) if next > from => from = next,
                    _ => break,
                }
            }
        }
        Ok(received)
    }

    /// Stores turns of another VM, each after the one it goes on from, and names this VM as one of
    /// their holders.
    async fn store_copies(&self, mut turns: Vec<StoredTurn>) -> Result<StoredCopies, String> {
        let own: Arc<str> = Arc::from(self.members.own_address());
        let holders = self.holder_set(&[]);
        for turn in &mut turns {
            holders.add_named(&mut turn.copies, &own);
        }
        let mut copies = StoredCopies {
            received: self.count_received(&turns),
            is_whole: true,
        };
        match self.store.append_copies(turns.clone()).await {
            Ok(()) => return Ok(copies),
            Err(AppendError::Rejected(_)) => {}
            Err(error) => return Err(error.to_string()),
        }
        // One of them cannot be stored; another VM may have it with its whole chain.
        for turn in turns {
            match self.store.append_copies(vec![turn]).await {
                Ok(()) => {}
                Err(AppendError::Rejected(error)) => {
                    // Another turn with the same ID stays one however often it is copied.
                    copies.is_whole &= error == RejectedTurn::Conflict;
                    tracing::warn!("turns: copy skipped ({error})");
                }
                Err(error) => return Err(error.to_string()),
            }
        }
        Ok(copies)
    }
}

/// Copies that were received and are stored.
#[derive(Debug)]
struct StoredCopies {
    received: CopyCounts,
    /// Whether none of them has to be copied again.
    is_whole: bool,
}

/// # Counts
impl TurnReplicator {
    /// Counts turns that were received and are not stored yet.
    fn count_received(&self, turns: &[StoredTurn]) -> CopyCounts {
        let duplicates = {
            let table = self.store.turns();
            let held = turns.iter().filter(|turn| table.contains(&turn.key));
            held.count()
        };
        let counts = CopyCounts {
            turns: turns.len(),
            bytes: turns.iter().map(|turn| turn.content.len()).sum(),
            duplicates,
        };
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        *received += counts;
        counts
    }
}

/// # Turns of this VM
impl TurnReplicator {
    /// Has the VM at `address` copy what it is to hold when this VM has stopped; returns how many
    /// turns it has copied.
    ///
    /// # Errors
    ///
    /// Fails if the other VM does not answer or cannot store all of them.
    pub async fn hand_over_to(&self, address: &str) -> Result<usize, String> {
        let client = connect(address, TAKE_OVER_TIMEOUT).map_err(|error| error.to_string())?;
        match client.take_over(self.members.own().clone()).await {
            Ok(turns) => Ok(turns),
            Err(error) if is_unknown_method(&error) => self.send_all(address).await,
            Err(error) => Err(error.to_string()),
        }
    }

    /// Sends all turns of this VM to a VM of a build that does not copy them by itself.
    async fn send_all(&self, address: &str) -> Result<usize, String> {
        let client = connect(address, PAGE_TIMEOUT).map_err(|error| error.to_string())?;
        let turns = self.store.turns().all();
        for part in turns.chunks(HAND_OVER_TURNS) {
            let part = part.iter().map(WireTurn::from).collect();
            match client.append(part).await {
                Ok(AppendAnswer::Stored) => {}
                Ok(AppendAnswer::LacksPrevious) => {
                    return Err("a turn lacks the one before it".to_owned());
                }
                Err(error) => return Err(error.to_string()),
            }
        }
        Ok(turns.len())
    }
}

/// Returns the turns of a page that the VM at `own` is to hold, with the turns before them.
fn select_own(mut turns: Vec<StoredTurn>, holders: &HolderSet, own: &str) -> Vec<StoredTurn> {
    let mut wanted = HashSet::new();
    for turn in turns.iter().rev() {
        let mut holders = holders.holders_of(turn, own).into_iter();
        if wanted.contains(&turn.key) || holders.any(|holder| *holder == *own) {
            wanted.insert(turn.key.clone());
            wanted.extend(turn.previous_key());
        }
    }
    turns.retain(|turn| wanted.contains(&turn.key));
    turns
}

/// Converts the turns of an answer.
fn stored_turns(turns: Vec<WireTurn>) -> Vec<StoredTurn> {
    turns.into_iter().map(StoredTurn::from).collect()
}

/// Returns the text of a failed request.
fn as_text(error: ClientError) -> String {
    error.to_string()
}
