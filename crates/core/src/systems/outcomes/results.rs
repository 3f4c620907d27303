//! Complete responses, charge records and the end of turns.

use super::super::{Tick, placement};
use crate::ids::{AttemptId, CallId, HistoryDigest};
use crate::input::{AttemptOutcome, Continuation, Permit};
use crate::message::{AttemptResult, Finish, HomesMessage, Settle};
use crate::output::{Answered, Charge, ChargeOutcome, Execution, Output};
use crate::tables::{Call, Stage};

/// Ends a call whose response is complete.
pub(super) fn finish(tick: &mut Tick<'_>, attempt: AttemptId, outcome: AttemptOutcome) {
    free_upstream(tick, attempt, AttemptResult::Complete, &outcome);
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    call.stage = Stage::Settling;
    let tokens = (outcome.prompt_tokens, outcome.answer_tokens);
    let charge = charge_for(call, attempt, tokens, ChargeOutcome::Complete);
    let settle = settle_for(
        call,
        Execution::Ran,
        tokens.0 + tokens.1,
        Some(outcome.history),
    );
    tick.work.charges.charges.extend(charge);
    match settle {
        Some(settle) => send_settle(tick, settle),
        None => answer(tick, attempt.call, None, None),
    }
}

/// Gives the final answer to a call that ran.
pub(crate) fn answer(
    tick: &mut Tick<'_>,
    id: CallId,
    continuation: Option<Continuation>,
    permit: Option<Permit>,
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
pub(super) fn free_upstream(
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
    let finish = Finish {
        pool: call.pool.clone(),
        attempt,
        upstream,
        result,
        prompt_tokens: outcome.prompt_tokens,
        cached_tokens: outcome.cached_tokens,
        answer_tokens: outcome.answer_tokens,
        first_token_us: call
            .place
            .first_token_us
            .saturating_sub(call.place.dispatched_us),
        total_us: now_us.saturating_sub(call.place.dispatched_us),
    };
    placement::end_attempt(tick, finish);
}

/// Tells the home of a program that a turn has ended.
fn send_settle(tick: &mut Tick<'_>, settle: Settle) {
    if let Some(home) = tick.tables.view.program_home(&settle.program).cloned() {
        tick.send(&home, HomesMessage::Settle(settle));
    }
}

/// Makes the charge record of an attempt.
pub(super) fn charge_for(
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

/// Makes the report of the end of a turn.
fn settle_for(
    call: &Call,
    ran: Execution,
    used_tokens: u64,
    history: Option<HistoryDigest>,
) -> Option<Settle> {
    Some(Settle {
        call: call.new.id,
        program: call.program.clone()?,
        turn: call.new.program.as_ref()?.turn,
        ran,
        used_tokens,
        history,
    })
}
