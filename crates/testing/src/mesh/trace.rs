//! Records the events of a mesh for invariant checks.

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
        /// The entry VM of the call.
        vm: VmName,
        /// The call with its assigned ID.
        call: Box<NewCall>,
    },
    /// A call was admitted within its client account's rate.
    Admitted {
        /// The VM that admitted the call.
        vm: VmName,
        /// The admitted call.
        call: CallId,
        /// The client account whose rate it used.
        account: AccountName,
    },
    /// An upstream ran a request.
    Executed {
        /// The entry VM of the call.
        vm: VmName,
        /// The dispatch that started the attempt.
        dispatch: Box<Dispatch>,
        /// The request that the upstream ran.
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
        /// The VM that stores the response.
        vm: VmName,
        /// The earlier call, whose response was repeated.
        original: CallId,
        /// The state that the caller sends with its next turn.
        continuation: Box<Continuation>,
        /// The permit for the next turn if that turn must not be repeated.
        permit: Option<Box<Permit>>,
    },
    /// A permit was issued.
    PermitIssued {
        /// The ID of the request for the permit.
        request: CallId,
        /// The issued permit.
        permit: Box<Permit>,
    },
    /// A caller ended its program.
    ProgramEnded {
        /// The ID of the request to end it.
        request: CallId,
    },
    /// An engine released the memory of a program.
    Released {
        /// The upstream whose engine released it.
        upstream: UpstreamName,
        /// The program whose memory was released.
        program: ProgramKey,
        /// The generation of the memory that was released.
        generation: u64,
    },
    /// A charge record was made.
    Charged(Charge),
    /// A VM crashed.
    Crashed {
        /// The VM that crashed.
        vm: VmName,
    },
    /// Any other decision of a VM.
    Decided {
        /// The VM that made the decision.
        vm: VmName,
        /// The decision.
        decision: Decision,
    },
}

/// The recorded events of a mesh, in the order of recording.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// The events with their virtual time in microseconds.
    pub events: Vec<(u64, TraceEvent)>,
}

impl Trace {
    /// Records an event.
    pub(super) fn push(&mut self, at_us: u64, event: TraceEvent) {
        self.events.push((at_us, event));
    }

    /// Records an output of a VM, unless no invariant check needs it.
    pub(super) fn record_output(&mut self, at_us: u64, vm: &VmName, output: &Output) {
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

    /// Returns the response to a call, if it was answered.
    pub fn response(&self, call: CallId) -> Option<&Answered> {
        self.events.iter().find_map(|(_, event)| match event {
            TraceEvent::Answered(answered) if answered.call == call => Some(&**answered),
            _ => None,
        })
    }

    /// Returns the refusal of a call, if it was refused.
    pub fn refusal(&self, call: CallId) -> Option<&Refusal> {
        self.events.iter().find_map(|(_, event)| match event {
            TraceEvent::Refused(refusal) if refusal.call == call => Some(refusal),
            _ => None,
        })
    }
}
