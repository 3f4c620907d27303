//! The pool of idle connections to upstreams, and probes of upstreams.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use knapweeddale_core::Input;
use knapweeddale_core::input::{Failure, ProbeState};
use knapweeddale_runtime::ProbeRequest;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::Connection;
use crate::control::InputSender;
use crate::metrics::Metrics;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged data closes a connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection is closed if the upstream states no keep-alive timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Limit for the idle time that an upstream states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);

/// Connections are closed this long before the upstream would close them.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Longest idle time of a connection that is reused for a call that must not be repeated.
const MAX_UNREPEATABLE_IDLE: Duration = Duration::from_millis(2_500);

/// Limit for idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 24;

/// Timeout for opening a connection to an upstream that is being examined, which allows for a
/// second try before the examination ends.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection to an upstream could not be opened.
#[derive(Debug, Display, Error)]
pub(crate) enum ConnectError {
    /// No process listens at the address.
    #[display("the upstream refused the connection")]
    Refused,
    /// The upstream cannot be reached, or did not respond within the timeout.
    #[display("the upstream did not answer in time")]
    TimedOut,
    /// The connection failed for a reason that says nothing about the upstream's process, such as
    /// a limit of this process or a reset by an upstream with too many connections.
    #[display("the connection failed ({source})")]
    Other {
        /// The I/O error.
        source: io::Error,
    },
}

impl From<io::Error> for ConnectError {
    fn from(source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => Self::TimedOut,
            _ => Self::Other { source },
        }
    }
}

impl From<&ConnectError> for Failure {
    fn from(error: &ConnectError) -> Self {
        match error {
            ConnectError::Refused => Self::ConnectionRefused,
            ConnectError::TimedOut => Self::Unreachable,
            ConnectError::Other { .. } => Self::NotSent,
        }
    }
}

impl From<&ConnectError> for ProbeState {
    fn from(error: &ConnectError) -> Self {
        match error {
            ConnectError::Refused => Self::Down,
            ConnectError::TimedOut => Self::Silent,
            // Without evidence against it, the upstream counts as alive.
            ConnectError::Other { .. } => Self::Up,
        }
    }
}

/// Which idle connections an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// None: a late response to an earlier request could not be told apart.
    Never,
    /// Those that the upstream is unlikely to be closing, because the request must not be repeated.
    Recent,
    /// All that have not expired.
    Any,
}

/// A connection in the pool.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Idle connections to upstreams, by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Arc<str>, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns an idle connection, or opens a new one.
    pub async fn acquire(
        &self,
        address: &Arc<str>,
        reuse: Reuse,
        metrics: &Metrics,
    ) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(address, reuse) {
            metrics.count_connection(false);
            return Ok(connection);
        }
        metrics.count_connection(true);
        connect(address, CONNECT_TIMEOUT).await
    }

    /// Removes and returns the last added connection that appears to be usable.
    fn take_idle(&self, address: &Arc<str>, reuse: Reuse) -> Option<Connection> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(address)?;
        connections.retain(|entry| entry.expires_at > now);
        while let Some(entry) = connections.pop() {
            let is_fresh =
                reuse == Reuse::Any || now.duration_since(entry.idle_since) < MAX_UNREPEATABLE_IDLE;
            // A connection that was closed or has unexpected bytes is dropped.
            if is_fresh && entry.connection.is_idle_and_open() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds a connection to the pool, unless it is about to expire or the pool is full.
    pub fn put_idle(&self, address: &Arc<str>, connection: Connection, keep_alive_s: Option<u64>) {
        let now = Instant::now();
        let idle_time = keep_alive_s.map_or(IDLE_TIMEOUT, Duration::from_secs);
        let idle_time = idle_time.min(MAX_IDLE_TIME);
        let expires_at = now + idle_time.saturating_sub(IDLE_MARGIN);
        if expires_at <= now {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(Arc::clone(address)).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                expires_at,
            });
        }
    }

    /// Closes connections that have expired, were closed or received unexpected bytes.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections
                .retain(|entry| entry.expires_at > now && entry.connection.is_idle_and_open());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens a connection to an upstream within `limit`.
async fn connect(address: &str, limit: Duration) -> Result<Connection, ConnectError> {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| ConnectError::TimedOut)??;
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(address, "upstream: cannot set TCP_NODELAY ({error})");
    }
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
        tracing::debug!(address, "upstream: cannot set TCP_USER_TIMEOUT ({error})");
    }
    Ok(Connection::new(stream))
}

/// Probes upstreams on request by connecting to them, and pools the new connections.
pub(crate) async fn run_probes(
    mut requests: mpsc::Receiver<ProbeRequest>,
    pool: Arc<Pool>,
    inputs: InputSender,
    metrics: Arc<Metrics>,
) {
    while let Some(request) = requests.recv().await {
        let pool = Arc::clone(&pool);
        let inputs = inputs.clone();
        let metrics = Arc::clone(&metrics);
        tokio::spawn(async move {
            metrics.count_connection(true);
            let state = match connect(&request.address, PROBE_TIMEOUT).await {
                Ok(connection) => {
                    pool.put_idle(&request.address, connection, None);
                    ProbeState::Up
                }
                Err(error) => {
                    let upstream = &request.upstream;
                    tracing::info!(%upstream, "upstream: probe failed ({error})");
                    ProbeState::from(&error)
                }
            };
            let upstream = request.upstream;
            inputs.send_input(Input::Probed { upstream, state }).await;
        });
    }
}
