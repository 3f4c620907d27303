//! Reads bodies of responses up to a limit.

use reqwest::Response;
use serde::de::DeserializeOwned;

use super::unavailable_error;
use crate::StoreError;

/// Limit for a body: pages and values have about a megabyte at most.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Reads the body of a response; one without end is given up at the limit.
///
/// # Errors
///
/// Returns [`StoreError::Unavailable`] if the body breaks off or exceeds 8 MiB.
pub async fn read_body(mut response: Response) -> Result<Vec<u8>, StoreError> {
    let mut body = Vec::new();
    loop {
        let part = response.chunk().await;
        let Some(part) = part.map_err(|error| unavailable_error(&error))? else {
            return Ok(body);
        };
        if body.len() + part.len() > MAX_BODY_BYTES {
            return Err(StoreError::Unavailable {
                reason: format!("the body of a response exceeds {MAX_BODY_BYTES} bytes"),
            });
        }
        body.extend_from_slice(&part);
    }
}

/// Reads and decodes the JSON body of a response.
///
/// # Errors
///
/// Returns [`StoreError::Unavailable`] if the body cannot be read or decoded.
pub async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, StoreError> {
    let body = read_body(response).await?;
    serde_json::from_slice(&body).map_err(|error| unavailable_error(&error))
}
