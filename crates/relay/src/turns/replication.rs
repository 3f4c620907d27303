//! Copies turns to the VMs that are to hold them after one of them was lost, left or joined.
//!
//! Each VM asks the others for what it is to hold and lacks. So a turn is sent once, whoever else
//! holds it, and a VM that answers nothing holds up nobody but itself.

use std::collections::HashSet;
use std::ops::AddAssign;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::StorageVm;
use knapweeddale_core::turns::{HolderSet, StoredTurn};

use super::rpc::{AppendAnswer, Digests, TurnRpcClient, WireTurn};
use super::store::{AppendError, TurnStore};
use crate::storage::Members;
use crate::storage_clients::is_unknown_method;

/// Time limit for one page of turns.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for a VM to take over what this VM is the last to hold.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Turns that are handed over in one request.
const HAND_OVER_TURNS: usize = 64;

/// Turns that are asked for in one request.
const READ_TURNS: usize = 512;

/// Most VMs that a copied turn names as its holders.
const MAX_NAMED_HOLDERS: usize = 8;

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

    /// Copies what this VM is to hold when the asking VM has stopped; returns how many turns.
    ///
    /// # Errors
    ///
    /// Fails if this VM stops as well, or if a turn could not be copied.
    pub async fn take_over(&self, leaving: &StorageVm) -> Result<usize, String> {
        if self.store.is_closed() {
            return Err("this VM stops as well".to_owned());
        }
        let mut lost = self.members.lost();
        lost.push(Arc::from(leaving.address.as_str()));
        self.copy_from(&leaving.address, &lost).await
    }
}

/// # Copies for this VM
impl TurnReplicator {
    /// Copies the turns that this VM is to hold and lacks from another VM; returns how many.
    ///
    /// # Errors
    ///
    /// Fails if the other VM does not answer or the turns cannot be stored.
    pub async fn copy_from(&self, address: &str, lost: &[Arc<str>]) -> Result<usize, String> {
        let client = connect(address, PAGE_TIMEOUT).map_err(|error| error.to_string())?;
        let own = self.members.own().clone();
        let offers = match client.offers(own, lost.to_vec()).await {
            Ok(Digests(offers)) => offers,
            Err(error) if is_unknown_method(&error) => {
                return self.copy_from_earlier_build(&client, address, lost).await;
            }
            Err(error) => return Err(error.to_string()),
        };
        let mut held = self.store.turns().digests();
        let mut copied = 0;
        let mut offers = offers.as_slice();
        while !offers.is_empty() {
            let wanted: Vec<u64> = offers
                .iter()
                .copied()
                .filter(|digest| !held.contains(digest))
                .take(READ_TURNS)
                .collect();
            if wanted.is_empty() {
                break;
            }
            let read = client.read(Digests(wanted)).await;
            let turns = read.map_err(|error| error.to_string())?;
            if turns.is_empty() {
                // They have expired since they were offered.
                break;
            }
            let turns: Vec<StoredTurn> = turns.into_iter().map(StoredTurn::from).collect();
            held.extend(turns.iter().map(|turn| turn.key.digest()));
            copied += self.store_copies(turns).await?;
            let first_lacking = offers.iter().position(|digest| !held.contains(digest));
            offers = first_lacking.map_or(&[], |at| &offers[at..]);
        }
        Ok(copied)
    }

    /// Copies turns from a VM of a build that cannot tell which of its turns are to be copied.
    async fn copy_from_earlier_build(
        &self,
        client: &HttpClient,
        address: &str,
        lost: &[Arc<str>],
    ) -> Result<usize, String> {
        let holders = self.holder_set(lost);
        let own = self.members.own_address();
        let mut copied = 0;
        for named in [own, address] {
            let mut from = 0;
            loop {
                let page = client.copies(named.to_owned(), from).await;
                let page = page.map_err(|error| error.to_string())?;
                let turns = page.turns.into_iter().map(StoredTurn::from).collect();
                let turns = select_own(turns, &holders, own);
                copied += self.store_copies(turns).await?;
                match page.next {
                    Some(next) if next > from => from = next,
                    _ => break,
                }
            }
        }
        Ok(copied)
    }

    /// Stores turns of another VM, each after the one it goes on from, and names this VM as one of
    /// their holders; returns how many are stored.
    async fn store_copies(&self, mut turns: Vec<StoredTurn>) -> Result<usize, String> {
        self.count_received(&turns);
        let own: Arc<str> = Arc::from(self.members.own_address());
        for turn in &mut turns {
            if !turn.copies.contains(&own) && turn.copies.len() < MAX_NAMED_HOLDERS {
                turn.copies.push(Arc::clone(&own));
            }
        }
        match self.store.append_copies(turns.clone()).await {
            Ok(()) => return Ok(turns.len()),
            Err(AppendError::Rejected(_)) => {}
            Err(error) => return Err(error.to_string()),
        }
        // One of them cannot be stored; another VM may have it with its whole chain.
        let mut stored = 0;
        for turn in turns {
            match self.store.append_copies(vec![turn]).await {
                Ok(()) => stored += 1,
                Err(AppendError::Rejected(error)) => {
                    tracing::warn!("turns: copy skipped ({error})");
                }
                Err(error) => return Err(error.to_string()),
            }
        }
        Ok(stored)
    }
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

/// Creates a client of the VM at `address`.
fn connect(address: &str, limit: Duration) -> Result<HttpClient, ClientError> {
    HttpClient::builder()
        .request_timeout(limit)
        .build(format!("http://{address}"))
}
