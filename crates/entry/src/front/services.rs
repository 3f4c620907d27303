//! `/services/<service>/<path>`.

use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::{CallId, NewCall, RefusalKind, ServiceName, Target};
use knapweeddale_token::content_digest;
use reqwest::Method;
use rocket::data::{ByteUnit, Data};
use rocket::request::Request;
use tokio::time::timeout;

use super::refuse::FrontError;
use super::respond::CallerResponse;
use super::shared::SharedState;
use crate::call::{CallContext, CallKind};
use crate::upstream::UpstreamRequest;
use knapweeddale_runtime::Clock;

/// Path prefix of plain services.
const PREFIX: &str = "/services/";

/// Timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

impl<C: Clock> SharedState<C> {
    /// Handles a request to a plain service.
    pub async fn run_service_request(
        self: &Arc<Self>,
        id: CallId,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<CallerResponse, FrontError> {
        let headers = self.read_headers(request)?;
        let uri = request.uri().to_string();
        headers.reject_exposed_key("path", uri.as_bytes())?;
        let (service, path_and_query) = split_uri(&uri)?;
        let label = self.service_label(&service);
        self.metrics.count_request(&label);
        let raw = read_body(data, self.max_body_bytes).await?;
        headers.reject_exposed_key("body", &raw)?;
        if let Some(program) = &headers.program {
            self.check_draining(program)?;
        }
        let method = request.method().as_str();
        let path = path_and_query.split('?').next().unwrap_or_default();
        let parts = [method.as_bytes(), uri.as_bytes(), &raw];
        let digest = content_digest(parts);
        let target = Target::Plain {
            service,
            method: method.to_owned(),
            path: path.to_owned(),
        };
        let new = NewCall::builder()
            .id(id)
            .maybe_key(headers.presented_key())
            .target(target)
            .maybe_program(headers.program.clone())
            .maybe_permit(headers.permit.clone())
            .digest(digest)
            .build();
        let context = CallContext {
            call: id,
            kind: CallKind::Plain,
            digest,
            service: label,
            is_cacheable: headers.program.is_some(),
            request: UpstreamRequest {
                call: id,
                method: Method::from_bytes(method.as_bytes()).map_err(FrontError::malformed)?,
                path: path_and_query,
                headers: headers.forwarded,
                body: raw.into(),
            },
        };
        self.start_call(new, context).await
    }
}

/// Splits a URI into the service and the remaining path with its query.
///
/// Dot segments are refused, because a service that resolves them would run another path than the
/// one that was routed.
fn split_uri(uri: &str) -> Result<(ServiceName, String), FrontError> {
    let rest = uri.strip_prefix(PREFIX).unwrap_or_default();
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let path = rest
        .split('?')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let is_dots = |segment: &str| matches!(segment.replace("%2e", ".").as_str(), "." | "..");
    if path.split('/').any(is_dots) || path.contains("%2f") || path.contains('\\') {
        let detail = "the path has dot segments or encoded slashes; send a plain path";
        return Err(FrontError::malformed(detail));
    }
    Ok((ServiceName::from(service), format!("/{rest}")))
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_body(data: Data<'_>, limit: u64) -> Result<Vec<u8>, FrontError> {
    let reading = data.open(ByteUnit::from(limit)).into_bytes();
    let body = timeout(BODY_TIMEOUT, reading)
        .await
        .map_err(|_| FrontError::malformed("the body did not arrive within 30 s"))?
        .map_err(|error| FrontError::malformed(format!("the body could not be read ({error})")))?;
    if !body.is_complete() {
        let detail = format!("the body has more than {limit} bytes");
        return Err(FrontError::new(RefusalKind::TooLarge, detail));
    }
    Ok(body.into_inner())
}
