//! Upstreams that state in their responses that they are leaving.
//!
//! Such an upstream gets no new calls at once, whatever the list in the store says of it: its
//! entry may be out of date, or expire and return. The notice ends with the process that gave it.

use super::super::{Tick, placement, rates};
use crate::config::UpstreamConfig;
use crate::ids::UpstreamName;
use crate::output::Decision;
use crate::tables::{LeavingNotice, Timer};

/// Time for which a notice is kept after the upstream has left the list.
const NOTICE_RETENTION_US: u64 = 600_000_000;

/// Records that an upstream is leaving, unless it has been replaced by another process.
pub(super) fn record_notice(tick: &mut Tick<'_>, upstream: UpstreamName, notice: LeavingNotice) {
    let row = tick.tables.upstreams.get(&upstream);
    if row.is_some_and(|row| row.config.started_unix_ms != notice.started_unix_ms) {
        return;
    }
    if tick.tables.leaving_notices.get(&upstream) == Some(&notice) {
        return;
    }
    tick.tables.leaving_notices.insert(upstream.clone(), notice);
    let due_us = tick.now_us + NOTICE_RETENTION_US;
    let timer = Timer::NoticeExpiry(upstream.clone());
    tick.tables.timers.set(due_us, timer);
    let Some(row) = tick.tables.upstreams.get_mut(&upstream) else {
        return;
    };
    row.has_given_notice = true;
    let pools = row.pools.clone();
    placement::refresh_and_assign(tick, &upstream);
    for pool in &pools {
        placement::refuse_stranded(tick, pool);
    }
    tick.log(Decision::UpstreamLeaving { upstream });
}

/// Returns whether the process of a listed upstream has stated that it is leaving.
pub(crate) fn has_given_notice(tick: &Tick<'_>, upstream: &UpstreamConfig) -> bool {
    let notice = tick.tables.leaving_notices.get(&upstream.name);
    notice.is_some_and(|notice| notice.started_unix_ms == upstream.started_unix_ms)
}

/// Removes what an upstream has stated in responses, unless it is still listed.
pub(super) fn expire_notice(tick: &mut Tick<'_>, upstream: UpstreamName) {
    let row = tick.tables.upstreams.get(&upstream);
    let has_given_notice = row.is_some_and(|row| row.has_given_notice);
    let keeps_rate = rates::expire_statement(tick, &upstream);
    if has_given_notice || keeps_rate {
        let due_us = tick.now_us + NOTICE_RETENTION_US;
        tick.tables
            .timers
            .set(due_us, Timer::NoticeExpiry(upstream));
        return;
    }
    tick.tables.leaving_notices.remove(&upstream);
}
