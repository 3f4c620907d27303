//! The pool of idle connections to upstreams, and probes of upstreams.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use knapweeddale_core::input::{Failure, ProbeState};
use knapweeddale_core::output::ProxyVm;
use knapweeddale_core::{Input, UpstreamName};
use knapweeddale_runtime::{MemoryLimiter, ProbeRequest};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{Connection, Transport};
use crate::control::InputSender;
use crate::metrics::Metrics;
use crate::tunnel::{OpenError, OpenReply, TunnelStream};

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

/// Idle time after which a tunnel is closed, so that few hold up a proxy VM that stops.
const TUNNEL_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for opening a tunnel, which includes the connection of the proxy VM to the upstream.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(450);

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
    /// The VM through which the connection was to go has none to the upstream.
    #[display("there is no tunnel ({source})")]
    Proxy {
        /// Why there is no tunnel.
        source: OpenError,
    },
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
            ConnectError::Proxy { .. } => Self::ProxyFailed,
            ConnectError::Other { .. } => Self::NotSent,
        }
    }
}

impl From<&ConnectError> for ProbeState {
    fn from(error: &ConnectError) -> Self {
        match error {
            ConnectError::Refused => Self::Down,
            ConnectError::TimedOut => Self::Silent,
            ConnectError::Proxy { .. } => Self::ProxyFailed,
            // Without evidence against it, the upstream counts as alive.
            ConnectError::Other { .. } => Self::Up,
        }
    }
}

impl From<OpenError> for ConnectError {
    fn from(error: OpenError) -> Self {
        match error {
            OpenError::NotConnected {
                reply: OpenReply::Refused,
            } => Self::Refused,
            OpenError::NotConnected {
                reply: OpenReply::TimedOut,
            } => Self::TimedOut,
            source => Self::Proxy { source },
        }
    }
}

/// Where connections to an upstream go.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Path {
    /// The upstream, under whose name a proxy VM knows it.
    pub upstream: UpstreamName,
    /// Its address as `ip:port`.
    pub address: Arc<str>,
    /// The VM through which connections go; `None` if they go directly.
    pub proxy: Option<ProxyVm>,
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

/// Idle connections to upstreams, by path.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Path, Vec<IdleConnection>>>,
    /// Limit for the bytes that are read ahead on all connections.
    limiter: MemoryLimiter,
}

/// A connection and whether it was opened just now.
#[derive(Debug)]
pub(crate) struct Acquired {
    pub connection: Connection,
    pub is_new: bool,
}

impl Pool {
    /// Creates an empty pool; `limiter` is for the responses on its connections.
    pub fn new(limiter: MemoryLimiter) -> Self {
        Self {
            idle: Mutex::default(),
            limiter,
        }
    }

    /// Returns an idle connection, or opens a new one.
    pub async fn acquire(
        &self,
        path: &Path,
        reuse: Reuse,
        metrics: &Metrics,
    ) -> Result<Acquired, ConnectError> {
        if let Some(connection) = self.take_idle(path, reuse) {
            metrics.count_connection(false);
            return Ok(Acquired {
                connection,
                is_new: false,
            });
        }
        metrics.count_connection(true);
        Ok(Acquired {
            connection: self.connect(path, CONNECT_TIMEOUT).await?,
            is_new: true,
        })
    }

    /// Opens a connection to an upstream, directly within `limit` or through another VM.
    async fn connect(&self, path: &Path, limit: Duration) -> Result<Connection, ConnectError> {
        let transport = match &path.proxy {
            None => Transport::Direct(connect_stream(&path.address, limit).await?),
            Some(proxy) => Transport::Tunnel(open_tunnel(proxy, &path.upstream).await?),
        };
        Ok(Connection::new(transport, self.limiter.permit()))
    }

    /// Removes and returns the last added connection that appears to be usable.
    fn take_idle(&self, path: &Path, reuse: Reuse) -> Option<Connection> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(path)?;
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
    pub fn put_idle(&self, path: &Path, mut connection: Connection, keep_alive_s: Option<u64>) {
        connection.release_buffer();
        let now = Instant::now();
        let stated_time = keep_alive_s.map_or(IDLE_TIMEOUT, Duration::from_secs);
        let stated_time = stated_time.min(MAX_IDLE_TIME).saturating_sub(IDLE_MARGIN);
        let idle_time = match path.proxy {
            Some(_) => stated_time.min(TUNNEL_IDLE_TIMEOUT),
            None => stated_time,
        };
        let expires_at = now + idle_time;
        if expires_at <= now {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(path.clone()).or_default();
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

/// Opens a tunnel to an upstream through another VM.
async fn open_tunnel(
    proxy: &ProxyVm,
    upstream: &UpstreamName,
) -> Result<TunnelStream, ConnectError> {
    let open = async {
        let stream = connect_stream(&proxy.address, TUNNEL_TIMEOUT).await;
        let stream = stream.map_err(|error| match error {
            ConnectError::Other { source } => source,
            _ => io::ErrorKind::TimedOut.into(),
        })?;
        TunnelStream::open(stream, upstream.as_str()).await
    };
    let opened = timeout(TUNNEL_TIMEOUT, open).await;
    let timed_out = |_| OpenError::from(io::Error::from(io::ErrorKind::TimedOut));
    Ok(opened.map_err(timed_out)??)
}

/// Connects to an address within `limit`.
pub(crate) async fn connect_stream(
    address: &str,
    limit: Duration,
) -> Result<TcpStream, ConnectError> {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| ConnectError::TimedOut)??;
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(address, "upstream: cannot set TCP_NODELAY ({error})");
    }
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
        tracing::debug!(address, "upstream: cannot set TCP_USER_TIMEOUT ({error})");
    }
    Ok(stream)
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
            let path = Path {
                upstream: request.upstream.clone(),
                address: request.address,
                proxy: request.proxy,
            };
            let state = match pool.connect(&path, PROBE_TIMEOUT).await {
                Ok(connection) => {
                    pool.put_idle(&path, connection, None);
                    ProbeState::Up
                }
                Err(error) => {
                    let upstream = &path.upstream;
                    let proxy = path.proxy.as_ref().map_or("-", |proxy| proxy.vm.as_str());
                    tracing::info!(%upstream, proxy, "upstream: probe failed ({error})");
                    ProbeState::from(&error)
                }
            };
            let probed = Input::Probed {
                upstream: path.upstream,
                proxy: path.proxy.map(|proxy| proxy.vm),
                state,
            };
            inputs.send_input(probed).await;
        });
    }
}
