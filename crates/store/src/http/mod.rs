//! HTTP client for the platform's object API.

mod body;

use std::time::Duration;

use bon::bon;
use knapweeddale_runtime::MemoryLimiter;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;

pub use self::body::{StoreBody, body_limiter, read_body, read_json};
use crate::{Object, ObjectApi, ObjectMeta, StoreError, VmEntry};

/// Default timeout of a request; a watch adds its wait to it.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which pooled connections are closed, before the platform closes them.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP client for the platform's object API.
#[derive(Debug, Clone)]
pub struct HttpObjectApi {
    client: Client,
    base_url: String,
    timeout: Duration,
    /// Limit for the bodies of responses in memory.
    bodies: MemoryLimiter,
}

/// Body of the response to a write: the object's new version, or its current one on a conflict.
#[derive(Debug, Deserialize)]
struct WriteResponse {
    version: u64,
}

#[bon]
impl HttpObjectApi {
    /// Creates a client for the API at `base_url`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the HTTP client cannot be set up.
    #[builder]
    pub fn new(
        base_url: &str,
        #[builder(default = DEFAULT_TIMEOUT)] timeout: Duration,
    ) -> Result<Self, StoreError> {
        let client = Client::builder()
            .retry(reqwest::retry::never())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build()
            .map_err(|error| unavailable_error(&error))?;
        Ok(Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            timeout,
            bodies: body_limiter(),
        })
    }

    /// Returns the URL of an object.
    fn object_url(&self, key: &str) -> String {
        format!("{}/objects/{key}", self.base_url)
    }

    /// Sends a request and waits for the response headers.
    async fn send(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        request
            .timeout(timeout)
            .send()
            .await
            .map_err(|error| unavailable_error(&error))
    }
}

impl ObjectApi for HttpObjectApi {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let response = self
            .send(self.client.get(self.object_url(key)), self.timeout)
            .await?;
        read_object(key, response, &self.bodies).await
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected_version: u64,
    ) -> Result<u64, StoreError> {
        let request = self
            .client
            .put(self.object_url(key))
            .header("if-version", expected_version)
            .body(value);
        let response = self.send(request, self.timeout).await?;
        let status = response.status();
        match status {
            StatusCode::OK => Ok(read_version(response, &self.bodies).await?),
            StatusCode::CONFLICT => Err(StoreError::Conflict {
                key: key.to_owned(),
                current: read_version(response, &self.bodies).await?,
            }),
            status => Err(status_error(key, status)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, StoreError> {
        let url = format!("{}/objects?prefix={prefix}", self.base_url);
        let response = self.send(self.client.get(url), self.timeout).await?;
        if response.status() != StatusCode::OK {
            return Err(status_error(prefix, response.status()));
        }
        read_json(response, &self.bodies).await
    }

    async fn watch(
        &self,
        key: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}?after={after_version}&wait_ms={wait_ms}",
            self.object_url(key)
        );
        let response = self.send(self.client.get(url), self.timeout + wait).await?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        read_object(key, response, &self.bodies).await
    }

    async fn list_vms(&self) -> Result<Vec<VmEntry>, StoreError> {
        let url = format!("{}/vms", self.base_url);
        let response = self.send(self.client.get(url), self.timeout).await?;
        if response.status() != StatusCode::OK {
            return Err(status_error("vms", response.status()));
        }
        read_json(response, &self.bodies).await
    }
}

/// Reads an object from a response; `None` if the status is 404.
async fn read_object(
    key: &str,
    response: Response,
    bodies: &MemoryLimiter,
) -> Result<Option<Object>, StoreError> {
    match response.status() {
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::OK => {
            let version = response
                .headers()
                .get("version")
                .and_then(|value| value.to_str().ok()?.parse().ok())
                .ok_or_else(|| StoreError::Unavailable {
                    reason: "the response has no valid `version` header".to_owned(),
                })?;
            let value = read_body(response, bodies).await?.into_bytes();
            Ok(Some(Object { version, value }))
        }
        status => Err(status_error(key, status)),
    }
}

/// Reads the version from the response to a write.
async fn read_version(response: Response, bodies: &MemoryLimiter) -> Result<u64, StoreError> {
    let response: WriteResponse = read_json(response, bodies).await?;
    Ok(response.version)
}

/// Converts an error status: 429 and 5xx are temporary, so the store counts as unavailable.
fn status_error(key: &str, status: StatusCode) -> StoreError {
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        return StoreError::Unavailable {
            reason: format!("status {status}"),
        };
    }
    StoreError::Refused {
        key: key.to_owned(),
        status: status.as_u16(),
    }
}

/// Converts an error of the HTTP client.
fn unavailable_error(error: &dyn std::error::Error) -> StoreError {
    StoreError::Unavailable {
        reason: error.to_string(),
    }
}
