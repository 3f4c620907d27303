//! Differences between two documents.

use std::collections::BTreeMap;

use derive_more::Display;
use serde_json::Value;

use crate::Document;

/// A difference between two documents.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Change {
    /// An account or service was added.
    #[display("+ {path}")]
    Added {
        /// Kind and name of the entry, such as `account aller`.
        path: String,
    },
    /// An account or service was removed.
    #[display("- {path}")]
    Removed {
        /// Kind and name of the entry, such as `account aller`.
        path: String,
    },
    /// The value of a field was changed.
    #[display("~ {path}: {before} -> {after}")]
    Changed {
        /// Entry and field, such as `account aller rate_calls_per_s`.
        path: String,
        /// Previous value; null if the field was absent.
        before: Value,
        /// New value; null if the field is absent.
        after: Value,
    },
}

/// Compares two documents; added entries come last.
///
/// # Examples
///
/// ```
/// use knapweeddale_config::{AccountFile, Document, diff};
///
/// let file = |rate: u32| format!("{{account: aller, rate_calls_per_s: {rate}, burst_calls: 5}}");
/// let document = |rate| Document {
///     accounts: vec![AccountFile::parse("a.account.yaml", &file(rate)).unwrap()],
///     services: Vec::new(),
/// };
/// let changes = diff(&document(10), &document(20));
/// assert_eq!(changes[0].to_string(), "~ account aller rate_calls_per_s: 10.0 -> 20.0");
/// ```
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let before = entries_by_path(before);
    let after = entries_by_path(after);
    let mut changes = Vec::new();
    for (path, value) in &before {
        match after.get(path) {
            None => changes.push(Change::Removed { path: path.clone() }),
            Some(other) => diff_fields(path, value, other, &mut changes),
        }
    }
    let added = after.keys().filter(|path| !before.contains_key(*path));
    changes.extend(added.map(|path| Change::Added { path: path.clone() }));
    changes
}

/// Returns the JSON of each account and service by its path, such as `account aller`.
fn entries_by_path(document: &Document) -> BTreeMap<String, Value> {
    let accounts = document
        .accounts
        .iter()
        .map(|account| (format!("account {}", account.account), to_value(account)));
    let services = document
        .services
        .iter()
        .map(|service| (format!("service {}", service.service), to_value(service)));
    accounts.chain(services).collect()
}

/// Converts an entry to JSON, which cannot fail for the types of a document.
fn to_value(entry: &impl serde::Serialize) -> Value {
    serde_json::to_value(entry).unwrap_or(Value::Null)
}

/// Compares two values field by field and appends the differences.
fn diff_fields(path: &str, before: &Value, after: &Value, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        changes.push(Change::Changed {
            path: path.to_owned(),
            before: before.clone(),
            after: after.clone(),
        });
        return;
    };
    let keys: std::collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let old = old.get(key).unwrap_or(&Value::Null);
        let new = new.get(key).unwrap_or(&Value::Null);
        diff_fields(&format!("{path} {key}"), old, new, changes);
    }
}
