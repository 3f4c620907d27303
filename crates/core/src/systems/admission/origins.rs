//! Finds where the streams began that callers take up again.

use super::super::Tick;
use super::routes::ResolvedRoute;
use crate::config::{HostRoute, RouteKind};
use crate::ids::{ServiceName, StreamOrigin};
use crate::input::{NewCall, RelayedCall, StreamStart};
use crate::output::{Decision, OriginEvidence, RefusalKind};
use crate::tables::{MAX_READ_GAP_US, STREAM_LIFE_US};

/// Returns the service that began the stream of a call, if its route still leads there.
pub(super) fn service_of_origin<'a>(
    route: &'a HostRoute,
    relayed: Option<&RelayedCall>,
) -> Option<&'a ServiceName> {
    let StreamStart::ResumedFrom(origin) = stream_start(route, relayed?)? else {
        return None;
    };
    route.find_backend(&origin.service)
}

/// Returns where the stream of a call began, or `None` if the call begins one or has none.
///
/// # Errors
///
/// Fails if no upstream to which the route leads may go on with the stream.
pub(super) fn find_origin(
    tick: &mut Tick<'_>,
    request: &NewCall,
    resolved: &ResolvedRoute,
) -> Result<Option<StreamOrigin>, RefusalKind> {
    let (Some(route), Some(relayed)) = (&resolved.host, request.relayed.as_deref()) else {
        return Ok(None);
    };
    let evidence = match stream_start(route, relayed) {
        Some(StreamStart::New) | None => return Ok(None),
        Some(StreamStart::ResumedFrom(origin)) => OriginEvidence::Recorded(origin.clone()),
        Some(StreamStart::ResumedUnknown) => infer_origin(tick, route, &resolved.pool.service),
        // A VM that nobody answers may miss a version that has joined since its list was read.
        Some(StreamStart::ResumedUnverified) => unknown_origin(tick, &resolved.pool.service),
    };
    tick.log(Decision::StreamTakenUp {
        call: request.id,
        origin: evidence.clone(),
    });
    match evidence {
        OriginEvidence::Recorded(origin) | OriginEvidence::Inferred(origin)
            if origin.service == resolved.pool.service =>
        {
            Ok(Some(origin))
        }
        _ => Err(RefusalKind::StreamNotResumable),
    }
}

/// Infers where a stream of a route began, or returns the versions that may have begun it.
fn infer_origin(tick: &Tick<'_>, route: &HostRoute, service: &ServiceName) -> OriginEvidence {
    if let Some(origin) = find_only_origin(tick, route) {
        return OriginEvidence::Inferred(origin);
    }
    unknown_origin(tick, service)
}

/// Returns the versions of a service that may have begun a stream.
fn unknown_origin(tick: &Tick<'_>, service: &ServiceName) -> OriginEvidence {
    let seen = tick.tables.seen_versions.get(service);
    let versions = seen.into_iter().flat_map(|seen| seen.recent(tick.now_us));
    OriginEvidence::Unknown {
        versions: versions.flatten().cloned().collect(),
    }
}

/// Returns the only service and software version at which a stream of a route may have begun, if
/// there is only one and this VM has known that for long enough.
fn find_only_origin(tick: &Tick<'_>, route: &HostRoute) -> Option<StreamOrigin> {
    let tables = &*tick.tables;
    let list_age_us = tables.source.list.age_us(tick.now_us)?;
    let complete_since_us = tables.source.list.complete_since_us?;
    let changed_us = *tables.route_changes.get(&route.name)?;
    let is_settled = tick.now_us >= changed_us.max(complete_since_us) + STREAM_LIFE_US;
    if !is_settled || list_age_us > MAX_READ_GAP_US {
        return None;
    }
    let service = route.only_backend()?;
    let seen = tables.seen_versions.get(service)?;
    Some(StreamOrigin {
        service: service.clone(),
        version: seen.only_recent(tick.now_us)?.clone(),
    })
}

/// Returns where the stream of a call starts; `None` if the route has no resumable streams.
fn stream_start<'a>(route: &HostRoute, relayed: &'a RelayedCall) -> Option<&'a StreamStart> {
    let is_resumable = matches!(route.kind, RouteKind::Stream { resumable: true });
    is_resumable.then_some(&relayed.stream_start)
}
