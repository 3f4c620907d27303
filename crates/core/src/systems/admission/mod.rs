//! Admits calls and moves them on.

use smallvec::SmallVec;

use super::{Tick, homes};
use crate::ids::{AccountName, CallId, PoolKey, ProgramKey};
use crate::input::{NewCall, PresentedKey, Target};
use crate::message::PlacementMessage;
use crate::output::{Decision, Execution, Output, Refusal, RefusalKind};
use crate::tables::{Call, Stage};

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub arrived: Vec<NewCall>,
    pub abandoned: Vec<CallId>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.arrived.is_empty() && self.abandoned.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.admission);
    for call in work.arrived {
        arrive(tick, call);
    }
    for call in work.abandoned {
        abandon(tick, call);
    }
}

/// The route that a call takes.
struct Route {
    pool: PoolKey,
    idempotent: bool,
    open: bool,
}

/// Admits a new call or refuses it.
fn arrive(tick: &mut Tick<'_>, new: NewCall) {
    let id = new.id;
    let admitted = find_route(tick, &new.target).and_then(|route| {
        let account = find_account(tick, new.key.as_ref(), route.open)?;
        // After the key, so that nobody learns of other callers' contents without one.
        if tick.tables.quarantine.contains_key(&new.digest) {
            return Err(RefusalKind::Quarantined);
        }
        Ok((route, account))
    });
    let (route, account) = match admitted {
        Ok(admitted) => admitted,
        Err(kind) => {
            report(tick, id, kind, Execution::NotRun, None);
            return;
        }
    };
    let program = match (&account, &new.program) {
        (Some(account), Some(program)) => Some(ProgramKey {
            account: account.clone(),
            name: program.name.clone(),
        }),
        _ => None,
    };
    if !route.idempotent && (program.is_none() || new.permit.is_none()) {
        report(
            tick,
            id,
            RefusalKind::PermitRequired,
            Execution::NotRun,
            None,
        );
        return;
    }
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
        home_give_up_us: 0,
        valid_until_us: u64::MAX,
        attempts: 0,
        upstream: None,
        sent: false,
        may_have_run: false,
        used_tokens: None,
        avoid: SmallVec::new(),
        place: Default::default(),
        new,
    };
    let has_account = call.account.is_some();
    tick.tables.calls.insert(id, call);
    if has_account {
        tick.work.rates.calls.push(id);
    } else {
        enter(tick, id, Stage::Home);
    }
}

/// Finds the route of a call.
fn find_route(tick: &Tick<'_>, target: &Target) -> Result<Route, RefusalKind> {
    match target {
        Target::Model(model) => {
            let service = tick.tables.models.get(model);
            let service = service.ok_or(RefusalKind::ModelUnknown)?;
            Ok(Route {
                pool: PoolKey {
                    service: service.clone(),
                    model: Some(model.clone()),
                },
                idempotent: true,
                open: false,
            })
        }
        Target::Plain {
            service,
            method,
            path,
        } => {
            let config = tick.tables.services.get(service);
            let route = config
                .and_then(|config| config.route(method, path))
                .ok_or(RefusalKind::RouteUnknown)?;
            Ok(Route {
                pool: PoolKey {
                    service: service.clone(),
                    model: None,
                },
                idempotent: route.idempotent,
                open: route.open,
            })
        }
    }
}

/// Finds the account of the key that came with a call.
pub(crate) fn find_account(
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

/// Moves a call to a stage and onto the work list of its system.
pub(crate) fn enter(tick: &mut Tick<'_>, id: CallId, stage: Stage) {
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        return;
    };
    let stage = match stage {
        Stage::Home if call.program.is_none() => Stage::Place,
        // A retry after the turn's validity has to ask the home again.
        Stage::Place if call.valid_until_us <= tick.now_us => Stage::Home,
        stage => stage,
    };
    call.stage = stage;
    match stage {
        Stage::Home => {
            call.begin_tries = 0;
            tick.work.homes.calls.push(id);
        }
        Stage::Place => tick.work.placement.calls.push(id),
        Stage::Rate | Stage::Running | Stage::Settling => {}
    }
}

/// Ends a call that gets no response of an upstream.
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
    let own = call.own_execution(ran);
    let used_tokens = match own {
        Execution::NotRun => 0,
        _ => call.used_tokens.unwrap_or_else(|| call.reserve_tokens()),
    };
    homes::end_turn(tick, &call, own, used_tokens, None);
    report(tick, id, kind, ran, retry_after_ms);
}

/// Tells the front end and the log about a refusal.
pub(crate) fn report(
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
    tick.decide(Decision::Refused { call, kind, ran });
}

/// Ends a waiting call whose caller disconnected.
fn abandon(tick: &mut Tick<'_>, id: CallId) {
    let Some(call) = tick.tables.calls.get(&id) else {
        return;
    };
    match call.stage {
        Stage::Rate | Stage::Home => {
            refuse(tick, id, RefusalKind::CallerGone, Execution::NotRun, None);
        }
        Stage::Place => {
            let (pool, attempt) = (call.pool.clone(), call.attempt());
            let ran = call.execution();
            if let Some(owner) = tick.tables.view.pool_owner(&pool).cloned() {
                tick.send(&owner, PlacementMessage::Withdraw { pool, attempt });
            }
            refuse(tick, id, RefusalKind::CallerGone, ran, None);
        }
        // The traffic side reports the end of the attempt.
        Stage::Running | Stage::Settling => {}
    }
}
