//! The kept turns on the disk of a VM.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error, From};
use knapweeddale_core::turns::{RejectedTurn, StoredTurn, StoredTurns, TurnAnswer, TurnKey};
use knapweeddale_log::{LogError, SegmentId};
use knapweeddale_runtime::{BootClock, Clock};
use tokio::sync::RwLock;
use tokio::task::spawn_blocking;

use crate::memory::StorageMemoryPlan;
use crate::synced_log::SyncedLog;

/// Name of the file that shows that the disk has lost no turn.
const COMPLETE_FILE: &str = "complete";

/// Why turns were not stored.
#[derive(Debug, Display, Error, From)]
pub(crate) enum AppendError {
    /// A turn cannot be stored.
    #[display("{_0}")]
    Rejected(RejectedTurn),
    /// This VM stops.
    #[display("this VM stops")]
    #[from(ignore)]
    Closed,
    /// The disk could not be written.
    #[display("the turns could not be written to the disk ({reason})")]
    #[from(ignore)]
    NotWritten {
        /// What failed.
        reason: String,
    },
}

/// The turns of a VM with a disk.
#[derive(Debug)]
pub(crate) struct TurnStore {
    turns: Mutex<StoredTurns>,
    memory: StorageMemoryPlan,
    log: Arc<SyncedLog>,
    /// Segments without kept turns that are not removed yet.
    unused: Mutex<Vec<u64>>,
    /// Whether the disk holds every turn that was ever stored on it.
    is_complete: AtomicBool,
    /// Whether turns of callers are refused, since this VM stops.
    is_closed: AtomicBool,
    /// Held for reading while turns of callers are stored.
    appending: RwLock<()>,
    folder: PathBuf,
    clock: BootClock,
}

/// # Start
impl TurnStore {
    /// Opens the turns in a folder, creating it if needed.
    ///
    /// A folder without its marker was lost, unless the whole system starts for the first time.
    /// Turns that were stored before the start are kept as if they had just ended, since the
    /// clock of an earlier process cannot be compared.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub fn open(
        folder: &Path,
        is_first_start: bool,
        memory: StorageMemoryPlan,
    ) -> Result<Self, LogError> {
        let clock = BootClock;
        let mut turns = StoredTurns::new(memory.turn_bytes);
        let mut segments = BTreeSet::new();
        let (log, torn) = SyncedLog::open(folder, |segment, payload| {
            segments.insert(segment.0);
            match postcard::from_bytes::<StoredTurn>(payload) {
                Ok(turn) => turns.insert(turn, segment.0, clock.now_us()),
                Err(error) => tracing::error!("turns: record cannot be decoded ({error})"),
            }
        })?;
        for torn in &torn {
            let segment = torn.segment.0;
            tracing::warn!(segment, lost_bytes = torn.lost_bytes, "turns: segment torn");
        }
        let is_complete = is_first_start || folder.join(COMPLETE_FILE).exists();
        let (count, bytes) = (turns.len(), turns.bytes());
        tracing::info!(turns = count, bytes, is_complete, "turns: folder opened");
        segments.retain(|segment| !turns.uses_segment(*segment));
        let store = Self {
            turns: Mutex::new(turns),
            memory,
            log: Arc::new(log),
            unused: Mutex::new(segments.into_iter().collect()),
            is_complete: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            appending: RwLock::default(),
            folder: folder.to_owned(),
            clock,
        };
        if is_complete {
            store.mark_complete()?;
        }
        Ok(store)
    }

    /// Records that the disk holds every turn of which it had a copy.
    ///
    /// # Errors
    ///
    /// Fails if the marker cannot be written.
    pub fn mark_complete(&self) -> Result<(), LogError> {
        let path = self.folder.join(COMPLETE_FILE);
        let written = fs::File::create(&path)
            .and_then(|file| file.sync_all())
            .and_then(|()| fs::File::open(&self.folder)?.sync_all());
        written.map_err(|source| LogError::Io { path, source })?;
        self.is_complete.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Returns whether the disk holds every turn of which it had a copy.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }
}

