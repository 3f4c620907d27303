//! Formats lists in the log lines of decisions.

use crate::ids::{SoftwareVersion, UpstreamName};
use crate::usage::ProcessClaim;

/// Formats the runners-up of a placement.
pub(super) fn runners_up_text(runners_up: &[UpstreamName]) -> String {
    runners_up
        .iter()
        .enumerate()
        .map(|(i, name)| {
            if i == 0 {
                format!(" before {name}")
            } else {
                format!(", {name}")
            }
        })
        .collect()
}

/// Formats software versions; upstreams that state none have no entry.
pub(super) fn versions_text(versions: &[SoftwareVersion]) -> String {
    let texts: Vec<&str> = versions.iter().map(SoftwareVersion::as_str).collect();
    if texts.is_empty() {
        "none".to_owned()
    } else {
        texts.join(", ")
    }
}

/// Formats the claims of processes on a budget.
pub(super) fn claims_text(claims: &[ProcessClaim]) -> String {
    let texts = claims.iter().map(|claim| {
        let ProcessClaim {
            vm,
            incarnation,
            tokens,
            ..
        } = claim;
        format!("{vm} {incarnation} ({tokens})")
    });
    texts.collect::<Vec<String>>().join(", ")
}
