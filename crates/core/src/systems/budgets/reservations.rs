//! Tokens that are reserved in the record of a program in the store.

use super::{cover_turn, refuse_uncovered, stop_program, take_waiting};
use crate::ids::ProgramKey;
use crate::output::{Decision, Output, SourceRequest};
use crate::systems::Tick;

/// Reserves tokens in the record of a program; a new one counts `taken_tokens` as used.
pub(super) fn reserve(
    tick: &mut Tick<'_>,
    program: &ProgramKey,
    needed_tokens: u64,
    taken_tokens: u64,
) {
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

/// Records a reservation and continues the turns that waited for it.
pub(super) fn handle_reservation(tick: &mut Tick<'_>, program: &ProgramKey, tokens: Option<u64>) {
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

/// Gives reserved tokens that no turn has used back to the record: the next turn may come through
/// another VM, which cannot use what this one holds.
pub(super) fn give_back(tick: &mut Tick<'_>, program: &ProgramKey, tokens: u64) {
    tick.outputs.push(Output::Source(SourceRequest::Release {
        program: program.clone(),
        tokens,
    }));
}
