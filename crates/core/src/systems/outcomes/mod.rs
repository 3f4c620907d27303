//! Results of attempts: responses, retries and charges.

use super::{Tick, admission, homes};
use crate::ids::{AttemptId, CallId};
use crate::input::{AttemptEvent, AttemptOutcome, AttemptProgress, Failure};
use crate::message::PlacementMessage;
use crate::output::{Answered, Charge, ChargeOutcome, Decision, Execution, Output, RefusalKind};
use crate::tables::{Call, Stage};

/// Attempts of a call, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub events: Vec<AttemptEvent>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    for event in std::mem::take(&mut tick.work.outcomes.events) {
        handle(tick, event);
    }
}

/// Handles an event of the running attempt; events of older attempts are dropped.
fn handle(tick: &mut Tick<'_>, event: AttemptEvent) {
    let attempt = event.attempt;
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    if call.stage != Stage::Running || call.attempt() != attempt {
        return;
    }
    match event.progress {
        AttemptProgress::Sent => call.sent = true,
        AttemptProgress::FirstToken => {}
        AttemptProgress::Finished(outcome) => finish(tick, attempt, outcome),
        AttemptProgress::Failed(failure) => fail(tick, attempt, failure),
    }
}

/// Ends a call whose response is complete.
fn finish(tick: &mut Tick<'_>, attempt: AttemptId, outcome: AttemptOutcome) {
    free_upstream(tick, attempt, outcome.answer_tokens);
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    call.stage = Stage::Settling;
    let tokens = (outcome.prompt_tokens, outcome.answer_tokens);
    let charge = charge_for(call, attempt, tokens, ChargeOutcome::Complete);
    tick.work.charges.charges.extend(charge);
    if call.program.is_none() {
        answer(tick, attempt.call, None, None);
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

/// Retries or ends a call whose attempt failed.
fn fail(tick: &mut Tick<'_>, attempt: AttemptId, failure: Failure) {
    free_upstream(tick, attempt, failure.answer_tokens());
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    call.may_have_run |= !failure.is_not_run();
    if let Failure::CallerGone { answer_tokens } = failure {
        call.used_tokens = Some(call.new.prompt_tokens + answer_tokens);
    }
    let may_repeat = call.idempotent || failure.is_not_run();
    let may_retry = may_repeat && !failure.is_forwarded() && call.attempts < MAX_ATTEMPTS;
    if let Some(upstream) = call.upstream.clone().filter(|_| may_retry) {
        call.avoid.push(upstream.clone());
        tick.decide(Decision::Retry {
            call: attempt.call,
            upstream,
        });
        admission::enter(tick, attempt.call, Stage::Place);
        return;
    }
    let ran = if failure.is_not_run() {
        Execution::NotRun
    } else {
        Execution::MayHaveRun
    };
    let outcome = match failure {
        Failure::CallerGone { .. } => Some(ChargeOutcome::Abandoned),
        failure if failure.is_forwarded() => Some(ChargeOutcome::Interrupted),
        _ => None,
    };
    if let Some(outcome) = outcome {
        let tokens = (call.new.prompt_tokens, failure.answer_tokens());
        let charge = charge_for(call, attempt, tokens, outcome);
        tick.work.charges.charges.extend(charge);
    }
    let kind = match failure {
        Failure::Silent { .. } => RefusalKind::UpstreamSilent,
        Failure::CallerGone { .. } => RefusalKind::CallerGone,
        _ => RefusalKind::UpstreamFailed,
    };
    admission::refuse(tick, attempt.call, kind, ran, None);
}

/// Gives the final answer to a call that ran.
pub(crate) fn answer(
    tick: &mut Tick<'_>,
    id: CallId,
    continuation: Option<crate::input::Continuation>,
    permit: Option<crate::input::Permit>,
) {
    if tick.tables.calls.remove(&id).is_some() {
        tick.outputs.push(Output::Answered(Box::new(Answered {
            call: id,
            continuation,
            permit,
        })));
    }
}

/// Tells the owner of the pool that an attempt has ended.
fn free_upstream(tick: &mut Tick<'_>, attempt: AttemptId, answer_tokens: u64) {
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return;
    };
    let Some(upstream) = call.upstream.clone() else {
        return;
    };
    let pool = call.pool.clone();
    if let Some(owner) = tick.tables.view.pool_owner(&pool).cloned() {
        let finish = PlacementMessage::Finish {
            pool,
            attempt,
            upstream,
            answer_tokens,
        };
        tick.send(&owner, finish);
    }
}

/// Makes the charge record of an attempt.
fn charge_for(
    call: &Call,
    attempt: AttemptId,
    (prompt_tokens, answer_tokens): (u64, u64),
    outcome: ChargeOutcome,
) -> Option<Charge> {
    let turn = call.new.program.as_ref().map_or(0, |program| program.turn);
    Some(Charge {
        attempt,
        account: call.account.clone(),
        program: call.program.clone().map(|key| (key, turn)),
        upstream: call.upstream.clone()?,
        prompt_tokens,
        answer_tokens,
        outcome,
    })
}
