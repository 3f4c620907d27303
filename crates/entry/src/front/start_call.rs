//! Opening of calls.

use std::sync::Arc;

use knapweeddale_core::{Input, NewCall};
use tokio::sync::mpsc;

use super::refuse::FrontError;
use super::respond::CallerResponse;
use super::shared::SharedState;
use crate::call::{CallContext, CallTask, ReplyPart};
use crate::control::{CallOutput, Message};
use knapweeddale_runtime::Clock;

/// Capacity of a call's output queue: a dispatch and a cancellation for each of the core's eight
/// attempts plus the last output, about doubled as a margin.
const CALL_OUTPUT_QUEUE_LEN: usize = 32;

impl<C: Clock> SharedState<C> {
    /// Sends a call to the core, starts its task and waits for the start of its response.
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
