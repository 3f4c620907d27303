//! The rows of programs: opened by a turn, merged from other VMs and removed after their retention.

use super::DEFAULT_RETENTION_MS;
use crate::ids::{CallId, Incarnation, ProgramKey, VmName};
use crate::message::{ProgramSpent, ProgramUse};
use crate::systems::{Tick, placement};
use crate::tables::{Budget, BudgetRecord, RouteTurns, Timer};

/// Restores a program from its record in the store after all VMs lost their state.
pub(crate) fn restore_record(tick: &mut Tick<'_>, record: &BudgetRecord) {
    let row = get_or_create_row(tick, &record.program, DEFAULT_RETENTION_MS * 1_000);
    row.budget_tokens = record.budget_tokens;
    row.has_record = true;
    row.is_stopped |= record.is_stopped;
}

/// Creates the row of a new program, or updates the time at which it was last used.
///
/// A new program is announced to the other VMs at once, so that they can distinguish its
/// sub-agents from its main line of turns.
pub(super) fn open_program(
    tick: &mut Tick<'_>,
    id: CallId,
    program: &ProgramKey,
    line: Option<u64>,
) {
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
pub(super) fn count_turn(tick: &mut Tick<'_>, id: CallId, program: &ProgramKey) {
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
        placement::record_cached_prefix(tick, &used.program, upstream, *tokens);
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
pub(super) fn expire_program(tick: &mut Tick<'_>, program: ProgramKey) {
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
