//! Decides which upstreams and proxies a call may use, by evacuations and by its homes.
//!
//! [`evacuations`] keeps the failure domains to whose upstreams nothing new may be sent, [`homes`]
//! the regions in which a call may run.

mod evacuations;
mod homes;

pub(crate) use evacuations::{
    log_evacuations, mark_evacuated, may_lack_evacuations, must_read_evacuations, record_answer,
    record_evacuations, record_request,
};
pub(crate) use homes::{allows, allows_proxy, homes_of, turn_storage};

use super::{Tick, links};
use crate::message::Place;
use crate::output::RefusalKind;

/// `retry-after` of a call that is refused because of an evacuation: the list in which its end
/// shows is read about twice a second.
pub(crate) const EVACUATED_RETRY_MS: u64 = 1_000;

/// Returns why no listed upstream of its pool will run a waiting call; `None` if one may.
///
/// Upstreams that are leaving are assumed to outlast the wait of a call. A pool without any
/// upstream may get one at any time.
pub(crate) fn find_refusal(tick: &Tick<'_>, place: &Place) -> Option<RefusalKind> {
    let pool = tick.tables.pools.get(&place.pool)?;
    let homes = homes_of(tick, place.attempt);
    if homes.is_some_and(|homes| homes.is_empty()) {
        return Some(RefusalKind::NoAllowedRegion);
    }
    let (mut is_at_home, mut is_evacuated, mut is_unreachable) = (false, false, false);
    for name in &pool.upstreams {
        let Some(row) = tick.tables.upstreams.get(name) else {
            continue;
        };
        if !homes::is_at_home(tick, homes, row) {
            continue;
        }
        is_at_home = true;
        is_evacuated |= row.config.is_evacuated;
        if !row.takes_new_calls() {
            continue;
        }
        let is_cut_off = homes.is_some() && tick.tables.links.is_cut_off;
        if !is_cut_off || links::can_reach_from(tick, name, homes) {
            return None;
        }
        is_unreachable = true;
    }
    match (is_at_home, is_unreachable, is_evacuated) {
        (false, ..) => (!pool.upstreams.is_empty()).then_some(RefusalKind::NoAllowedRegion),
        (true, true, _) => Some(RefusalKind::NoUpstream),
        (true, false, true) => Some(RefusalKind::Evacuated),
        (true, false, false) => None,
    }
}
