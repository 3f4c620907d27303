//! Token budgets of programs whose turns may come through any VM.
//!
//! A quarter of a budget may be used once storage VMs have recorded each turn (`claims`); beyond
//! it, a VM reserves tokens in the program's record in the store before it forwards them to
//! callers. Unused reservations are lost with their VM, so VMs that crash or can't reach each other
//! never exceed a budget. What is not known is neither used up nor free: a turn that does not fit
//! beside what is claimed, and may end up unused, is refused for now. If storage VMs do not answer, a
//! new record counts all that they can have granted, but not for turns that the system keeps, which
//! need storage VMs themselves.

mod claims;
mod programs;
mod reservations;

use smallvec::SmallVec;

pub(crate) use programs::{merge_snapshot, merge_use, restore_record};

use self::programs::{count_turn, expire_program, open_program};
use self::reservations::{give_back, handle_reservation, reserve};
use super::{Tick, admission};
use crate::ids::{CallId, ProgramKey};
use crate::output::{Decision, Execution, Output, RefusalKind, SourceRequest};
use crate::tables::{
    Budget, BudgetDecision, Call, Coverage, ProgramKnowledge, RelayState, Stage, Timer,
};
use crate::usage::ClaimResult;

/// How long a program is kept after its last turn if its route sets no time.
const DEFAULT_RETENTION_MS: u64 = 60_000;

/// `retry-after` of a turn that is refused because the store did not answer.
const RETRY_AFTER_MS: u64 = 300;

/// Longest wait of a turn for its program's budget; its caller has time left to come back.
const MAX_WAIT_US: u64 = 1_500_000;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Turns to be covered by their program's budget.
    pub calls: Vec<CallId>,
    /// Tokens reserved for each program: 0 if its budget is used up, `None` if the store did not
    /// answer.
    pub reservations: Vec<(ProgramKey, Option<u64>)>,
    /// What became of claims.
    pub claims: Vec<(ProgramKey, ClaimResult)>,
    pub due_timers: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.reservations.is_empty()
            && self.claims.is_empty()
            && self.due_timers.is_empty()
    }
}

/// Handles reservations and due timers, then covers turns once earlier programs are known.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.budgets);
    for (program, tokens) in work.reservations {
        handle_reservation(tick, &program, tokens);
    }
    for (program, result) in work.claims {
        claims::handle_result(tick, &program, &result);
    }
    for timer in work.due_timers {
        match timer {
            Timer::BudgetWait(call) => expire_wait(tick, call),
            Timer::BudgetIdle(program) => expire_program(tick, program),
            _ => {}
        }
    }
    if tick.tables.source.knowledge == ProgramKnowledge::Pending {
        for call in work.calls {
            schedule_wait_end(tick, call);
            tick.tables.source.waiting.push(call);
        }
        return;
    }
    for call in work.calls {
        cover_turn(tick, call);
    }
}

/// Limits the wait of a turn for its budget, at most until its deadline.
fn schedule_wait_end(tick: &mut Tick<'_>, id: CallId) {
    let call = tick.tables.calls.get(&id);
    let Some(relay) = call.and_then(|call| call.relay.as_ref()) else {
        return;
    };
    let due_us = relay.deadline_us.min(tick.now_us + MAX_WAIT_US);
    tick.tables.timers.set(due_us, Timer::BudgetWait(id));
}

/// Refuses a turn that still waits for its budget.
fn expire_wait(tick: &mut Tick<'_>, id: CallId) {
    let Some(call) = tick.tables.calls.get(&id) else {
        return;
    };
    if call.stage != Stage::Budget {
        return;
    }
    refuse_uncovered(tick, id);
}

