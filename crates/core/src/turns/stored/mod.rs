//! The turns on the disk of a VM.

mod copies;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Holders;
use super::names::SharedNames;
use super::segments::Segments;
use crate::ids::{AccountName, TurnId};
use crate::tables::{Table, hash_name};
use derive_more::{Display, Error};

/// Turns in a chain that a lookup follows; more can only be a loop.
const MAX_CHAIN_TURNS: usize = 10_000;

/// Memory of a stored turn besides its content, in bytes: its row and the spare room of a growing
/// table, its places in the indexes, its ID and the headers of its allocations.
const ROW_BYTES: usize = 640;

/// Memory of each holder beyond those for which a row has room, in bytes.
const HOLDER_BYTES: usize = 2 * size_of::<Arc<str>>();

/// Identifies a turn: callers choose its ID, so that it counts within their account only.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TurnKey {
    /// The account of the turn; `None` on routes that need no key.
    pub account: Option<AccountName>,
    /// The caller's ID of the turn.
    pub id: TurnId,
}

impl TurnKey {
    /// Returns a digest by which VMs compare what they store.
    ///
    /// It is sent between builds, so that it must not change.
    pub fn digest(&self) -> u64 {
        let account = self.account.as_ref().map_or("", AccountName::as_str);
        hash_name(self.id.as_str(), hash_name(account, 0))
    }
}

/// A turn that was answered completely.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct StoredTurn {
    /// Which turn it is.
    pub key: TurnKey,
    /// The turn before it; `None` if the content begins the chain.
    pub previous: Option<TurnId>,
    /// What it adds to the prompt of the next turn: its input and its output.
    #[cfg_attr(feature = "serde", serde(with = "super::content"))]
    pub content: Arc<[u8]>,
    /// How long it is kept after its end, together with its chain.
    pub retention_ms: u64,
    /// Addresses of the VMs that were to get a copy, at first or later.
    pub copies: Holders,
}

impl StoredTurn {
    /// Returns the memory that the turn takes in a table of stored turns, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let spilled = self.copies.len().saturating_sub(self.copies.inline_size());
        ROW_BYTES + self.key.id.as_str().len() + self.content.len() + spilled * HOLDER_BYTES
    }

    /// Returns the key of the turn before it.
    pub fn previous_key(&self) -> Option<TurnKey> {
        let id = self.previous.clone()?;
        let account = self.key.account.clone();
        Some(TurnKey { account, id })
    }
}

/// Why a turn is not stored.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum RejectedTurn {
    /// The turn before it is not stored here; send that one with its whole chain first.
    #[display("the turn before it is not stored here")]
    LacksPrevious,
    /// Another turn with the same ID is stored.
    #[display("another turn has the same ID")]
    Conflict,
    /// The memory for turns is used up.
    #[display("the memory for turns is used up")]
    Full,
}

/// A stored turn with its place on the disk.
#[derive(Debug, Clone)]
struct Row {
    turn: StoredTurn,
    /// Position in the order in which turns were stored.
    number: u64,
    /// Number of the log segment that holds it.
    segment: u64,
    keep_until_us: u64,
}

/// The turns that a VM with a disk holds, each with its whole chain.
#[derive(Debug, Default)]
pub struct StoredTurns {
    rows: Table<TurnKey, Row>,
    /// Turns in the order in which they were stored, so that a turn follows the one before it.
    order: BTreeMap<u64, TurnKey>,
    /// Positions of the turns by the time until which they are kept.
    expiry: BTreeSet<(u64, u64)>,
    names: SharedNames,
    segments: Segments,
    next_number: u64,
    /// Memory of all turns in bytes.
    bytes: usize,
    /// Memory of the turns that are being written to the disk, in bytes.
    reserved_bytes: usize,
    max_bytes: usize,
}

