//! Turn order: decides whether a call may begin its turn.

use super::super::Tick;
use super::permits;
use crate::ids::{CallId, VmName};
use crate::message::Begin;
use crate::output::{Execution, RefusalKind};
use crate::tables::{FinishedTurn, Phase, Program};

/// What a home does with a call that asks for its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum BeginDecision {
    /// The turn begins.
    Start,
    /// This call already runs the turn; the reply is repeated.
    AlreadyBegun,
    /// The call waits for earlier turns.
    Wait,
    /// The call is a resend of the turn in progress and waits for its end.
    Attach,
    /// The call is a resend of the last turn, whose response is still stored on `vm`.
    Replay { vm: VmName, original: CallId },
    /// The call is denied, with what is known about earlier runs.
    Deny(RefusalKind, Execution),
}

/// Decides about a call that asks for its turn.
pub(super) fn decide(tick: &Tick<'_>, program: &Program, begin: &Begin) -> BeginDecision {
    let ran = prior_execution(tick, program, begin);
    if let Some(current) = &program.current
        && current.call == begin.call
    {
        return BeginDecision::AlreadyBegun;
    }
    let carried = begin.continuation.as_ref();
    if carried.is_some_and(|c| c.generation != program.generation) {
        return BeginDecision::Deny(RefusalKind::ProgramEnded, ran);
    }
    if begin.turn <= program.turn {
        return decide_finished(tick, program, begin);
    }
    let is_resend = program
        .current
        .as_ref()
        .is_some_and(|current| current.number == begin.turn && current.digest == begin.digest);
    if is_resend {
        return BeginDecision::Attach;
    }
    match program.phase {
        Phase::Open => {}
        Phase::Ended => return BeginDecision::Deny(RefusalKind::ProgramEnded, ran),
        Phase::Exhausted => return BeginDecision::Deny(RefusalKind::OverBudget, ran),
    }
    match &program.current {
        Some(current) if current.number == begin.turn => {
            BeginDecision::Deny(RefusalKind::DuplicateTurn, ran)
        }
        Some(_) => BeginDecision::Wait,
        None if begin.turn > program.turn + 1 => BeginDecision::Wait,
        None => decide_next(tick, program, begin),
    }
}

/// Decides about a call for a turn that has finished.
fn decide_finished(tick: &Tick<'_>, program: &Program, begin: &Begin) -> BeginDecision {
    let kind = RefusalKind::DuplicateTurn;
    if begin.turn < program.turn {
        return BeginDecision::Deny(kind, Execution::MayHaveRun);
    }
    let Some(last) = &program.last else {
        return BeginDecision::Deny(kind, Execution::MayHaveRun);
    };
    if last.digest != begin.digest {
        return BeginDecision::Deny(kind, prior_execution(tick, program, begin));
    }
    if has_stored_response(tick, last) {
        return BeginDecision::Replay {
            vm: last.vm.clone(),
            original: last.call,
        };
    }
    BeginDecision::Deny(kind, Execution::Ran)
}

/// Returns whether the entry VM of a finished turn still has the response.
fn has_stored_response(tick: &Tick<'_>, last: &FinishedTurn) -> bool {
    let retained_until_us = last.ended_us + tick.settings.answer_keep_ms * 1_000;
    let member = tick.tables.view.member(&last.vm);
    tick.now_us < retained_until_us
        && member.is_some_and(|member| member.incarnation == last.call.incarnation)
}

/// Decides about a call for the turn that follows the last finished one.
fn decide_next(tick: &Tick<'_>, program: &Program, begin: &Begin) -> BeginDecision {
    let ran = prior_execution(tick, program, begin);
    if let Err(kind) = check_continuation(program, begin) {
        return BeginDecision::Deny(kind, ran);
    }
    if begin.idempotent {
        return BeginDecision::Start;
    }
    let is_unknown = program.unknown.is_some_and(|unknown| !unknown.idempotent);
    if is_unknown || !permits::is_valid(tick, program, begin) {
        return BeginDecision::Deny(RefusalKind::PermitVoid, ran);
    }
    BeginDecision::Start
}

/// Checks that the continuation of a call matches the program's turn and history.
///
/// A call without a model has no messages and needs no continuation, unless the
/// row was rebuilt after the loss of a previous home and may lack turns.
fn check_continuation(program: &Program, begin: &Begin) -> Result<(), RefusalKind> {
    let Some(carried) = &begin.continuation else {
        let has_messages = begin.pool.model.is_some();
        let is_needed = program.turn > 0 && (has_messages || program.is_recovered);
        return if is_needed {
            Err(RefusalKind::ContinuationMissing)
        } else {
            Ok(())
        };
    };
    if carried.turn < program.turn {
        return Err(RefusalKind::StaleContinuation);
    }
    if carried.turn > program.turn || carried.history != program.history {
        return Err(RefusalKind::HistoryMismatch);
    }
    Ok(())
}

/// Returns whether a request that does not run now may have run before.
///
/// A request without a permit may be repeated, so only this call counts. One
/// with a permit may be a resend: it is reported as not run only if every use
/// of the permit would be known here, and its turn is not in progress, has not
/// finished and does not have an unknown outcome.
pub(super) fn prior_execution(tick: &Tick<'_>, program: &Program, begin: &Begin) -> Execution {
    let Some(permit) = &begin.permit else {
        return Execution::NotRun;
    };
    let is_known = permit.generation == program.generation
        && permit.turn == begin.turn
        && (permits::is_own(tick, program, permit) || permit.epoch >= program.known_from);
    let is_unknown = program.unknown.is_some_and(|unknown| !unknown.idempotent);
    let is_running = program
        .current
        .as_ref()
        .is_some_and(|current| current.number == begin.turn && current.digest == begin.digest);
    if is_known && begin.turn > program.turn && !is_unknown && !is_running {
        Execution::NotRun
    } else {
        Execution::MayHaveRun
    }
}
