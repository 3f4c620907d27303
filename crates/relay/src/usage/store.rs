//! The claims on budgets on the disk of a storage VM.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use knapweeddale_core::ProgramKey;
use knapweeddale_core::usage::{ProgramClaims, UsageClaim, UsageTable};
use knapweeddale_log::LogError;
use knapweeddale_runtime::{BootClock, Clock};
use serde::{Deserialize, Serialize};
use tokio::task::spawn_blocking;

use crate::synced_log::SyncedLog;

/// A record of the log: all claims on a budget, which replace those of earlier records.
#[derive(Debug, Serialize, Deserialize)]
struct UsageRecord {
    program: ProgramKey,
    claims: ProgramClaims,
}

/// The claims that a storage VM holds.
#[derive(Debug)]
pub(crate) struct UsageStore {
    table: Mutex<UsageTable>,
    log: Arc<SyncedLog>,
    /// Time of the last record of each log segment.
    segments: Mutex<BTreeMap<u64, u64>>,
    clock: BootClock,
}

impl UsageStore {
    /// Opens the claims in a folder, creating it if needed.
    ///
    /// Claims of before the start are kept as if they had just been made, since the clock of an
    /// earlier process cannot be compared.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub fn open(folder: &Path) -> Result<Self, LogError> {
        let clock = BootClock;
        let now_us = clock.now_us();
        let mut table = UsageTable::default();
        let mut segments = BTreeMap::new();
        let (log, _) = SyncedLog::open(folder, |segment, payload| {
            segments.insert(segment.0, now_us);
            match postcard::from_bytes::<UsageRecord>(payload) {
                Ok(row) => table.restore(&row.program, row.claims, now_us),
                Err(error) => tracing::error!("usage: record cannot be decoded ({error})"),
            }
        })?;
        tracing::info!(programs = table.len(), "usage: folder opened");
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
    /// Fails if the disk cannot be written; the claim counts nevertheless.
    pub async fn record(
        &self,
        claim: &UsageClaim,
        is_decided: bool,
    ) -> Result<(bool, ProgramClaims), String> {
        let now_us = self.clock.now_us();
        let (is_granted, claims) = lock(&self.table).record(claim, is_decided, now_us);
        let record = UsageRecord {
            program: claim.program.clone(),
            claims,
        };
        let payload = postcard::to_allocvec(&record).map_err(|error| error.to_string())?;
        let segment = self.log.write(vec![payload]).await?;
        lock(&self.segments).insert(segment.0, now_us);
        Ok((is_granted, record.claims))
    }

    /// Removes programs that were not used for long, and the segments whose records are all older.
    pub async fn expire(self: &Arc<Self>) {
        let kept_from_us = lock(&self.table).expire(self.clock.now_us());
        let unused: Vec<u64> = {
            let segments = lock(&self.segments);
            let unused = segments
                .iter()
                .filter(|(_, used_us)| **used_us < kept_from_us);
            unused.map(|(segment, _)| *segment).collect()
        };
        if unused.is_empty() {
            return;
        }
        let store = Arc::clone(self);
        let task = spawn_blocking(move || store.remove_segments(unused));
        if let Err(error) = task.await {
            tracing::error!("usage: segments not removed ({error})");
        }
    }

    /// Removes segments; those that are not removable are tried again later.
    fn remove_segments(&self, unused: Vec<u64>) {
        let left = self.log.remove(unused.clone(), |_| false);
        let mut segments = lock(&self.segments);
        for segment in unused.iter().filter(|segment| !left.contains(segment)) {
            segments.remove(segment);
        }
    }
}

/// Locks a mutex; a panic while it was held leaves its content usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
