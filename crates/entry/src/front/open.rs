//! Opens a call: hands it to the core and waits for the start of its response.

use std::sync::Arc;

use knapweeddale_core::{Input, NewCall};
use tokio::sync::mpsc;

use super::refuse::FrontError;
use super::respond::Answer;
use super::shared::Shared;
use crate::call::{CallContext, CallTask, ReplyPart};
use crate::control::{CallOutput, Message};
use knapweeddale_runtime::Clock;

/// Outputs that may wait for a call's task: a dispatch and a cancellation for
/// each of the core's eight attempts, the end, and as many again to be safe.
const CALL_OUTPUTS: usize = 32;

impl<C: Clock> Shared<C> {
    /// Opens a call and waits for the start of its response.
    pub async fn open(
        self: &Arc<Self>,
        new: NewCall,
        context: CallContext,
    ) -> Result<Answer, FrontError> {
        let call = new.id;
        let (outputs, receiver) = mpsc::channel::<CallOutput>(CALL_OUTPUTS);
        let input = Input::CallArrived(Box::new(new));
        self.inputs
            .try_send(Message::Open {
                call,
                input,
                outputs,
            })
            .map_err(|_| FrontError::overloaded())?;
        let (reply, mut parts) = mpsc::channel(self.response_queue_len);
        let guard = self.in_flight.register(call);
        tokio::spawn(CallTask::new(Arc::clone(self), context, receiver, reply).run());
        match parts.recv().await {
            Some(ReplyPart::Whole(reply)) => Ok(Answer::Whole(reply)),
            Some(ReplyPart::Start | ReplyPart::Chunk(_)) => Ok(Answer::Events {
                call: call.to_string(),
                parts,
                guard,
            }),
            None => Err(FrontError::overloaded()),
        }
    }
}
