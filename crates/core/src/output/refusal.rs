//! Refusals, their HTTP statuses and remedies.

use derive_more::Display;

use crate::ids::CallId;

/// What is known about whether a call ran.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Execution {
    /// No byte of the request was sent to an upstream, or the upstream refused it.
    #[display("not_run")]
    NotRun,
    /// The request was sent and its outcome is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// The request ran.
    #[display("ran")]
    Ran,
}

/// A refusal, sent to the caller in place of an upstream's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The refused call.
    pub call: CallId,
    /// Why it was refused.
    pub kind: RefusalKind,
    /// Whether the call ran before it was refused.
    pub ran: Execution,
    /// Time after which a resend may succeed; `None` to give no such hint.
    pub retry_after_ms: Option<u64>,
}

/// Defines the kinds of refusal, each with its name on the wire, HTTP status and remedy.
macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $text:literal, $status:literal, $remedy:literal;)+) => {
        /// Why a call was refused.
        #[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub enum RefusalKind {
            $($(#[$doc])* #[display($text)] $kind,)+
        }

        impl RefusalKind {
            /// All kinds, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$kind),+];

            /// Returns the HTTP status of the refusal.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$kind => $status,)+
                }
            }

            /// Returns what the caller can do about it.
            pub fn remedy(self) -> &'static str {
                match self {
                    $(Self::$kind => $remedy,)+
                }
            }
        }
    };
}

kinds! {
    /// The call carried no key.
    KeyMissing = "key_missing", 401, "send the header `authorization: Bearer <key>`";
    /// The key is unknown.
    KeyUnknown = "key_unknown", 401, "check the key, or ask the operator for a new one";
    /// The key has been withdrawn.
    KeyWithdrawn = "key_withdrawn", 401, "ask the operator for a new key";
    /// This VM is isolated from the fleet and cannot learn of withdrawn keys.
    Isolated = "isolated", 503, "resend; the load balancer will choose another VM";
    /// This VM has no configuration yet.
    NotConfigured = "not_configured", 503, "resend; the VM has just started";
    /// Neither storage VMs nor the store confirmed that the program's budget covers the turn.
    BudgetUnknown = "budget_unknown", 503, "resend after the time in retry-after";
    /// No service offers the model.
    ModelUnknown = "model_unknown", 404, "list the models with GET /v1/models";
    /// The service or route does not exist.
    RouteUnknown = "route_unknown", 404, "check the service name and path";
    /// The content is quarantined because it crashed upstreams.
    Quarantined = "quarantined", 422, "change the request; it crashed several upstreams";
    /// The account exceeds its rate limit.
    OverRate = "over_rate", 429, "resend after the time in retry-after";
    /// An earlier turn of the program has not ended.
    TurnOutOfOrder = "turn_out_of_order", 409, "send the turn that follows the last response";
    /// The turn is already running or has ended.
    DuplicateTurn = "duplicate_turn", 409, "wait for the response of the first request";
    /// The continuation is older than the state of the program.
    StaleContinuation = "stale_continuation", 409, "use the continuation of the last response";
    /// The messages do not match the continuation.
    HistoryMismatch = "history_mismatch", 409, "send the messages of the last turn unchanged";
    /// The turn that the call goes on from does not exist, or belongs to another account.
    TurnUnknown = "turn_unknown", 404, "start the program again; the turn that it names does not exist";
    /// The turns before this one cannot be read at present, or this one cannot be stored.
    HistoryUnavailable = "history_unavailable", 503, "resend after the time in retry-after";
    /// The program needs a continuation and the call carried none.
    ContinuationMissing = "continuation_missing", 409, "send the header kwd-continuation of the last response";
    /// The program has used up its budget of tokens, turns or wall time.
    OverBudget = "over_budget", 402, "end the program; its budget is used up";
    /// The program has ended.
    ProgramEnded = "program_ended", 410, "start a program with another name";
    /// The program's home is moving to another VM.
    HomeMoving = "home_moving", 503, "resend after the time in retry-after";
    /// The request is not idempotent and carried no permit.
    PermitRequired = "permit_required", 428, "ask for a permit with POST /v1/programs/<program>/permits";
    /// The permit is invalid or has been used.
    PermitVoid = "permit_void", 409, "find out whether the request ran before sending it again";
    /// No upstream of the service and software version that began the stream can go on with it.
    StreamNotResumable = "stream_not_resumable", 503, "request the stream again from its first event";
    /// No upstream became free in time.
    NoUpstream = "no_upstream", 503, "resend after the time in retry-after";
    /// The calls that go first take longer than the call has time.
    PoolBusy = "pool_busy", 503, "resend after the time in retry-after";
    /// All upstreams are at the rates that they have stated, and no call can be placed in time.
    UpstreamsLimited = "upstreams_limited", 503, "resend after the time in retry-after";
    /// All upstreams that may run the call are evacuated.
    Evacuated = "evacuated", 503, "resend after the time in retry-after";
    /// No upstream of the pool is in a region in which the call may run.
    NoAllowedRegion = "no_allowed_region", 503, "ask the operator for upstreams in an allowed region";
    /// The upstream failed.
    UpstreamFailed = "upstream_failed", 502, "resend if the request may be repeated";
    /// The upstream did not answer in time.
    UpstreamSilent = "upstream_silent", 504, "resend if the request may be repeated";
    /// This VM cannot hold more calls.
    Overloaded = "overloaded", 503, "resend after the time in retry-after";
    /// This VM is draining and accepts no new programs.
    Draining = "draining", 503, "resend; the load balancer will choose another VM";
    /// The caller disconnected.
    CallerGone = "caller_gone", 499, "resend if the request may be repeated";
    /// The request could not be parsed.
    Malformed = "malformed", 400, "correct the request; docs/api.md describes it";
    /// The request is too large.
    TooLarge = "too_large", 413, "send a smaller request";
    /// The body of the request did not arrive in time.
    BodyLate = "body_late", 408, "send the whole request within its timeout";
}
