//! Reads bodies of responses up to a limit.

use knapweeddale_runtime::{MemoryLimiter, MemoryPermit};
use reqwest::Response;
use serde::de::DeserializeOwned;

use super::unavailable_error;
use crate::StoreError;

/// Limit for a body: pages and values have about a megabyte at most.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Limit for all bodies that a client holds at the same time.
const MAX_HELD_BYTES: usize = 2 * MAX_BODY_BYTES;

/// Returns the limiter for the bodies of a client of the store.
pub fn body_limiter() -> MemoryLimiter {
    MemoryLimiter::new(MAX_HELD_BYTES)
}

/// The body of a response, with the permit to keep it in memory.
#[derive(Debug)]
pub struct StoreBody {
    bytes: Vec<u8>,
    permit: MemoryPermit,
}

impl StoreBody {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the bytes of a body that is kept, without its permit.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

/// Reads the body of a response; one without end is given up at the limit.
///
/// # Errors
///
/// Returns [`StoreError::Unavailable`] if the body breaks off or exceeds 4 MiB, or if the bodies
/// under `limiter` exceed its limit together.
pub async fn read_body(
    mut response: Response,
    limiter: &MemoryLimiter,
) -> Result<StoreBody, StoreError> {
    let mut body = StoreBody {
        bytes: Vec::new(),
        permit: limiter.permit(),
    };
    loop {
        let part = response.chunk().await;
        let Some(part) = part.map_err(|error| unavailable_error(&error))? else {
            return Ok(body);
        };
        let length = body.bytes.len() + part.len();
        if length > MAX_BODY_BYTES {
            return Err(StoreError::Unavailable {
                reason: format!("the body of a response exceeds {MAX_BODY_BYTES} bytes"),
            });
        }
        let has_memory = body.permit.resize(length);
        has_memory.map_err(|error| unavailable_error(&error))?;
        body.bytes.extend_from_slice(&part);
    }
}

/// Reads and decodes the JSON body of a response.
///
/// # Errors
///
/// Returns [`StoreError::Unavailable`] if the body cannot be read or decoded.
pub async fn read_json<T: DeserializeOwned>(
    response: Response,
    limiter: &MemoryLimiter,
) -> Result<T, StoreError> {
    let body = read_body(response, limiter).await?;
    serde_json::from_slice(body.bytes()).map_err(|error| unavailable_error(&error))
}
