//! Budget of program trees: tokens, turns and wall time.
//!
//! The row of the root counts the usage of the whole tree. Sub-agents have the
//! same home as their root, so concurrent turns cannot exceed the budget.

use super::super::Tick;
use super::lifecycle;
use crate::ids::ProgramKey;
use crate::output::{CloseReason, Execution, RefusalKind};
use crate::tables::{Program, Turn};

/// Limits of one program tree, from the configuration of its client account.
#[derive(Debug, Clone, Copy)]
struct Limits {
    tokens: u64,
    turns: u32,
    wall_us: u64,
}

/// Returns the limits of a program tree; `None` if the client account is not configured.
fn limits(tick: &Tick<'_>, key: &ProgramKey) -> Option<Limits> {
    let config = &tick.tables.accounts.get(&key.account)?.config;
    Some(Limits {
        tokens: config.program_tokens,
        turns: config.program_turns,
        wall_us: config.program_wall_ms * 1_000,
    })
}

/// Reserves the most tokens that a turn can use from the budget of its tree.
pub(super) fn reserve(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    reserve_tokens: u64,
) -> Result<(), RefusalKind> {
    let now_us = tick.now_us;
    let limits = limits(tick, key).ok_or(RefusalKind::KeyUnknown)?;
    let root = tick.tables.programs.get_mut(&key.root());
    let root = root.ok_or(RefusalKind::ProgramEnded)?;
    let usage = &mut root.usage;
    let wanted_tokens = [usage.spent_tokens, usage.reserved_tokens, reserve_tokens]
        .into_iter()
        .fold(0, u64::saturating_add);
    let is_over = wanted_tokens > limits.tokens
        || usage.turns >= limits.turns
        || now_us >= root.started_us.saturating_add(limits.wall_us);
    if is_over {
        return Err(RefusalKind::OverBudget);
    }
    usage.reserved_tokens += reserve_tokens;
    usage.turns += 1;
    usage.running += 1;
    Ok(())
}

/// Counts a turn that began at a previous home.
pub(super) fn adopt(tick: &mut Tick<'_>, key: &ProgramKey, reserved_tokens: u64) {
    if let Some(root) = tick.tables.programs.get_mut(&key.root()) {
        root.usage.reserved_tokens += reserved_tokens;
        root.usage.turns += 1;
        root.usage.running += 1;
    }
}

/// Replaces the reservation of a turn by its usage; a turn that did not run is not counted.
pub(super) fn settle(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    turn: &Turn,
    ran: Execution,
    used_tokens: u64,
) {
    let Some(root) = tick.tables.programs.get_mut(&key.root()) else {
        return;
    };
    let usage = &mut root.usage;
    usage.reserved_tokens = usage.reserved_tokens.saturating_sub(turn.reserved_tokens);
    usage.running = usage.running.saturating_sub(1);
    match ran {
        Execution::NotRun => usage.turns = usage.turns.saturating_sub(1),
        Execution::MayHaveRun | Execution::Ran => usage.spent_tokens += used_tokens,
    }
}

/// Replaces the tokens booked for a turn of unknown outcome by its usage.
pub(super) fn correct(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    booked_tokens: u64,
    used_tokens: u64,
    ran: Execution,
) {
    let Some(root) = tick.tables.programs.get_mut(&key.root()) else {
        return;
    };
    let usage = &mut root.usage;
    usage.spent_tokens = usage.spent_tokens.saturating_sub(booked_tokens) + used_tokens;
    if ran == Execution::NotRun {
        usage.turns = usage.turns.saturating_sub(1);
    }
}

/// Returns the remaining wall time of a program tree.
pub(super) fn remaining_wall_us(tick: &Tick<'_>, key: &ProgramKey) -> u64 {
    let (Some(limits), Some(root)) = (limits(tick, key), tick.tables.programs.get(&key.root()))
    else {
        return 0;
    };
    let end_us = root.started_us.saturating_add(limits.wall_us);
    end_us.saturating_sub(tick.now_us)
}

/// Closes a program tree if its budget is used up and no turn is in progress.
pub(super) fn close_if_exhausted(tick: &mut Tick<'_>, key: &ProgramKey) {
    let root_key = key.root();
    let Some(limits) = limits(tick, key) else {
        return;
    };
    let is_used_up = |root: &Program| {
        root.usage.running == 0
            && (root.usage.spent_tokens >= limits.tokens
                || root.usage.turns >= limits.turns
                || tick.now_us >= root.started_us.saturating_add(limits.wall_us))
    };
    if tick.tables.programs.get(&root_key).is_some_and(is_used_up) {
        lifecycle::close(tick, &root_key, CloseReason::Exhausted);
    }
}