/// Refuses a turn because it is not known what is left of its program's budget.
fn refuse_uncovered(tick: &mut Tick<'_>, id: CallId) {
    if let Some((program, ..)) = turn_of(tick, id) {
        report_uncovered(tick, &program, id);
    }
    let kind = RefusalKind::BudgetUnknown;
    let retry_after_ms = Some(RETRY_AFTER_MS);
    admission::refuse(tick, id, kind, Execution::NotRun, retry_after_ms);
}

/// Denies a turn beside which too much of the budget is claimed: for good if that much is certainly
/// used, otherwise for now.
fn deny_turn(tick: &mut Tick<'_>, program: &ProgramKey, id: CallId) {
    let turn_tokens = turn_of(tick, id).map_or(0, |(.., tokens)| tokens);
    let row = tick.tables.budgets.get(program);
    if row.is_some_and(|row| row.is_used_up(turn_tokens)) {
        stop_program(tick, program, id);
    } else {
        refuse_uncovered(tick, id);
    }
}

/// Records that earlier programs are known and resumes the turns that waited for this.
pub(crate) fn mark_programs_known(tick: &mut Tick<'_>, losses: u32, programs: usize) {
    let source = &mut tick.tables.source;
    source.knowledge = ProgramKnowledge::Known {
        losses,
        counted_us: if losses > 0 { tick.now_us } else { 0 },
    };
    let waiting = std::mem::take(&mut source.waiting);
    tick.work.budgets.calls.extend(waiting);
    tick.work.peers.announce = true;
    tick.log(Decision::ProgramUsageKnown { programs, losses });
}

/// Covers a turn by its program's budget, requests a reservation for it, or refuses it.
fn cover_turn(tick: &mut Tick<'_>, id: CallId) {
    let is_waiting = |call: &Call| call.stage == Stage::Budget;
    if !tick.tables.calls.get(&id).is_some_and(is_waiting) {
        return;
    }
    let Some((program, line, turn_tokens)) = turn_of(tick, id) else {
        return;
    };
    open_program(tick, id, &program, line);
    count_turn(tick, id, &program);
    let Some(row) = tick.tables.budgets.get_mut(&program) else {
        return;
    };
    // One request for a program at a time; the others decide when it is answered.
    if row.is_reserving || row.pending_claim.is_some() {
        row.waiting.push(id);
        schedule_wait_end(tick, id);
        return;
    }
    match row.cover(turn_tokens) {
        BudgetDecision::Covered(cover) => start_turn(tick, &program, id, cover),
        BudgetDecision::NeedsClaim => {
            claims::claim_turn(tick, &program, id, turn_tokens);
            schedule_wait_end(tick, id);
        }
        BudgetDecision::NeedsReservation { needed_tokens } => {
            row.waiting.push(id);
            if row.has_record {
                let taken_tokens = row.unrecorded_tokens(turn_tokens);
                reserve(tick, &program, needed_tokens, taken_tokens);
            } else {
                claims::close(tick, &program, turn_tokens, needed_tokens);
            }
            schedule_wait_end(tick, id);
        }
        BudgetDecision::Exhausted => stop_program(tick, &program, id),
    }
}

/// Lets a turn run on tokens that have been taken from its program's budget.
fn start_turn(tick: &mut Tick<'_>, program: &ProgramKey, id: CallId, cover: Coverage) {
    let row = tick.tables.budgets.get(program);
    let known_tokens = row.map_or(0, Budget::known_tokens);
    let budget_tokens = row.map_or(0, |row| row.budget_tokens);
    if let Some(relay) = relay_mut(tick, id) {
        relay.cover = Some(cover);
    }
    tick.log(Decision::TurnCovered {
        call: id,
        program: program.clone(),
        known_tokens,
        budget_tokens,
        cover,
    });
    admission::enter_stage(tick, id, Stage::Place);
}

