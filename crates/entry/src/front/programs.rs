//! `POST /v1/programs/<program>/permits` and `DELETE /v1/programs/<program>`.

use knapweeddale_core::input::{ProgramRequest, ProgramRequestKind};
use knapweeddale_core::{CallId, Execution, Input, Refusal, RefusalKind};
use rocket::data::Data;
use rocket::request::Request;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use super::headers::{check_header_size, read_key, read_program_name};
use super::refuse::FrontError;
use super::respond::CallerResponse;
use super::services::read_body;
use super::shared::SharedState;
use crate::call::Reply;
use crate::control::{CallOutput, Message};
use knapweeddale_runtime::Clock;

/// Maximum size of the body of a request about a program.
const MAX_BODY_BYTES: u64 = 4_096;

/// Index of the path segment with the program's name.
const NAME_SEGMENT: usize = 2;

/// The JSON body of a permit request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PermitBody {
    turn: u32,
}

impl<C: Clock> SharedState<C> {
    /// Handles a request for a permit for a turn that may not be repeated.
    pub async fn issue_permit(
        &self,
        id: CallId,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<CallerResponse, FrontError> {
        let raw = read_body(data, MAX_BODY_BYTES).await?;
        let body: PermitBody = serde_json::from_slice(&raw).map_err(|error| {
            FrontError::malformed(format!("the body is not {{\"turn\": n}} ({error})"))
        })?;
        let kind = ProgramRequestKind::Permit { turn: body.turn };
        self.send_program_request(id, request, kind).await
    }

    /// Handles a request to end a program.
    pub async fn end_program(
        &self,
        id: CallId,
        request: &Request<'_>,
    ) -> Result<CallerResponse, FrontError> {
        self.send_program_request(id, request, ProgramRequestKind::End)
            .await
    }

    /// Sends a request about a program to the core and waits for the response.
    async fn send_program_request(
        &self,
        id: CallId,
        request: &Request<'_>,
        kind: ProgramRequestKind,
    ) -> Result<CallerResponse, FrontError> {
        check_header_size(request)?;
        let key = read_key(request)?;
        let name = request.param::<String>(NAME_SEGMENT).and_then(Result::ok);
        let program = read_program_name(&name.unwrap_or_default(), key.as_ref())?;
        let continuation = match request.headers().get_one("kwd-continuation") {
            None => None,
            Some(text) => Some(self.read_continuation(text, &program, key.as_ref())?),
        };
        let request = ProgramRequest::builder()
            .id(id)
            .maybe_key(key.map(|key| key.presented()))
            .program(program)
            .maybe_continuation(continuation)
            .kind(kind)
            .build();
        let (outputs, mut receiver) = mpsc::channel(1);
        self.inputs
            .try_send(Message::Open {
                call: id,
                input: Input::Program(Box::new(request)),
                outputs,
            })
            .map_err(|_| FrontError::overloaded())?;
        Ok(CallerResponse::Whole(
            self.program_reply(id, receiver.recv().await),
        ))
    }

    /// Converts an output of the core to a response; `None` means that the control thread has ended.
    fn program_reply(&self, id: CallId, output: Option<CallOutput>) -> Reply {
        match output {
            Some(CallOutput::Permit(permit)) => {
                let token = self.signer.sign(&*permit);
                let body = json!({"turn": permit.turn, "permit": token});
                Reply::json(200, &body).with_header("kwd-permit", token)
            }
            Some(CallOutput::Ended) => Reply::json(200, &json!({"ended": true})),
            Some(CallOutput::Refused(refusal)) => Reply::refused(&refusal, None),
            _ => Reply::refused(
                &Refusal {
                    call: id,
                    kind: RefusalKind::Draining,
                    ran: Execution::NotRun,
                    retry_after_ms: Some(1_000),
                },
                None,
            ),
        }
    }
}
