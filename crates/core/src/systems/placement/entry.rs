//! The entry VM's side of a placement.

use smallvec::SmallVec;

use super::super::{Tick, admission};
use crate::ids::{AttemptId, CallId, UpstreamName};
use crate::message::{Place, PlacementMessage};
use crate::output::{Decision, Dispatch, Execution, Output, PlacementReason, RefusalKind};
use crate::tables::{Stage, Timer};

/// Asks the owner of the pool for an upstream.
pub(super) fn request(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        return;
    };
    call.attempts += 1;
    call.sent = false;
    call.upstream = None;
    let place = Place {
        pool: call.pool.clone(),
        attempt: call.attempt(),
        account: call.account.clone(),
        program: call.program.clone(),
        prompt_tokens: call.new.prompt_tokens,
        digest: call.new.digest,
        avoid: call.avoid.clone(),
    };
    let due_us = now_us + tick.settings.queue_ms * 1_000;
    let timer = Timer::QueueWait(place.attempt);
    tick.tables.timers.set(due_us, timer);
    let Some(owner) = tick.tables.view.pool_owner(&place.pool).cloned() else {
        admission::refuse(
            tick,
            id,
            RefusalKind::NoUpstream,
            Execution::NotRun,
            Some(1_000),
        );
        return;
    };
    tick.send(&owner, PlacementMessage::Place(Box::new(place)));
}

/// Sends an attempt to its upstream.
pub(super) fn dispatch(
    tick: &mut Tick<'_>,
    attempt: AttemptId,
    upstream: UpstreamName,
    reason: PlacementReason,
    runners_up: SmallVec<[UpstreamName; 2]>,
) {
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    if call.stage != Stage::Place || call.attempt() != attempt {
        return;
    }
    let Some(row) = tick.tables.upstreams.get(&upstream) else {
        return;
    };
    let service = tick.tables.services.get(&call.pool.service);
    let first_token_ms = service.and_then(|service| service.first_token_ms);
    let token_gap_ms = service.and_then(|service| service.token_gap_ms);
    call.stage = Stage::Running;
    call.upstream = Some(upstream.clone());
    let order = Dispatch {
        attempt,
        upstream: upstream.clone(),
        address: row.address.clone(),
        valid_until_us: call.valid_until_us,
        first_token_ms: first_token_ms.unwrap_or(tick.settings.first_token_ms),
        token_gap_ms: token_gap_ms.unwrap_or(tick.settings.token_gap_ms),
        account: call.account.clone(),
        program: call.program.clone().map(|key| (key, call.generation)),
    };
    let decision = Decision::Placed {
        attempt,
        program: call.program.clone(),
        account: call.account.clone(),
        upstream,
        reason,
        runners_up,
    };
    tick.outputs.push(Output::Dispatch(order));
    tick.decide(decision);
}

/// Refuses a call that has waited too long for an upstream.
pub(super) fn expire(tick: &mut Tick<'_>, attempt: AttemptId) {
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return;
    };
    if call.stage != Stage::Place || call.attempt() != attempt {
        return;
    }
    let pool = call.pool.clone();
    if let Some(owner) = tick.tables.view.pool_owner(&pool).cloned() {
        tick.send(&owner, PlacementMessage::Withdraw { pool, attempt });
    }
    let kind = RefusalKind::NoUpstream;
    admission::refuse(tick, attempt.call, kind, Execution::NotRun, Some(1_000));
}
