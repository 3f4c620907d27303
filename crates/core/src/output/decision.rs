//! Decisions for the log, one short sentence each.

use derive_more::Display;
use smallvec::SmallVec;

use super::{
    CrashEvidence, Execution, OrderAction, OverReason, PlacementReason, RefusalKind, RetryReason,
    TakeoverSource,
};
use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, Epoch, FencingToken, Incarnation, ProgramKey,
    Revision, UpstreamName, VmName,
};
use crate::tables::{Coverage, LimitReason};

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
    /// A call had no room in its account's rate within the time that it may wait.
    #[display(
        "rates: no room for call {call} of {account}, level {level_mcalls} and debt {debt_mcalls} of a burst of {burst_mcalls} thousandths of a call, rate {rate_mcalls_per_s} a second"
    )]
    NoRoom {
        /// The call.
        call: CallId,
        /// The account.
        account: AccountName,
        /// What this VM's bucket holds.
        level_mcalls: u64,
        /// What was taken beyond it.
        debt_mcalls: u64,
        /// What it can hold.
        burst_mcalls: u64,
        /// How fast it fills.
        rate_mcalls_per_s: u64,
    },
    /// The home let a turn begin.
    #[display(
        "homes: turn {turn} of {program} begins for call {call}, {reserved_tokens} tokens reserved"
    )]
    TurnBegan {
        /// The program.
        program: ProgramKey,
        /// The turn.
        turn: u32,
        /// The call.
        call: CallId,
        /// Tokens reserved for it.
        reserved_tokens: u64,
    },
    /// The home refused a turn.
    #[display("homes: denied turn {turn} of {program} to call {call} as {kind}, {ran}")]
    TurnDenied {
        /// The program.
        program: ProgramKey,
        /// The turn.
        turn: u32,
        /// The call.
        call: CallId,
        /// Why.
        kind: RefusalKind,
        /// What is known about an earlier run of the turn.
        ran: Execution,
    },
    /// The outcome of a turn will not become known.
    #[display("homes: outcome of turn {turn} of {program} unknown, its entry VM {vm} is gone")]
    TurnUnknown {
        /// The program.
        program: ProgramKey,
        /// The turn.
        turn: u32,
        /// The entry VM.
        vm: VmName,
    },
    /// This VM took over a program from its witnesses or from the continuation of its caller.
    #[display("homes: took over {program} at turn {turn} from {source}")]
    ProgramTakenOver {
        /// The program.
        program: ProgramKey,
        /// The last finished turn.
        turn: u32,
        /// What the state was taken from.
        source: TakeoverSource,
    },
    /// A program is over.
    #[display("homes: {program} generation {generation} is over, {reason}")]
    ProgramOver {
        /// The program.
        program: ProgramKey,
        /// Its generation.
        generation: u64,
        /// Why.
        reason: OverReason,
    },
    /// Engine memory of a program is released.
    #[display("homes: release memory of {program} generation {generation} at {upstream}")]
    MemoryReleased {
        /// The program.
        program: ProgramKey,
        /// Its generation.
        generation: u64,
        /// The engine.
        upstream: UpstreamName,
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
    /// A view was ignored since a newer one is known.
    #[display("membership: ignored view {offered}, {in_force} is in force")]
    ViewIgnored {
        /// The epoch that was offered.
        offered: Epoch,
        /// The epoch in force.
        in_force: Epoch,
    },
    /// A member was reported to be silent.
    #[display("membership: {vm} is silent, says {by}")]
    Suspected {
        /// The silent member.
        vm: VmName,
        /// The member that reported it first.
        by: VmName,
    },
    /// A message of a former start of a VM was ignored.
    #[display("membership: ignored a message of {vm} from before its restart")]
    FormerStart {
        /// The VM.
        vm: VmName,
    },
    /// The store does not answer.
    #[display("membership: the store does not answer")]
    StoreSilent,
    /// The store answers again.
    #[display("membership: the store answers again")]
    StoreAnswers,
    /// This VM, a writer, promised to write no view for the time of a lease.
    #[display("membership: promised to write no view while the store does not answer")]
    PromiseMade,
    /// This VM is no longer a member and acts no more.
    #[display("membership: left the fleet at view {epoch}")]
    Left {
        /// The epoch of the view without this VM.
        epoch: Epoch,
    },
    /// An upstream was given an order.
    #[display("orders: {action} on {upstream}, token {token}")]
    Ordered {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing token.
        token: FencingToken,
        /// What it has to do.
        action: OrderAction,
    },
    /// An upstream refused an order, since a later owner has given one.
    #[display("orders: {upstream} refused token {token} as stale")]
    OrderStale {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing token.
        token: FencingToken,
    },
    /// A configuration came into force.
    #[display("config: revision {revision} in force")]
    ConfigInForce {
        /// The revision.
        revision: Revision,
    },
    /// Another VM was heard for the first time, or again.
    #[display("peers: {vm} is heard, start {incarnation}")]
    PeerHeard {
        /// The VM.
        vm: VmName,
        /// The start of its process.
        incarnation: Incarnation,
    },
    /// Another VM is not heard any more.
    #[display("peers: {vm} silent for {silent_ms} ms")]
    PeerSilent {
        /// The VM.
        vm: VmName,
        /// For how long.
        silent_ms: u64,
    },
    /// A silent VM no longer counts as one that may serve.
    #[display("peers: {vm} forgotten")]
    PeerForgotten {
        /// The VM.
        vm: VmName,
    },
    /// The part of the accounts' rates that the heard VMs use changed.
    #[display("peers: {heard_vms} of {known_vms} VMs share the rates")]
    GroupChanged {
        /// VMs that are heard, this one included.
        heard_vms: u64,
        /// VMs that may serve.
        known_vms: u64,
    },
    /// The use of all programs was learned from another VM or from the store.
    #[display("budgets: learned the use of {programs} programs, memory lost {losses} times")]
    ProgramsKnown {
        /// Losses of the memory of all VMs within the retention of programs.
        losses: u32,
        /// The number of programs.
        programs: usize,
    },
    /// A turn is covered by its program's budget.
    #[display(
        "budgets: call {call} of {program} covered {cover:?}, {known_tokens} of {budget_tokens} tokens known to be used"
    )]
    TurnCovered {
        /// The call.
        call: CallId,
        /// The program.
        program: ProgramKey,
        /// Tokens known to be used, those of running turns included.
        known_tokens: u64,
        /// The budget.
        budget_tokens: u64,
        /// What covers it.
        cover: Coverage,
    },
    /// A turn is not covered by its program's budget.
    #[display(
        "budgets: call {call} of {program} not covered, {known_tokens} of {budget_tokens} tokens known to be used"
    )]
    TurnUncovered {
        /// The call.
        call: CallId,
        /// The program.
        program: ProgramKey,
        /// Tokens known to be used, those of running turns included.
        known_tokens: u64,
        /// The budget.
        budget_tokens: u64,
    },
    /// The store answered a reservation of tokens, or did not.
    #[display(
        "budgets: {program} reserves {}, {reserved_tokens} tokens held",
        tokens.map_or_else(|| "without an answer".to_owned(), |tokens| format!("{tokens} tokens"))
    )]
    BudgetReserved {
        /// The program.
        program: ProgramKey,
        /// The tokens; `None` if the store did not answer.
        tokens: Option<u64>,
        /// Tokens that this VM holds and no turn has taken.
        reserved_tokens: u64,
    },
    /// A program has used up its budget.
    #[display(
        "budgets: {program} stopped, {known_tokens} of {budget_tokens} tokens known to be used"
    )]
    ProgramStopped {
        /// The program.
        program: ProgramKey,
        /// Tokens known to be used.
        known_tokens: u64,
        /// The budget.
        budget_tokens: u64,
    },
    /// The store does not answer this VM.
    #[display(
        "source: the store does not answer, configuration read {} ago",
        config_age_ms.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms"))
    )]
    SourceLost {
        /// Age of the last read of the configuration.
        config_age_ms: Option<u64>,
    },
    /// The store answers this VM again.
    #[display("source: the store answers again")]
    SourceBack,
    /// A list of upstreams came into force.
    #[display("config: list {revision} in force with {upstreams} upstreams, {leaving} leaving")]
    ListInForce {
        /// The revision of the list.
        revision: u64,
        /// Upstreams in it.
        upstreams: usize,
        /// Upstreams that are leaving.
        leaving: usize,
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
