//! The routes of the front end.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::catcher::{BoxFuture, Catcher};
use rocket::config::{Ident, LogLevel, Shutdown};
use rocket::data::Data;
use rocket::http::{Method, Status};
use rocket::request::Request;
use rocket::response::Responder;
use rocket::route::{Handler, Outcome};
use rocket::shield::Shield;
use rocket::{Build, Config, Rocket, Route};
use serde_json::json;

use super::completions;
use super::respond::CallerResponse;
use super::shared::SharedState;
use crate::call::Reply;
use knapweeddale_runtime::Clock;

/// The HTTP methods that are routed to plain services.
const SERVICE_METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

/// The operation of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Endpoint {
    Complete,
    Models,
    Service,
    Permit,
    End,
    Health,
    State,
    Readiness,
    Metrics,
}

/// The handler of one endpoint.
struct EndpointHandler<C> {
    shared: Arc<SharedState<C>>,
    endpoint: Endpoint,
}

impl<C> Clone for EndpointHandler<C> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            endpoint: self.endpoint,
        }
    }
}

#[rocket::async_trait]
impl<C: Clock> Handler for EndpointHandler<C> {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let shared = &self.shared;
        let id = shared.ids.next();
        let response = match self.endpoint {
            Endpoint::Complete => shared.run_completion(id, request, data).await,
            Endpoint::Service => shared.run_service_request(id, request, data).await,
            Endpoint::Permit => shared.issue_permit(id, request, data).await,
            Endpoint::End => shared.end_program(id, request).await,
            Endpoint::Models => Ok(CallerResponse::Whole(shared.list_models())),
            Endpoint::Health => Ok(CallerResponse::Whole(shared.health_response())),
            Endpoint::State => Ok(CallerResponse::Whole(shared.state_response())),
            Endpoint::Readiness => Ok(CallerResponse::Whole(shared.readiness_response())),
            Endpoint::Metrics => Ok(CallerResponse::Whole(shared.metrics_response())),
        };
        let response = response
            .unwrap_or_else(|error| CallerResponse::Whole(shared.refuse_request(id, &error)));
        Outcome::from(request, response)
    }
}

/// Builds the server. Its signal handling is disabled because it would interrupt streams.
pub(crate) fn build<C: Clock>(listen: SocketAddr, shared: &Arc<SharedState<C>>) -> Rocket<Build> {
    let config = Config {
        address: listen.ip(),
        port: listen.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            force: false,
            ..Shutdown::default()
        },
        ..Config::default()
    };
    let route = |method, path: &str, endpoint| {
        let shared = Arc::clone(shared);
        Route::new(method, path, EndpointHandler { shared, endpoint })
    };
    let mut routes = vec![
        route(Method::Post, completions::PATH, Endpoint::Complete),
        route(Method::Get, "/v1/models", Endpoint::Models),
        route(
            Method::Post,
            "/v1/programs/<program>/permits",
            Endpoint::Permit,
        ),
        route(Method::Delete, "/v1/programs/<program>", Endpoint::End),
        route(Method::Get, "/healthz", Endpoint::Health),
        route(Method::Get, "/readyz", Endpoint::Readiness),
        route(Method::Get, "/status", Endpoint::State),
        route(Method::Get, "/metrics", Endpoint::Metrics),
    ];
    for method in SERVICE_METHODS {
        let path = "/services/<service>/<path..>";
        routes.push(route(method, path, Endpoint::Service));
    }
    rocket::custom(config)
        // The default security headers apply to browsers, which are not among the callers.
        .attach(Shield::new())
        .mount("/", routes)
        .register("/", vec![Catcher::new(None, catch_unrouted)])
}

/// Responds to requests that match no route or that the server cannot parse.
fn catch_unrouted<'r>(status: Status, request: &'r Request<'_>) -> BoxFuture<'r> {
    let (kind, remedy) = match status.code {
        404 | 405 => ("route_unknown", "see docs/api.md for the routes"),
        413 | 431 => ("too_large", "send a smaller request"),
        _ => ("malformed", "see docs/api.md for the form of requests"),
    };
    let message = format!("no route for {} {}", request.method(), request.uri().path());
    let error = json!({"error": {
        "kind": kind,
        "ran": "not_run",
        "message": message,
        "remedy": remedy,
        "retry_after_ms": null,
    }});
    let reply = Reply::json(status.code, &error).with_header("kwd-ran", "not_run");
    Box::pin(async move { CallerResponse::Whole(reply).respond_to(request) })
}
