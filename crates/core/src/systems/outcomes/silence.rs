//! Decides whether a call leaves an upstream that sends nothing.
//!
//! A sound upstream may pause, so silence is no reason to end a call: its attempt is cancelled only
//! if another one can follow, and otherwise goes on until the deadline of the call.

use super::super::{Tick, confinement};
use super::{examination, retries};
use crate::ids::{AttemptId, UpstreamName};
use crate::input::Failure;
use crate::output::{Decision, Output};
use crate::tables::Call;

/// Cancels a silent attempt if its call can go on in another one, and examines the upstream.
pub(super) fn handle_silence(tick: &mut Tick<'_>, attempt: AttemptId, forwarded: bool) {
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return;
    };
    let Some(upstream) = call.upstream.clone() else {
        return;
    };
    if call.placement.is_cancelled {
        return;
    }
    if can_leave(tick, attempt, &upstream, forwarded) {
        if let Some(call) = tick.tables.calls.get_mut(&attempt.call) {
            call.placement.is_cancelled = true;
        }
        tick.outputs.push(Output::CancelAttempt(attempt));
    } else {
        tick.log(Decision::SilenceTolerated {
            call: attempt.call,
            upstream: upstream.clone(),
        });
        examination::check_silent(tick, &upstream);
    }
}

/// Returns whether another attempt may follow, and takes it from the retry budget if so.
fn can_leave(
    tick: &mut Tick<'_>,
    attempt: AttemptId,
    upstream: &UpstreamName,
    forwarded: bool,
) -> bool {
    let failure = Failure::Silent {
        answer_tokens: 0,
        forwarded,
    };
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return false;
    };
    // The state of the call as it would be after the cancelled attempt.
    let mut after = call.clone();
    retries::count_failure(&mut after, &failure);
    let verdict = retries::check_retry(&after, &failure, tick.now_us);
    retries::pin_to_upstream(&mut after, upstream);
    retries::bind_to_origin(&mut after, &failure);
    let has_next = has_next_upstream(tick, &after, upstream);
    verdict.is_ok() && has_next && retries::take_retry_budget(tick, attempt)
}

/// Returns whether a call that leaves an upstream can go on at once: at the only one that it may
/// use, or at another one that has room.
fn has_next_upstream(tick: &Tick<'_>, call: &Call, silent: &UpstreamName) -> bool {
    let relay = call.relay.as_ref();
    let origin = relay.and_then(|relay| relay.origin.as_ref());
    let only = relay.and_then(|relay| relay.only.as_ref());
    let pinned = only
        .and_then(|only| tick.tables.upstreams.get(only))
        .filter(|row| !row.health.has_crashed_recently(tick.now_us) && row.fits(origin));
    if let Some(row) = pinned {
        return row.takes_new_calls() && row.health.ejected_until_us <= tick.now_us;
    }
    let Some(pool) = tick.tables.pools.get(&call.pool) else {
        return false;
    };
    let mut others = pool.available.iter().map(|(_, name)| name);
    others.any(|name| {
        let row = tick.tables.upstreams.get(name);
        name != silent
            && row.is_some_and(|row| row.fits(origin))
            && confinement::allows(tick, call.attempt(), name)
    })
}
