//! Program state: turn order, history, budget, permits, sub-agents and engine memory.
//!
//! Each program has one home, the VM that owns its row. A VM has two roles here:
//!
//! - As entry VM of a call, it asks the home to start the turn and reports the
//!   end of the turn (`entry`, `settlement`, `requests`, `witness`).
//! - As home of a program, it stores the row and decides about turns (`home`,
//!   `turn_order`, `budget`, `permits`, `wait_queue`, `tree`, `lifecycle`, `release`).
//!
//! When the view changes, `takeover` moves rows to their new homes, `recovery`
//! rebuilds rows that were lost, and `transfers` retries the messages.

mod budget;
mod entry;
mod home;
mod lifecycle;
mod permits;
mod recovery;
mod release;
mod requests;
mod settlement;
mod takeover;
mod transfers;
mod tree;
mod turn_order;
mod wait_queue;
mod witness;

pub(crate) use settlement::end_turn;

use super::{Sender, Tick};
use crate::ids::CallId;
use crate::input::ProgramRequest;
use crate::message::HomesMessage;
use crate::output::Output;
use crate::tables::{Release, Timer};

/// How long an entry VM waits for a program's home to reply.
///
/// Long enough to survive the loss of a home: suspicion, the write of the new
/// view and the takeover wait take about 6 s with the default settings.
const HOME_TIMEOUT_MS: u64 = 10_000;

/// Interval at which a home probes the entry VM of a turn in progress.
///
/// Only needed when a reply was lost and the entry VM no longer knows the call.
const PROBE_INTERVAL_MS: u64 = 5_000;

/// Retry delay given to callers while a program changes its home.
const MOVING_RETRY_AFTER_MS: u64 = 500;

/// Inputs queued for the next run of this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Calls that ask for their turn.
    pub calls: Vec<CallId>,
    pub messages: Vec<(Sender, HomesMessage)>,
    /// Requests of callers for a permit or the end of a program.
    pub requests: Vec<ProgramRequest>,
    /// Releases of engine memory that upstreams have confirmed.
    pub confirmed_releases: Vec<Release>,
    /// Timers that have expired.
    pub due: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.messages.is_empty()
            && self.requests.is_empty()
            && self.confirmed_releases.is_empty()
            && self.due.is_empty()
    }
}

/// Processes a change of the view, then all queued work.
pub(crate) fn run(tick: &mut Tick<'_>) {
    takeover::apply_view_change(tick);
    let work = std::mem::take(&mut tick.work.homes);
    for (sender, message) in work.messages {
        handle_message(tick, &sender, message);
    }
    for release in work.confirmed_releases {
        tick.tables.homes.releases.remove(&release);
    }
    for timer in work.due {
        handle_timer(tick, timer);
    }
    for request in work.requests {
        requests::submit(tick, request);
    }
    for call in work.calls {
        entry::request_begin(tick, call);
    }
}

/// Dispatches a message from an entry VM or a home to its handler.
fn handle_message(tick: &mut Tick<'_>, from: &Sender, message: HomesMessage) {
    match message {
        HomesMessage::Begin(begin) => home::handle_begin(tick, &from.vm, begin),
        HomesMessage::Settle(settle) => home::handle_settle(tick, &from.vm, &settle),
        HomesMessage::Gone { call, program, ran } => home::handle_gone(tick, call, &program, ran),
        HomesMessage::PermitRequest(request) => permits::handle_request(tick, &from.vm, &request),
        HomesMessage::End {
            request,
            program,
            generation,
        } => lifecycle::handle_end(tick, &from.vm, request, &program, generation),
        HomesMessage::Began(began) => entry::handle_began(tick, &from.vm, *began),
        HomesMessage::Pending { call } => entry::handle_pending(tick, call),
        HomesMessage::Denied(denied) => entry::handle_denied(tick, denied),
        HomesMessage::Kept {
            call,
            vm,
            original,
            continuation,
            permit,
        } => entry::handle_kept(
            tick,
            Output::Replay {
                call,
                vm,
                original,
                continuation,
                permit,
            },
            call,
        ),
        HomesMessage::Settled {
            call,
            continuation,
            permit,
        } => settlement::handle_settled(tick, call, continuation, permit),
        HomesMessage::Probe { call, program } => entry::handle_probe(tick, &from.vm, call, program),
        HomesMessage::PermitIs { request, permit } => requests::send_permit(tick, request, permit),
        HomesMessage::Ended { request } => requests::handle_ended(tick, request),
        HomesMessage::Witness {
            transfer,
            epoch,
            witnesses,
        } => witness::handle_witnesses(tick, &from.vm, transfer, epoch, witnesses),
        HomesMessage::HandOver(handed) => takeover::handle_hand_over(tick, &from.vm, *handed),
        HomesMessage::Received { transfer } => takeover::handle_received(tick, transfer),
    }
}

/// Dispatches an expired timer to its handler.
fn handle_timer(tick: &mut Tick<'_>, timer: Timer) {
    match timer {
        Timer::TurnRetry(call) => entry::retry(tick, call),
        Timer::SettleRetry(call) => settlement::send(tick, call),
        Timer::RequestRetry(request) => requests::send(tick, request),
        Timer::TombstoneExpiry(program) => lifecycle::expire_tombstone(tick, &program),
        Timer::WitnessExpiry(program) => witness::expire_record(tick, &program),
        Timer::TransferRetry(transfer) => transfers::send(tick, transfer),
        Timer::TurnWait(call) => wait_queue::expire(tick, call),
        Timer::TurnProbe(program, call) => home::probe(tick, program, call),
        Timer::ProgramLease(program) => lifecycle::check_lease(tick, &program),
        Timer::ReleaseRetry(release) => release::send(tick, release),
        Timer::EndedRequestExpiry(request) => {
            tick.tables.homes.ended_requests.remove(&request);
        }
        _ => {}
    }
}

/// Returns the delay before the next attempt: 200 ms, doubled each time up to `limit_ms`.
fn backoff_us(tries: u32, limit_ms: u64) -> u64 {
    let wait_ms = 100u64 << tries.clamp(1, 10);
    wait_ms.min(limit_ms) * 1_000
}
