//! Calls that entered the fleet through this VM.

use std::sync::Arc;

use smallvec::SmallVec;

use super::{AllowedRegions, Coverage};
use crate::config::HostRoute;
use crate::ids::{AccountName, AttemptId, PoolKey, ProgramKey, StreamOrigin, UpstreamName, VmName};
use crate::input::{Continuation, NewCall};
use crate::output::{ChargeOutcome, Execution};

/// Stage of a call on its entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for the rate limit of its account.
    Rate,
    /// Waits for the home of its program to begin the turn.
    Home,
    /// Waits for a reservation of tokens from the budget of its program.
    Budget,
    /// Waits for the assignment of an upstream.
    Place,
    /// Runs on an upstream.
    Running,
    /// Waits for the home to confirm the end of the turn.
    Settling,
}

/// A call that entered the fleet through this VM.
#[derive(Debug, Clone)]
pub struct Call {
    /// The call as the front end submitted it.
    pub request: NewCall,
    /// Stage that the call has reached.
    pub stage: Stage,
    /// Time of arrival.
    pub arrived_us: u64,
    /// The account that is charged; absent on routes open to all.
    pub account: Option<AccountName>,
    /// The program, if the call belongs to one.
    pub program: Option<ProgramKey>,
    /// Generation of the program; valid once the home has begun the turn.
    pub generation: u64,
    /// Pool of the upstreams that can run it.
    pub pool: PoolKey,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// State of the program before the turn; absent until the home has begun the turn.
    pub state: Option<Box<Continuation>>,
    /// Times that `Begin` was sent since the call entered its present stage.
    pub begin_tries: u32,
    /// Time at which `Begin` is sent again.
    pub begin_due_us: u64,
    /// Whether `Begin` was sent at all.
    pub has_asked_home: bool,
    /// Deadline for the home's answer, after which the call is refused; 0 outside that stage.
    pub home_deadline_us: u64,
    /// Time after which no attempt may start.
    pub valid_until_us: u64,
    /// Number of the last attempt; 0 before the first.
    pub attempts: u32,
    /// Upstream of the running attempt.
    pub upstream: Option<UpstreamName>,
    /// VM through which the running attempt goes; `None` if it goes directly.
    pub proxy: Option<VmName>,
    /// Whether any byte of the running attempt was sent to the upstream.
    pub sent: bool,
    /// Whether an earlier attempt ended without proof that it did not run.
    pub may_have_run: bool,
    /// The last attempt that ended without proof that it did not run.
    pub last_run: Option<Box<LastRun>>,
    /// Tokens that the last attempt used, if it ended early.
    pub used_tokens: Option<u64>,
    /// Upstreams on which the call has failed; avoided unless no other is usable.
    pub avoid: SmallVec<[UpstreamName; 2]>,
    /// State of placement and retries.
    pub placement: PlacementState,
    /// Whether it is the first turn of a program, as far as this VM knows.
    pub begins_program: bool,
    /// State that only relayed calls have.
    pub relay: Option<Box<RelayState>>,
}

/// An ended attempt that ran or may have run.
#[derive(Debug, Clone)]
pub struct LastRun {
    /// The attempt.
    pub attempt: AttemptId,
    /// Upstream to which it was sent.
    pub upstream: UpstreamName,
    /// Tokens of its response that were passed to the caller.
    pub answer_tokens: u64,
    /// How it ended.
    pub outcome: ChargeOutcome,
}

