//! The messages to the control thread and its outputs for one call.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::output::Answered;
use knapweeddale_core::{AttemptId, CallId, Dispatch, Input, Refusal};
use knapweeddale_peer::Delivery;
use tokio::sync::mpsc;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// An input of the core.
    Input(Input),
    /// An input that opens a call, with the receiver of its outputs.
    Open {
        /// The call or request.
        call: CallId,
        /// The input.
        input: Input,
        /// Where the outputs for the call go.
        outputs: mpsc::Sender<CallOutput>,
    },
    /// Messages of another VM.
    Delivery(Delivery),
    /// The process ends.
    Stop,
}

/// An output of the core for one call.
#[derive(Debug)]
pub(crate) enum CallOutput {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel(AttemptId),
    /// The call ran.
    Answered(Box<Answered>),
    /// The call is refused.
    Refused(Refusal),
    /// Answer with a kept response.
    Replay {
        /// The peer that keeps it; `None` if it is this VM.
        peer: Option<String>,
        /// The call that ran.
        original: CallId,
        /// The state that the caller carries to the next turn.
        continuation: Box<Continuation>,
        /// The permit for a next turn that may not be repeated.
        permit: Option<Box<Permit>>,
    },
    /// A permit that was asked for.
    Permit(Box<Permit>),
    /// The program has ended.
    Ended,
}

impl From<Input> for Message {
    fn from(input: Input) -> Self {
        Self::Input(input)
    }
}

/// The traffic side of the queue.
pub(crate) type InputSender = knapweeddale_runtime::InputSender<Message>;
