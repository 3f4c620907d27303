//! Reports the ends of attempts to the owners of their pools.

use super::super::Tick;
use crate::ids::{AttemptId, PoolKey, UpstreamName};
use crate::message::{AttemptResult, Finish, PlacementMessage};
use crate::tables::Timer;

/// Releases an upstream that was assigned to a call that does not use it.
pub(super) fn release_unused(
    tick: &mut Tick<'_>,
    pool: &PoolKey,
    attempt: AttemptId,
    upstream: UpstreamName,
) {
    let finish = Finish {
        pool: pool.clone(),
        attempt,
        upstream,
        result: AttemptResult::Unused,
        prompt_tokens: 0,
        cached_tokens: 0,
        answer_tokens: 0,
        first_token_us: 0,
        total_us: 0,
    };
    send_finish(tick, finish);
}

/// Counts an attempt as ended on this VM and reports its end to the pool owner.
pub(crate) fn end_attempt(tick: &mut Tick<'_>, finish: Finish) {
    if let Some(row) = tick.tables.upstreams.get_mut(&finish.upstream) {
        row.own_calls = row.own_calls.saturating_sub(1);
    }
    send_finish(tick, finish);
}

/// Stores a finish report and sends it until the owner acknowledges it.
fn send_finish(tick: &mut Tick<'_>, finish: Finish) {
    let attempt = finish.attempt;
    tick.tables.finishing.insert(attempt, finish);
    resend_finish(tick, attempt);
}

/// Sends a finish report that the owner has not acknowledged; drops it if the pool has no owner.
pub(crate) fn resend_finish(tick: &mut Tick<'_>, attempt: AttemptId) {
    let Some(finish) = tick.tables.finishing.get(&attempt).cloned() else {
        return;
    };
    let Some(owner) = tick.tables.view.pool_owner(&finish.pool).cloned() else {
        tick.tables.finishing.remove(&attempt);
        return;
    };
    if owner != tick.settings.vm {
        let due_us = tick.now_us + tick.settings.placement_timeout_ms * 1_000;
        tick.tables.timers.set(due_us, Timer::FinishWait(attempt));
    }
    tick.send(&owner, PlacementMessage::Finish(Box::new(finish)));
}
