//! Decisions of the core, each logged as one line.

use derive_more::{Display, From};
use smallvec::SmallVec;

use super::format::runners_up_text;
use super::{
    CapacityDecision, ClaimDecision, CloseReason, ConfinementDecision, CrashEvidence, Execution,
    LimitSource, LinkDecision, MembershipDecision, OrderAction, OriginEvidence, PaceDecision,
    PeerDecision, PlacementDecision, PlacementReason, RefusalKind, RetryReason, TakeoverSource,
};
use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, FencingToken, Incarnation, ProgramKey, Revision,
    StreamOrigin, UpstreamName, VmName,
};
use crate::tables::{Coverage, LimitReason};

/// A decision of the core.
///
/// `Display` formats the log line, prefixed with the name of the part that decided.
#[derive(Debug, Display, From, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A call was refused.
    #[display("admission: refused call {call} as {kind}, {ran}")]
    Refused {
        /// The refused call.
        call: CallId,
        /// Reason for the refusal.
        kind: RefusalKind,
        /// Whether the call ran.
        ran: Execution,
    },
    /// A caller takes up a stream that broke off.
    #[display("resume: call {call} takes up a stream of {origin}")]
    StreamTakenUp {
        /// The call that goes on with the stream.
        call: CallId,
        /// What is known about where the stream began.
        origin: OriginEvidence,
    },
    /// A call was admitted under its account's rate limit.
    #[display("rates: admitted call {call} of {account} after {waited_us} us")]
    Admitted {
        /// The admitted call.
        call: CallId,
        /// The account whose rate limit applies.
        account: AccountName,
        /// Time that the call waited for admission.
        waited_us: u64,
    },
    /// A decision about waiting calls.
    #[display("placement: {_0}")]
    #[from]
    Placement(PlacementDecision),
    /// The account's rate limit did not admit a call within its maximum waiting time.
    #[display(
        "rates: no room for call {call} of {account}, level {level_mcalls} and debt {debt_mcalls} of a burst of {burst_mcalls} thousandths of a call, rate {rate_mcalls_per_s} a second"
    )]
    NoRoom {
        /// The call that was not admitted.
        call: CallId,
        /// The account whose rate limit applies.
        account: AccountName,
        /// Level of this VM's token bucket, in thousandths of a call.
        level_mcalls: u64,
        /// Calls taken beyond the level, in thousandths of a call.
        debt_mcalls: u64,
        /// Capacity of the bucket, in thousandths of a call.
        burst_mcalls: u64,
        /// Fill rate of the bucket, in thousandths of a call per second.
        rate_mcalls_per_s: u64,
    },
    /// An upstream has stated the rate that it takes from all VMs together.
    #[display(
        "rates: {upstream} takes {mcalls_per_s} thousandths of a call a second from all VMs, says {source}, {age_ms} ms old"
    )]
    RateStated {
        /// The limited upstream.
        upstream: UpstreamName,
        /// The rate, in thousandths of a call per second.
        mcalls_per_s: u64,
        /// Where this VM learned of it.
        source: LimitSource,
        /// Age of the statement.
        age_ms: u64,
    },
    /// An upstream does not state a rate any more.
    #[display("rates: {upstream} is not limited any more, says {source}, {age_ms} ms old")]
    RateEnded {
        /// The upstream that was limited.
        upstream: UpstreamName,
        /// Where this VM learned of it.
        source: LimitSource,
        /// Age of the statement.
        age_ms: u64,
    },
    /// The home of a program allowed a turn to begin.
    #[display(
        "homes: turn {turn} of {program} begins for call {call}, {reserved_tokens} tokens reserved"
    )]
    TurnBegan {
        /// The program that the turn belongs to.
        program: ProgramKey,
        /// The turn number.
        turn: u32,
        /// The call that runs the turn.
        call: CallId,
        /// Budget tokens reserved for the turn.
        reserved_tokens: u64,
    },
    /// The home of a program refused a turn.
    #[display("homes: denied turn {turn} of {program} to call {call} as {kind}, {ran}")]
    TurnDenied {
        /// The program that the turn belongs to.
        program: ProgramKey,
        /// The turn number.
        turn: u32,
        /// The call that asked for the turn.
        call: CallId,
        /// Reason for the refusal.
        kind: RefusalKind,
        /// What is known about an earlier run of the turn.
        ran: Execution,
    },
    /// The outcome of a turn stays unknown, since its entry VM is no longer a member.
    #[display(
        "homes: outcome of turn {turn} of {program} unknown, its entry VM {vm} is no longer a member"
    )]
    TurnUnknown {
        /// The program that the turn belongs to.
        program: ProgramKey,
        /// The turn number.
        turn: u32,
        /// The entry VM of the turn.
        vm: VmName,
    },
    /// This VM became the home of a program and recovered its state.
    #[display("homes: took over {program} at turn {turn} from {source}")]
    ProgramTakenOver {
        /// The program that was taken over.
        program: ProgramKey,
        /// The last finished turn.
        turn: u32,
        /// Where the state was recovered from.
        source: TakeoverSource,
    },
    /// A program was closed.
    #[display("homes: {program} generation {generation} is over, {reason}")]
    ProgramClosed {
        /// The closed program.
        program: ProgramKey,
        /// The generation that was closed.
        generation: u64,
        /// Reason for closing it.
        reason: CloseReason,
    },
    /// The home started to release a program's memory on an engine.
    #[display("homes: release memory of {program} generation {generation} at {upstream}")]
    MemoryReleased {
        /// The program that used the memory.
        program: ProgramKey,
        /// The generation whose memory is released.
        generation: u64,
        /// The engine that holds the memory.
        upstream: UpstreamName,
    },
    /// An upstream was chosen for an attempt.
    #[display(
        "placement: attempt {attempt} of {} for {} to {upstream} of {origin}, {reason}{}",
        program.as_ref().map_or_else(|| "no program".to_owned(), ToString::to_string),
        account.as_ref().map_or("anyone", |a| a.as_str()),
        runners_up_text(runners_up)
    )]
    Placed {
        /// The attempt that was placed.
        attempt: AttemptId,
        /// The program; `None` if the call belongs to none.
        program: Option<ProgramKey>,
        /// The account to charge; `None` on routes that need no key.
        account: Option<AccountName>,
        /// The chosen upstream.
        upstream: UpstreamName,
        /// Its service and software version.
        origin: StreamOrigin,
        /// Reason for the choice.
        reason: PlacementReason,
        /// The next best upstreams.
        runners_up: SmallVec<[UpstreamName; 2]>,
    },
    /// A failed call is retried.
    #[display("retry: call {call} again after {upstream} failed, {reason}")]
    Retry {
        /// The call to retry.
        call: CallId,
        /// The upstream that failed.
        upstream: UpstreamName,
        /// Why it may be retried.
        reason: RetryReason,
    },
    /// A stream whose caller has received an event broke off and is bound to its origin.
    #[display("retry: call {call} may go on at upstreams of {origin} only")]
    BoundToOrigin {
        /// The call that is bound.
        call: CallId,
        /// Where its stream began.
        origin: StreamOrigin,
    },
    /// A failed call is not retried.
    #[display("retry: call {call} ends after {upstream} failed, {reason}")]
    NoRetry {
        /// The call that ends.
        call: CallId,
        /// The upstream that failed.
        upstream: UpstreamName,
        /// Why it is not retried.
        reason: RetryReason,
    },
    /// An upstream is silent, but the call stays there, since it could not go on elsewhere.
    #[display("retry: call {call} waits for {upstream}, which is silent")]
    SilenceTolerated {
        /// The call that waits.
        call: CallId,
        /// The upstream that sends nothing.
        upstream: UpstreamName,
    },
    /// An upstream crashed.
    #[display("retry: {upstream} crashed with {suspects} contents running, {evidence}")]
    Crashed {
        /// The upstream that crashed.
        upstream: UpstreamName,
        /// Number of contents that were running at the time.
        suspects: usize,
        /// Why this counts as a crash.
        evidence: CrashEvidence,
    },
    /// Connections broke or fell silent although the upstream did not crash.
    #[display("retry: {lost} connections to {upstream} broke, {evidence}")]
    ConnectionBroke {
        /// The upstream at the other end.
        upstream: UpstreamName,
        /// Attempts that lost their connection; 0 if the upstream was only silent.
        lost: usize,
        /// Why this does not count as a crash.
        evidence: CrashEvidence,
    },
    /// About the links of this VM to upstreams.
    #[from]
    #[display("links: {_0}")]
    Links(LinkDecision),
    /// About datagrams of other VMs.
    #[from]
    #[display("peers: {_0}")]
    Peers(PeerDecision),
    /// A decision about the places of upstreams.
    #[from]
    #[display("{_0}")]
    Capacity(CapacityDecision),
    /// About upstreams that have started or recovered.
    #[from]
    #[display("pacing: {_0}")]
    Pace(PaceDecision),
    /// A content was quarantined: no VM runs it for a time.
    #[display("retry: content {digest} quarantined for {for_ms} ms after {crashes} crashes")]
    Quarantined {
        /// The digest of the content.
        digest: ContentDigest,
        /// Duration of the quarantine.
        for_ms: u64,
        /// Crashes during which the content was running.
        crashes: u32,
    },
    /// An upstream was ejected from its pool: it gets no calls for a time.
    #[display("retry: {upstream} ejected for {for_ms} ms after {failures} failures in a row")]
    Ejected {
        /// The ejected upstream.
        upstream: UpstreamName,
        /// Duration of the ejection.
        for_ms: u64,
        /// Consecutive failures that led to it.
        failures: u32,
    },
    /// A failing upstream was not ejected, because half of its pool is ejected already.
    #[display(
        "retry: {upstream} not ejected after {failures} failures in a row, half of the pool is ejected"
    )]
    NotEjected {
        /// The failing upstream.
        upstream: UpstreamName,
        /// Its consecutive failures.
        failures: u32,
    },
    /// The concurrency limit of an upstream changed.
    #[display("placement: limit of {upstream} from {from_calls} to {to_calls}, {reason}")]
    LimitChanged {
        /// The upstream that has the limit.
        upstream: UpstreamName,
        /// The previous limit.
        from_calls: u32,
        /// The new limit.
        to_calls: u32,
        /// Reason for the change.
        reason: LimitReason,
    },
    /// About the members of the fleet, the view and the store.
    #[from]
    #[display("membership: {_0}")]
    Membership(MembershipDecision),
    /// An order was sent to an upstream.
    #[display("orders: {action} on {upstream}, token {token}")]
    Ordered {
        /// The receiver of the order.
        upstream: UpstreamName,
        /// The fencing token of the order.
        token: FencingToken,
        /// The requested action.
        action: OrderAction,
    },
    /// An upstream rejected an order because it has accepted a higher fencing token.
    #[display("orders: {upstream} refused token {token} as stale")]
    OrderStale {
        /// The upstream that rejected it.
        upstream: UpstreamName,
        /// The fencing token of the rejected order.
        token: FencingToken,
    },
    /// A configuration took effect.
    #[display("config: revision {revision} in force")]
    ConfigInForce {
        /// The revision of the configuration.
        revision: Revision,
    },
    /// Another VM became reachable, for the first time or again.
    #[display("peers: {vm} is reachable, incarnation {incarnation}")]
    PeerReachable {
        /// The other VM.
        vm: VmName,
        /// The incarnation of its process.
        incarnation: Incarnation,
    },
    /// Another VM has sent nothing for too long and counts as unreachable.
    #[display("peers: {vm} silent for {silent_ms} ms")]
    PeerUnreachable {
        /// The unreachable VM.
        vm: VmName,
        /// Time since its last message.
        silent_ms: u64,
    },
    /// The record of an unreachable VM expired; the VM no longer counts as one that may serve.
    #[display("peers: {vm} expired")]
    PeerExpired {
        /// The VM whose record expired.
        vm: VmName,
    },
    /// The number of VMs that share the accounts' rates changed.
    #[display("peers: {reachable_vms} of {known_vms} VMs share the rates")]
    ReachableVmsChanged {
        /// Reachable VMs, including this one.
        reachable_vms: u64,
        /// VMs that may serve, reachable or not.
        known_vms: u64,
    },
    /// The usage of all programs was learned from another VM or from the store.
    #[display("budgets: learned the use of {programs} programs, memory lost {losses} times")]
    ProgramUsageKnown {
        /// How often all VMs lost their memory within the retention time of programs.
        losses: u32,
        /// Number of programs whose usage is known.
        programs: usize,
    },
    /// A decision about a claim on a budget.
    #[display("budgets: {_0}")]
    #[from]
    Claim(ClaimDecision),
    /// A program's budget covers a turn, which may run.
    #[display(
        "budgets: call {call} of {program} covered {cover:?}, {known_tokens} of {budget_tokens} tokens known to be used"
    )]
    TurnCovered {
        /// The call that runs the turn.
        call: CallId,
        /// The program that has the budget.
        program: ProgramKey,
        /// Tokens known to be used, including those of running turns.
        known_tokens: u64,
        /// The whole budget of the program.
        budget_tokens: u64,
        /// What covers the turn.
        cover: Coverage,
    },
    /// A program's budget does not cover a turn.
    #[display(
        "budgets: call {call} of {program} not covered, {known_tokens} of {budget_tokens} tokens known to be used"
    )]
    TurnUncovered {
        /// The call that asked for the turn.
        call: CallId,
        /// The program that has the budget.
        program: ProgramKey,
        /// Tokens known to be used, including those of running turns.
        known_tokens: u64,
        /// The whole budget of the program.
        budget_tokens: u64,
    },
    /// A request to reserve budget tokens in the store was answered or failed.
    #[display(
        "budgets: {program} reserves {}, {reserved_tokens} tokens held",
        tokens.map_or_else(|| "without an answer".to_owned(), |tokens| format!("{tokens} tokens"))
    )]
    BudgetReserved {
        /// The program that has the budget.
        program: ProgramKey,
        /// Tokens reserved by this request; `None` if the store did not answer.
        tokens: Option<u64>,
        /// Reserved tokens on this VM that no turn has taken yet.
        reserved_tokens: u64,
    },
    /// A program has used up its budget.
    #[display(
        "budgets: {program} stopped, {known_tokens} of {budget_tokens} tokens known to be used"
    )]
    ProgramStopped {
        /// The program that has the budget.
        program: ProgramKey,
        /// Tokens known to be used.
        known_tokens: u64,
        /// The whole budget of the program.
        budget_tokens: u64,
    },
    /// The store stopped answering this VM's reads of configuration and upstreams.
    #[display(
        "source: the store does not answer, configuration read {} ago",
        config_age_ms.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms"))
    )]
    SourceUnavailable {
        /// Age of the last read of the configuration; `None` if there was none.
        config_age_ms: Option<u64>,
    },
    /// The store answers this VM's reads again.
    #[display("source: the store answers again")]
    SourceAvailable,
    /// A list of upstreams took effect.
    #[display("config: list {revision} in force with {upstreams} upstreams, {leaving} leaving")]
    ListInForce {
        /// The revision of the list.
        revision: u64,
        /// Number of upstreams in the list.
        upstreams: usize,
        /// Number of those upstreams that are leaving.
        leaving: usize,
    },
    /// About evacuated failure domains.
    #[from]
    #[display("confinement: {_0}")]
    Confinement(ConfinementDecision),
    /// An upstream stated in a response that it is leaving.
    #[display("retry: upstream {upstream} states that it is leaving, it gets no new calls")]
    UpstreamLeaving {
        /// The upstream that is leaving.
        upstream: UpstreamName,
    },
    /// A configuration was ignored because a newer one is in force.
    #[display("config: ignored revision {offered}, {in_force} is in force")]
    ConfigIgnored {
        /// The revision of the ignored configuration.
        offered: Revision,
        /// The revision in force.
        in_force: Revision,
    },
}
