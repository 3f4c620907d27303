//! Decides whether a call leaves an upstream that sends nothing.
//!
//! A sound upstream may pause, so silence is no reason to end a call: its attempt is cancelled only
//! if another one can follow, and otherwise goes on until the deadline of the call.

use super::super::Tick;
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
        examination::record_silence(tick, &upstream);
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
    verdict.is_ok() && has_next_upstream(tick, &after) && retries::take_retry_budget(tick, attempt)
}

/// Returns whether an upstream that the call may use accepts calls.
fn has_next_upstream(tick: &Tick<'_>, call: &Call) -> bool {
    let relay = call.relay.as_ref();
    let origin = relay.and_then(|relay| relay.origin.as_ref());
    let accepts = |name: &UpstreamName| {
        let row = tick.tables.upstreams.get(name);
        row.is_some_and(|row| {
            let is_ejected = row.health.ejected_until_us > tick.now_us;
            row.fits(origin) && !row.is_leaving() && !is_ejected
        })
    };
    let only = relay.and_then(|relay| relay.only.as_ref());
    let has_ended = only
        .and_then(|only| tick.tables.upstreams.get(only))
        .is_some_and(|row| row.health.has_crashed_recently(tick.now_us) || !row.fits(origin));
    match only {
        Some(only) if !has_ended => accepts(only),
        _ => {
            let pool = tick.tables.pools.get(&call.pool);
            pool.is_some_and(|pool| pool.upstreams.iter().any(accepts))
        }
    }
}
