//! Formats lists in the log lines of decisions.

use crate::ids::UpstreamName;

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
