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

use smallvec::SmallVec;

use super::{Tick, admission};
use crate::ids::{CallId, Incarnation, ProgramKey, VmName};
use crate::message::{ProgramSpent, ProgramUse};
use crate::output::{Decision, Execution, Output, RefusalKind, SourceRequest};
use crate::tables::{
    Budget, BudgetDecision, BudgetRecord, Call, Coverage, ProgramKnowledge, RelayState, RouteTurns,
    Stage, Timer,
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

/// Restores a program from its record in the store after all VMs lost their state.
pub(crate) fn restore_record(tick: &mut Tick<'_>, record: &BudgetRecord) {
    let row = get_or_create_row(tick, &record.program, DEFAULT_RETENTION_MS * 1_000);
    row.budget_tokens = record.budget_tokens;
    row.has_record = true;
    row.is_stopped |= record.is_stopped;
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

/// Reserves tokens in the record of a program; a new one counts `taken_tokens` as used.
fn reserve(tick: &mut Tick<'_>, program: &ProgramKey, needed_tokens: u64, taken_tokens: u64) {
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    row.is_reserving = true;
    tick.outputs.push(Output::Source(SourceRequest::Reserve {
        program: program.clone(),
        budget_tokens: row.budget_tokens,
        taken_tokens,
        needed_tokens,
        has_record: row.has_record,
    }));
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

/// Creates the row of a new program, or updates the time at which it was last used.
///
/// A new program is announced to the other VMs at once, so that they can distinguish its
/// sub-agents from its main line of turns.
fn open_program(tick: &mut Tick<'_>, id: CallId, program: &ProgramKey, line: Option<u64>) {
    let now_us = tick.now_us;
    let relay = tick
        .tables
        .calls
        .get(&id)
        .and_then(|call| call.relay.as_ref());
    let Some(relay) = relay else {
        return;
    };
    let budget_tokens = relay.budget_tokens.unwrap_or_default();
    let retention_us = relay.route.program_keep_ms.unwrap_or(DEFAULT_RETENTION_MS) * 1_000;
    let round = tick.tables.peering.next_round();
    let row = get_or_create_row(tick, program, retention_us);
    row.last_used_us = now_us;
    if row.budget_tokens > 0 {
        return;
    }
    row.budget_tokens = budget_tokens;
    if row.main_line.is_none() {
        row.main_line = line;
        row.changed_round = round;
        tick.work.peers.announce = true;
    }
}

/// Numbers a turn among those of its program, once, and counts it for its route.
fn count_turn(tick: &mut Tick<'_>, id: CallId, program: &ProgramKey) {
    let tables = &mut *tick.tables;
    let Some(row) = tables.budgets.get_mut(program) else {
        return;
    };
    let call = tables.calls.get_mut(&id);
    let Some(relay) = call.and_then(|call| call.relay.as_deref_mut()) else {
        return;
    };
    if relay.turn_number > 0 {
        return;
    }
    row.turns += 1;
    relay.turn_number = row.turns;
    let turns = tables
        .route_turns
        .get_or_insert_with(&relay.route.name, RouteTurns::default);
    turns.record(row.turns == 1);
}

/// Returns the row of a program; creates the row and its expiry timer if it is missing.
fn get_or_create_row<'a>(
    tick: &'a mut Tick<'_>,
    program: &ProgramKey,
    retention_us: u64,
) -> &'a mut Budget {
    let now_us = tick.now_us;
    if !tick.tables.budgets.contains_key(program) {
        let timer = Timer::BudgetIdle(program.clone());
        tick.tables.timers.set(now_us + retention_us, timer);
        let knowledge = tick.tables.source.knowledge;
        let row = Budget {
            retention_us,
            last_used_us: now_us,
            first_seen_us: now_us,
            losses: knowledge.losses(now_us).unwrap_or(u32::MAX),
            ..Budget::default()
        };
        tick.tables.budgets.insert(program.clone(), row);
    }
    tick.tables
        .budgets
        .get_or_insert_with(program, Budget::default)
}

/// Records a reservation and continues the turns that waited for it.
fn handle_reservation(tick: &mut Tick<'_>, program: &ProgramKey, tokens: Option<u64>) {
    let round = tick.tables.peering.next_round();
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    row.is_reserving = false;
    row.has_record |= tokens.is_some();
    row.changed_round = round;
    let waiting = take_waiting(tick, program);
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    let unwanted_tokens = tokens.filter(|_| waiting.is_empty()).unwrap_or_default();
    row.reserved_tokens += tokens.unwrap_or_default() - unwanted_tokens;
    let reserved_tokens = row.reserved_tokens;
    tick.log(Decision::BudgetReserved {
        program: program.clone(),
        tokens,
        reserved_tokens,
    });
    if unwanted_tokens > 0 {
        give_back(tick, program, unwanted_tokens);
    }
    for id in waiting {
        match tokens {
            Some(0) => stop_program(tick, program, id),
            Some(_) => cover_turn(tick, id),
            None => refuse_uncovered(tick, id),
        }
    }
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

/// Gives reserved tokens that no turn has used back to the record: the next turn may come through
/// another VM, which cannot use what this one holds.
fn give_back(tick: &mut Tick<'_>, program: &ProgramKey, tokens: u64) {
    tick.outputs.push(Output::Source(SourceRequest::Release {
        program: program.clone(),
        tokens,
    }));
}

/// Merges the use that another VM reports of a program.
pub(crate) fn merge_use(
    tick: &mut Tick<'_>,
    vm: &VmName,
    incarnation: Incarnation,
    used: &ProgramUse,
) {
    let now_us = tick.now_us;
    let row = get_or_create_row(tick, &used.program, DEFAULT_RETENTION_MS * 1_000);
    // Another VM reports its use again only when a turn has ended there.
    row.turns += u32::from(used.tokens > row.spent_by(vm, incarnation));
    row.set_spent(vm, incarnation, used.tokens);
    row.main_line = row.main_line.or(used.main_line);
    row.is_stopped |= used.is_stopped;
    row.has_record |= used.has_record;
    row.last_used_us = now_us;
    if let Some((upstream, tokens)) = &used.cached {
        super::placement::record_cached_prefix(tick, &used.program, upstream, *tokens);
    }
}

/// Merges the state of a program from the snapshot of another VM.
pub(crate) fn merge_snapshot(tick: &mut Tick<'_>, program: &ProgramSpent) {
    let row = get_or_create_row(tick, &program.program, DEFAULT_RETENTION_MS * 1_000);
    row.budget_tokens = row.budget_tokens.max(program.budget_tokens);
    row.main_line = row.main_line.or(program.main_line);
    row.is_stopped |= program.is_stopped;
    row.has_record |= program.has_record;
    row.losses = program.losses;
    for (vm, incarnation, tokens) in &program.spent {
        row.set_spent(vm, *incarnation, *tokens);
    }
}

/// Removes a program that had no turns within its retention time, or checks again later.
fn expire_program(tick: &mut Tick<'_>, program: ProgramKey) {
    let Some(row) = tick.tables.budgets.get(&program) else {
        return;
    };
    let due_us = row.last_used_us + row.retention_us;
    if due_us <= tick.now_us && row.waiting.is_empty() {
        tick.tables.budgets.remove(&program);
    } else {
        let due_us = due_us.max(tick.now_us + 1_000_000);
        tick.tables.timers.set(due_us, Timer::BudgetIdle(program));
    }
}
