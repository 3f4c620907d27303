//! The daemon: starts all parts and stops them without cutting calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error, From};
use knapweeddale_config::Settings;
use knapweeddale_core::{Control, Incarnation, StoreRequest};
use knapweeddale_peer::{PeerOptions, PeerServer, Peers};
use knapweeddale_store::{Counted, ObjectApi};
use knapweeddale_token::{SecretError, Signer, derive_secret};
use rocket::fairing::AdHoc;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::call::{CallIds, InFlight, KeptAnswers, random_u64};
use crate::clock::Clock;
use crate::control::{self, Message, Outlets, Status, StatusReader, input_queue};
use crate::front::{self, Shared};
use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::store::{ChargeWriter, ViewOrder, poll_vms, serve_views, watch_config};
use crate::upstream::{
    ProbeOrder, ReleaseOrder, Starts, UpstreamClient, poll_loads, serve_probes, serve_releases,
};

/// Orders about the view that may wait; the core has few of them at a time.
const VIEW_ORDERS: usize = 32;

/// Releases of engine memory that may wait; the core repeats those dropped.
const RELEASES: usize = 4_096;

/// Probes that may wait; one for each broken upstream.
const PROBES: usize = 64;

/// Charge records that may wait for the writer, a second of traffic at the
/// rate that a VM decides at most.
const CHARGES: usize = 100_000;

/// Longest wait for the last charge records when the process ends.
const CHARGES_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the HTTP server to close its connections.
const SERVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two updates of the counts of store calls.
const COUNTS_INTERVAL: Duration = Duration::from_secs(1);

/// The daemon cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The secret of the fleet cannot be read.
    #[display("secret_file {file} cannot be read ({source}); create it with 32 random bytes")]
    #[from(skip)]
    SecretFile {
        /// The file.
        file: String,
        /// What is wrong.
        source: std::io::Error,
    },
    /// The secret of the fleet cannot be used.
    #[display("{_0}")]
    Secret(SecretError),
    /// The HTTP client of upstreams cannot be set up.
    #[display("the client of upstreams cannot be set up ({_0})")]
    Client(reqwest::Error),
    /// The metrics are inconsistent.
    #[display("the metrics are inconsistent ({_0})")]
    Metrics(prometheus::Error),
    /// The listener for other VMs or the control thread cannot be started.
    #[display("{_0}; check `peer_listen`")]
    Io(std::io::Error),
    /// The HTTP server cannot be started.
    #[display("the HTTP server cannot be started ({_0}); check `listen`")]
    Server(Box<rocket::Error>),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon<C> {
    shared: Arc<Shared<C>>,
    address: SocketAddr,
    peers: PeerServer,
    control: JoinHandle<()>,
    server: rocket::Shutdown,
    server_task: tokio::task::JoinHandle<Result<rocket::Rocket<rocket::Ignite>, rocket::Error>>,
    charges: tokio::task::JoinHandle<()>,
    /// Tasks that end with the process.
    background: JoinSet<()>,
    drain_notice: Duration,
    drain: Duration,
}

/// Reads the secret of the fleet.
///
/// # Errors
///
/// Fails if the file cannot be read or the secret is too short.
pub fn read_secret(settings: &Settings) -> Result<Vec<u8>, StartError> {
    let file = &settings.secret_file;
    let text = std::fs::read(file).map_err(|source| StartError::SecretFile {
        file: file.display().to_string(),
        source,
    })?;
    let secret = text.trim_ascii().to_vec();
    Signer::new(&secret)?;
    Ok(secret)
}