/// # Turns
impl TurnStore {
    /// Refuses turns of callers from now on, and returns once those that have arrived are stored.
    pub async fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        drop(self.appending.write().await);
    }

    /// Returns whether turns of callers are refused.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Stores turns of callers, each after the one it goes on from, and returns once they are on
    /// the disk.
    ///
    /// # Errors
    ///
    /// Fails if this VM stops, if a turn cannot be stored or the disk cannot be written.
    pub async fn append(self: &Arc<Self>, turns: Vec<StoredTurn>) -> Result<(), AppendError> {
        let _appending = self.appending.read().await;
        if self.is_closed() {
            return Err(AppendError::Closed);
        }
        if self.turns().reserved_bytes() > self.memory.write_bytes {
            return Err(AppendError::Rejected(RejectedTurn::Full));
        }
        self.append_all(turns).await
    }

    /// Stores copies of turns that another VM holds, as [`Self::append`] does, also while this VM
    /// stops.
    ///
    /// # Errors
    ///
    /// Fails if a turn cannot be stored or the disk cannot be written.
    pub async fn append_copies(
        self: &Arc<Self>,
        turns: Vec<StoredTurn>,
    ) -> Result<(), AppendError> {
        self.append_all(turns).await
    }

    /// Stores turns, each after the one it goes on from, and returns once they are on the disk.
    async fn append_all(self: &Arc<Self>, turns: Vec<StoredTurn>) -> Result<(), AppendError> {
        let mut new: Vec<StoredTurn> = Vec::with_capacity(turns.len());
        let mut known = Vec::new();
        let _reserved = {
            let mut table = self.turns();
            for turn in turns {
                if table.check(&turn, &new)? {
                    new.push(turn);
                } else {
                    known.push(turn);
                }
            }
            ReservedRoom::new(self, &mut table, &new)
        };
        let segment = if new.is_empty() {
            SegmentId(0)
        } else {
            self.write(&new).await?
        };
        let now_us = self.clock.now_us();
        let mut table = self.turns();
        for turn in known.into_iter().chain(new) {
            table.insert(turn, segment.0, now_us);
        }
        Ok(())
    }

    /// Returns the content of a turn's chain, if it is stored, and what its absence means.
    pub fn find(&self, key: &TurnKey) -> (TurnAnswer, Vec<Arc<[u8]>>) {
        match self.turns().chain(key) {
            Some(contents) => (TurnAnswer::Found, contents),
            None if self.is_complete() => (TurnAnswer::Absent, Vec::new()),
            None => (TurnAnswer::Unknown, Vec::new()),
        }
    }

    /// Returns the table of turns.
    pub fn turns(&self) -> MutexGuard<'_, StoredTurns> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Room for turns that are being written to the disk.
///
/// It ends with the request, also if its sender has closed the connection meanwhile.
struct ReservedRoom<'a> {
    store: &'a TurnStore,
    bytes: usize,
}

impl<'a> ReservedRoom<'a> {
    /// Reserves room for turns in the table of the store.
    fn new(store: &'a TurnStore, table: &mut StoredTurns, turns: &[StoredTurn]) -> Self {
        let bytes = turns.iter().map(StoredTurn::memory_bytes).sum();
        table.reserve(bytes);
        Self { store, bytes }
    }
}

impl Drop for ReservedRoom<'_> {
    fn drop(&mut self) {
        self.store.turns().release(self.bytes);
    }
}

/// # Disk
impl TurnStore {
    /// Writes turns to the log.
    async fn write(&self, turns: &[StoredTurn]) -> Result<SegmentId, AppendError> {
        let failed = |reason: String| AppendError::NotWritten { reason };
        let payloads = encode(turns).map_err(failed)?;
        self.log.write(payloads).await.map_err(failed)
    }

    /// Removes expired turns, and the segments that hold none any more; writes one segment again
    /// without its expired turns if those of all segments would fill the memory after a start.
    pub async fn expire(self: &Arc<Self>) {
        let expired = self.turns().expire(self.clock.now_us());
        if let Err(error) = self.rewrite().await {
            tracing::warn!("turns: segment not rewritten ({error})");
        }
        let mut segments = std::mem::take(&mut *lock(&self.unused));
        segments.extend(expired);
        if segments.is_empty() {
            return;
        }
        let store = Arc::clone(self);
        let task = spawn_blocking(move || store.remove_segments(segments));
        if let Err(error) = task.await {
            tracing::error!("turns: segments not removed ({error})");
        }
    }

    /// Writes a segment again without its expired turns, if there is one with many.
    async fn rewrite(&self) -> Result<(), String> {
        let sparse = self.turns().sparse_segment();
        let Some((segment, turns)) = sparse else {
            return Ok(());
        };
        if self.log.replace(segment, encode(&turns)?).await? {
            self.turns().set_rewritten(segment, &turns);
        }
        Ok(())
    }

    /// Removes segments; those in use or not removable are tried again later.
    fn remove_segments(&self, segments: Vec<u64>) {
        let is_used = |segment| self.turns().uses_segment(segment);
        let left = self.log.remove(segments, is_used);
        lock(&self.unused).extend(left);
    }
}

/// Encodes turns as records.
fn encode(turns: &[StoredTurn]) -> Result<Vec<Vec<u8>>, String> {
    let payloads: Result<Vec<_>, _> = turns.iter().map(postcard::to_allocvec).collect();
    payloads.map_err(|error| error.to_string())
}

/// Locks a mutex; a panic while it was held leaves its content usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
