//! Accepts connections and serves requests on them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use knapweeddale_runtime::Clock;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use super::service::{ListenerKind, handle_request};
use super::shared::SharedState;
use crate::adapter::Dialect;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest buffer for the head of a request that the HTTP library takes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Idle connections stay open for this many times the published limit, so that a request which
/// comes at the limit is never cut off.
const IDLE_TIMEOUT_FACTOR: u64 = 2;

/// Counts open connections and tells them to close after their present request.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionTracker {
    pub open_connections: Arc<AtomicUsize>,
    pub closing: watch::Receiver<bool>,
}

/// Accepts connections until the process ends.
pub(crate) async fn serve<D: Dialect, C: Clock>(
    listener: TcpListener,
    kind: ListenerKind,
    shared: Arc<SharedState<D, C>>,
    tracker: ConnectionTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(serve_connection(stream, kind, shared, tracker.clone()));
            }
            Err(error) => {
                tracing::warn!("front: connection not accepted ({error})");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Waits until connections have to close.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    // Fails only when the daemon has ended, which is reason enough.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Serves the requests of one connection.
async fn serve_connection<D: Dialect, C: Clock>(
    stream: TcpStream,
    kind: ListenerKind,
    shared: Arc<SharedState<D, C>>,
    mut tracker: ConnectionTracker,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("front: no-delay cannot be set ({error})");
    }
    let status = *shared.status.borrow();
    let idle = Duration::from_millis(status.idle_timeout_ms.max(1_000) * IDLE_TIMEOUT_FACTOR);
    let service = service_fn(move |request: Request<Incoming>| {
        handle_request(Arc::clone(&shared), kind, request)
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(status.header_bytes.max(MIN_HEAD_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tracker.open_connections.fetch_add(1, Ordering::Relaxed);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_close(&mut tracker.closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    tracker.open_connections.fetch_sub(1, Ordering::Relaxed);
    if let Err(error) = ended {
        tracing::debug!("front: connection ended ({error})");
    }
}