/// Takes the calls that wait for the request of a program that was answered.
fn take_waiting(tick: &mut Tick<'_>, program: &ProgramKey) -> SmallVec<[CallId; 2]> {
    let row = tick.tables.budgets.get_mut(program);
    let mut waiting = row.map_or_else(SmallVec::new, |row| std::mem::take(&mut row.waiting));
    let calls = &tick.tables.calls;
    waiting.retain(|id| {
        calls
            .get(id)
            .is_some_and(|call| call.stage == Stage::Budget)
    });
    waiting
}

/// Returns the program, the line and the maximum generated tokens of a turn.
fn turn_of(tick: &Tick<'_>, id: CallId) -> Option<(ProgramKey, Option<u64>, u64)> {
    let call = tick.tables.calls.get(&id)?;
    let relay = call.relay.as_ref()?;
    Some((relay.program.clone()?, relay.line, call.request.max_tokens))
}

/// Returns the relay state of a call; `None` if the call isn't relayed.
fn relay_mut<'a>(tick: &'a mut Tick<'_>, id: CallId) -> Option<&'a mut RelayState> {
    tick.tables.calls.get_mut(&id)?.relay.as_deref_mut()
}

/// Logs that a turn is not covered by its program's budget.
pub(crate) fn report_uncovered(tick: &mut Tick<'_>, program: &ProgramKey, call: CallId) {
    let row = tick.tables.budgets.get(program);
    let known_tokens = row.map_or(0, Budget::known_tokens);
    let budget_tokens = row.map_or(0, |row| row.budget_tokens);
    tick.log(Decision::TurnUncovered {
        call,
        program: program.clone(),
        known_tokens,
        budget_tokens,
    });
}

/// Refuses a turn that exceeds the budget and stops its program for good.
fn stop_program(tick: &mut Tick<'_>, program: &ProgramKey, id: CallId) {
    report_uncovered(tick, program, id);
    let round = tick.tables.peering.next_round();
    if let Some(row) = tick.tables.budgets.get_mut(program)
        && !std::mem::replace(&mut row.is_stopped, true)
    {
        row.changed_round = round;
        let known_tokens = row.known_tokens();
        let budget_tokens = row.budget_tokens;
        if !std::mem::replace(&mut row.has_record, true) {
            // The record keeps the program stopped even if all VMs lose their state.
            tick.outputs
                .push(Output::Source(SourceRequest::MarkStopped {
                    program: program.clone(),
                    budget_tokens,
                }));
        }
        tick.work.peers.announce = true;
        tick.log(Decision::ProgramStopped {
            program: program.clone(),
            known_tokens,
            budget_tokens,
        });
    }
    admission::refuse(tick, id, RefusalKind::OverBudget, Execution::NotRun, None);
}

/// Records the tokens that a turn of this VM used, and releases the rest of its cover.
///
/// `used_tokens` are those that its caller may have got.
pub(crate) fn settle_turn(tick: &mut Tick<'_>, call: &Call, used_tokens: u64) {
    let Some(relay) = &call.relay else {
        return;
    };
    let (Some(cover), Some(program)) = (relay.cover, &relay.program) else {
        return;
    };
    let now_us = tick.now_us;
    let round = tick.tables.peering.next_round();
    let (vm, incarnation) = (&tick.settings.vm, tick.settings.incarnation);
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    let is_given_back = cover == Coverage::Reserved && used_tokens == 0;
    if !is_given_back {
        row.settle_turn(cover, call.request.max_tokens, used_tokens);
    }
    let spent = row.spent_by(vm, incarnation) + used_tokens;
    row.set_spent(vm, incarnation, spent);
    row.last_used_us = now_us;
    row.changed_round = round;
    let is_partly_used = used_tokens < call.request.max_tokens;
    if let Some(upstream) = &call.upstream {
        let tokens = call.request.prompt_tokens + relay.forwarded_tokens;
        row.cached = Some((upstream.clone(), tokens));
    }
    if cover == Coverage::Free && is_partly_used {
        claims::report(tick, program);
    }
    if is_given_back {
        give_back(tick, program, call.request.max_tokens);
    }
}
