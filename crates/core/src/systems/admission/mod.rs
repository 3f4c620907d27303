//! Admission of calls: route lookup, authentication, refusals, and the stages of a call.

mod last_calls;
mod origins;
mod routes;

use std::sync::Arc;

use smallvec::SmallVec;

use super::{Tick, budgets, homes, outcomes, rates};
use crate::config::HostRoute;
use crate::ids::{AccountName, CallId, ProgramKey, StreamOrigin};
use crate::input::{NewCall, PresentedKey};
use crate::message::PlacementMessage;
use crate::output::{ChargeOutcome, Decision, Execution, Output, Refusal, RefusalKind};
use crate::tables::{AllowedRegions, Call, RelayState, Stage};

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Calls that the front end has received.
    pub arrived: Vec<NewCall>,
    /// Calls whose callers have disconnected.
    pub abandoned: Vec<CallId>,
    /// When the process ends all open calls, if it was asked to stop.
    pub calls_end_us: Option<u64>,
    /// Whether the process stops, so that all calls have to end.
    pub halt: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.arrived.is_empty()
            && self.abandoned.is_empty()
            && self.calls_end_us.is_none()
            && !self.halt
    }
}

/// Handles new and abandoned calls, then ends all calls if the process stops.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.admission);
    if let Some(time_us) = work.calls_end_us {
        last_calls::end_calls_at(tick, time_us);
    }
    for call in work.arrived {
        handle_arrival(tick, call);
    }
    for call in work.abandoned {
        abandon(tick, call);
    }
    if work.halt {
        refuse_all(tick);
    }
}

/// Time for which a stream that has begun may go on after its route's timeout.
const STREAM_GRACE_US: u64 = 200_000;

/// Highest age of the configuration at which a relayed call is denied for an unknown route,
/// model or key.
///
/// One that is missing from an older configuration may have been added since.
const MAX_DENY_CONFIG_AGE_US: u64 = 2_000_000;

/// Resolves and authenticates a new call, and refuses it or moves it to its first stage.
fn handle_arrival(tick: &mut Tick<'_>, request: NewCall) {
    let id = request.id;
    let resolved = routes::find_route(tick, &request).and_then(|route| {
        // On an open route, the key of a relayed call is ignored.
        let is_keyless = route.open && route.host.is_some();
        let key = request.key.as_ref().filter(|_| !is_keyless);
        let account = authenticate(tick, key, route.open)?;
        // Checked after the key, so that callers without one can't probe which contents are
        // quarantined.
        if tick.tables.quarantine.contains_key(&request.digest) {
            return Err(RefusalKind::Quarantined);
        }
        let origin = origins::find_origin(tick, &request, &route)?;
        Ok((route, account, origin))
    });
    let (route, account, origin) = match resolved {
        Ok(resolved) => resolved,
        Err(kind) => {
            let kind = soften_denial(tick, &request, kind);
            report_refusal(tick, id, kind, Execution::NotRun, None);
            return;
        }
    };
    let program = match (&account, &request.program) {
        (Some(account), Some(program)) => Some(ProgramKey {
            account: account.clone(),
            name: program.name.clone(),
        }),
        _ => None,
    };
    let needs_permit = !route.idempotent && route.host.is_none();
    if needs_permit && (program.is_none() || request.permit.is_none()) {
        report_refusal(
            tick,
            id,
            RefusalKind::PermitRequired,
            Execution::NotRun,
            None,
        );
        return;
    }
    let relay = route
        .host
        .map(|host| build_relay(tick, &request, host, account.as_ref(), origin));
    if last_calls::may_outlast_process(tick, relay.as_deref()) {
        report_refusal(tick, id, RefusalKind::Draining, Execution::NotRun, None);
        return;
    }
    if let Some(program) = find_stopped_program(tick, relay.as_deref()) {
        budgets::report_uncovered(tick, &program, id);
        report_refusal(tick, id, RefusalKind::OverBudget, Execution::NotRun, None);
        return;
    }
    let begins_program = begins_program(tick, relay.as_deref());
    let call = Call {
        stage: Stage::Rate,
        arrived_us: tick.now_us,
        account,
        program,
        generation: 0,
        pool: route.pool,
        idempotent: route.idempotent,
        state: None,
        begin_tries: 0,
        begin_due_us: 0,
        has_asked_home: false,
        home_deadline_us: 0,
        valid_until_us: u64::MAX,
        attempts: 0,
        upstream: None,
        proxy: None,
        sent: false,
        may_have_run: false,
        last_run: None,
        used_tokens: None,
        avoid: SmallVec::new(),
        placement: Default::default(),
        begins_program,
        relay,
        request,
    };
    let has_account = call.account.is_some();
    tick.tables.calls.insert(id, call);
    if has_account {
        tick.work.rates.calls.push(id);
    } else {
        enter_stage(tick, id, Stage::Home);
    }
}

