//! Keeps streams that have begun at upstreams of their service and software version.

use super::super::Tick;
use super::owner;
use crate::ids::{AttemptId, PoolKey, UpstreamName};
use crate::message::Place;
use crate::output::RefusalKind;

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
            row.fits(place.origin.as_ref()) && !row.is_leaving() && !is_ejected
        })
}

/// Refuses the waiting calls of a pool whose streams no upstream can go on with any more.
pub(crate) fn refuse_stranded(tick: &mut Tick<'_>, pool: &PoolKey) {
    let Some(row) = tick.tables.pools.get(pool) else {
        return;
    };
    let waiting = row.iter_waiting();
    let stranded: Vec<AttemptId> = waiting
        .filter(|waiting| !can_go_on(tick, &waiting.place))
        .map(|waiting| waiting.place.attempt)
        .collect();
    for attempt in stranded {
        let row = tick.tables.pools.get_mut(pool);
        if let Some(waiting) = row.and_then(|row| row.remove_waiting(attempt)) {
            owner::refuse(tick, waiting, RefusalKind::StreamNotResumable);
        }
    }
}
