//! Reads the bodies of requests within the limits for their size, time and memory.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use knapweeddale_core::RefusalKind;
use knapweeddale_runtime::MemoryPermit;
use tokio::time::{Instant, timeout_at};

/// Limits for the body of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyLimits {
    /// Maximum size.
    pub max_bytes: usize,
    /// When the whole body must have arrived.
    pub deadline: Instant,
}

/// Reads the whole body of a request; the permit lasts as long as the bytes.
///
/// A body for which there is no memory is read to its end all the same: closing a connection with
/// unread bytes resets it, and the caller would not get the refusal.
pub(super) async fn read_body(
    body: Incoming,
    limits: BodyLimits,
    mut permit: MemoryPermit,
) -> Result<Bytes, RefusalKind> {
    let read = timeout_at(
        limits.deadline,
        collect(body, limits.max_bytes, &mut permit),
    )
    .await;
    let bytes = read.unwrap_or(Err(RefusalKind::BodyLate))?;
    Ok(permit.attach(bytes))
}

/// Reads a body, up to `max_bytes` and as far as `permit` allows.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    permit: &mut MemoryPermit,
) -> Result<Bytes, RefusalKind> {
    let mut read_bytes = 0;
    let mut has_memory = true;
    let mut first = Bytes::new();
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RefusalKind::Malformed)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        read_bytes += part.len();
        if read_bytes > max_bytes {
            return Err(RefusalKind::TooLarge);
        }
        has_memory = has_memory && permit.resize(read_bytes).is_ok();
        if !has_memory {
            (first, collected) = (Bytes::new(), Vec::new());
            permit.release();
        } else if read_bytes == part.len() {
            first = part;
        } else {
            if collected.is_empty() {
                collected.extend_from_slice(&first);
            }
            collected.extend_from_slice(&part);
        }
    }
    match has_memory {
        true if collected.is_empty() => Ok(first),
        true => Ok(Bytes::from(collected)),
        false => Err(RefusalKind::Overloaded),
    }
}
