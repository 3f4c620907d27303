//! Messages to the control thread, and its outputs for single calls.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::output::Answered;
use knapweeddale_core::{AttemptId, CallId, Dispatch, Input, Refusal};
use knapweeddale_peer::Delivery;
use tokio::sync::mpsc;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// An input for the core.
    Input(Input),
    /// An input that opens a call, with the channel for its outputs.
    Open {
        /// ID of the call, or of a request about a program.
        call: CallId,
        /// The input that opens the call.
        input: Input,
        /// Channel for the outputs of the call.
        outputs: mpsc::Sender<CallOutput>,
    },
    /// A batch of messages from another VM.
    Delivery(Delivery),
    /// Ends the control thread.
    Stop,
}

/// An output of the core for one call.
#[derive(Debug)]
pub(crate) enum CallOutput {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// The call is complete.
    Answered(Box<Answered>),
    /// The call is refused.
    Refused(Refusal),
    /// Answer with a cached response.
    Replay {
        /// Address of the VM that has the response; `None` if it is this VM.
        peer: Option<String>,
        /// The call whose response is cached.
        original: CallId,
        /// The state that the caller sends with the next turn.
        continuation: Box<Continuation>,
        /// The permit for a next turn that may not be repeated; `None` if none was issued.
        permit: Option<Box<Permit>>,
    },
    /// The requested permit.
    Permit(Box<Permit>),
    /// The program has ended.
    Ended,
}

impl From<Input> for Message {
    fn from(input: Input) -> Self {
        Self::Input(input)
    }
}

/// The sending side of the control thread's input queue.
pub(crate) type InputSender = knapweeddale_runtime::InputSender<Message>;
