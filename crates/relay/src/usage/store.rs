//! The claims on budgets on the disk of a storage VM.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use knapweeddale_core::ProgramKey;
use knapweeddale_core::usage::{ProgramClaims, UsageClaim, UsageTable};
use knapweeddale_log::LogError;
use knapweeddale_runtime::{BootClock, Clock};
use serde::{Deserialize, Serialize};
use tokio::task::spawn_blocking;

use crate::memory::StorageMemoryPlan;
use crate::synced_log::SyncedLog;

/// A record of the log: all claims on a budget, which replace those of earlier records.
#[derive(Debug, Serialize, Deserialize)]
struct UsageRecord {
    program: ProgramKey,
    claims: ProgramClaims,
}

/// Part of the records in a segment that are replaced by later ones for them to be removed from it:
/// all but one in this number.
const KEPT_DIVISOR: usize = 4;

/// Records of a segment with which it is not written again, since that would free too little.
const SMALL_SEGMENT_RECORDS: usize = 1_024;

/// Time for which a segment with unknown records is kept, as long as claims are.
const UNKNOWN_RETENTION_US: u64 = 300_000_000;

/// The claims that a storage VM holds.
#[derive(Debug)]
pub(crate) struct UsageStore {
    table: Mutex<UsageTable>,
    log: Arc<SyncedLog>,
    segments: Mutex<Segments>,
    clock: BootClock,
}

/// A log segment on the disk.
#[derive(Debug, Default)]
struct Segment {
    records: usize,
    /// Time until which it is kept whatever it holds.
    kept_until_us: u64,
}

/// The log segments on the disk.
#[derive(Debug, Default)]
struct Segments {
    rows: BTreeMap<u64, Segment>,
    /// Segments that were not the last one when they were last checked.
    closed: BTreeSet<u64>,
}

/// # Claims
impl UsageStore {
    /// Opens the claims in a folder, creating it if needed.
    ///
    /// Claims of before the start are kept as if they had just been made, since the clock of an
    /// earlier process cannot be compared.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub fn open(folder: &Path, memory: StorageMemoryPlan) -> Result<Self, LogError> {
        let clock = BootClock;
        let now_us = clock.now_us();
        let mut table = UsageTable::new(memory.claim_bytes);
        let mut segments = Segments::default();
        let (log, _) = SyncedLog::open(folder, |segment, payload| {
            let row = segments.rows.entry(segment.0).or_default();
            row.records += 1;
            match postcard::from_bytes::<UsageRecord>(payload) {
                Ok(record) => {
                    table.restore(&record.program, record.claims, now_us);
                    table.set_segment(&record.program, segment.0);
                }
                Err(error) => {
                    row.kept_until_us = now_us + UNKNOWN_RETENTION_US;
                    tracing::error!("usage: record cannot be decoded ({error})");
                }
            }
        })?;
        let (programs, bytes) = (table.len(), table.bytes());
        tracing::info!(programs, bytes, "usage: folder opened");
        Ok(Self {
            table: Mutex::new(table),
            log: Arc::new(log),
            segments: Mutex::new(segments),
            clock,
        })
    }

    /// Records a claim and returns once it is on the disk: whether its turn is granted, and all
    /// claims on the budget.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for a new program, or if the disk cannot be written; then the claim
    /// counts nevertheless.
    pub async fn record(
        &self,
        claim: &UsageClaim,
        is_decided: bool,
    ) -> Result<(bool, ProgramClaims), String> {
        let (is_granted, claims, written) = {
            let mut table = lock(&self.table);
            if !table.has_room(&claim.program) {
                return Err("the memory for claims is used up".to_owned());
            }
            let (is_granted, claims) = table.record(claim, is_decided, self.clock.now_us());
            // Queued while the table is locked, so that the last record has the last claims.
            let payload = encode(claim.program.clone(), claims.clone())?;
            (is_granted, claims, self.log.write(vec![payload]))
        };
        let segment = written.await?.0;
        lock(&self.table).set_segment(&claim.program, segment);
        lock(&self.segments)
            .rows
            .entry(segment)
            .or_default()
            .records += 1;
        Ok((is_granted, claims))
    }
}

/// # Disk
impl UsageStore {
    /// Removes programs that were not used for long, and segments that hold no last record of a
    /// program; writes one segment again without its many replaced records.
    pub async fn expire(self: &Arc<Self>) {
        let now_us = self.clock.now_us();
        let (unused, sparse) = {
            let mut table = lock(&self.table);
            table.expire(now_us);
            lock(&self.segments).check(&table, now_us)
        };
        if !unused.is_empty() {
            let store = Arc::clone(self);
            let task = spawn_blocking(move || store.remove_segments(unused));
            if let Err(error) = task.await {
                tracing::error!("usage: segments not removed ({error})");
            }
        }
        if let Some(segment) = sparse
            && let Err(error) = self.rewrite(segment).await
        {
            tracing::warn!(segment, "usage: segment not rewritten ({error})");
        }
    }

    /// Removes segments; those that are not removable are tried again later.
    fn remove_segments(&self, unused: Vec<u64>) {
        let left = self.log.remove(unused.clone(), |_| false);
        let mut segments = lock(&self.segments);
        for segment in unused.iter().filter(|segment| !left.contains(segment)) {
            segments.rows.remove(segment);
        }
    }

    /// Writes a segment again with the last records of its programs only.
    async fn rewrite(&self, segment: u64) -> Result<(), String> {
        let rows = lock(&self.table).claims_in(segment);
        let records = rows.len();
        let payloads = rows.into_iter();
        let payloads: Result<Vec<_>, _> = payloads
            .map(|(program, claims)| encode(program, claims))
            .collect();
        if self.log.replace(segment, payloads?).await?
            && let Some(row) = lock(&self.segments).rows.get_mut(&segment)
        {
            row.records = records;
        }
        Ok(())
    }
}

impl Segments {
    /// Returns the segments that can be removed, and the first one with many replaced records.
    ///
    /// The last segment may still be written, and the last records of the one before it may not be
    /// noted in the table yet when it has just been closed.
    fn check(&mut self, table: &UsageTable, now_us: u64) -> (Vec<u64>, Option<u64>) {
        let last = self.rows.last_key_value().map(|(segment, _)| *segment);
        let closed = self.rows.keys().copied();
        let closed = closed.filter(|segment| Some(*segment) != last).collect();
        let closed_before = std::mem::replace(&mut self.closed, closed);
        let (mut unused, mut sparse) = (Vec::new(), None);
        for (segment, row) in &self.rows {
            if !closed_before.contains(segment) || row.kept_until_us > now_us {
                continue;
            }
            let kept = table.programs_in(*segment);
            if kept == 0 {
                unused.push(*segment);
            } else if row.records > SMALL_SEGMENT_RECORDS && kept * KEPT_DIVISOR <= row.records {
                sparse = sparse.or(Some(*segment));
            }
        }
        (unused, sparse)
    }
}

/// Encodes a record.
fn encode(program: ProgramKey, claims: ProgramClaims) -> Result<Vec<u8>, String> {
    let payload = postcard::to_allocvec(&UsageRecord { program, claims });
    payload.map_err(|error| error.to_string())
}

/// Locks a mutex; a panic while it was held leaves its content usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
