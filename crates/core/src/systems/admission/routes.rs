//! Resolves the target of a call to its route and pool.

use std::sync::Arc;

use super::super::Tick;
use super::origins;
use crate::config::{HostRoute, ServiceKind};
use crate::ids::PoolKey;
use crate::input::{NewCall, Target};
use crate::output::RefusalKind;

/// The route of a call, resolved from its target.
pub(super) struct ResolvedRoute {
    pub pool: PoolKey,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the caller needs no key.
    pub open: bool,
    /// The route by host and path; `None` unless the call is relayed.
    pub host: Option<Arc<HostRoute>>,
}

/// Resolves the target of a call to its pool and route.
pub(super) fn find_route(tick: &Tick<'_>, request: &NewCall) -> Result<ResolvedRoute, RefusalKind> {
    match &request.target {
        Target::Host { host, path } => find_host_route(tick, request, host, path),
        Target::Model(model) => {
            let service = tick.tables.models.get(model);
            let service = service.ok_or(RefusalKind::ModelUnknown)?;
            Ok(ResolvedRoute {
                pool: PoolKey {
                    service: service.clone(),
                    model: Some(model.clone()),
                },
                idempotent: true,
                open: false,
                host: None,
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
            Ok(ResolvedRoute {
                pool: PoolKey {
                    service: service.clone(),
                    model: None,
                },
                idempotent: route.idempotent,
                open: route.open,
                host: None,
            })
        }
    }
}

/// Resolves the host and path of a relayed call to its pool and route.
fn find_host_route(
    tick: &Tick<'_>,
    request: &NewCall,
    host: &Arc<str>,
    path: &str,
) -> Result<ResolvedRoute, RefusalKind> {
    let tables = &*tick.tables;
    if tables.fleet.revision.0 == 0 {
        return Err(RefusalKind::NotConfigured);
    }
    let routes = tables.hosts.get(host).map_or(&[][..], Vec::as_slice);
    let route = routes
        .iter()
        .find(|route| path.starts_with(&*route.path_prefix))
        .ok_or(RefusalKind::RouteUnknown)?;
    let relayed = request.relayed.as_deref();
    let spread_hash = relayed.map_or(0, |relayed| relayed.spread_hash);
    let service = origins::service_of_origin(route, relayed)
        .or_else(|| route.select_backend(spread_hash))
        .ok_or(RefusalKind::RouteUnknown)?;
    let config = tables.services.get(service);
    let config = config.ok_or(RefusalKind::RouteUnknown)?;
    let model = match &config.kind {
        ServiceKind::Plain => None,
        ServiceKind::Engine(engine) => {
            let requested = relayed.and_then(|relayed| relayed.model.clone());
            let model = requested.or_else(|| engine.models.first().cloned());
            Some(model.ok_or(RefusalKind::ModelUnknown)?)
        }
    };
    if model.as_ref().is_some_and(|model| !config.offers(model)) {
        return Err(RefusalKind::ModelUnknown);
    }
    Ok(ResolvedRoute {
        pool: PoolKey {
            service: service.clone(),
            model,
        },
        idempotent: route.kind.is_repeatable(),
        open: route.open,
        host: Some(route.clone()),
    })
}