/// State that only relayed calls have.
#[derive(Debug, Clone)]
pub struct RelayState {
    /// Route that the call matched.
    pub route: Arc<HostRoute>,
    /// Deadline for the answer to the caller.
    pub deadline_us: u64,
    /// Deadline for the end of a stream that has begun.
    pub stream_deadline_us: u64,
    /// Priority in queues; 0 goes first.
    pub priority: u32,
    /// Program that the call belongs to, for its budget and for cache-aware placement.
    pub program: Option<ProgramKey>,
    /// Line of turns within the program; each sub-agent has its own.
    pub line: Option<u64>,
    /// Tokens that all turns of the program may generate; absent if the call is no turn.
    pub budget_tokens: Option<u64>,
    /// Time until which the program should be finished, as its caller states.
    pub program_deadline_us: Option<u64>,
    /// The caller's estimate of the tokens in the response.
    pub expected_answer_tokens: Option<u64>,
    /// Number of the turn among those of its program that this VM knows of; 0 if it is no turn.
    pub turn_number: u32,
    /// Part of the budget that covers the call; absent until it is covered.
    pub cover: Option<Coverage>,
    /// Tokens passed to the caller by all attempts.
    pub forwarded_tokens: u64,
    /// Attempts that may have run.
    pub runs: u32,
    /// Upstreams on which the call may have run.
    pub ran_on: SmallVec<[UpstreamName; 2]>,
    /// The only upstream that may run the call again, unless its process has ended.
    pub only: Option<UpstreamName>,
    /// Service and software version of the upstream of the last attempt, at the time of dispatch.
    pub attempt_origin: Option<StreamOrigin>,
    /// Where the stream began, once its caller has received an event; only upstreams of the same
    /// service and software version may go on with it.
    pub origin: Option<StreamOrigin>,
    /// Regions in which the call may run, by the configuration at its arrival; `None` if it may run
    /// anywhere.
    pub homes: Option<AllowedRegions>,
}

/// State of placement and retries of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementState {
    /// Requests to the owner of the pool since its last answer.
    pub unanswered: u32,
    /// End of the wait for an upstream.
    pub queue_until_us: u64,
    /// Time at which the answer of the owner of the pool is overdue.
    pub check_us: u64,
    /// Time at which the attempt was sent to its upstream.
    pub dispatched_us: u64,
    /// Time at which its first token arrived; 0 before that.
    pub first_token_us: u64,
    /// Attempts whose connection was lost.
    pub lost_connections: u32,
    /// Attempts that failed otherwise after they may have run.
    pub failures: u32,
    /// Whether the running attempt was cancelled and another one may follow.
    pub is_cancelled: bool,
    /// Crashes of upstreams during which the content ran, as reported by the owner of the pool.
    pub crashes: u32,
}

impl Call {
    /// Returns the identity of the last attempt; before the first, its number is 0.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            call: self.request.id,
            number: self.attempts,
        }
    }

    /// Returns the tokens that ended attempts have forwarded to the caller of a relayed call.
    pub fn forwarded_tokens(&self) -> u64 {
        let relay = self.relay.as_ref();
        relay.map_or(0, |relay| relay.forwarded_tokens)
    }

    /// Returns whether the system keeps the call's turn.
    pub fn is_kept_turn(&self) -> bool {
        let relay = self.relay.as_ref();
        relay.is_some_and(|relay| relay.route.history_ms.is_some())
    }

    /// Returns a record of the end of the running attempt, or `None` if it has no upstream.
    pub fn to_last_run(&self, answer_tokens: u64, outcome: ChargeOutcome) -> Option<LastRun> {
        Some(LastRun {
            attempt: self.attempt(),
            upstream: self.upstream.clone()?,
            answer_tokens,
            outcome,
        })
    }

    /// Returns whether a waiting call may have run in an earlier attempt.
    pub fn execution(&self) -> Execution {
        if self.may_have_run {
            Execution::MayHaveRun
        } else {
            Execution::NotRun
        }
    }

    /// Returns whether this call itself ran, given the execution that a refusal states.
    ///
    /// A refusal by the home may describe an earlier call with the same request, while this one
    /// was never sent to an upstream.
    pub fn own_execution(&self, ran: Execution) -> Execution {
        match self.stage {
            Stage::Rate | Stage::Home | Stage::Budget if !self.may_have_run => Execution::NotRun,
            _ => ran,
        }
    }

    /// Returns whether the call is a turn with a token budget but without a home.
    pub fn has_budget(&self) -> bool {
        let relay = self.relay.as_ref();
        relay.is_some_and(|relay| relay.budget_tokens.is_some() && relay.program.is_some())
    }

    /// Returns the program of the call, whether it has a home or is relayed.
    pub fn program_key(&self) -> Option<&ProgramKey> {
        let relayed = || self.relay.as_ref()?.program.as_ref();
        self.program.as_ref().or_else(relayed)
    }

    /// Returns the most tokens, prompt and response, that the call can use.
    pub fn max_total_tokens(&self) -> u64 {
        self.request
            .prompt_tokens
            .saturating_add(self.request.max_tokens)
    }
}
