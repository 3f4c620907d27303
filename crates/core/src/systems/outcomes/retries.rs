//! Retries calls whose attempt failed, or ends them.

use super::super::{Tick, admission, links};
use super::results;
use crate::config::RouteKind;
use crate::ids::{AttemptId, StreamOrigin, UpstreamName, VmName};
use crate::input::{AttemptOutcome, Failure};
use crate::message::AttemptResult;
use crate::output::{ChargeOutcome, Decision, Execution, RefusalKind, RetryReason};
use crate::tables::{Call, Stage};

/// Most attempts of a call, including the first.
///
/// Enough for a call that loses two attempts to another request that crashes
/// their upstream, then runs alone, with refused connections in between.
const MAX_ATTEMPTS: u32 = 8;

/// Failed attempts after which a call ends; lost or refused connections don't count.
const MAX_FAILURES: u32 = 3;

/// Runs of a relayed call that are allowed on any route; the second one uses the same upstream if
/// the route allows only one.
const MIN_RUNS: u32 = 2;

/// Lost connections of a call that are retried without using the retry budget.
///
/// A request that crashes its upstream fails other calls with it at most three
/// times, which must not cost them retry budget.
const MAX_UNBUDGETED_LOSSES: u32 = 3;

/// The status with which another process than the expected one refuses a request.
const MISDIRECTED_REQUEST: u16 = 421;

/// Retries or ends a call whose attempt failed.
pub(super) fn handle_failure(tick: &mut Tick<'_>, attempt: AttemptId, failure: Failure) {
    let outcome = AttemptOutcome {
        answer_tokens: failure.answer_tokens(),
        ..AttemptOutcome::default()
    };
    let result = attempt_result(tick, attempt, &failure);
    let has_no_connection = matches!(
        failure,
        Failure::ProxyFailed | Failure::ConnectionRefused | Failure::Unreachable
    );
    if has_no_connection && let Some(proxy) = proxy_of(tick, attempt) {
        links::record_proxy_failure(tick, &proxy);
    }
    results::release_upstream(tick, attempt, result, &outcome);
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    count_failure(call, &failure);
    let Some(upstream) = call.upstream.clone() else {
        return;
    };
    // A cancelled attempt has its retry already, see `silence`.
    let is_cancelled = std::mem::take(&mut call.placement.is_cancelled)
        && matches!(failure, Failure::Silent { .. });
    let bound_to = bind_to_origin(call, &failure).cloned();
    let verdict = if is_cancelled {
        Ok(RetryReason::Idempotent)
    } else {
        check_retry(call, &failure, tick.now_us)
    };
    if !failure.did_not_run() {
        let run = call.to_last_run(failure.answer_tokens(), charge_outcome(&failure));
        call.last_run = run.map(Box::new);
        pin_to_upstream(call, &upstream);
    }
    let needs_budget = !is_cancelled && needs_budget(call, &failure);
    if let Some(origin) = bound_to {
        let call = attempt.call;
        tick.log(Decision::BoundToOrigin { call, origin });
    }
    let verdict = verdict.and_then(|reason| {
        if needs_budget && !take_retry_budget(tick, attempt) {
            return Err(RetryReason::OverBudget);
        }
        Ok(reason)
    });
    match verdict {
        Ok(reason) => {
            tick.log(Decision::Retry {
                call: attempt.call,
                upstream: upstream.clone(),
                reason,
            });
            if let Some(call) = tick.tables.calls.get_mut(&attempt.call)
                && failure != Failure::ProxyFailed
                && !call.avoid.contains(&upstream)
            {
                call.avoid.push(upstream);
            }
            admission::enter_stage(tick, attempt.call, Stage::Place);
        }
        Err(reason) => {
            tick.log(Decision::NoRetry {
                call: attempt.call,
                upstream,
                reason,
            });
            end_call(tick, attempt, failure);
        }
    }
}

/// Returns the VM through which an attempt went.
fn proxy_of(tick: &Tick<'_>, attempt: AttemptId) -> Option<VmName> {
    tick.tables.calls.get(&attempt.call)?.proxy.clone()
}

/// Returns whether an attempt failed that went over a link which is known to be lost by now.
fn is_over_lost_link(tick: &Tick<'_>, call: Option<&Call>) -> bool {
    let upstream = call
        .filter(|call| call.proxy.is_none())
        .and_then(|call| call.upstream.as_ref());
    upstream.is_some_and(|upstream| links::is_link_lost(tick, upstream))
}