/// Refuses as `Isolated` instead of denying if the configuration is too old for a denial.
fn soften_denial(tick: &Tick<'_>, request: &NewCall, kind: RefusalKind) -> RefusalKind {
    let is_denial = matches!(
        kind,
        RefusalKind::RouteUnknown | RefusalKind::ModelUnknown | RefusalKind::KeyUnknown
    );
    let age_us = tick.tables.source.config.age_us(tick.now_us);
    let is_old = age_us.is_none_or(|age_us| age_us > MAX_DENY_CONFIG_AGE_US);
    if request.relayed.is_some() && is_denial && is_old {
        RefusalKind::Isolated
    } else {
        kind
    }
}

/// Returns the program of a turn if its budget is used up.
///
/// Such a turn is refused before it counts against its account's rate.
fn find_stopped_program(tick: &Tick<'_>, relay: Option<&RelayState>) -> Option<ProgramKey> {
    let turn = relay.filter(|relay| relay.budget_tokens.is_some())?;
    let program = turn.program.as_ref()?;
    let row = tick.tables.budgets.get(program)?;
    row.is_stopped.then(|| program.clone())
}

/// Returns whether a relayed call is the first turn of a program, as far as this VM knows.
fn begins_program(tick: &Tick<'_>, relay: Option<&RelayState>) -> bool {
    let Some(relay) = relay.filter(|relay| relay.budget_tokens.is_some()) else {
        return false;
    };
    let program = relay.program.as_ref();
    let row = program.and_then(|program| tick.tables.budgets.get(program));
    row.is_none_or(|row| row.spent.is_empty() && row.running_tokens == 0)
}

/// Builds the state that only relayed calls have.
fn build_relay(
    tick: &Tick<'_>,
    request: &NewCall,
    route: Arc<HostRoute>,
    account: Option<&AccountName>,
    origin: Option<StreamOrigin>,
) -> Box<RelayState> {
    let relayed = request.relayed.as_deref();
    let row = account.and_then(|account| tick.tables.accounts.get(account));
    let priority = row.and_then(|row| row.config.priority);
    let route_deadline_us = tick.now_us + route.timeout_ms * 1_000;
    let caller_deadline_us = relayed.map_or(u64::MAX, |relayed| relayed.deadline_us);
    let program = relayed.and_then(|relayed| relayed.program.clone());
    let is_stream = route.kind.is_stream();
    let has_deadline_order = tick.settings.policy.deadline_order;
    let account_regions = row.map_or(&[][..], |row| &row.config.allowed_regions);
    Box::new(RelayState {
        deadline_us: caller_deadline_us.min(route_deadline_us),
        stream_deadline_us: caller_deadline_us.min(route_deadline_us + STREAM_GRACE_US),
        priority: priority.unwrap_or(route.priority),
        program: program.map(|name| ProgramKey {
            account: account.cloned().unwrap_or_else(|| AccountName::from("")),
            name,
        }),
        line: relayed.and_then(|relayed| relayed.line),
        budget_tokens: relayed
            .and_then(|relayed| relayed.budget_tokens)
            .filter(|_| is_stream),
        program_deadline_us: relayed
            .and_then(|relayed| relayed.program_deadline_us)
            .filter(|_| has_deadline_order),
        expected_answer_tokens: relayed.and_then(|relayed| relayed.expected_answer_tokens),
        turn_number: 0,
        cover: None,
        forwarded_tokens: 0,
        runs: 0,
        ran_on: SmallVec::new(),
        only: None,
        attempt_origin: None,
        origin,
        homes: AllowedRegions::of(&route.allowed_regions, account_regions),
        route,
    })
}

/// Returns the account of the presented key, or `None` if the route is open and no key is given.
pub(crate) fn authenticate(
    tick: &Tick<'_>,
    key: Option<&PresentedKey>,
    open: bool,
) -> Result<Option<AccountName>, RefusalKind> {
    let Some(presented) = key else {
        return if open {
            Ok(None)
        } else {
            Err(RefusalKind::KeyMissing)
        };
    };
    if tick.tables.is_isolated(tick.settings, tick.now_us) {
        return Err(RefusalKind::Isolated);
    }
    let key = tick.tables.keys.get(&presented.id);
    let key = key
        .filter(|key| key.sha256 == presented.sha256)
        .ok_or(RefusalKind::KeyUnknown)?;
    if key.withdrawn {
        return Err(RefusalKind::KeyWithdrawn);
    }
    Ok(Some(key.account.clone()))
}

