//! Results of commands and their formatting as text and JSON.

use std::fmt::Write as _;
use std::str::FromStr;

use knapweeddale_config::{Change, Document, Finding};
use serde_json::{Value, json};

use crate::ExitStatus;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// A single JSON value.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "{text:?} is not an output format; use `text` or `json`"
            )),
        }
    }
}

/// The result of a command.
#[derive(Debug)]
pub enum Report {
    /// The result of a check.
    Checked {
        /// The checked files.
        document: Document,
        /// The problems found; empty if the files are valid.
        findings: Vec<Finding>,
    },
    /// The differences between the folder and the published configuration.
    Diff {
        /// The revision in the store; 0 if nothing was published.
        revision: u64,
        /// What publishing the folder would change.
        changes: Vec<Change>,
    },
    /// A configuration was published.
    Published {
        /// The new revision.
        revision: u64,
        /// The changes from the previous revision.
        changes: Vec<Change>,
    },
    /// The published configuration.
    Current {
        /// Its revision; 0 if nothing was published.
        revision: u64,
        /// The services and accounts.
        document: Document,
    },
    /// The state of the VMs.
    VmStates {
        /// The revision in the store.
        revision: u64,
        /// The address of each VM with its status, or the error of the request.
        vms: Vec<(String, Result<Value, String>)>,
    },
    /// A key was generated; the report is the only place that contains it.
    KeyGranted {
        /// The key, including its secret part.
        key: String,
        /// Path of the keys file that contains its digest.
        file: String,
    },
    /// A key was marked as withdrawn in its keys file.
    KeyWithdrawn {
        /// The ID (public part) of the key.
        id: String,
        /// Path of the keys file that contains its digest.
        file: String,
    },
    /// The keys of all accounts in the folder.
    Keys(Vec<KeyRow>),
    /// The JSON schema of the service, account and keys files.
    Schema(Value),
}

/// A row in the list of keys.
#[derive(Debug)]
pub struct KeyRow {
    /// The client account that the key belongs to.
    pub account: String,
    /// The ID (public part) of the key.
    pub id: String,
    /// Whether the key has been withdrawn.
    pub withdrawn: bool,
}

/// # Formatting
impl Report {
    /// Returns the exit status for this result.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Checked { findings, .. } if !findings.is_empty() => ExitStatus::Findings,
            Self::VmStates { vms, .. } if vms.iter().any(|(_, state)| state.is_err()) => {
                ExitStatus::Unavailable
            }
            _ => ExitStatus::Success,
        }
    }

    /// Formats the result for standard output.
    pub fn format(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Text => self.to_text(),
            OutputFormat::Json => format!("{:#}", self.to_json()),
        }
    }

    fn to_text(&self) -> String {
        match self {
            Self::Checked { document, findings } if findings.is_empty() => format!(
                "{} services and {} accounts are fine",
                document.services.len(),
                document.accounts.len()
            ),
            Self::Checked { findings, .. } => join_lines(findings),
            Self::Diff { revision, changes } if changes.is_empty() => {
                format!("no difference from revision {revision}")
            }
            Self::Diff { revision, changes } => {
                format!(
                    "changes against revision {revision}:\n{}",
                    join_lines(changes)
                )
            }
            Self::Published { revision, changes } => {
                format!("published revision {revision}\n{}", join_lines(changes))
            }
            Self::Current { revision, document } => format_config(*revision, document),
            Self::VmStates { revision, vms } => format_vms(*revision, vms),
            Self::KeyGranted { key, file } => {
                format!("{key}\nshown this once; {file} holds its digest, publish it")
            }
            Self::KeyWithdrawn { id, file } => {
                format!("key {id} is withdrawn in {file}; publish it")
            }
            Self::Keys(keys) => keys.iter().map(format_key).collect::<Vec<_>>().join("\n"),
            Self::Schema(schema) => format!("{schema:#}"),
        }
    }

    fn to_json(&self) -> Value {
        match self {
            Self::Checked { findings, .. } => json!({ "findings": to_strings(findings) }),
            Self::Diff { revision, changes } => {
                json!({ "against_revision": revision, "changes": to_strings(changes) })
            }
            Self::Published { revision, changes } => {
                json!({ "revision": revision, "changes": to_strings(changes) })
            }
            Self::Current { revision, document } => {
                json!({ "revision": revision, "document": document })
            }
            Self::VmStates { revision, vms } => {
                let vms = vms.iter().map(|(vm, state)| match state {
                    Ok(state) => json!({ "vm": vm, "state": state }),
                    Err(error) => json!({ "vm": vm, "error": error }),
                });
                json!({ "revision": revision, "vms": vms.collect::<Vec<_>>() })
            }
            Self::KeyGranted { key, file } => json!({ "key": key, "file": file }),
            Self::KeyWithdrawn { id, file } => json!({ "id": id, "file": file }),
            Self::Keys(keys) => keys.iter().map(key_to_json).collect(),
            Self::Schema(schema) => schema.clone(),
        }
    }
}

fn join_lines<T: ToString>(items: &[T]) -> String {
    to_strings(items).join("\n")
}

fn to_strings<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}

fn format_key(row: &KeyRow) -> String {
    let state = if row.withdrawn { "withdrawn" } else { "valid" };
    format!("{}\t{}\t{state}", row.account, row.id)
}

fn key_to_json(row: &KeyRow) -> Value {
    json!({ "account": row.account, "id": row.id, "withdrawn": row.withdrawn })
}

fn format_config(revision: u64, document: &Document) -> String {
    let mut text = format!("revision {revision}");
    for account in &document.accounts {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\naccount {}: {} calls/s, burst {}, {} keys",
            account.account,
            account.rate_calls_per_s,
            account.burst_calls,
            account.keys.len()
        );
    }
    for service in &document.services {
        let _ = write!(
            text,
            "\nservice {}: {} upstreams, {} models, {} routes",
            service.service,
            service.upstreams.len(),
            service.models.len(),
            service.routes.len()
        );
    }
    text
}

fn format_vms(revision: u64, vms: &[(String, Result<Value, String>)]) -> String {
    let mut text = format!("revision {revision} in the store");
    for (vm, state) in vms {
        let line = match state {
            Ok(state) => format_vm_state(revision, state),
            Err(error) => format!("no answer: {error}"),
        };
        // Writing to a string cannot fail.
        let _ = write!(text, "\n{vm}: {line}");
    }
    text
}

fn format_vm_state(revision: u64, state: &Value) -> String {
    let vm_revision = state["revision"].as_u64().unwrap_or(0);
    let lag = if vm_revision < revision {
        " (lags)"
    } else {
        ""
    };
    let ready = if state["ready"].as_bool().unwrap_or(false) {
        "ready"
    } else {
        "not ready"
    };
    format!(
        "{ready}, epoch {}, revision {vm_revision}{lag}",
        state["epoch"]
    )
}