impl StoredTurns {
    /// Creates an empty table that accepts turns while all of them take up to `max_bytes` of memory.
    ///
    /// Turns that are on the disk already are held beyond that.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            ..Self::default()
        }
    }

    /// Returns the number of turns.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no turn is stored.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether a turn is stored.
    pub fn contains(&self, key: &TurnKey) -> bool {
        self.rows.contains_key(key)
    }

    /// Returns the memory of all turns in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the memory of the turns that are being written to the disk, in bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Keeps room for turns of this size until they are inserted, or are known not to be.
    pub fn reserve(&mut self, bytes: usize) {
        self.reserved_bytes += bytes;
    }

    /// Releases room that was reserved.
    pub fn release(&mut self, bytes: usize) {
        self.reserved_bytes = self.reserved_bytes.saturating_sub(bytes);
    }

    /// Checks whether a turn can be stored; returns `false` if it is stored already.
    ///
    /// `batch` holds turns that will be stored before it.
    ///
    /// # Errors
    ///
    /// Fails if the turn before it is missing, if another turn has the same ID or if there is no
    /// room.
    pub fn check(&self, turn: &StoredTurn, batch: &[StoredTurn]) -> Result<bool, RejectedTurn> {
        if let Some(row) = self.rows.get(&turn.key) {
            return match is_same(&row.turn, turn) {
                true => Ok(false),
                false => Err(RejectedTurn::Conflict),
            };
        }
        let is_known = |key: &TurnKey| {
            self.rows.contains_key(key) || batch.iter().any(|turn| turn.key == *key)
        };
        if turn.previous_key().is_some_and(|key| !is_known(&key)) {
            return Err(RejectedTurn::LacksPrevious);
        }
        let batch_bytes: usize = batch.iter().map(StoredTurn::memory_bytes).sum();
        let used_bytes = self.bytes + self.reserved_bytes + batch_bytes;
        if used_bytes + turn.memory_bytes() > self.max_bytes {
            return Err(RejectedTurn::Full);
        }
        Ok(true)
    }

    /// Stores a turn that is on the disk, and keeps its chain as long as the turn itself.
    ///
    /// A turn that is stored already is only kept for longer.
    pub fn insert(&mut self, mut turn: StoredTurn, segment: u64, now_us: u64) {
        let keep_until_us = now_us + turn.retention_ms * 1_000;
        self.share_names(&mut turn);
        let key = turn.key.clone();
        if !self.rows.contains_key(&key) {
            self.bytes += turn.memory_bytes();
            self.segments.add(segment, turn.memory_bytes());
            let number = self.next_number;
            self.next_number += 1;
            self.order.insert(number, key.clone());
            let row = Row {
                turn,
                number,
                segment,
                keep_until_us: 0,
            };
            self.rows.insert(key.clone(), row);
        }
        self.keep_chain(key, keep_until_us);
    }

    /// Replaces the names in a turn by the same ones of other turns, so that each is held once.
    fn share_names(&mut self, turn: &mut StoredTurn) {
        self.names.share(turn);
        let previous = turn.previous_key().and_then(|key| self.rows.get(&key));
        if let Some(row) = previous {
            turn.previous = Some(row.turn.key.id.clone());
        }
    }

    /// Keeps a turn and all turns before it at least until the given time.
    fn keep_chain(&mut self, key: TurnKey, keep_until_us: u64) {
        let mut next = Some(key);
        for _ in 0..MAX_CHAIN_TURNS {
            let Some(key) = next.take() else {
                return;
            };
            let Some(row) = self.rows.get_mut(&key) else {
                return;
            };
            // A turn is never kept for longer than the ones before it.
            if row.keep_until_us >= keep_until_us {
                return;
            }
            self.expiry.remove(&(row.keep_until_us, row.number));
            row.keep_until_us = keep_until_us;
            next = row.turn.previous_key();
            self.expiry.insert((keep_until_us, row.number));
        }
    }

    /// Returns the contents of a turn's chain, the oldest first; `None` if it is not stored.
    pub fn chain(&self, key: &TurnKey) -> Option<Vec<Arc<[u8]>>> {
        let mut contents = Vec::new();
        let mut next = Some(key.clone());
        while let Some(key) = next {
            let row = self.rows.get(&key)?;
            if contents.len() == MAX_CHAIN_TURNS {
                return None;
            }
            contents.push(Arc::clone(&row.turn.content));
            next = row.turn.previous_key();
        }
        contents.reverse();
        Some(contents)
    }

    /// Removes the turns that are no longer kept; returns the log segments that hold none any more.
    pub fn expire(&mut self, now_us: u64) -> Vec<u64> {
        let mut unused = Vec::new();
        while let Some((due_us, _)) = self.expiry.first()
            && *due_us <= now_us
        {
            let Some((_, number)) = self.expiry.pop_first() else {
                break;
            };
            let key = self.order.remove(&number);
            let Some(row) = key.and_then(|key| self.rows.remove(&key)) else {
                continue;
            };
            self.bytes -= row.turn.memory_bytes();
            let is_unused = self.segments.remove(row.segment, row.turn.memory_bytes());
            unused.extend(is_unused.then_some(row.segment));
        }
        unused
    }

    /// Returns whether a log segment holds a turn that is kept.
    pub fn uses_segment(&self, segment: u64) -> bool {
        self.segments.is_used(segment)
    }
}

/// # Segments with expired turns
impl StoredTurns {
    /// Returns a segment that is to be written again without its many expired turns, and the kept
    /// ones, in their order.
    ///
    /// A start takes all turns on the disk for kept ones, so that they have to fit into the memory.
    /// Returns none while a turn is being written: the segment may be the one that gets it.
    pub fn sparse_segment(&self) -> Option<(u64, Vec<StoredTurn>)> {
        if self.reserved_bytes > 0 || self.segments.bytes() <= self.max_bytes {
            return None;
        }
        let segment = self.segments.sparsest()?;
        let rows = self.order.values().filter_map(|key| self.rows.get(key));
        let kept = rows.filter(|row| row.segment == segment);
        Some((segment, kept.map(|row| row.turn.clone()).collect()))
    }

    /// Notes that a segment was written again with these turns only.
    pub fn set_rewritten(&mut self, segment: u64, turns: &[StoredTurn]) {
        let bytes = turns.iter().map(StoredTurn::memory_bytes).sum();
        self.segments.set_bytes(segment, bytes);
    }
}

/// Returns whether a turn is the stored one; it may begin at another turn of the same chain.
fn is_same(stored: &StoredTurn, turn: &StoredTurn) -> bool {
    match (&stored.previous, &turn.previous) {
        // One of them has the contents of the turns before it in its own.
        (None, Some(_)) => stored.content.ends_with(&turn.content),
        (Some(_), None) => turn.content.ends_with(&stored.content),
        (a, b) => a == b && stored.content == turn.content,
    }
}