/// Counts a failed attempt of a call.
pub(super) fn count_failure(call: &mut Call, failure: &Failure) {
    let may_have_run = !failure.did_not_run();
    call.may_have_run |= may_have_run;
    if let Some(relay) = &mut call.relay {
        relay.forwarded_tokens += failure.answer_tokens();
        relay.runs += u32::from(may_have_run);
    }
    match failure {
        Failure::ConnectionLost { .. } => call.placement.lost_connections += 1,
        Failure::CallerGone { answer_tokens } => {
            call.used_tokens = Some(call.request.prompt_tokens + answer_tokens);
        }
        failure if !failure.is_connected() => {}
        _ => call.placement.failures += 1,
    }
}

/// Returns the result of an attempt as it counts for the health of its upstream.
fn attempt_result(tick: &Tick<'_>, attempt: AttemptId, failure: &Failure) -> AttemptResult {
    let call = tick.tables.calls.get(&attempt.call);
    let is_late = call.is_some_and(|call| tick.now_us >= call.valid_until_us);
    let is_relayed = call.is_some_and(|call| call.relay.is_some());
    match failure {
        failure if failure.is_history() => AttemptResult::Unused,
        Failure::ConnectionRefused | Failure::Unreachable | Failure::ConnectionLost { .. }
            if is_over_lost_link(tick, call) =>
        {
            AttemptResult::Unused
        }
        // The attempt was not sent in time, which is no failure of the upstream.
        Failure::NotSent if is_late => AttemptResult::Unused,
        // A pause keeps a call from using up its attempts at once.
        Failure::NotSent => AttemptResult::Full,
        Failure::ConnectionRefused => AttemptResult::NotConnected,
        Failure::Unreachable => AttemptResult::Unreachable,
        Failure::RefusedByUpstream { status } if *status == MISDIRECTED_REQUEST => {
            AttemptResult::Replaced
        }
        // A refusal of the request (4xx) is no failure of the upstream.
        Failure::RefusedByUpstream { status } if *status < 500 && *status != 429 => {
            AttemptResult::Unused
        }
        Failure::RefusedByUpstream { .. } if is_relayed => AttemptResult::Full,
        Failure::Silent { .. } if is_relayed => AttemptResult::Silent,
        Failure::RefusedByUpstream { .. }
        | Failure::UpstreamError { .. }
        | Failure::InvalidResponse { .. }
        | Failure::TooLong { .. }
        | Failure::Silent { .. } => AttemptResult::Failed,
        Failure::ConnectionLost { .. } => AttemptResult::Lost,
        _ => AttemptResult::Unused,
    }
}

/// Returns the reason to retry a call or not to, regardless of the retry budget.
pub(super) fn check_retry(
    call: &Call,
    failure: &Failure,
    now_us: u64,
) -> Result<RetryReason, RetryReason> {
    if failure.is_history() {
        return Err(RetryReason::History);
    }
    let is_caller_gone = matches!(failure, Failure::CallerGone { .. });
    // Only a stream can go on after the part that its caller has.
    let relay = call.relay.as_ref();
    let is_stream = relay.is_some_and(|relay| relay.route.kind.is_stream());
    let is_too_long = matches!(failure, Failure::TooLong { .. });
    let is_resumable = is_stream && call.idempotent && !is_caller_gone && !is_too_long;
    if failure.is_forwarded() && !is_resumable {
        return Err(RetryReason::Forwarded);
    }
    let is_started = failure.is_forwarded();
    let deadline_us = call.relay.as_ref().map(|relay| match is_started {
        true => relay.stream_deadline_us,
        false => relay.deadline_us,
    });
    if deadline_us.is_some_and(|deadline_us| now_us >= deadline_us) {
        return Err(RetryReason::TooLate);
    }
    let reason = match (failure.did_not_run(), call.idempotent) {
        (true, _) => RetryReason::NotRun,
        (false, true) => RetryReason::Idempotent,
        (false, false) => return Err(RetryReason::NotIdempotent),
    };
    let is_used_up = call.attempts >= MAX_ATTEMPTS || call.placement.failures >= MAX_FAILURES;
    if is_used_up || has_run_often(call) {
        return Err(RetryReason::TooManyAttempts);
    }
    Ok(reason)
}

