//! Requests of callers for a permit or the end of a program, on the entry VM.

use super::super::{Tick, admission};
use super::{HOME_TIMEOUT_MS, MOVING_RETRY_AFTER_MS, backoff_us, witness};
use crate::ids::{CallId, ProgramKey};
use crate::input::{Permit, ProgramRequest, ProgramRequestKind};
use crate::message::{Denied, HomesMessage, PermitRequest};
use crate::output::{Execution, Output, RefusalKind};
use crate::tables::{PendingProgramRequest, Timer};

/// Longest delay between two sends of a request.
const MAX_REQUEST_BACKOFF_MS: u64 = 1_000;

/// Authenticates a request and sends it to the home.
pub(super) fn submit(tick: &mut Tick<'_>, request: ProgramRequest) {
    let id = request.id;
    let account = match admission::authenticate(tick, request.key.as_ref(), false) {
        Ok(Some(account)) => account,
        Ok(None) => return refuse(tick, id, RefusalKind::KeyMissing, None),
        Err(kind) => return refuse(tick, id, kind, None),
    };
    let program = ProgramKey {
        account,
        name: request.program,
    };
    let message = match request.kind {
        ProgramRequestKind::Permit { turn } => {
            HomesMessage::PermitRequest(Box::new(PermitRequest {
                request: id,
                program: program.clone(),
                turn,
                continuation: request.continuation,
            }))
        }
        ProgramRequestKind::End => HomesMessage::End {
            request: id,
            program: program.clone(),
            generation: request.continuation.map(|carried| carried.generation),
        },
    };
    let pending = PendingProgramRequest {
        program,
        message,
        tries: 0,
        deadline_us: tick.now_us + HOME_TIMEOUT_MS * 1_000,
    };
    tick.tables.homes.requests.insert(id, pending);
    send(tick, id);
}

/// Sends a request to the current home and schedules the next attempt.
pub(super) fn send(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let Some(pending) = tick.tables.homes.requests.get_mut(&id) else {
        return;
    };
    if now_us >= pending.deadline_us {
        tick.tables.homes.requests.remove(&id);
        refuse(
            tick,
            id,
            RefusalKind::HomeMoving,
            Some(MOVING_RETRY_AFTER_MS),
        );
        return;
    }
    pending.tries += 1;
    let wait_us = backoff_us(pending.tries, MAX_REQUEST_BACKOFF_MS);
    let (message, program) = (pending.message.clone(), pending.program.clone());
    tick.tables
        .timers
        .set(now_us + wait_us, Timer::RequestRetry(id));
    if let Some(home) = tick.tables.view.program_home(&program).cloned() {
        tick.send(&home, message);
    }
}

/// Sends a permit issued by the home to its caller.
pub(super) fn send_permit(tick: &mut Tick<'_>, request: CallId, permit: Box<Permit>) {
    if tick.tables.homes.requests.remove(&request).is_some() {
        tick.outputs.push(Output::PermitIssued { request, permit });
    }
}

/// Handles the confirmation that a program has ended.
pub(super) fn handle_ended(tick: &mut Tick<'_>, request: CallId) {
    let Some(pending) = tick.tables.homes.requests.remove(&request) else {
        return;
    };
    witness::record_end(tick, &pending.program);
    tick.outputs.push(Output::ProgramEnded { request });
}

/// Handles a `Denied`: refuses the request, or leaves it to the next attempt while its program
/// changes its home.
pub(super) fn handle_denied(tick: &mut Tick<'_>, denied: Denied) {
    if denied.kind == RefusalKind::HomeMoving {
        return;
    }
    if tick.tables.homes.requests.remove(&denied.call).is_some() {
        admission::report_refusal(
            tick,
            denied.call,
            denied.kind,
            denied.ran,
            denied.retry_after_ms,
        );
    }
}

/// Refuses a request; requests are always reported as not run.
fn refuse(tick: &mut Tick<'_>, id: CallId, kind: RefusalKind, retry_after_ms: Option<u64>) {
    admission::report_refusal(tick, id, kind, Execution::NotRun, retry_after_ms);
}
