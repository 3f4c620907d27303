//! The daemon of a VM that relays calls: starts all components and drains calls before it stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use derive_more::{Display, Error, From};
use jsonrpsee::server::{Methods, Server, ServerConfig, ServerHandle};
use knapweeddale_core::{Control, Input};
use knapweeddale_runtime::{CallIds, Clock, MemoryLimiter, input_queue, spawn_control_loop};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};

use crate::adapter::{Dialect, FleetStore};
use crate::charges::ChargeWriter;
use crate::control::{Message, OutputDispatcher, OutputQueues};
use crate::front::{ConnectionTracker, ListenerKind, SharedState, serve};
use crate::memory::MemoryPlan;
use crate::metrics::Metrics;
use crate::origins::StreamOrigins;
use crate::peers::{SnapshotServer, StateRpcServer, SummaryReceiver, fetch_snapshots};
use crate::settings::RelaySettings;
use crate::storage_vms::StorageVms;
use crate::store::{RecordCache, Registration, Role, SourceClient};
use crate::tunnel::{TunnelServer, serve_tunnels};
use crate::turns::TurnClient;
use crate::upstream::{Pool, run_probes};
use crate::usage::{AskedVms, ClaimProxyRpcServer, ClaimProxyServer, UsageClient};

/// Interval at which idle connections to upstreams are checked for expiry.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a stopping daemon checks whether its connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the grace period that is reserved for shutdown after open calls have been ended:
/// [`WRITE_OUT_LIMIT`], and 600 ms for the last charge records.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);

/// Time limit for sending the last responses, and for copying the last origins of streams.
const WRITE_OUT_LIMIT: Duration = Duration::from_millis(150);

/// Time limit for copying the last origins of streams; part of [`WRITE_OUT_LIMIT`].
const ORIGIN_FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// Limit for a request of another VM, which only asks for a snapshot.
const MAX_PEER_REQUEST_BYTES: u32 = 16 * 1024;

/// Error when a daemon cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A listener, thread or folder cannot be opened.
    #[display(
        "a listener, thread or folder cannot be opened ({source}); check addresses and limits"
    )]
    Io {
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// Two metrics have the same name.
    #[display("the metrics cannot be registered ({source}); give each metric a unique name")]
    Metrics {
        /// The error of the metrics library.
        source: prometheus::Error,
    },
}

/// A running daemon that relays calls.
#[derive(Debug)]
pub struct Relay<D, C> {
    shared: Arc<SharedState<D, C>>,
    address: SocketAddr,
    ready_address: SocketAddr,
    control: JoinHandle<()>,
    charges: tokio::task::JoinHandle<()>,
    _peer_server: ServerHandle,
    /// Tasks that accept connections of callers and tunnels of other VMs.
    listeners: JoinSet<()>,
    /// Other tasks that are aborted when the daemon stops.
    background: JoinSet<()>,
    tracker: ConnectionTracker,
    /// Tells connections to close after their current response.
    closing: watch::Sender<bool>,
    /// Tells calls that have not reached the core that they can't run any more.
    halted: watch::Sender<bool>,
    grace: Duration,
    drain_notice: Duration,
}

