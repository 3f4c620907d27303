//! Validation of services.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{Finding, check_names};
use crate::{ServiceFile, ServiceKindFile, UpstreamFile};

/// Reports invalid names, models, routes and upstreams of services.
pub(super) fn check(services: &[ServiceFile], findings: &mut Vec<Finding>) {
    let names = services.iter().map(|service| service.service.as_str());
    check_names("service", names, findings);
    let upstreams = services
        .iter()
        .flat_map(|service| service.upstreams.iter().map(|u| u.name.as_str()));
    check_names("upstream", upstreams, findings);
    check_models(services, findings);
    for service in services {
        check_kind(service, findings);
        check_routes(service, findings);
        for upstream in &service.upstreams {
            check_upstream(service, upstream, findings);
        }
    }
}

/// Reports models that more than one service offers.
fn check_models(services: &[ServiceFile], findings: &mut Vec<Finding>) {
    let mut offered = BTreeMap::new();
    for service in services {
        for model in &service.models {
            if let Some(first) = offered.insert(model, &service.service) {
                findings.push(Finding::DuplicateModel {
                    model: model.clone(),
                    first: first.clone(),
                    second: service.service.clone(),
                });
            }
        }
    }
}

/// Reports fields that do not apply to the kind of service, and models without an upstream.
fn check_kind(service: &ServiceFile, findings: &mut Vec<Finding>) {
    let mut report = |field, kind| {
        findings.push(Finding::InapplicableField {
            service: service.service.clone(),
            field,
            kind,
        });
    };
    match service.kind {
        ServiceKindFile::Engine if !service.routes.is_empty() => report("routes", "plain"),
        ServiceKindFile::Plain if !service.models.is_empty() => report("models", "engine"),
        ServiceKindFile::Plain if service.can_resume => report("can_resume", "engine"),
        _ => {}
    }
    for model in &service.models {
        let has_model =
            |upstream: &UpstreamFile| upstream.models.is_empty() || upstream.models.contains(model);
        if !service.upstreams.iter().any(has_model) {
            findings.push(Finding::ModelWithoutUpstream {
                service: service.service.clone(),
                model: model.clone(),
            });
        }
    }
}

/// Reports malformed paths and duplicate routes.
fn check_routes(service: &ServiceFile, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for route in &service.routes {
        if !route.path.starts_with('/') {
            findings.push(Finding::MalformedPath {
                service: service.service.clone(),
                path: route.path.clone(),
            });
        }
        let any_method = ["any method".to_owned()];
        let methods = if route.methods.is_empty() {
            &any_method[..]
        } else {
            &route.methods
        };
        for method in methods {
            if !seen.insert((method.clone(), route.path.clone())) {
                findings.push(Finding::DuplicateRoute {
                    service: service.service.clone(),
                    method: method.clone(),
                    path: route.path.clone(),
                });
            }
        }
    }
}

/// Reports an invalid address, call limits or models of an upstream.
fn check_upstream(service: &ServiceFile, upstream: &UpstreamFile, findings: &mut Vec<Finding>) {
    if upstream.address.parse::<SocketAddr>().is_err() {
        findings.push(Finding::MalformedAddress {
            upstream: upstream.name.clone(),
            address: upstream.address.clone(),
        });
    }
    let (min_calls, max_calls) = (upstream.min_running_calls, upstream.max_running_calls);
    if min_calls == 0 || min_calls > max_calls {
        findings.push(Finding::InvalidRunningLimits {
            upstream: upstream.name.clone(),
            min_calls,
            max_calls,
        });
    }
    for model in &upstream.models {
        if !service.models.contains(model) {
            findings.push(Finding::ModelNotOffered {
                upstream: upstream.name.clone(),
                model: model.clone(),
            });
        }
    }
}
