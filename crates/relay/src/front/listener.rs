//! Accepts connections and serves their requests.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use knapweeddale_runtime::Clock;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use super::activity::{Activity, RecordedStream, ResponseBody};
use super::limits::ConnectionLimits;
use super::service::{ListenerKind, handle_request};
use super::shared::SharedState;
use crate::adapter::Dialect;
use crate::control::Status;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Smallest buffer for the head of a request that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Largest buffer for the head of a request, whatever is published.
const MAX_HEAD_BUFFER_BYTES: usize = 1024 * 1024;

/// Counts open connections and tells them to close after their current request.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionTracker {
    pub open_connections: Arc<AtomicUsize>,
    pub closing: watch::Receiver<bool>,
}

impl ConnectionTracker {
    /// Counts a connection until the returned guard is dropped.
    pub fn open(&self) -> OpenConnection {
        let open = 1 + self.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection {
            open_connections: Arc::clone(&self.open_connections),
            number: open,
        }
    }

    /// Returns whether connections are to close after their current request.
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }
}

/// An open connection, which a stopping process waits for.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    open_connections: Arc<AtomicUsize>,
    /// How many connections were open with this one.
    pub number: usize,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until the task is aborted.
pub(crate) async fn serve<D: Dialect, C: Clock>(
    listener: TcpListener,
    kind: ListenerKind,
    shared: Arc<SharedState<D, C>>,
    tracker: ConnectionTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Counted before its task runs, so that a stopping process does not miss it.
                let open = tracker.open();
                if kind == ListenerKind::Calls && open.number > max_connections(&shared) {
                    shared.metrics.count_rejected_connection();
                    continue;
                }
                let shared = Arc::clone(&shared);
                let closing = tracker.closing.clone();
                tokio::spawn(async move {
                    serve_connection(stream, kind, shared, closing).await;
                    drop(open);
                });
            }
            Err(error) => {
                tracing::warn!("front: cannot accept a connection ({error})");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Returns the limit for connections, which follows from the memory that the head of a request on
/// each of them may take.
fn max_connections<D, C>(shared: &SharedState<D, C>) -> usize {
    let head_bytes = head_buffer_bytes(&shared.status.borrow());
    shared.memory.max_connections(head_bytes)
}

/// Returns the size of the buffer for the head of a request.
fn head_buffer_bytes(status: &Status) -> usize {
    let header_bytes = status.header_bytes;
    header_bytes.clamp(MIN_HEAD_BUFFER_BYTES, MAX_HEAD_BUFFER_BYTES)
}

/// Waits for the signal to close connections.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    // Fails only if the daemon dropped the sender, which means the same as the signal.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Serves the requests of one connection until it ends or has to close.
async fn serve_connection<D: Dialect, C: Clock>(
    stream: TcpStream,
    kind: ListenerKind,
    shared: Arc<SharedState<D, C>>,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("front: cannot set TCP_NODELAY ({error})");
    }
    let activity = Activity::new();
    let status = shared.status.clone();
    let mut changes = status.clone();
    let head_bytes = head_buffer_bytes(&status.borrow());
    let service = service_fn(|request: Request<Incoming>| {
        let open = activity.open_request();
        let response = handle_request(Arc::clone(&shared), kind, request);
        async move {
            let response = response.await;
            response.map(|response| response.map(|body| ResponseBody::new(body, open)))
        }
    });
    let mut is_closing = *closing.borrow();
    let mut builder = http1::Builder::new();
    builder
        // The limits of `Activity` follow changes of the configuration, which this one does not.
        .header_read_timeout(None)
        .keep_alive(!is_closing)
        .max_buf_size(head_bytes);
    let stream = RecordedStream {
        stream,
        activity: activity.clone(),
    };
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut timer = std::pin::pin!(sleep(Duration::ZERO));
    let ended = loop {
        let expired = poll_fn(|context| {
            let limits = ConnectionLimits::new(&status.borrow(), is_closing);
            activity.poll_expired(&limits, timer.as_mut(), context)
        });
        tokio::select! {
            biased;
            ended = connection.as_mut() => break ended,
            () = wait_for_close(&mut closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            // The longest idle time counts, also one that is in force for a short time only.
            Ok(()) = changes.changed() => {}
            reason = expired => {
                tracing::debug!("front: connection closed ({reason})");
                return;
            }
        }
    };
    if let Err(error) = ended {
        let has_open_request = activity.has_open_request();
        tracing::debug!(has_open_request, "front: connection ended ({error})");
    }
}