/// # Start
impl<D: Dialect, C: Clock> Relay<D, C> {
    /// Opens the listeners and starts all threads and tasks.
    ///
    /// # Errors
    ///
    /// Fails if a listener or thread cannot be started or the metrics cannot be registered.
    pub async fn start<S: FleetStore>(
        settings: RelaySettings,
        dialect: D,
        store: S,
        clock: C,
    ) -> Result<Self, StartError> {
        let metrics = Arc::new(Metrics::new()?);
        let front = TcpListener::bind(settings.listen).await?;
        let ready = TcpListener::bind(settings.ready_listen).await?;
        let (address, ready_address) = (front.local_addr()?, ready.local_addr()?);
        let (datagrams, receiver) = bind_datagram_sockets(settings.peer_listen)?;
        let mut core = settings.core.clone();
        core.address = receiver.local_addr()?.to_string();
        let tunnels = bind_tunnel_listener(settings.tunnel_listen).await?;
        if let Some(listener) = &tunnels {
            core.tunnel_address = Some(listener.local_addr()?.to_string());
        }
        let (inputs, queue) = input_queue(settings.input_queue_len);
        let registration = Registration {
            vm: core.vm.to_string(),
            address: core.address.clone(),
            role: Role::Entry,
            failure_domain: core.failure_domain.to_string(),
        };
        let (dispatcher, queues) = OutputDispatcher::new(datagrams, Arc::clone(&metrics));
        let OutputQueues {
            source_requests,
            snapshot_requests,
            probe_requests,
            charges,
            claims,
            storage_list,
            status,
        } = queues;
        let storage = StorageVms::new(storage_list.clone(), inputs.clone());
        let storage = Arc::new(storage);
        let usage = UsageClient {
            storage: Arc::clone(&storage),
            tolerated_losses: settings.tolerated_losses,
            inputs: inputs.clone(),
            metrics: Arc::clone(&metrics),
            asked: AskedVms::default(),
            asked_proxies: AskedVms::default(),
        };
        let usage = Arc::new(usage);
        let config = ServerConfig::builder().max_request_body_size(MAX_PEER_REQUEST_BYTES);
        let peer_server = Server::builder().set_config(config.build());
        let peer_server = peer_server.build(receiver.local_addr()?).await?;
        let snapshot_server = SnapshotServer {
            inputs: inputs.clone(),
        };
        let proxy_server = ClaimProxyServer {
            client: Arc::clone(&usage),
        };
        let mut methods = Methods::from(snapshot_server.into_rpc());
        methods
            .merge(proxy_server.into_rpc())
            .map_err(std::io::Error::other)?;
        let peer_server = peer_server.start(methods);
        let (origins, origin_writer) =
            StreamOrigins::new(Arc::clone(&storage), Arc::clone(&metrics));
        let (closing, is_closing) = watch::channel(false);
        let (halted, is_halted) = watch::channel(false);
        let memory = MemoryPlan::new(settings.memory_bytes);
        let responses = MemoryLimiter::new(memory.buffer_bytes);
        let shared = Arc::new(SharedState {
            dialect,
            clock: clock.clone(),
            inputs: inputs.clone(),
            call_ids: CallIds::new(core.incarnation),
            pool: Arc::new(Pool::new(responses.clone())),
            turns: Arc::new(TurnClient::new(
                Arc::clone(&storage),
                settings.tolerated_losses,
                &memory.turns,
                Arc::clone(&metrics),
            )),
            origins: Arc::new(origins),
            metrics: Arc::clone(&metrics),
            status,
            is_draining: AtomicBool::new(false),
            is_halted,
            max_body_bytes: settings.max_body_bytes,
            requests: MemoryLimiter::new(memory.buffer_bytes),
            responses,
            memory,
        });
        let tracker = ConnectionTracker {
            open_connections: Arc::new(AtomicUsize::new(0)),
            closing: is_closing,
        };
        let sender = format!("{}@{}", core.vm, core.incarnation);
        let (vm, has_seeds) = (core.vm.clone(), !core.seeds.is_empty());
        let writer = ChargeWriter::new(sender, charges, storage_list, Arc::clone(&metrics));
        let control = spawn_control_loop(Control::new(core), queue, dispatcher, clock.clone())?;
        let source = SourceClient {
            store: Arc::new(store),
            clock,
            inputs: inputs.clone(),
            metrics: Arc::clone(&metrics),
            registration,
            has_seeds,
            budget_records: RecordCache::default(),
        };
        let mut listeners = JoinSet::new();
        let mut background = JoinSet::new();
        background.spawn(source.run(source_requests));
        background.spawn(usage.run(claims));
        background.spawn(fetch_snapshots(snapshot_requests, inputs.clone()));
        background.spawn(async move { storage.watch_lost().await });
        let pool = Arc::clone(&shared.pool);
        background.spawn(run_probes(
            probe_requests,
            pool,
            inputs.clone(),
            Arc::clone(&metrics),
        ));
        if let Some(listener) = tunnels {
            let server = TunnelServer {
                inputs: inputs.clone(),
                metrics: Arc::clone(&metrics),
                tracker: tracker.clone(),
                open_tunnels: Arc::default(),
            };
            listeners.spawn(serve_tunnels(listener, server));
        }
        let summaries = MemoryLimiter::new(memory.summary_bytes);
        let receiver = SummaryReceiver::builder()
            .socket(receiver)
            .inputs(inputs)
            .waiting(summaries)
            .metrics(metrics)
            .build();
        background.spawn(receiver.run());
        background.spawn(origin_writer.run());
        background.spawn(expire_idle_connections(Arc::clone(&shared.pool)));
        let serve = |listener, kind| serve(listener, kind, Arc::clone(&shared), tracker.clone());
        listeners.spawn(serve(front, ListenerKind::Calls));
        background.spawn(serve(ready, ListenerKind::Readiness));
        if let Some(address) = settings.metrics_listen {
            match TcpListener::bind(address).await {
                Ok(listener) => {
                    background.spawn(serve(listener, ListenerKind::Readiness));
                }
                Err(error) => tracing::warn!(%address, "metrics: listener not opened ({error})"),
            }
        }
        tracing::info!(%vm, %address, "start: relays calls");
        Ok(Self {
            shared,
            address,
            ready_address,
            control,
            charges: tokio::spawn(writer.run()),
            _peer_server: peer_server,
            listeners,
            background,
            tracker,
            closing,
            halted,
            grace: settings.grace,
            drain_notice: settings.drain_notice,
        })
    }
}

