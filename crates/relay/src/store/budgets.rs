//! Reserves tokens of a program's budget in the store.

use knapweeddale_core::ProgramKey;
use knapweeddale_core::tables::BudgetRecord;
use knapweeddale_store::{Object, ObjectApi, StoreError};

/// Conflicts with other VMs after which a reservation is given up.
const MAX_CONFLICTS: usize = 6;

/// Reserves tokens for the next turns of a program; 0 if its budget does not hold one more.
///
/// A write whose answer is lost may have taken effect. Its tokens then stay unused, which is on
/// the safe side of the budget.
pub(super) async fn reserve<S: ObjectApi>(
    store: &S,
    program: &ProgramKey,
    budget_tokens: u64,
    turn_tokens: u64,
) -> Result<u64, StoreError> {
    let key = key_of(program);
    // Most programs that get here have no record yet, so that the first read can be spared.
    let mut known: Option<Object> = None;
    for _ in 0..MAX_CONFLICTS {
        let (mut record, version) = match &known {
            Some(object) => (read(&key, object)?, object.version),
            None => (BudgetRecord::new(budget_tokens, turn_tokens), 0),
        };
        let before = record.clone();
        let tokens = record.reserve(turn_tokens);
        if record == before {
            return Ok(tokens);
        }
        let value = serde_json::to_vec(&record).map_err(|error| unreadable(&key, &error))?;
        match store.put(&key, value, version).await {
            Ok(_) => return Ok(tokens),
            Err(StoreError::Conflict { .. }) => known = store.get(&key).await?,
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable {
        reason: format!("{MAX_CONFLICTS} conflicting writes to {key}"),
    })
}

/// Returns the key of a program's record.
fn key_of(program: &ProgramKey) -> String {
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
    format!("knapweeddale-budgets/{name}")
}

/// Reads a record.
fn read(key: &str, object: &Object) -> Result<BudgetRecord, StoreError> {
    serde_json::from_slice(&object.value).map_err(|error| unreadable(key, &error))
}

/// Describes a record that cannot be read or written.
fn unreadable(key: &str, error: &serde_json::Error) -> StoreError {
    StoreError::Unavailable {
        reason: format!("record {key} cannot be used: {error}"),
    }
}