/// Returns whether a call that is no stream has run as often as its route allows.
///
/// A stream goes on where it broke off, so each of its runs brings it further.
fn has_run_often(call: &Call) -> bool {
    let Some(relay) = &call.relay else {
        return false;
    };
    let is_stream = matches!(relay.route.kind, RouteKind::Stream { .. });
    !is_stream && relay.runs >= relay.route.max_attempts.max(MIN_RUNS)
}

/// Pins a call to its last upstream once it may have run on as many as its route allows.
pub(super) fn pin_to_upstream(call: &mut Call, upstream: &UpstreamName) {
    let Some(relay) = &mut call.relay else {
        return;
    };
    if !relay.ran_on.contains(upstream) {
        relay.ran_on.push(upstream.clone());
    }
    let max_attempts = relay.route.max_attempts.max(1) as usize;
    relay.only = (relay.ran_on.len() >= max_attempts).then(|| upstream.clone());
}

/// Binds a stream to the service and software version of its first event, once its caller has
/// received that; returns the origin if the stream is bound now.
///
/// The output of another version does not fit what the caller has.
pub(super) fn bind_to_origin<'a>(
    call: &'a mut Call,
    failure: &Failure,
) -> Option<&'a StreamOrigin> {
    let relay = call.relay.as_mut()?;
    if !failure.is_forwarded() || relay.origin.is_some() {
        return None;
    }
    relay.origin.clone_from(&relay.attempt_origin);
    relay.origin.as_ref()
}

/// Returns whether a retry after a failure uses the retry budget.
fn needs_budget(call: &Call, failure: &Failure) -> bool {
    match failure {
        Failure::ConnectionLost { .. } => call.placement.lost_connections > MAX_UNBUDGETED_LOSSES,
        // The backoff after a failed connection limits these retries.
        failure if !failure.is_connected() => false,
        // For relayed calls, the backoff of a full upstream limits these retries.
        Failure::RefusedByUpstream { .. } => call.relay.is_none(),
        _ => true,
    }
}

/// Returns whether a status may come from an intermediary, or from an upstream that did not run
/// the request.
fn is_ambiguous_status(status: u16) -> bool {
    matches!(status, 408 | 429 | 502 | 503 | 504)
}

/// Returns the outcome that the charge record states for an attempt that may have run.
fn charge_outcome(failure: &Failure) -> ChargeOutcome {
    match failure {
        // Without a response, the request may not have reached its upstream.
        Failure::CallerGone { answer_tokens: 0 } => ChargeOutcome::Unknown,
        Failure::CallerGone { .. } => ChargeOutcome::Abandoned,
        Failure::UpstreamError { status } if !is_ambiguous_status(*status) => ChargeOutcome::Failed,
        failure if failure.is_forwarded() => ChargeOutcome::Interrupted,
        _ => ChargeOutcome::Unknown,
    }
}

/// Takes one retry from the budget of the call's pool; returns whether one was left.
pub(super) fn take_retry_budget(tick: &mut Tick<'_>, attempt: AttemptId) -> bool {
    let (now_us, percent) = (tick.now_us, tick.settings.retry_percent);
    let call = tick.tables.calls.get(&attempt.call);
    call.map(|call| call.pool.clone())
        .and_then(|pool| tick.tables.pools.get_mut(&pool))
        .is_some_and(|pool| pool.retry_budget.try_take(now_us, percent))
}

/// Ends a call that is not retried, with the refusal kind of its last failure.
fn end_call(tick: &mut Tick<'_>, attempt: AttemptId, failure: Failure) {
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return;
    };
    let ran = if failure.did_not_run() {
        call.execution()
    } else {
        Execution::MayHaveRun
    };
    let kind = match failure {
        Failure::Silent { .. } => RefusalKind::UpstreamSilent,
        Failure::HistoryUnknown => RefusalKind::TurnUnknown,
        Failure::HistoryTooLarge => RefusalKind::TooLarge,
        Failure::HistoryOutOfMemory => RefusalKind::Overloaded,
        Failure::HistoryUnavailable | Failure::HistoryNotStored { .. } => {
            RefusalKind::HistoryUnavailable
        }
        Failure::CallerGone { .. } => RefusalKind::CallerGone,
        _ => RefusalKind::UpstreamFailed,
    };
    admission::refuse(tick, attempt.call, kind, ran, None);
}
