//! Completes calls: frees upstreams, ends turns and creates charge records.

use super::super::{Tick, budgets, homes, links, placement};
use crate::ids::{AttemptId, CallId};
use crate::input::{AttemptOutcome, Continuation, Permit};
use crate::message::{AttemptResult, Finish};
use crate::output::{Answered, Charge, ChargeOutcome, Execution, Output};
use crate::tables::{Call, LastRun, Stage};

/// Completes a call whose response has been received in full.
pub(super) fn complete_call(tick: &mut Tick<'_>, attempt: AttemptId, outcome: AttemptOutcome) {
    release_upstream(tick, attempt, AttemptResult::Complete, &outcome);
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    call.stage = Stage::Settling;
    if let Some(relay) = &mut call.relay {
        relay.forwarded_tokens += outcome.answer_tokens;
    }
    let tokens = (outcome.prompt_tokens, outcome.answer_tokens);
    let run = call.to_last_run(outcome.answer_tokens, ChargeOutcome::Complete);
    let charge = run.map(|run| build_charge(call, run, outcome.prompt_tokens));
    tick.work.charges.charges.extend(charge);
    if call.program.is_none() {
        answer_call(tick, attempt.call, None, None);
        return;
    }
    let call = call.clone();
    let used_tokens = tokens.0 + tokens.1;
    homes::end_turn(
        tick,
        &call,
        Execution::Ran,
        used_tokens,
        Some(outcome.history),
    );
}

/// Removes a call that ran, settles its budget and reports it as answered.
pub(crate) fn answer_call(
    tick: &mut Tick<'_>,
    id: CallId,
    continuation: Option<Continuation>,
    permit: Option<Permit>,
) {
    if let Some(call) = tick.tables.calls.remove(&id) {
        budgets::settle_turn(tick, &call, call.forwarded_tokens());
        tick.outputs.push(Output::Answered(Box::new(Answered {
            call: id,
            continuation,
            permit,
        })));
    }
}

/// Reports the end of an attempt and its measurements to the owner of the pool.
pub(super) fn release_upstream(
    tick: &mut Tick<'_>,
    attempt: AttemptId,
    result: AttemptResult,
    outcome: &AttemptOutcome,
) {
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return;
    };
    let Some(upstream) = call.upstream.clone() else {
        return;
    };
    let proxy = call.proxy.clone();
    let finish = Finish {
        pool: call.pool.clone(),
        attempt,
        upstream,
        result,
        prompt_tokens: outcome.prompt_tokens,
        cached_tokens: outcome.cached_tokens,
        answer_tokens: outcome.answer_tokens,
        first_token_us: call
            .placement
            .first_token_us
            .saturating_sub(call.placement.dispatched_us),
        total_us: now_us.saturating_sub(call.placement.dispatched_us),
    };
    placement::end_attempt(tick, finish);
    if let Some(proxy) = proxy {
        links::end_proxied(tick, &proxy);
    }
}

/// Charges a call that ends without a complete response and may have run.
pub(crate) fn charge_last_run(tick: &mut Tick<'_>, call: &Call) {
    if let Some(run) = &call.last_run {
        let charge = build_charge(call, (**run).clone(), call.request.prompt_tokens);
        tick.work.charges.charges.push(charge);
    }
}

/// Builds the charge record of a call from its last attempt.
///
/// A resumed stream is charged for the tokens of all its attempts.
fn build_charge(call: &Call, run: LastRun, prompt_tokens: u64) -> Charge {
    let turn = call
        .request
        .program
        .as_ref()
        .map_or(0, |program| program.turn);
    let forwarded_tokens = call
        .relay
        .as_ref()
        .map_or(0, |relay| relay.forwarded_tokens);
    Charge {
        attempt: run.attempt,
        account: call.account.clone(),
        program: call.program_key().cloned().map(|key| (key, turn)),
        upstream: run.upstream,
        prompt_tokens,
        answer_tokens: run.answer_tokens.max(forwarded_tokens),
        outcome: run.outcome,
    }
}
