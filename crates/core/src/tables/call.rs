//! Calls that arrived at this VM.

use std::sync::Arc;

use smallvec::SmallVec;

use super::Coverage;
use crate::config::HostRoute;
use crate::ids::{AccountName, AttemptId, PoolKey, ProgramKey, UpstreamName};
use crate::input::{Continuation, NewCall};
use crate::output::{ChargeOutcome, Execution};

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for its account's rate.
    Rate,
    /// Waits for the home of its program.
    Home,
    /// Waits for its program's budget.
    Budget,
    /// Waits for an upstream.
    Place,
    /// Runs on an upstream.
    Running,
    /// Waits for the home to confirm the end of the turn.
    Settling,
}

/// A call that arrived at this VM.
#[derive(Debug, Clone)]
pub struct Call {
    /// What the front end handed over.
    pub request: NewCall,
    /// How far it has come.
    pub stage: Stage,
    /// When it arrived.
    pub arrived_us: u64,
    /// The account that is charged; absent on routes open to all.
    pub account: Option<AccountName>,
    /// The program, if the call belongs to one.
    pub program: Option<ProgramKey>,
    /// The generation of the program, once the home has let the turn begin.
    pub generation: u64,
    /// The upstreams that can run it.
    pub pool: PoolKey,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The state of the program before the turn, once the home has let it begin.
    pub state: Option<Box<Continuation>>,
    /// How often `Begin` was sent since the call entered its stage.
    pub begin_tries: u32,
    /// When `Begin` has to be sent again.
    pub begin_due_us: u64,
    /// Whether the home was ever asked to let the turn begin.
    pub has_asked_home: bool,
    /// When the call is refused unless the home has answered; 0 outside that stage.
    pub home_deadline_us: u64,
    /// Time after which no attempt may start.
    pub valid_until_us: u64,
    /// Number of the last attempt; 0 before the first.
    pub attempts: u32,
    /// The upstream of the running attempt.
    pub upstream: Option<UpstreamName>,
    /// Whether a byte of the running attempt left for the upstream.
    pub sent: bool,
    /// Whether an earlier attempt ended without certainty that it did not run.
    pub may_have_run: bool,
    /// The last attempt that ended without certainty that it did not run.
    pub last_run: Option<Box<LastRun>>,
    /// Tokens that the last attempt used, if it ended early.
    pub used_tokens: Option<u64>,
    /// Upstreams on which the call has failed.
    pub avoid: SmallVec<[UpstreamName; 2]>,
    /// Placement and retries.
    pub placement: PlacementState,
    /// Whether it begins a program, as far as this VM knows.
    pub begins_program: bool,
    /// What only relayed calls have.
    pub relay: Option<Box<RelayState>>,
}

/// An attempt that has ended and ran or may have run.
#[derive(Debug, Clone)]
pub struct LastRun {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it ran.
    pub upstream: UpstreamName,
    /// Tokens that it passed to the caller.
    pub answer_tokens: u64,
    /// How it ended.
    pub outcome: ChargeOutcome,
}

/// What only relayed calls have.
#[derive(Debug, Clone)]
pub struct RelayState {
    /// The route.
    pub route: Arc<HostRoute>,
    /// When the call has to be answered.
    pub deadline_us: u64,
    /// When a stream that has begun has to end.
    pub stream_deadline_us: u64,
    /// The rank; 0 goes first.
    pub priority: u32,
    /// The program, for its budget and for the cache of its engine.
    pub program: Option<ProgramKey>,
    /// The line of turns within the program.
    pub line: Option<u64>,
    /// The program's budget, if the call is a turn.
    pub budget_tokens: Option<u64>,
    /// How the budget covers the call.
    pub cover: Option<Coverage>,
    /// Tokens passed to the caller.
    pub forwarded_tokens: u64,
    /// Upstreams on which the call may have run.
    pub ran_on: SmallVec<[UpstreamName; 2]>,
    /// The only upstream that may run the call again, unless it has ended.
    pub only: Option<UpstreamName>,
}

/// Placement and retries of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementState {
    /// Requests for an upstream without an answer.
    pub unanswered: u32,
    /// When the wait for an upstream ends.
    pub queue_until_us: u64,
    /// When the answer of the owner of the pool is looked for.
    pub check_us: u64,
    /// When the attempt was sent to its upstream.
    pub dispatched_us: u64,
    /// When its first token arrived; 0 before that.
    pub first_token_us: u64,
    /// Connections lost so far.
    pub lost_connections: u32,
    /// Attempts that failed in another way after they may have run.
    pub failures: u32,
    /// Crashes in which the content ran, as told by the owner of the pool.
    pub crashes: u32,
}

impl Call {
    /// Returns the running or next attempt.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            call: self.request.id,
            number: self.attempts,
        }
    }

    /// Describes how the present attempt ended.
    pub fn to_last_run(&self, answer_tokens: u64, outcome: ChargeOutcome) -> Option<LastRun> {
        Some(LastRun {
            attempt: self.attempt(),
            upstream: self.upstream.clone()?,
            answer_tokens,
            outcome,
        })
    }

    /// Returns what is known about an execution of a call that waits.
    pub fn execution(&self) -> Execution {
        if self.may_have_run {
            Execution::MayHaveRun
        } else {
            Execution::NotRun
        }
    }

    /// Returns whether this call itself ran, given what a refusal says about its request.
    ///
    /// A refusal by the home may speak of an earlier call with the same request, while this one
    /// never left for an upstream.
    pub fn own_execution(&self, ran: Execution) -> Execution {
        match self.stage {
            Stage::Rate | Stage::Home | Stage::Budget if !self.may_have_run => Execution::NotRun,
            _ => ran,
        }
    }

    /// Returns whether the call has to be covered by a budget that no home keeps.
    pub fn has_budget(&self) -> bool {
        let relay = self.relay.as_ref();
        relay.is_some_and(|relay| relay.budget_tokens.is_some() && relay.program.is_some())
    }

    /// Returns the program, whether a home keeps it or not.
    pub fn program_key(&self) -> Option<&ProgramKey> {
        let relayed = || self.relay.as_ref()?.program.as_ref();
        self.program.as_ref().or_else(relayed)
    }

    /// Returns the highest number of tokens that the call can use.
    pub fn max_total_tokens(&self) -> u64 {
        self.request
            .prompt_tokens
            .saturating_add(self.request.max_tokens)
    }
}
