//! Finds where the streams began that callers take up again.

use super::super::Tick;
use super::routes::ResolvedRoute;
use crate::config::{HostRoute, RouteKind};
use crate::ids::{ServiceName, StreamOrigin};
use crate::input::{NewCall, RelayedCall, StreamStart};
use crate::output::{Decision, RefusalKind};

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
    match stream_start(route, relayed) {
        Some(StreamStart::ResumedFrom(origin)) => {
            tick.log(Decision::StreamTakenUp {
                call: request.id,
                origin: origin.clone(),
            });
            if origin.service != resolved.pool.service {
                return Err(RefusalKind::StreamNotResumable);
            }
            Ok(Some(origin.clone()))
        }
        _ => Ok(None),
    }
}

/// Returns where the stream of a call starts; `None` if the route has no resumable streams.
fn stream_start<'a>(route: &HostRoute, relayed: &'a RelayedCall) -> Option<&'a StreamStart> {
    let is_resumable = matches!(route.kind, RouteKind::Stream { resumable: true });
    is_resumable.then_some(&relayed.stream_start)
}