/// Binds the UDP socket for summaries; returns a handle for the control thread, which sends, and
/// one for the task that receives.
fn bind_datagram_sockets(
    address: SocketAddr,
) -> std::io::Result<(std::net::UdpSocket, tokio::net::UdpSocket)> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let receiver = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
    Ok((socket, receiver))
}

/// Opens the listener for tunnels, if there is to be one.
async fn bind_tunnel_listener(address: Option<SocketAddr>) -> std::io::Result<Option<TcpListener>> {
    let Some(address) = address else {
        return Ok(None);
    };
    TcpListener::bind(address).await.map(Some)
}

/// Periodically closes connections to upstreams whose idle timeout has passed.
async fn expire_idle_connections(pool: Arc<Pool>) {
    let mut ticks = interval(EXPIRE_INTERVAL);
    loop {
        ticks.tick().await;
        pool.close_expired();
    }
}

/// # Addresses and readiness
impl<D, C> Relay<D, C> {
    /// Returns the address on which callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which readiness checks of the load balancer are served.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Waits until this VM is ready for calls.
    pub async fn ready(&self) {
        let mut status = self.shared.status.clone();
        // Fails only if the control thread, which owns the sender, has ended.
        let _ = status.wait_for(|status| status.is_ready).await;
    }
}

/// # Stop
impl<D: Dialect, C: Clock> Relay<D, C> {
    /// Stops the daemon within its grace period and lets running calls finish.
    ///
    /// New calls are served until the load balancer has noticed that this VM is not ready. After
    /// that, each connection closes with its next response. All the while, a call that may not end
    /// in time is refused.
    pub async fn stop(mut self) {
        let times = StopTimes::new(self.grace, self.drain_notice);
        let started = Instant::now();
        tracing::info!(
            connections = self.open_connections(),
            calls_end_ms = times.calls_end.as_millis(),
            "stop: draining connections"
        );
        self.shared.is_draining.store(true, Ordering::Relaxed);
        let calls_end_us = u64::try_from(times.calls_end.as_micros()).unwrap_or(u64::MAX);
        let end = Input::EndCallsAt {
            time_us: self.shared.clock.now_us().saturating_add(calls_end_us),
        };
        self.shared.inputs.send_input(end).await;
        self.shared.inputs.send_input(Input::Drain).await;
        sleep_until(started + times.notice).await;
        self.closing.send_replace(true);
        tokio::select! {
            () = self.wait_for_connections() => {}
            () = sleep_until(started + times.calls_end) => {}
        }
        self.end_calls().await;
        // Fails only if the control thread has already ended.
        let _ = self.shared.inputs.send(Message::Stop).await;
        self.background.abort_all();
        if let Err(error) = (&mut self.charges).await {
            tracing::error!("charges: the writer failed ({error})");
        }
        if self.control.join().is_err() {
            tracing::error!("stop: the control thread panicked");
        }
    }

    /// Refuses all open calls and waits until their callers have been told.
    async fn end_calls(&mut self) {
        tracing::info!(connections = self.open_connections(), "stop: shutting down");
        self.listeners.shutdown().await;
        self.halted.send_replace(true);
        self.shared.inputs.send_input(Input::Halt).await;
        let told = timeout(WRITE_OUT_LIMIT, self.wait_for_connections());
        let flushed = self.shared.origins.flush(ORIGIN_FLUSH_LIMIT);
        let (told, ()) = tokio::join!(told, flushed);
        if told.is_err() {
            let connections = self.open_connections();
            tracing::warn!(connections, "stop: connections cut off");
        }
    }

    /// Waits until no connection is open.
    async fn wait_for_connections(&self) {
        while self.open_connections() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of open connections.
    fn open_connections(&self) -> usize {
        self.tracker.open_connections.load(Ordering::Relaxed)
    }
}

/// The times of a stop, from its request.
#[derive(Debug, Clone, Copy)]
struct StopTimes {
    /// Until when connections stay open after their response.
    notice: Duration,
    /// When open calls are ended.
    calls_end: Duration,
}

impl StopTimes {
    fn new(grace: Duration, drain_notice: Duration) -> Self {
        let calls_end = grace.saturating_sub(SHUTDOWN_MARGIN.min(grace / 2));
        Self {
            // In a short grace period, connections must close early enough for their callers.
            notice: drain_notice.min(calls_end / 2),
            calls_end,
        }
    }
}
