//! What a platform adapter has to provide.

use std::sync::Arc;

use derive_more::{Display, Error};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use knapweeddale_core::{
    AccountName, FleetConfig, ModelName, PresentedKey, ProgramName, Refusal, UpstreamList,
    UpstreamName, VmName,
};
use knapweeddale_store::{ObjectApi, StoreError};

/// What the head of a caller's request states.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's identity of the request; each attempt of a caller has one of its own.
    pub request_id: Option<Arc<str>>,
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// The path, without the query.
    pub path: Arc<str>,
    /// The caller's key, reduced to what the core needs.
    pub key: Option<PresentedKey>,
    /// How long the caller waits.
    pub timeout_ms: Option<u64>,
    /// The model.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Highest number of tokens of the response.
    pub max_tokens: u64,
    /// The program that the request belongs to.
    pub program: Option<ProgramName>,
    /// The line of turns within the program.
    pub line: Option<u64>,
    /// Tokens that all turns of the program may generate.
    pub budget_tokens: Option<u64>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// What the system adds to a request for an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// Time that the caller still waits.
    pub time_left_ms: u64,
    /// The upstream that is expected at the address.
    pub upstream: &'a UpstreamName,
    /// The account that is charged.
    pub account: Option<&'a AccountName>,
    /// The last event that the caller has, if a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What the head of an upstream's response states.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that is answered.
    pub request_id: Option<Arc<str>>,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the response bears the upstream's signature.
    pub is_signed: bool,
    /// How long the upstream keeps an idle connection open.
    pub keep_alive_s: Option<u64>,
}

/// A response that no upstream gave.
#[derive(Debug, Clone)]
pub struct OwnAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}

/// A request whose head cannot be used.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("the header {header:?} cannot be used ({reason}); correct it and send the request again")]
pub struct BadRequest {
    /// The header.
    pub header: &'static str,
    /// What is wrong.
    pub reason: &'static str,
}

/// How callers and upstreams speak: header names, statuses and what they mean.
pub trait Dialect: std::fmt::Debug + Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header that matters cannot be read.
    fn decode(&self, head: &Parts) -> Result<CallHead, BadRequest>;

    /// Writes the headers of the request for an upstream.
    ///
    /// Headers that concern one connection, the length of the body and keys of callers are left
    /// out.
    fn forward(&self, head: &Parts, forward: Forward<'_>) -> HeaderMap;

    /// Reads the head of an upstream's response.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Writes the response to a call that no upstream answered.
    fn refuse(&self, refusal: &Refusal) -> OwnAnswer;

    /// Returns whether a path asks whether this VM may get calls.
    fn is_readiness(&self, path: &str) -> bool;
}

/// A request of the operator to empty a VM with a disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retirement {
    /// The VM.
    pub vm: VmName,
    /// Whether it has been reported as done.
    pub is_done: bool,
}

/// The platform's store: the system's own objects, and what the platform keeps there.
///
/// Reads must not be answered by a lagging replica.
pub trait FleetStore: ObjectApi {
    /// Reads the published configuration; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or the configuration cannot be read.
    fn fleet(&self) -> impl Future<Output = Result<Option<Arc<FleetConfig>>, StoreError>> + Send;

    /// Reads the list that upstreams keep of themselves.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn upstreams(&self) -> impl Future<Output = Result<Arc<UpstreamList>, StoreError>> + Send;

    /// Lists the requests to empty VMs.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn retirements(&self) -> impl Future<Output = Result<Vec<Retirement>, StoreError>> + Send;

    /// Reports how far the emptying of a VM has come.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn report_retirement(
        &self,
        vm: &VmName,
        is_done: bool,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
