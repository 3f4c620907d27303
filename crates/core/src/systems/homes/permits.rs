//! Permits, which let a request that may not be repeated run at most once.

use super::super::Tick;
use super::{recovery, takeover};
use crate::ids::{ProgramKey, VmName};
use crate::input::Permit;
use crate::message::{Begin, Denied, HomesMessage, PermitRequest};
use crate::output::{Execution, RefusalKind};
use crate::tables::{Phase, Program};

/// Issues a permit for a turn.
///
/// The turn consumes its permit: resends wait while it is in progress, and once
/// it has finished or its outcome is unknown, no permit can start it again.
pub(super) fn issue(tick: &mut Tick<'_>, key: &ProgramKey, turn: u32) -> Option<Permit> {
    let program = tick.tables.programs.get_mut(key)?;
    let homes = &mut tick.tables.homes;
    homes.issued_permits += 1;
    program.last_permit = homes.issued_permits;
    Some(Permit {
        program: key.clone(),
        generation: program.generation,
        turn,
        home: tick.settings.vm.clone(),
        incarnation: tick.settings.incarnation,
        epoch: tick.tables.view.epoch,
        seq: program.last_permit,
    })
}

/// Returns whether a call carries a permit for its turn that was issued from this row.
pub(super) fn is_valid(tick: &Tick<'_>, program: &Program, begin: &Begin) -> bool {
    begin.permit.as_ref().is_some_and(|permit| {
        permit.program == begin.program
            && permit.generation == program.generation
            && permit.turn == begin.turn
            && is_own(tick, program, permit)
    })
}

/// Returns whether a permit was issued from this row.
pub(super) fn is_own(tick: &Tick<'_>, program: &Program, permit: &Permit) -> bool {
    permit.home == tick.settings.vm
        && permit.incarnation == tick.settings.incarnation
        && permit.seq > program.before_permits
        && permit.seq <= program.last_permit
}

/// Handles a request for a permit.
pub(super) fn handle_request(tick: &mut Tick<'_>, vm: &VmName, request: &PermitRequest) {
    let reply = match try_issue(tick, request) {
        Ok(permit) => HomesMessage::PermitIs {
            request: request.request,
            permit: Box::new(permit),
        },
        Err((kind, ran)) => HomesMessage::Denied(Denied {
            call: request.request,
            kind,
            ran,
            retry_after_ms: None,
        }),
    };
    tick.send(vm, reply);
}

/// Issues a permit for a turn that has not begun.
///
/// # Errors
///
/// Returns why no permit is issued and whether the turn may have run.
fn try_issue(
    tick: &mut Tick<'_>,
    request: &PermitRequest,
) -> Result<Permit, (RefusalKind, Execution)> {
    let not_run = |kind| (kind, Execution::NotRun);
    let key = &request.program;
    takeover::check_home(tick, key).map_err(|_| not_run(RefusalKind::HomeMoving))?;
    recovery::ensure_row(tick, key, request.continuation.as_ref()).map_err(not_run)?;
    let program = tick.tables.programs.get(key);
    let program = program.ok_or(not_run(RefusalKind::ProgramEnded))?;
    let carried = request.continuation.as_ref();
    if carried.is_some_and(|c| c.generation != program.generation) {
        return Err(not_run(RefusalKind::ProgramEnded));
    }
    match program.phase {
        Phase::Open => {}
        Phase::Ended => return Err(not_run(RefusalKind::ProgramEnded)),
        Phase::Exhausted => return Err(not_run(RefusalKind::OverBudget)),
    }
    if request.turn <= program.turn {
        return Err((RefusalKind::DuplicateTurn, Execution::MayHaveRun));
    }
    let current = program.current.as_ref();
    if current.is_some_and(|turn| !turn.idempotent && turn.number == request.turn) {
        return Err((RefusalKind::DuplicateTurn, Execution::MayHaveRun));
    }
    let is_next = request.turn == program.turn + 1;
    if is_next && program.unknown.is_some_and(|unknown| !unknown.idempotent) {
        return Err((RefusalKind::PermitVoid, Execution::MayHaveRun));
    }
    issue(tick, key, request.turn).ok_or(not_run(RefusalKind::ProgramEnded))
}
