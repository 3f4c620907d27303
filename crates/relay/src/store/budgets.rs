//! Stores budget records of programs: reservations, stops and losses of memory.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use knapweeddale_core::ProgramKey;
use knapweeddale_core::input::MAX_TOKENS;
use knapweeddale_core::tables::BudgetRecord;
use knapweeddale_store::{Object, ObjectApi, StoreError};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::wall_clock::unix_ms;

/// Key prefix of the budget records.
const PREFIX: &str = "knapweeddale-budgets/";

/// Key of the record of losses of memory, in which all VMs lose their state together.
const LOSSES_KEY: &str = "knapweeddale-fleet/losses";

/// VMs that restart within this time of each other count the same loss.
const LOSS_DEDUP_MS: u64 = 4_000;

/// Time after which a loss no longer matters to any program.
const LOSS_RETENTION_MS: u64 = 10_000;

/// Capacity of the cache of records, which only saves reads.
const MAX_CACHED_RECORDS: usize = 4_096;

/// Attempts to record that a program has been stopped.
const MAX_STOP_ATTEMPTS: usize = 40;

/// Delay between two attempts to record a stop.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Conflicts with other VMs after which a write is given up.
const MAX_CONFLICTS: usize = 6;

/// Reserves tokens for the next turns of a program; returns 0 if its budget is too small.
///
/// `new_record` is created if the program has no record. A write whose answer is lost may have
/// taken effect. Its tokens then stay unused, which keeps the program within its budget.
pub(super) async fn reserve<S: ObjectApi>(
    store: &S,
    new_record: BudgetRecord,
    has_record: bool,
    needed_tokens: u64,
    records: &RecordCache,
) -> Result<u64, StoreError> {
    let key = record_key(&new_record.program);
    // Most programs have no record yet, or one that this VM wrote last, and need no read. A
    // record that another VM wrote must be read, since a write without its version fails.
    let mut known = match records.get(&key) {
        None if has_record => store.get(&key).await?,
        known => known,
    };
    for _ in 0..MAX_CONFLICTS {
        let (mut record, version) = match &known {
            Some(object) => (decode_record(&key, object)?, object.version),
            None => (new_record.clone(), 0),
        };
        let previous = record.clone();
        let tokens = record.reserve(needed_tokens);
        if record == previous {
            return Ok(tokens);
        }
        let value = serde_json::to_vec(&record).map_err(|error| invalid_record(&key, &error))?;
        match store.put(&key, value.clone(), version).await {
            Ok(version) => {
                records.set(key, Object { version, value });
                return Ok(tokens);
            }
            Err(StoreError::Conflict { .. }) => known = store.get(&key).await?,
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable {
        reason: format!("{MAX_CONFLICTS} conflicting writes to {key}"),
    })
}

/// Gives reserved tokens back to the record of a program.
///
/// A write whose answer is lost may have taken effect, so that it is not repeated. The tokens then
/// stay unused.
pub(super) async fn release<S: ObjectApi>(
    store: &S,
    program: &ProgramKey,
    tokens: u64,
    records: &RecordCache,
) -> Result<(), StoreError> {
    let key = record_key(program);
    let mut known = records.get(&key);
    for _ in 0..MAX_CONFLICTS {
        let object = match known.take() {
            Some(object) => object,
            None => match store.get(&key).await? {
                Some(object) => object,
                None => return Ok(()),
            },
        };
        let mut record = decode_record(&key, &object)?;
        record.release(tokens);
        let value = serde_json::to_vec(&record).map_err(|error| invalid_record(&key, &error))?;
        match store.put(&key, value.clone(), object.version).await {
            Ok(version) => {
                records.set(key, Object { version, value });
                return Ok(());
            }
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable {
        reason: format!("{MAX_CONFLICTS} conflicting writes to {key}"),
    })
}

/// Cache of records as this VM last wrote them; other VMs may have written them since.
#[derive(Debug, Default)]
pub(crate) struct RecordCache(Mutex<HashMap<String, Object>>);

impl RecordCache {
    fn get(&self, key: &str) -> Option<Object> {
        let records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        records.get(key).cloned()
    }

    fn set(&self, key: String, object: Object) {
        let mut records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() >= MAX_CACHED_RECORDS {
            records.clear();
        }
        records.insert(key, object);
    }
}

/// Records that a program has exhausted its budget, retrying while the store is unavailable.
pub(super) async fn record_stop<S: ObjectApi>(store: &S, program: &ProgramKey, budget_tokens: u64) {
    for _ in 0..MAX_STOP_ATTEMPTS {
        match try_record_stop(store, program, budget_tokens).await {
            Ok(()) => return,
            Err(error) => tracing::debug!(%program, "budgets: stop not recorded yet ({error})"),
        }
        sleep(STOP_RETRY_INTERVAL).await;
    }
    tracing::error!(%program, "budgets: stop not recorded after {MAX_STOP_ATTEMPTS} attempts");
}

/// Makes one attempt to record that a program has exhausted its budget.
async fn try_record_stop<S: ObjectApi>(
    store: &S,
    program: &ProgramKey,
    budget_tokens: u64,
) -> Result<(), StoreError> {
    let key = record_key(program);
    let stopped = BudgetRecord::stopped(program.clone(), budget_tokens);
    let value = serde_json::to_vec(&stopped).map_err(|error| invalid_record(&key, &error))?;
    match store.put(&key, value.clone(), 0).await {
        Err(StoreError::Conflict { .. }) => {}
        other => return other.map(|_| ()),
    }
    let Some(known) = store.get(&key).await? else {
        return Ok(());
    };
    if decode_record(&key, &known)?.is_stopped {
        return Ok(());
    }
    store.put(&key, value, known.version).await.map(|_| ())
}

/// Returns the key of a program's record, with `-` for characters that keys may not contain.
fn record_key(program: &ProgramKey) -> String {
    let name: String = format!("{}.{}", program.account, program.name)
        .chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || "._-".contains(c) {
                c
            } else {
                '-'
            }
        })
        .collect();
    format!("{PREFIX}{name}")
}

