//! Rebuilds program rows from the continuations of callers and the witnesses of entry VMs.

use super::super::Tick;
use super::{lifecycle, takeover, tree};
use crate::ids::ProgramKey;
use crate::input::Continuation;
use crate::output::{Decision, RefusalKind, TakeoverSource};

/// Ensures that the row of a program exists and is at least as new as a continuation.
///
/// If this VM has been the only home since the epoch of the continuation and has
/// no row, the program is over.
pub(super) fn ensure_row(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    carried: Option<&Continuation>,
) -> Result<(), RefusalKind> {
    if carried.is_some_and(|carried| carried.program != *key) {
        return Err(RefusalKind::HistoryMismatch);
    }
    if carried.is_some_and(|carried| carried.epoch > tick.tables.view.epoch) {
        return Err(RefusalKind::HomeMoving);
    }
    let exists = tick.tables.programs.contains_key(key);
    match carried {
        Some(carried) if exists => advance(tick, key, carried, TakeoverSource::Continuation),
        Some(carried) => {
            if lifecycle::has_tombstone(tick, key, carried.generation)
                || takeover::was_home_since(tick, key, carried.epoch)
            {
                return Err(RefusalKind::ProgramEnded);
            }
            rebuild(tick, key, carried, TakeoverSource::Continuation);
        }
        None if exists => {}
        None => {
            let row = tree::new_row(tick, key);
            tree::insert(tick, key, row);
        }
    }
    Ok(())
}

/// Rebuilds the row of a program from a state issued by a previous home.
pub(super) fn rebuild(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    state: &Continuation,
    source: TakeoverSource,
) {
    let mut row = tree::new_row(tick, key);
    row.is_recovered = true;
    // Permits of this epoch may have been used with an earlier row on this VM.
    row.known_from = tick.tables.view.epoch.next();
    tree::insert(tick, key, row);
    advance(tick, key, state, source);
}

/// Advances a rebuilt row to a newer state.
pub(super) fn advance(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    state: &Continuation,
    source: TakeoverSource,
) {
    let Some(row) = tick.tables.programs.get_mut(key) else {
        return;
    };
    let is_newer = row.generation == state.generation && state.turn > row.turn;
    let is_first = row.is_blank() && row.generation != state.generation;
    if !row.is_recovered || row.current.is_some() || !(is_newer || is_first) {
        return;
    }
    let gained_turns = state.turn.saturating_sub(row.turn);
    row.generation = state.generation;
    row.turn = state.turn;
    row.history = state.history;
    row.last = None;
    row.unknown = None;
    raise_usage(tick, key, state, gained_turns);
    tick.log(Decision::ProgramTakenOver {
        program: key.clone(),
        turn: state.turn,
        source,
    });
}

/// Raises the recorded usage and age of a program tree to those of a state.
pub(super) fn raise_usage(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    state: &Continuation,
    gained_turns: u32,
) {
    let started_us = tick.now_us.saturating_sub(state.age_ms * 1_000);
    if let Some(root) = tick.tables.programs.get_mut(&key.root()) {
        root.usage.spent_tokens = root.usage.spent_tokens.max(state.spent_tokens);
        root.usage.turns += gained_turns;
        root.started_us = root.started_us.min(started_us);
    }
}
