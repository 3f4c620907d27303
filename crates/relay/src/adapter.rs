//! The traits that a platform adapter implements, and their types.

use std::sync::Arc;

use derive_more::{Display, Error};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use knapweeddale_core::input::StatedRate;
use knapweeddale_core::{
    AccountName, Evacuations, FleetConfig, ModelName, PresentedKey, ProgramName, Refusal, TurnId,
    UpstreamList, UpstreamName, VmName,
};
use knapweeddale_store::{ObjectApi, StoreError};

/// The decoded head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's ID of the request, which differs for each attempt of the caller.
    pub request_id: Option<Arc<str>>,
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// The path, without the query.
    pub path: Arc<str>,
    /// The caller's key, reduced to what the core needs.
    pub key: Option<PresentedKey>,
    /// How long the caller waits, if it states that.
    pub timeout_ms: Option<u64>,
    /// The requested model, if one is named.
    pub model: Option<ModelName>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_tokens: u64,
    /// The program that the request belongs to, if any.
    pub program: Option<ProgramName>,
    /// Identifies the sequence of turns within the program.
    pub line: Option<u64>,
    /// Token budget for all turns of the program together.
    pub budget_tokens: Option<u64>,
    /// Time left until the program should be finished, if the caller states that; 0 if it should
    /// be finished already.
    pub program_deadline_ms: Option<u64>,
    /// The caller's estimate of the tokens in the response; often far off.
    pub expected_answer_tokens: Option<u64>,
    /// ID of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// ID of the caller's attempt that brought the first event of the stream, if it resumes one.
    pub resumes: Option<Arc<str>>,
    /// The turn that the request goes on from, if the system keeps the turns of its route.
    pub previous_turn: Option<TurnId>,
}

/// Values of the headers that are added to a request for an upstream.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// Time left until the caller's timeout.
    pub time_left_ms: u64,
    /// The upstream that is expected at the address.
    pub upstream: &'a UpstreamName,
    /// The account that is charged.
    pub account: Option<&'a AccountName>,
    /// ID of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// The decoded head of an upstream's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// ID of the request that the response belongs to.
    pub request_id: Option<Arc<str>>,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// The rate of requests that the upstream takes from all VMs together, if it states that.
    pub rate: StatedRate,
    /// How long the upstream will still be cold, in milliseconds, if it states that.
    pub cold_ms: Option<u64>,
    /// Whether the response carries the upstream's signature.
    pub is_signed: bool,
    /// How long the upstream keeps an idle connection open, if it states that.
    pub keep_alive_s: Option<u64>,
}

/// The head of a response that this VM generates itself.
#[derive(Debug, Clone)]
pub struct LocalResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The HTTP headers.
    pub headers: HeaderMap,
}

/// Error for a request with an invalid header.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("the header {header:?} cannot be used ({reason}); correct it and send the request again")]
pub struct BadRequest {
    /// Name of the header.
    pub header: &'static str,
    /// Why the header is invalid.
    pub reason: &'static str,
}

/// Encodes and decodes the headers and statuses of callers and upstreams.
pub trait Dialect: std::fmt::Debug + Clone + Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header that it decodes is invalid.
    fn decode_request(&self, head: &Parts) -> Result<CallHead, BadRequest>;

    /// Builds the headers of the request for an upstream.
    ///
    /// Hop-by-hop headers, the length of the body and keys of callers are omitted.
    fn encode_headers(&self, head: &Parts, context: ForwardContext<'_>) -> HeaderMap;

    /// Decodes the head of an upstream's response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;

    /// Builds the response for a refused call.
    fn encode_refusal(&self, refusal: &Refusal) -> LocalResponse;

    /// Returns whether a path is that of the load balancer's readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;
}

/// An operator's request to retire a VM with a disk, which hands its records over to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retirement {
    /// The VM to retire.
    pub vm: VmName,
    /// Whether the retirement has been reported as complete.
    pub is_done: bool,
}

/// The platform's store, with the scheduler's own objects and those of the platform.
///
/// Reads must not be answered by a lagging replica.
pub trait FleetStore: ObjectApi {
    /// Reads the published configuration; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or the configuration cannot be read.
    fn read_config(
        &self,
    ) -> impl Future<Output = Result<Option<Arc<FleetConfig>>, StoreError>> + Send;

    /// Reads the list in which upstreams register themselves.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn read_upstreams(&self) -> impl Future<Output = Result<Arc<UpstreamList>, StoreError>> + Send;

    /// Reads the failure domains that the operator asks to evacuate.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn read_evacuations(&self) -> impl Future<Output = Result<Evacuations, StoreError>> + Send;

    /// Lists the operator's requests to retire VMs.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn list_retirements(&self) -> impl Future<Output = Result<Vec<Retirement>, StoreError>> + Send;

    /// Reports that the retirement of a VM is in progress or complete.
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
