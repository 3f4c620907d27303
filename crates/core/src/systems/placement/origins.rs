//! Keeps streams that have begun at upstreams of their service and software version.

use super::super::{Tick, confinement};
use super::{owner, selection};
use crate::ids::{AttemptId, PoolKey, UpstreamName};
use crate::message::Place;
use crate::output::RefusalKind;
use crate::tables::QueuedCall;

/// Returns whether an upstream may run a call, as far as its software version matters.
pub(super) fn fits(tick: &Tick<'_>, place: &Place, upstream: &UpstreamName) -> bool {
    let row = tick.tables.upstreams.get(upstream);
    row.is_some_and(|row| row.fits(place.origin.as_ref()))
}

/// Returns whether a call is no stream that has begun, or an upstream can go on with it.
///
/// Upstreams that are leaving or ejected are assumed to outlast the wait of a call.
pub(super) fn can_go_on(tick: &Tick<'_>, place: &Place) -> bool {
    if place.origin.is_none() {
        return true;
    }
    let Some(pool) = tick.tables.pools.get(&place.pool) else {
        return false;
    };
    let rows = pool.upstreams.iter();
    rows.filter_map(|name| tick.tables.upstreams.get(name))
        .any(|row| {
            let is_ejected = row.health.ejected_until_us > tick.now_us;
            row.fits(place.origin.as_ref()) && row.takes_new_calls() && !is_ejected
        })
}

/// Refuses the waiting calls of a pool that no upstream can run any more.
pub(crate) fn refuse_stranded(tick: &mut Tick<'_>, pool: &PoolKey) {
    let Some(row) = tick.tables.pools.get(pool) else {
        return;
    };
    let stranded: Vec<(AttemptId, RefusalKind)> = row
        .iter_waiting()
        .filter_map(|waiting| {
            let kind = find_stranded(tick, waiting)?;
            Some((waiting.place.attempt, kind))
        })
        .collect();
    for (attempt, kind) in stranded {
        let row = tick.tables.pools.get_mut(pool);
        if let Some(waiting) = row.and_then(|row| row.remove_waiting(attempt)) {
            owner::refuse(tick, waiting, kind);
        }
    }
}

/// Returns why no upstream will run a waiting call; `None` if one may.
///
/// A call that is pinned to an upstream depends on that one alone. One that is evacuated takes up
/// nothing, like one that is leaving.
pub(super) fn find_stranded(tick: &Tick<'_>, waiting: &QueuedCall) -> Option<RefusalKind> {
    if !can_go_on(tick, &waiting.place) {
        return Some(RefusalKind::StreamNotResumable);
    }
    let pool = tick.tables.pools.get(&waiting.place.pool)?;
    if let Some(pinned) = selection::pinned_upstream(tick, pool, waiting) {
        let row = tick.tables.upstreams.get(pinned)?;
        let is_evacuated = row.config.is_evacuated && !row.health.is_examined;
        return is_evacuated.then_some(RefusalKind::UpstreamFailed);
    }
    confinement::find_refusal(tick, &waiting.place)
}
