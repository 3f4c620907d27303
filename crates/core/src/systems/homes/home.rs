//! The home's side of a turn.

use super::super::{Sender, Tick};
use crate::ids::{CallId, HistoryDigest, ProgramKey};
use crate::input::{Continuation, Permit};
use crate::message::{Begin, Denied, HomesMessage, Settle};
use crate::output::{Execution, RefusalKind};
use crate::tables::{Program, Timer, Turn};

/// Lets a turn begin or refuses it.
pub(super) fn begin(tick: &mut Tick<'_>, sender: &Sender, begin: Begin) {
    let call = begin.call;
    match try_begin(tick, sender, &begin) {
        Ok(reply) => tick.send(&sender.vm, reply),
        Err((kind, ran)) => {
            let denied = Denied {
                call,
                kind,
                ran,
                retry_after_ms: None,
            };
            tick.send(&sender.vm, HomesMessage::Denied(denied));
        }
    }
}

/// Checks order and budget, and reserves the tokens of a turn.
fn try_begin(
    tick: &mut Tick<'_>,
    sender: &Sender,
    begin: &Begin,
) -> Result<HomesMessage, (RefusalKind, Execution)> {
    let now_us = tick.now_us;
    let account = tick.tables.accounts.get(&begin.program.account);
    let Some(config) = account.map(|account| &account.config) else {
        return Err((RefusalKind::KeyUnknown, Execution::NotRun));
    };
    let (max_tokens, max_turns) = (config.program_tokens, config.program_turns);
    let lease_us = tick.settings.program_lease_ms * 1_000;
    let generation = tick.settings.incarnation.0.wrapping_add(now_us);
    let program = tick
        .tables
        .programs
        .get_or_insert_with(&begin.program, || start(begin, generation, now_us));
    if let Some(current) = &program.current {
        let kind = if current.number == begin.turn {
            RefusalKind::DuplicateTurn
        } else {
            RefusalKind::TurnOutOfOrder
        };
        return Err((kind, Execution::NotRun));
    }
    if begin.turn == program.turn
        && let Some((original, vm)) = program.last.clone()
    {
        return Ok(HomesMessage::Kept {
            call: begin.call,
            vm,
            original,
        });
    }
    if begin.turn != program.turn + 1 {
        return Err((RefusalKind::TurnOutOfOrder, Execution::NotRun));
    }
    let used_tokens = program.spent_tokens + program.reserved_tokens;
    if begin.turn > max_turns || used_tokens + begin.reserve_tokens > max_tokens {
        return Err((RefusalKind::OverBudget, Execution::NotRun));
    }
    program.reserved_tokens += begin.reserve_tokens;
    program.lease_until_us = now_us + lease_us;
    program.current = Some(Turn {
        call: begin.call,
        vm: sender.vm.clone(),
        number: begin.turn,
        reserved_tokens: begin.reserve_tokens,
    });
    let generation = program.generation;
    let timer = Timer::ProgramLease(begin.program.clone());
    tick.tables.timers.set(now_us + lease_us, timer);
    Ok(HomesMessage::Began {
        call: begin.call,
        generation,
        valid_us: tick.tables.lease.remaining_us(now_us),
    })
}

/// Makes the row of a program from its first call here.
fn start(begin: &Begin, generation: u64, now_us: u64) -> Program {
    let carried = begin.continuation.as_ref();
    Program {
        generation: carried.map_or(generation, |c| c.generation),
        turn: carried.map_or(0, |c| c.turn),
        history: carried.map_or(HistoryDigest::default(), |c| c.history),
        current: None,
        last: None,
        spent_tokens: carried.map_or(0, |c| c.spent_tokens),
        reserved_tokens: 0,
        started_us: now_us.saturating_sub(carried.map_or(0, |c| c.age_ms * 1_000)),
        lease_until_us: 0,
    }
}

/// Ends a turn and replies with the new state of the program.
pub(super) fn settle(tick: &mut Tick<'_>, sender: &Sender, settle: Settle) {
    let Some(program) = tick.tables.programs.get_mut(&settle.program) else {
        return;
    };
    if program.current.as_ref().map(|turn| turn.call) == Some(settle.call) {
        end_turn(program, &settle, sender);
    }
    if settle.ran == Execution::Ran {
        reply_settled(tick, sender, &settle.program, settle.call);
    }
}

/// Books the tokens of a turn that has ended.
fn end_turn(program: &mut Program, settle: &Settle, sender: &Sender) {
    let Some(turn) = program.current.take() else {
        return;
    };
    program.reserved_tokens -= turn.reserved_tokens;
    program.spent_tokens += settle.used_tokens;
    if settle.ran == Execution::Ran {
        program.turn = turn.number;
        program.history = settle.history.unwrap_or(program.history);
        program.last = Some((settle.call, sender.vm.clone()));
    }
}

/// Sends the state that the caller carries to the next turn.
fn reply_settled(tick: &mut Tick<'_>, sender: &Sender, key: &ProgramKey, call: CallId) {
    let epoch = tick.tables.view.epoch;
    let Some(program) = tick.tables.programs.get(key) else {
        return;
    };
    let continuation = Continuation {
        program: key.clone(),
        generation: program.generation,
        turn: program.turn,
        history: program.history,
        spent_tokens: program.spent_tokens,
        age_ms: tick.now_us.saturating_sub(program.started_us) / 1_000,
        epoch,
    };
    let permit = Permit {
        program: key.clone(),
        generation: program.generation,
        turn: program.turn + 1,
        home: tick.settings.vm.clone(),
        incarnation: tick.settings.incarnation,
        epoch,
    };
    let settled = HomesMessage::Settled {
        call,
        continuation: Box::new(continuation),
        permit: Some(Box::new(permit)),
    };
    tick.send(&sender.vm, settled);
}

/// Forgets a program whose lease has ended.
pub(super) fn expire(tick: &mut Tick<'_>, key: &ProgramKey) {
    let now_us = tick.now_us;
    let is_over = tick
        .tables
        .programs
        .get(key)
        .is_some_and(|program| program.current.is_none() && program.lease_until_us <= now_us);
    if is_over {
        tick.tables.programs.remove(key);
    }
}
