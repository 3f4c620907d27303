//! Opens a call: hands it to the core and waits for the start of its response.

use std::sync::Arc;

use knapweeddale_core::{Input, NewCall};
use tokio::sync::mpsc;

use super::refuse::FrontError;
use super::respond::CallerResponse;
use super::shared::SharedState;
use crate::call::{CallContext, CallTask, ReplyPart};
use crate::control::{CallOutput, Message};
use knapweeddale_runtime::Clock;

/// Outputs that may wait for a call's task: a dispatch and a cancellation for
/// each of the core's eight attempts, the end, and as many again to be safe.
const CALL_OUTPUT_QUEUE_LEN: usize = 32;

impl<C: Clock> SharedState<C> {
    /// Opens a call and waits for the start of its response.
    pub async fn start_call(
        self: &Arc<Self>,
        new: NewCall,
        context: CallContext,
    ) -> Result<CallerResponse, FrontError> {
        let call = new.id;
        let (outputs, receiver) = mpsc::channel::<CallOutput>(CALL_OUTPUT_QUEUE_LEN);
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
            Some(ReplyPart::Whole(reply)) => Ok(CallerResponse::Whole(reply)),
            Some(ReplyPart::Start | ReplyPart::Chunk(_)) => Ok(CallerResponse::Events {
                call: call.to_string(),
                parts,
                guard,
            }),
            None => Err(FrontError::overloaded()),
        }
    }
}
