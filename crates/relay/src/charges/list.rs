//! Lists the charge records of an account from the files of VMs with a disk.

use std::collections::HashSet;
use std::io;
use std::ops::Range;
use std::path::Path;

use derive_more::{Display, Error};

use super::ChargeRecord;

/// Error when a file of charge records cannot be read.
#[derive(Debug, Display, Error)]
#[display("the records in {file} cannot be read ({source}); give the path of a charges.jsonl")]
pub struct ListError {
    /// Path of the file.
    pub file: String,
    /// The underlying I/O error.
    pub source: io::Error,
}

/// The charge records of an account within a range of time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ChargeList {
    /// The records without duplicates, sorted by the time at which their requests ended.
    pub records: Vec<ChargeRecord>,
    /// Number of lines that are not a complete record, as a power loss leaves them.
    pub torn_lines: usize,
}

impl ChargeList {
    /// Returns the records that are billed: those of requests that certainly ran.
    pub fn billed(&self) -> impl Iterator<Item = &ChargeRecord> {
        self.records.iter().filter(|record| record.is_billed())
    }
}

/// Reads the records of an account whose requests ended within a range of Unix time in
/// milliseconds.
///
/// A retired VM copies its records to another VM, so a record may be in several files; it is
/// listed once.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn list_charges(
    account: &str,
    span_ms: Range<u64>,
    files: &[impl AsRef<Path>],
) -> Result<ChargeList, ListError> {
    let mut list = ChargeList::default();
    let mut seen = HashSet::new();
    for file in files {
        let bytes = std::fs::read(file.as_ref()).map_err(|source| ListError {
            file: file.as_ref().display().to_string(),
            source,
        })?;
        for line in bytes.split(|byte| *byte == b'\n') {
            if line.is_empty() {
                continue;
            }
            let Ok(record) = serde_json::from_slice::<ChargeRecord>(line) else {
                list.torn_lines += 1;
                continue;
            };
            let is_selected = record.account == account && span_ms.contains(&record.ended_ms);
            if is_selected && seen.insert(record.attempt.clone()) {
                list.records.push(record);
            }
        }
    }
    list.records.sort_by_key(|record| record.ended_ms);
    Ok(list)
}