/// Decodes a record.
fn decode_record(key: &str, object: &Object) -> Result<BudgetRecord, StoreError> {
    let record: BudgetRecord =
        serde_json::from_slice(&object.value).map_err(|error| invalid_record(key, &error))?;
    if record.budget_tokens > MAX_TOKENS {
        return Err(StoreError::Unavailable {
            reason: format!("record {key} has a budget over {MAX_TOKENS} tokens"),
        });
    }
    Ok(record)
}

/// Builds the error for a record that cannot be decoded or encoded.
fn invalid_record(key: &str, error: &serde_json::Error) -> StoreError {
    StoreError::Unavailable {
        reason: format!("record {key} cannot be used: {error}"),
    }
}

/// The stored record of losses of memory, each of which affects all VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Losses {
    /// Unix times in milliseconds of the losses that may still matter.
    counted_unix_ms: Vec<u64>,
}

impl Losses {
    /// Adds a loss unless another VM has added the same one, and removes losses that no longer
    /// matter.
    fn record(&mut self, now_unix_ms: u64) {
        let age_ms = |counted: &u64| now_unix_ms.abs_diff(*counted);
        let same = |counted: &u64| age_ms(counted) < LOSS_DEDUP_MS;
        if !self.counted_unix_ms.iter().any(same) {
            self.counted_unix_ms.push(now_unix_ms);
        }
        self.counted_unix_ms
            .retain(|counted| age_ms(counted) < LOSS_RETENTION_MS);
    }

    /// Returns the record of one loss before the present one.
    fn one_before(now_unix_ms: u64) -> Self {
        Self {
            counted_unix_ms: vec![now_unix_ms.saturating_sub(LOSS_DEDUP_MS)],
        }
    }

    /// Returns the number of losses.
    fn count(&self) -> u32 {
        u32::try_from(self.counted_unix_ms.len()).unwrap_or(u32::MAX)
    }
}

/// Records a loss of memory; returns the number of losses and all budget records.
pub(super) async fn recover<S: ObjectApi>(
    store: &S,
) -> Result<(u32, Vec<BudgetRecord>), StoreError> {
    let losses = record_loss(store).await?;
    let entries = store.get_by_prefix(PREFIX).await?;
    let mut records = Vec::with_capacity(entries.len());
    for (key, object) in &entries {
        // Turns of a program whose record is not valid are refused when they need a reservation.
        match decode_record(key, object) {
            Ok(record) => records.push(record),
            Err(error) => tracing::warn!("budgets: record ignored ({error})"),
        }
    }
    Ok((losses, records))
}

/// Decodes the record of losses.
fn decode_losses(object: &Object) -> serde_json::Result<Losses> {
    serde_json::from_slice(&object.value)
}

/// Records a loss of memory and returns the number of losses that still matter.
///
/// A record that is not valid counts as one earlier loss, since it is written only after one.
async fn record_loss<S: ObjectApi>(store: &S) -> Result<u32, StoreError> {
    for _ in 0..MAX_CONFLICTS {
        let object = store.get(LOSSES_KEY).await?;
        let version = object.as_ref().map_or(0, |object| object.version);
        let now_unix_ms = unix_ms();
        let previous = object.as_ref().map_or(Ok(Losses::default()), decode_losses);
        let mut losses = match &previous {
            Ok(previous) => previous.clone(),
            Err(error) => {
                tracing::warn!("budgets: record {LOSSES_KEY} replaced ({error})");
                Losses::one_before(now_unix_ms)
            }
        };
        losses.record(now_unix_ms);
        if previous.is_ok_and(|previous| previous == losses) {
            return Ok(losses.count());
        }
        let value =
            serde_json::to_vec(&losses).map_err(|error| invalid_record(LOSSES_KEY, &error))?;
        match store.put(LOSSES_KEY, value, version).await {
            Ok(_) => return Ok(losses.count()),
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable {
        reason: format!("{MAX_CONFLICTS} conflicting writes to {LOSSES_KEY}"),
    })
}
