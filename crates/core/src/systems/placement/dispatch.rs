//! Dispatches attempts to the upstreams that were assigned to them.

use super::super::{Tick, confinement, links, rates};
use super::entry::{self, Assignment};
use crate::config::{HostRoute, RouteKind, ServiceConfig, ServiceKind};
use crate::ids::{AttemptId, StreamOrigin, UpstreamName};
use crate::output::{Decision, Dispatch, KeptTurn, Output, ProxyVm, StreamFormat};
use crate::tables::Stage;

/// Silence limit of an idempotent route, in multiples of its latency objective.
const IDEMPOTENT_OBJECTIVES: u64 = 5;

/// Silence limits of a resumable stream, in multiples of its latency objective and event gap.
const STREAM_OBJECTIVES: u64 = 4;

/// Lower bound of an idempotent route's silence limit; a loaded upstream answers within it.
const MIN_IDEMPOTENT_SILENCE_MS: u64 = 400;

/// Lower bound of the silence limits of a stream.
///
/// A sound upstream may pause for a second or so. Callers leave a stream after 2 s without an event.
const MIN_STREAM_SILENCE_MS: u64 = 1_500;

/// Event gap of routes without one.
const DEFAULT_EVENT_GAP_MS: u64 = 800;

/// Dispatches an attempt to its upstream, through another VM if this one has lost its link.
pub(super) fn dispatch(tick: &mut Tick<'_>, attempt: AttemptId, assignment: Assignment) {
    let (upstream, reason, runners_up) = assignment;
    entry::cancel_wait_timers(tick, attempt);
    let homes = confinement::homes_of(tick, attempt);
    let proxy = links::proxy_for(tick, &upstream, homes);
    let Some(dispatch) = build_dispatch(tick, attempt, &upstream, proxy.as_ref()) else {
        return;
    };
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    let origin = dispatch.origin.clone();
    if let Some(relay) = &mut call.relay {
        relay.attempt_origin = Some(origin.clone());
    }
    call.stage = Stage::Running;
    call.upstream = Some(upstream.clone());
    call.proxy = proxy.as_ref().map(|proxy| proxy.vm.clone());
    call.placement.dispatched_us = tick.now_us;
    let decision = Decision::Placed {
        attempt,
        program: call.program_key().cloned(),
        account: call.account.clone(),
        upstream: upstream.clone(),
        origin,
        reason,
        runners_up,
    };
    if let Some(row) = tick.tables.upstreams.get_mut(&upstream) {
        row.own_calls += 1;
    }
    tick.outputs.push(Output::Dispatch(dispatch));
    tick.log(decision);
    if let Some(proxy) = proxy {
        links::begin_proxied(tick, attempt, upstream, proxy.vm);
    }
}

/// Builds the output that runs an attempt; `None` if the call or the upstream is gone.
fn build_dispatch(
    tick: &Tick<'_>,
    attempt: AttemptId,
    upstream: &UpstreamName,
    proxy: Option<&ProxyVm>,
) -> Option<Dispatch> {
    let call = tick.tables.calls.get(&attempt.call)?;
    let row = tick.tables.upstreams.get(upstream)?;
    let service = tick.tables.services.get(&call.pool.service);
    let relay = call.relay.as_deref();
    let retention_ms = relay.and_then(|relay| relay.route.history_ms);
    let kept_turn = retention_ms.map(|retention_ms| KeptTurn {
        retention_ms,
        storage: confinement::turn_storage(tick, attempt),
    });
    let limits = relay.map(|relay| silence_limits(&relay.route));
    let first_token_ms = limits
        .map(|limits| limits.first_ms)
        .or(service.and_then(|service| service.first_token_ms));
    let token_gap_ms = limits
        .map(|limits| limits.gap_ms)
        .or(service.and_then(|service| service.token_gap_ms));
    Some(Dispatch {
        attempt,
        upstream: upstream.clone(),
        address: row.address.clone(),
        proxy: proxy.cloned().map(Box::new),
        is_rate_limited: rates::is_limited(tick, upstream),
        upstream_started_unix_ms: row.config.started_unix_ms,
        origin: StreamOrigin {
            service: call.pool.service.clone(),
            version: row.config.software_version.clone(),
        },
        valid_until_us: entry::valid_until_us(call),
        first_token_ms: first_token_ms.unwrap_or(tick.settings.first_token_ms),
        token_gap_ms: token_gap_ms.unwrap_or(tick.settings.token_gap_ms),
        account: call.account.clone(),
        program: call.program.clone().map(|key| (key, call.generation)),
        deadline_us: relay.map_or(u64::MAX, |relay| relay.deadline_us),
        stream_deadline_us: relay.map_or(u64::MAX, |relay| relay.stream_deadline_us),
        events: relay.and_then(|relay| event_form(&relay.route, service)),
        kept_turn: kept_turn.map(Box::new),
    })
}

/// How long an upstream may send nothing before it is considered silent.
#[derive(Debug, Clone, Copy)]
struct SilenceLimits {
    /// Before the first token or event.
    first_ms: u64,
    /// Between tokens or events.
    gap_ms: u64,
}

/// Returns the silence limits after which a relayed call is attempted again.
///
/// A call that may not be repeated waits as long as its caller: the route's timeout.
fn silence_limits(route: &HostRoute) -> SilenceLimits {
    match route.kind {
        RouteKind::NonIdempotent | RouteKind::Stream { resumable: false } => SilenceLimits {
            first_ms: route.timeout_ms,
            gap_ms: route.timeout_ms,
        },
        RouteKind::Idempotent => {
            let first_ms =
                (route.objective_ms * IDEMPOTENT_OBJECTIVES).max(MIN_IDEMPOTENT_SILENCE_MS);
            SilenceLimits {
                first_ms,
                gap_ms: first_ms,
            }
        }
        RouteKind::Stream { resumable: true } => {
            let gap_ms = route.event_gap_ms.unwrap_or(DEFAULT_EVENT_GAP_MS);
            SilenceLimits {
                first_ms: (route.objective_ms * STREAM_OBJECTIVES).max(MIN_STREAM_SILENCE_MS),
                gap_ms: (gap_ms * STREAM_OBJECTIVES).max(MIN_STREAM_SILENCE_MS),
            }
        }
    }
}

/// Returns the event format of a streamed response, `None` for other routes.
fn event_form(route: &HostRoute, service: Option<&ServiceConfig>) -> Option<StreamFormat> {
    let RouteKind::Stream { resumable } = route.kind else {
        return None;
    };
    let tokens_per_event = match service.map(|service| &service.kind) {
        Some(ServiceKind::Engine(engine)) => engine.tokens_per_event,
        _ => 0,
    };
    Some(StreamFormat {
        tokens_per_event,
        is_resumable: resumable,
    })
}