/// # Start
impl<C: Clock> Daemon<C> {
    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound or the secret is too short.
    pub async fn start<A: ObjectApi>(
        settings: Settings,
        secret: &[u8],
        api: A,
        clock: C,
    ) -> Result<Self, StartError> {
        let api = Arc::new(Counted::new(api));
        let peer_listener = TcpListener::bind(settings.peer_listen).await?;
        let incarnation = new_incarnation();
        let mut core = settings.to_core(incarnation);
        core.address = peer_listener.local_addr()?.to_string();
        let metrics = Arc::new(Metrics::new()?);
        let (inputs, queue) = input_queue(settings.input_queue_len);
        let (status_sender, status) = watch::channel(Status::default());
        let peer_options = PeerOptions::builder()
            .vm(core.vm.clone())
            .address(core.address.as_str())
            .incarnation(incarnation)
            .secret(derive_secret(secret, "peer")?)
            .build();
        let shared = Arc::new(Shared {
            vm: core.vm.clone(),
            inputs,
            clock: clock.clone(),
            upstream: UpstreamClient::new()?,
            signer: Signer::new(derive_secret(secret, "sign")?.as_bytes())?,
            answers: KeptAnswers::new(settings.answer_keep_ms),
            metrics,
            in_flight: InFlight::default(),
            ids: CallIds::new(incarnation),
            status,
            lease_until_us: Arc::default(),
            draining: AtomicBool::new(false),
            peer_options,
            peer_counts: Arc::default(),
            max_body_bytes: settings.max_body_bytes,
            response_queue_len: settings.response_queue_len,
        });
        let (views, view_orders) = mpsc::channel(VIEW_ORDERS);
        let (releases, release_orders) = mpsc::channel(RELEASES);
        let (probes, probe_orders) = mpsc::channel(PROBES);
        let (charges, charge_records) = mpsc::channel(CHARGES);
        let first_read = ViewOrder {
            request: StoreRequest::Read,
            now_us: clock.now_us(),
        };
        // The queue is empty, so that there is room.
        let _ = views.try_send(first_read);
        let outlets = Outlets {
            vm: core.vm.clone(),
            peers: Peers::new(
                shared.peer_options.clone(),
                Arc::clone(&shared.peer_counts),
                Handle::current(),
            ),
            views,
            releases,
            probes,
            charges,
            status: status_sender,
            lease_until_us: Arc::clone(&shared.lease_until_us),
            metrics: Arc::clone(&shared.metrics),
            calls: HashMap::new(),
            addresses: HashMap::new(),
            echo: Vec::new(),
        };
        let control = control::spawn(Control::new(core), queue, outlets, clock)?;
        let peers = PeerServer::start(
            peer_listener,
            shared.peer_options.clone(),
            Arc::new(Inbox(Arc::clone(&shared))),
            Arc::clone(&shared.peer_counts),
        )?;
        let writer = ChargeWriter::new(
            Arc::clone(&api),
            &settings.vm,
            incarnation,
            settings.data_folder.clone(),
            Arc::clone(&shared.metrics),
        );
        let charges = tokio::spawn(writer.run(charge_records));
        let background = start_background(
            &api,
            &shared,
            &settings,
            (view_orders, release_orders, probe_orders),
        );
        let (address, server, server_task) = start_server(settings.listen, &shared).await?;
        tracing::info!("membership: {} serves callers at {address}", shared.vm);
        Ok(Self {
            shared,
            address,
            peers,
            control,
            server,
            server_task,
            charges,
            background,
            drain_notice: Duration::from_millis(settings.drain_notice_ms),
            drain: Duration::from_millis(settings.drain_ms),
        })
    }
}

/// Orders of the control thread to background tasks.
type Orders = (
    mpsc::Receiver<ViewOrder>,
    mpsc::Receiver<ReleaseOrder>,
    mpsc::Receiver<ProbeOrder>,
);

/// Starts the tasks that end with the process.
fn start_background<A: ObjectApi, C: Clock>(
    api: &Arc<Counted<A>>,
    shared: &Arc<Shared<C>>,
    settings: &Settings,
    (view_orders, release_orders, probe_orders): Orders,
) -> JoinSet<()> {
    let inputs = || shared.inputs.clone();
    let status = || shared.status.clone();
    let client = || shared.upstream.clone();
    let vm = || shared.vm.clone();
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_views(Arc::clone(api), view_orders, inputs()));
    tasks.spawn(watch_config(Arc::clone(api), settings.vm.clone(), inputs()));
    tasks.spawn(poll_vms(Arc::clone(api), vm(), status(), inputs()));
    let starts = Starts::default();
    tasks.spawn(poll_loads(
        client(),
        starts.clone(),
        vm(),
        status(),
        inputs(),
    ));
    tasks.spawn(serve_probes(client(), starts, probe_orders, inputs()));
    tasks.spawn(serve_releases(client(), release_orders, inputs()));
    let (api, metrics) = (Arc::clone(api), Arc::clone(&shared.metrics));
    tasks.spawn(async move {
        loop {
            metrics.set_store(&api.counts());
            sleep(COUNTS_INTERVAL).await;
        }
    });
    tasks
}

