//! Accepts connections and serves their requests.

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

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Smallest buffer for the head of a request that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Idle connections stay open for this multiple of the published timeout, so that a request sent
/// just before the timeout is still served.
const IDLE_TIMEOUT_FACTOR: u64 = 2;

/// Counts open connections and tells them to close after their current request.
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
                tracing::warn!("front: cannot accept a connection ({error})");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Waits for the signal to close connections.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    // Fails only if the daemon dropped the sender, which means the same as the signal.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Serves the requests of one connection until it ends or connections have to close.
async fn serve_connection<D: Dialect, C: Clock>(
    stream: TcpStream,
    kind: ListenerKind,
    shared: Arc<SharedState<D, C>>,
    mut tracker: ConnectionTracker,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("front: cannot set TCP_NODELAY ({error})");
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
