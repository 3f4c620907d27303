//! Decisions for the log, one short sentence each.

use derive_more::Display;
use smallvec::SmallVec;

use super::{Execution, RefusalKind};
use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, Epoch, ProgramKey, Revision, UpstreamName,
};
use crate::tables::LimitReason;

/// A routing or placement decision.
///
/// `Display` gives the log line with the prefix of its part.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A call was refused.
    #[display("admission: refused call {call} as {kind}, {ran}")]
    Refused {
        /// The call.
        call: CallId,
        /// Why.
        kind: RefusalKind,
        /// Whether it ran.
        ran: Execution,
    },
    /// A call was admitted within its account's rate.
    #[display("rates: admitted call {call} of {account} after {waited_us} us")]
    Admitted {
        /// The call.
        call: CallId,
        /// The account.
        account: AccountName,
        /// How long it waited.
        waited_us: u64,
    },
    /// A call was sent to an upstream.
    #[display(
        "placement: attempt {attempt} of {} for {} to {upstream}, {reason}{}",
        program.as_ref().map_or_else(|| "no program".to_owned(), ToString::to_string),
        account.as_ref().map_or("anyone", |a| a.as_str()),
        runners_up_text(runners_up)
    )]
    Placed {
        /// The attempt.
        attempt: AttemptId,
        /// The program.
        program: Option<ProgramKey>,
        /// The account.
        account: Option<AccountName>,
        /// The upstream.
        upstream: UpstreamName,
        /// Why this upstream.
        reason: PlacementReason,
        /// The next best upstreams.
        runners_up: SmallVec<[UpstreamName; 2]>,
    },
    /// A call is tried again.
    #[display("retry: call {call} again after {upstream} failed, {reason}")]
    Retry {
        /// The call.
        call: CallId,
        /// The upstream that failed.
        upstream: UpstreamName,
        /// Why it may be tried again.
        reason: RetryReason,
    },
    /// A failed call is not tried again.
    #[display("retry: call {call} ends after {upstream} failed, {reason}")]
    NoRetry {
        /// The call.
        call: CallId,
        /// The upstream that failed.
        upstream: UpstreamName,
        /// Why it is not tried again.
        reason: RetryReason,
    },
    /// An upstream crashed.
    #[display("retry: {upstream} crashed with {suspects} contents running, {evidence}")]
    Crashed {
        /// The upstream.
        upstream: UpstreamName,
        /// Contents that were running.
        suspects: usize,
        /// Why this is taken for a crash.
        evidence: CrashEvidence,
    },
    /// A connection broke although the upstream did not crash.
    #[display("retry: connection to {upstream} broke, {evidence}")]
    ConnectionBroke {
        /// The upstream.
        upstream: UpstreamName,
        /// Why this is not taken for a crash.
        evidence: CrashEvidence,
    },
    /// A content is not run any more.
    #[display("retry: content {digest} quarantined for {for_ms} ms after {crashes} crashes")]
    Quarantined {
        /// The content.
        digest: ContentDigest,
        /// For how long.
        for_ms: u64,
        /// Crashes in which it was seen.
        crashes: u32,
    },
    /// An upstream gets no calls for a time.
    #[display("retry: {upstream} ejected for {for_ms} ms after {failures} failures in a row")]
    Ejected {
        /// The upstream.
        upstream: UpstreamName,
        /// For how long.
        for_ms: u64,
        /// Failures in a row.
        failures: u32,
    },
    /// An upstream fails but is kept, because half of its pool is ejected.
    #[display("retry: {upstream} kept after {failures} failures in a row, half of the pool is out")]
    NotEjected {
        /// The upstream.
        upstream: UpstreamName,
        /// Failures in a row.
        failures: u32,
    },
    /// The limit of calls on an upstream changed.
    #[display("placement: limit of {upstream} from {from_calls} to {to_calls}, {reason}")]
    LimitChanged {
        /// The upstream.
        upstream: UpstreamName,
        /// The limit before.
        from_calls: u32,
        /// The limit now.
        to_calls: u32,
        /// Why.
        reason: LimitReason,
    },
    /// A view came into force.
    #[display("membership: view {epoch} with {members} members")]
    ViewChanged {
        /// The epoch.
        epoch: Epoch,
        /// The number of members.
        members: usize,
    },
    /// A configuration came into force.
    #[display("config: revision {revision} in force")]
    ConfigInForce {
        /// The revision.
        revision: Revision,
    },
    /// A configuration was ignored.
    #[display("config: ignored revision {offered}, {in_force} is in force")]
    ConfigIgnored {
        /// The revision that was offered.
        offered: Revision,
        /// The revision in force.
        in_force: Revision,
    },
}

/// Why an upstream was chosen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum PlacementReason {
    /// It has the fewest calls running for its limit.
    #[display("fewest running")]
    LeastRunning,
    /// It is next in turn.
    #[display("next in turn")]
    InTurn,
    /// It has the lowest cost of waiting and reading the prompt.
    #[display("lowest cost {cost_us} us")]
    LowestCost {
        /// The cost.
        cost_us: u64,
    },
    /// It has the lowest cost because it may hold a prefix of the prompt.
    #[display("cached prefix of {cached_tokens} tokens, cost {cost_us} us")]
    CachedPrefix {
        /// Tokens expected in the cache.
        cached_tokens: u64,
        /// The cost.
        cost_us: u64,
    },
    /// The content was in crashes and runs alone.
    #[display("alone after {crashes} crashes")]
    Alone {
        /// Crashes in which it was seen.
        crashes: u32,
    },
    /// It was chosen before; the first message may be lost.
    #[display("chosen before")]
    Repeated,
    /// The owner of the pool did not answer.
    #[display("pool owner silent, fewest own calls")]
    OwnerSilent,
}

/// Why a failed call is or is not tried again.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The request did not run.
    #[display("did not run")]
    NotRun,
    /// The call is idempotent.
    #[display("idempotent")]
    Idempotent,
    /// The call may not be repeated.
    #[display("may not be repeated")]
    NotIdempotent,
    /// A part of the response reached the caller.
    #[display("response has started")]
    Forwarded,
    /// The call failed too often.
    #[display("too many attempts")]
    TooManyAttempts,
    /// The retry budget is used up.
    #[display("retry budget used up")]
    OverBudget,
}

/// What shows whether a broken connection was a crash.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// New connections are refused.
    #[display("connections refused")]
    Refused,
    /// The process has restarted.
    #[display("process restarted")]
    Restarted,
    /// Several attempts were lost at once.
    #[display("several attempts lost at once")]
    SeveralLost,
    /// The probe had no answer.
    #[display("probe without answer")]
    ProbeSilent,
    /// New connections work and nothing else was lost.
    #[display("new connections work")]
    Answering,
}

/// Formats the runners-up of a placement.
fn runners_up_text(runners_up: &[UpstreamName]) -> String {
    runners_up
        .iter()
        .enumerate()
        .map(|(i, name)| {
            if i == 0 {
                format!(" before {name}")
            } else {
                format!(", {name}")
            }
        })
        .collect()
}