/// The HTTP server's address, its switch and its task.
type Server = (
    SocketAddr,
    rocket::Shutdown,
    tokio::task::JoinHandle<Result<rocket::Rocket<rocket::Ignite>, rocket::Error>>,
);

/// Starts the HTTP server and waits until it listens.
async fn start_server<C: Clock>(
    listen: SocketAddr,
    shared: &Arc<Shared<C>>,
) -> Result<Server, StartError> {
    let (sender, receiver) = oneshot::channel();
    let liftoff = AdHoc::on_liftoff("address", move |rocket| {
        Box::pin(async move {
            let config = rocket.config();
            // The receiver waits until the server listens.
            let _ = sender.send(SocketAddr::new(config.address, config.port));
        })
    });
    let rocket = front::build(listen, shared).attach(liftoff);
    let rocket = rocket.ignite().await.map_err(Box::new)?;
    let shutdown = rocket.shutdown();
    let task = tokio::spawn(rocket.launch());
    match receiver.await {
        Ok(address) => Ok((address, shutdown, task)),
        Err(_) => match task.await {
            Ok(Err(error)) => Err(StartError::Server(Box::new(error))),
            _ => Err(StartError::Io(std::io::ErrorKind::Other.into())),
        },
    }
}

/// Returns the number of this start: the time in seconds and a random part.
fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = elapsed.map(|time| time.as_secs()).unwrap_or_default();
    Incarnation((seconds << 32) | (random_u64() >> 32))
}

/// # Observation
impl<C: Clock> Daemon<C> {
    /// Returns the address that callers reach.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that other VMs reach.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Waits until the VM is configured, a member and under lease.
    pub async fn ready(&self) {
        let mut status = self.shared.status.clone();
        while !self.shared.unready_reasons().is_empty() {
            // The lease is no part of the status, so the wait is short as well.
            let _ = timeout(Duration::from_millis(10), status.changed()).await;
        }
    }

    /// Returns what lists the calls that a forced end cuts.
    pub fn cut_list(&self) -> CutList {
        CutList(self.shared.in_flight.clone())
    }
}

/// # Stop
impl<C: Clock> Daemon<C> {
    /// Stops without cutting a call, unless one takes longer than `drain_ms`.
    pub async fn stop(mut self) {
        let shared = Arc::clone(&self.shared);
        shared.draining.store(true, Ordering::Relaxed);
        tracing::info!("membership: {} is stopping", shared.vm);
        shared.inputs.input(knapweeddale_core::Input::Drain).await;
        // The load balancer keeps sending calls until it sees the readiness.
        sleep(self.drain_notice).await;
        let left = has_left(shared.status.clone());
        let drained = async {
            left.await;
            shared.in_flight.empty().await;
        };
        if timeout(self.drain, drained).await.is_err() {
            self.cut_list().log("`drain_ms`");
        }
        self.server.notify();
        if timeout(SERVER_TIMEOUT, &mut self.server_task)
            .await
            .is_err()
        {
            tracing::warn!("membership: connections of callers are still open");
        }
        // Fails only if the control thread has ended already.
        let _ = shared.inputs.send(Message::Stop).await;
        let control = self.control;
        let _ = tokio::task::spawn_blocking(move || control.join()).await;
        if timeout(CHARGES_TIMEOUT, self.charges).await.is_err() {
            tracing::error!("charges: the last records are not stored");
        }
        self.background.abort_all();
        tracing::info!("membership: {} has stopped", shared.vm);
    }
}

/// Waits until the VM has handed over everything.
async fn has_left(mut status: StatusReader) {
    // Fails only if the control thread has ended.
    let _ = status.wait_for(|status| status.has_left).await;
}

/// The calls that a forced end cuts.
#[derive(Debug, Clone)]
pub struct CutList(InFlight);

impl CutList {
    /// Logs the calls that are cut.
    pub fn log(&self, cause: &str) {
        let calls = self.0.calls();
        tracing::warn!("membership: {cause} cuts {} calls", calls.len());
        for call in calls {
            tracing::warn!("membership: cut call {call}");
        }
    }
}
