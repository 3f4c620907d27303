//! What happened in a mesh.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{
    AccountName, Answered, CallId, Charge, Decision, Dispatch, NewCall, Output, ProgramKey,
    Refusal, UpstreamName, VmName,
};

/// One event of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceEvent {
    /// A call arrived at a VM.
    Arrived {
        /// The VM.
        vm: VmName,
        /// The call.
        call: Box<NewCall>,
    },
    /// A call was admitted within its account's rate.
    Admitted {
        /// The VM.
        vm: VmName,
        /// The call.
        call: CallId,
        /// The account.
        account: AccountName,
    },
    /// An upstream ran a request.
    Executed {
        /// The entry VM of the call.
        vm: VmName,
        /// The dispatch.
        dispatch: Box<Dispatch>,
        /// The call.
        call: Box<NewCall>,
    },
    /// A call was answered.
    Answered(Box<Answered>),
    /// A call was refused.
    Refused(Refusal),
    /// A resent call was answered with the response to an earlier one.
    Replayed {
        /// The resent call.
        call: CallId,
        /// The VM that keeps the response.
        vm: VmName,
        /// The call that ran.
        original: CallId,
        /// The state that the caller carries to the next turn.
        continuation: Box<Continuation>,
        /// The permit for a next turn that may not be repeated.
        permit: Option<Box<Permit>>,
    },
    /// A permit was issued.
    PermitIssued {
        /// The request.
        request: CallId,
        /// The permit.
        permit: Box<Permit>,
    },
    /// A program was ended by its caller.
    ProgramEnded {
        /// The request.
        request: CallId,
    },
    /// An engine released the memory of a program.
    Released {
        /// The engine.
        upstream: UpstreamName,
        /// The program.
        program: ProgramKey,
        /// Its generation.
        generation: u64,
    },
    /// A charge record was made.
    Charged(Charge),
    /// A VM crashed.
    Crashed {
        /// The VM.
        vm: VmName,
    },
    /// Any other decision of a VM.
    Decided {
        /// The VM.
        vm: VmName,
        /// The decision.
        decision: Decision,
    },
}

/// Events in the order of their time.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// The events with their virtual time in microseconds.
    pub events: Vec<(u64, TraceEvent)>,
}

impl Trace {
    /// Adds an event.
    pub(super) fn push(&mut self, at_us: u64, event: TraceEvent) {
        self.events.push((at_us, event));
    }

    /// Adds what an output of a VM says.
    pub(super) fn output(&mut self, at_us: u64, vm: &VmName, output: &Output) {
        let vm = vm.clone();
        let event = match output {
            Output::Answered(answered) => TraceEvent::Answered(answered.clone()),
            Output::Refused(refusal) => TraceEvent::Refused(refusal.clone()),
            Output::Replay {
                call,
                vm,
                original,
                continuation,
                permit,
            } => TraceEvent::Replayed {
                call: *call,
                vm: vm.clone(),
                original: *original,
                continuation: continuation.clone(),
                permit: permit.clone(),
            },
            Output::PermitIssued { request, permit } => TraceEvent::PermitIssued {
                request: *request,
                permit: permit.clone(),
            },
            Output::ProgramEnded { request } => TraceEvent::ProgramEnded { request: *request },
            Output::Charge(charge) => TraceEvent::Charged(charge.clone()),
            Output::Decision(Decision::Admitted { call, account, .. }) => TraceEvent::Admitted {
                vm,
                call: *call,
                account: account.clone(),
            },
            Output::Decision(decision) => TraceEvent::Decided {
                vm,
                decision: decision.clone(),
            },
            _ => return,
        };
        self.push(at_us, event);
    }

    /// Returns the response to a call.
    pub fn answer(&self, call: CallId) -> Option<&Answered> {
        self.events.iter().find_map(|(_, event)| match event {
            TraceEvent::Answered(answered) if answered.call == call => Some(&**answered),
            _ => None,
        })
    }

    /// Returns the refusal of a call.
    pub fn refusal(&self, call: CallId) -> Option<&Refusal> {
        self.events.iter().find_map(|(_, event)| match event {
            TraceEvent::Refused(refusal) if refusal.call == call => Some(refusal),
            _ => None,
        })
    }
}
