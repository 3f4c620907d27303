//! What callers do once they learn what became of their calls.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{CallId, Execution, RefusalKind};

use super::{Callers, Kind};
use crate::mesh::TraceEvent;

/// # Responses and refusals
impl Callers {
    /// Updates the caller that a trace event concerns.
    pub(super) fn handle_event(&mut self, now_us: u64, event: TraceEvent) {
        match event {
            TraceEvent::Answered(answered) => {
                self.handle_response(
                    now_us,
                    answered.call,
                    answered.continuation,
                    answered.permit,
                );
            }
            TraceEvent::Replayed {
                call,
                continuation,
                permit,
                ..
            } => self.handle_response(
                now_us,
                call,
                Some(*continuation),
                permit.map(|permit| *permit),
            ),
            TraceEvent::PermitIssued { request, permit } => {
                if let Some(index) = self.close_call(request) {
                    self.agents[index].permit = Some(*permit);
                }
            }
            TraceEvent::ProgramEnded { request } => {
                if let Some(index) = self.close_call(request) {
                    self.agents[index].outcome = Some(Ok(()));
                }
            }
            TraceEvent::Refused(refusal) => {
                let key = (refusal.kind, refusal.ran.to_string());
                *self.refusals.entry(key).or_default() += 1;
                if let Some(index) = self.close_call(refusal.call) {
                    self.handle_refusal(now_us, index, refusal.kind, refusal.ran);
                }
            }
            _ => {}
        }
    }

    /// Removes a call from the open calls of its caller and returns the caller's index.
    ///
    /// Returns `None` if the call is not open.
    fn close_call(&mut self, call: CallId) -> Option<usize> {
        let index = *self.by_call.get(&call)?;
        let open = &mut self.agents[index].open_calls;
        let before = open.len();
        open.retain(|(id, ..)| *id != call);
        (open.len() < before).then_some(index)
    }

    /// Advances a caller to its next turn after a response with a continuation.
    fn handle_response(
        &mut self,
        now_us: u64,
        call: CallId,
        continuation: Option<Continuation>,
        permit: Option<Permit>,
    ) {
        let Some(index) = self.close_call(call) else {
            return;
        };
        let (agent, random) = (&mut self.agents[index], &mut self.random);
        let Some(continuation) = continuation else {
            // The home did not confirm the turn in time; a retry returns the continuation.
            agent.wait_until_us = now_us + 500_000;
            return;
        };
        self.responses += 1;
        agent.open_calls.clear();
        agent.turn = continuation.turn + 1;
        agent.continuation = Some(continuation);
        agent.permit = permit;
        agent.kind = match random.below(10) {
            0..6 => Kind::Chat,
            6..9 => Kind::Send,
            _ => Kind::Status,
        };
        agent.content = random.next_u64();
        agent.sends = 0;
        agent.wait_until_us = now_us + random.below(400_000);
    }

    /// Decides how to continue after a refusal, unless another copy of the call is open.
    fn handle_refusal(&mut self, now_us: u64, index: usize, kind: RefusalKind, ran: Execution) {
        let agent = &mut self.agents[index];
        agent.wait_until_us = now_us + 300_000;
        if !agent.open_calls.is_empty() {
            return;
        }
        match kind {
            RefusalKind::OverBudget
            | RefusalKind::ProgramEnded
            | RefusalKind::StaleContinuation
            | RefusalKind::HistoryMismatch
            | RefusalKind::ContinuationMissing => agent.outcome = Some(Err(kind)),
            // A request that was sent only once, or that did not run, can get a new permit.
            // With no sends, the permit request itself was refused, so the outcome of the turn is
            // unknown.
            RefusalKind::PermitVoid if agent.sends == 1 || ran == Execution::NotRun => {
                agent.permit = None;
                agent.sends = 0;
            }
            _ if agent.kind == Kind::Send && ran != Execution::NotRun => {
                agent.kind = Kind::Status;
                agent.content = self.random.next_u64();
            }
            _ => {}
        }
    }
}