/// Moves a call to a stage, or to the one required before it, and enqueues it for its system.
pub(crate) fn enter_stage(tick: &mut Tick<'_>, id: CallId, stage: Stage) {
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        return;
    };
    let stage = match stage {
        Stage::Home if call.has_budget() => Stage::Budget,
        Stage::Home if call.program.is_none() => Stage::Place,
        // A retry after the validity of the turn has expired needs a new one from the home.
        Stage::Place if call.valid_until_us <= tick.now_us => Stage::Home,
        stage => stage,
    };
    call.stage = stage;
    match stage {
        Stage::Home => {
            call.begin_tries = 0;
            tick.work.homes.calls.push(id);
        }
        Stage::Budget => tick.work.budgets.calls.push(id),
        Stage::Place => tick.work.placement.calls.push(id),
        Stage::Rate | Stage::Running | Stage::Settling => {}
    }
}

/// Refuses and removes a call; settles its turn, charge, budget and rate.
pub(crate) fn refuse(
    tick: &mut Tick<'_>,
    id: CallId,
    kind: RefusalKind,
    ran: Execution,
    retry_after_ms: Option<u64>,
) {
    let Some(call) = tick.tables.calls.remove(&id) else {
        return;
    };
    let ran = if ran == Execution::NotRun && call.may_have_run {
        Execution::MayHaveRun
    } else {
        ran
    };
    let own_execution = call.own_execution(ran);
    let used_tokens = match own_execution {
        Execution::NotRun => 0,
        _ => call.used_tokens.unwrap_or_else(|| call.max_total_tokens()),
    };
    if own_execution != Execution::NotRun {
        outcomes::charge_last_run(tick, &call);
    }
    // A stopping process does not know what the caller of an attempt in progress has got.
    let forwarded_tokens = match (call.stage, kind) {
        (Stage::Running, RefusalKind::Draining) => call.request.max_tokens,
        _ => call.forwarded_tokens(),
    };
    homes::end_turn(tick, &call, own_execution, used_tokens, None);
    budgets::settle_turn(tick, &call, forwarded_tokens);
    let was_admitted = matches!(call.stage, Stage::Budget | Stage::Place);
    if was_admitted
        && own_execution == Execution::NotRun
        && let Some(account) = call.account.as_ref().filter(|_| call.relay.is_some())
    {
        rates::refund_call(tick, account);
    }
    report_refusal(tick, id, kind, ran, retry_after_ms);
}

/// Reports a refusal to the front end and the log.
pub(crate) fn report_refusal(
    tick: &mut Tick<'_>,
    call: CallId,
    kind: RefusalKind,
    ran: Execution,
    retry_after_ms: Option<u64>,
) {
    tick.outputs.push(Output::Refused(Refusal {
        call,
        kind,
        ran,
        retry_after_ms,
    }));
    tick.log(Decision::Refused { call, kind, ran });
}

/// Refuses all calls but those that are settling, because the process stops.
///
/// A call that runs on an upstream is charged by what is known of it.
fn refuse_all(tick: &mut Tick<'_>) {
    let open_calls: Vec<CallId> = tick.tables.calls.iter().map(|(id, _)| *id).collect();
    for id in open_calls {
        let Some(call) = tick.tables.calls.get_mut(&id) else {
            continue;
        };
        let ran = match call.stage {
            Stage::Running => {
                let outcome = if call.placement.first_token_us > 0 {
                    ChargeOutcome::Interrupted
                } else {
                    ChargeOutcome::Unknown
                };
                call.last_run = call.to_last_run(0, outcome).map(Box::new);
                Execution::MayHaveRun
            }
            Stage::Settling => continue,
            _ => call.execution(),
        };
        refuse(tick, id, RefusalKind::Draining, ran, None);
    }
}

/// Removes a call that waits for an upstream from the queue of its pool.
fn withdraw(tick: &mut Tick<'_>, id: CallId) {
    let Some(call) = tick.tables.calls.get(&id) else {
        return;
    };
    let (pool, attempt) = (call.pool.clone(), call.attempt());
    if let Some(owner) = tick.tables.view.pool_owner(&pool).cloned() {
        tick.send(&owner, PlacementMessage::Withdraw { pool, attempt });
    }
}

/// Refuses a waiting call whose caller has disconnected.
fn abandon(tick: &mut Tick<'_>, id: CallId) {
    let Some(call) = tick.tables.calls.get(&id) else {
        return;
    };
    match call.stage {
        Stage::Rate | Stage::Home | Stage::Budget => {
            refuse(tick, id, RefusalKind::CallerGone, Execution::NotRun, None);
        }
        Stage::Place => {
            let ran = call.execution();
            withdraw(tick, id);
            refuse(tick, id, RefusalKind::CallerGone, ran, None);
        }
        // The traffic threads report the end of the attempt.
        Stage::Running | Stage::Settling => {}
    }
}
