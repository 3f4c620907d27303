//! The entry VM's side of a turn.

use super::super::{Tick, admission, outcomes};
use crate::ids::{CallId, VmName};
use crate::input::{Continuation, Permit};
use crate::message::{Begin, Denied, HomesMessage};
use crate::output::{Execution, Output, RefusalKind};
use crate::tables::Stage;

/// Asks the home to let a turn begin.
pub(super) fn begin(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        return;
    };
    let (Some(program), Some(turn)) = (call.program.clone(), call.new.program.clone()) else {
        return;
    };
    call.begin_sent_us = now_us;
    let begin = Begin {
        call: id,
        turn: turn.turn,
        continuation: turn.continuation,
        permit: call.new.permit.clone(),
        idempotent: call.idempotent,
        reserve_tokens: call.reserve_tokens(),
        program,
    };
    let Some(home) = tick.tables.view.program_home(&begin.program).cloned() else {
        admission::refuse(
            tick,
            id,
            RefusalKind::HomeMoving,
            Execution::NotRun,
            Some(1_000),
        );
        return;
    };
    tick.send(&home, HomesMessage::Begin(Box::new(begin)));
}

/// Moves a call on that may begin its turn.
pub(super) fn began(tick: &mut Tick<'_>, id: CallId, generation: u64, valid_us: u64) {
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        return;
    };
    if call.stage != Stage::Home {
        return;
    }
    call.generation = generation;
    call.valid_until_us = call.begin_sent_us.saturating_add(valid_us);
    admission::enter(tick, id, Stage::Place);
}

/// Refuses a call that may not begin its turn.
pub(super) fn denied(tick: &mut Tick<'_>, denied: Denied) {
    let Denied {
        call,
        kind,
        ran,
        retry_after_ms,
    } = denied;
    admission::refuse(tick, call, kind, ran, retry_after_ms);
}

/// Answers a resent call with a kept response.
pub(super) fn kept(tick: &mut Tick<'_>, call: CallId, vm: VmName, original: CallId) {
    if tick.tables.calls.remove(&call).is_some() {
        tick.outputs.push(Output::Replay { call, vm, original });
    }
}

/// Gives the final answer once the home knows the end of the turn.
pub(super) fn settled(
    tick: &mut Tick<'_>,
    id: CallId,
    continuation: Continuation,
    permit: Option<Permit>,
) {
    outcomes::answer(tick, id, Some(continuation), permit);
}
