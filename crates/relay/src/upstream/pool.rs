//! Keeps connections to upstreams.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use knapweeddale_core::Input;
use knapweeddale_core::input::ProbeState;
use knapweeddale_runtime::ProbeRequest;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::Connection;
use crate::control::InputSender;
use crate::metrics::Metrics;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which sent bytes that are not acknowledged break a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection is closed if the upstream states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Connections are closed this much before the upstream would close them.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Idle time after which a call that may not be repeated gets a new connection.
const MAX_UNREPEATABLE_IDLE: Duration = Duration::from_millis(2_500);

/// Idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 24;

/// No connection to an upstream could be made.
#[derive(Debug, Display, Error)]
pub(crate) enum ConnectError {
    /// The upstream refused it.
    #[display("the upstream refused the connection ({source})")]
    Refused {
        /// The error of the system.
        source: std::io::Error,
    },
    /// The upstream did not answer.
    #[display("the upstream did not answer in time")]
    TimedOut,
}

/// A connection that is not in use.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Connections to upstreams that are not in use, by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Arc<str>, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns a kept connection, or a new one.
    pub async fn acquire(
        &self,
        address: &Arc<str>,
        is_repeatable: bool,
        metrics: &Metrics,
    ) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(address, is_repeatable) {
            metrics.count_connection(false);
            return Ok(connection);
        }
        metrics.count_connection(true);
        connect(address).await
    }

    /// Returns a kept connection that still works as far as can be seen.
    fn take_idle(&self, address: &Arc<str>, is_repeatable: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(address)?;
        connections.retain(|entry| entry.expires_at > now);
        while let Some(entry) = connections.pop() {
            let is_fresh =
                is_repeatable || now.duration_since(entry.idle_since) < MAX_UNREPEATABLE_IDLE;
            // Bytes without a request, or an end, make a connection useless.
            if is_fresh && entry.connection.is_idle_and_open() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put_idle(&self, address: &Arc<str>, connection: Connection, keep_alive_s: Option<u64>) {
        let now = Instant::now();
        let idle_time = keep_alive_s.map_or(IDLE_TIMEOUT, Duration::from_secs);
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

    /// Closes connections whose time is over.
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

/// Makes a connection to an upstream.
async fn connect(address: &str) -> Result<Connection, ConnectError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(ConnectError::Refused { source }),
        Err(_) => return Err(ConnectError::TimedOut),
    };
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(address, "upstream: no-delay cannot be set ({error})");
    }
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
        tracing::debug!(address, "upstream: user timeout cannot be set ({error})");
    }
    Ok(Connection::new(stream))
}

/// Connects to upstreams whose connections broke, and keeps the connections.
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
            let state = match connect(&request.address).await {
                Ok(connection) => {
                    pool.put_idle(&request.address, connection, None);
                    ProbeState::Up
                }
                Err(error) => {
                    let upstream = &request.upstream;
                    tracing::info!(%upstream, "upstream: probe failed ({error})");
                    ProbeState::Down
                }
            };
            let upstream = request.upstream;
            inputs.send_input(Input::Probed { upstream, state }).await;
        });
    }
}
