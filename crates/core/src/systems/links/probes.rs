//! Finds out when lost links are back.

use super::super::Tick;
use crate::ids::UpstreamName;
use crate::output::Output;
use crate::tables::Link;

/// Probes the next lost link directly, one at a time so that links that return are not met by many
/// connections at once.
pub(super) fn probe_next(tick: &mut Tick<'_>) {
    tick.tables.links.is_probe_due = false;
    let lost = lost_links(tick);
    if lost.is_empty() {
        return;
    }
    let position = tick.tables.links.next_probe % lost.len();
    tick.tables.links.next_probe = position + 1;
    tick.outputs.push(Output::Probe {
        upstream: lost[position].clone(),
        proxy: None,
    });
    super::schedule_probe(tick);
}

/// Returns the upstreams whose links are lost, or assumed to be.
pub(super) fn lost_links(tick: &Tick<'_>) -> Vec<UpstreamName> {
    let rows = tick.tables.upstreams.iter();
    rows.filter(|(_, row)| row.link != Link::Up)
        .map(|(name, _)| name.clone())
        .collect()
}
