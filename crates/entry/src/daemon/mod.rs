//! The daemon: starts all parts, and stops them without interrupting calls.

mod background;
mod channels;
mod error;
mod server;
mod stop;

pub use error::StartError;
pub use stop::UnfinishedCalls;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::Duration;

use knapweeddale_config::Settings;
use knapweeddale_core::{Control, CoreSettings, StoreRequest};
use knapweeddale_peer::{PeerOptions, PeerServer};
use knapweeddale_store::{CountingApi, ObjectApi};
use knapweeddale_token::{Signer, derive_secret};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::call::{InFlight, ResponseCache};
use crate::control::{InputSender, Status, StatusReader};
use crate::front::SharedState;
use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::store::{ChargeWriter, ViewRequest};
use crate::upstream::{LastRequestTimes, UpstreamClient};
use channels::OutputChannels;
use knapweeddale_runtime::{CallIds, Clock, input_queue, new_incarnation, spawn_control_loop};
use server::Server;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon<C> {
    shared: Arc<SharedState<C>>,
    peers: PeerServer,
    control: JoinHandle<()>,
    server: Server,
    charges: tokio::task::JoinHandle<()>,
    /// Tasks that run until the process ends.
    background: JoinSet<()>,
    drain_notice: Duration,
    drain_timeout: Duration,
}

/// Reads the fleet secret from the file that the settings name.
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
    /// Starts all parts and returns once the HTTP server listens.
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
        let api = Arc::new(CountingApi::new(api));
        let listener = TcpListener::bind(settings.peer_listen).await?;
        let mut core = settings.to_core(new_incarnation());
        // If the settings have port 0, the operating system chooses the port.
        core.address = listener.local_addr()?.to_string();
        let (inputs, queue) = input_queue(settings.input_queue_len);
        let (status_sender, status) = watch::channel(Status::default());
        let shared = build_shared_state(&settings, &core, secret, (inputs, status), clock.clone())?;
        let channels = OutputChannels::new(&shared, status_sender);
        let first_read = ViewRequest {
            request: StoreRequest::Read,
            now_us: clock.now_us(),
        };
        // Cannot fail: the queue is empty.
        let _ = channels.dispatcher.view_requests.try_send(first_read);
        let writer = ChargeWriter::new(
            Arc::clone(&api),
            &settings.vm,
            core.incarnation,
            settings.data_folder.clone(),
            Arc::clone(&shared.metrics),
        );
        let control = spawn_control_loop(Control::new(core), queue, channels.dispatcher, clock)?;
        let peers = PeerServer::start(
            listener,
            shared.peer_options.clone(),
            Arc::new(Inbox(Arc::clone(&shared))),
            Arc::clone(&shared.peer_counts),
        )?;
        let charges = tokio::spawn(writer.run(channels.charges));
        let background = background::start(&api, &shared, &settings, channels.queues);
        let server = server::start(settings.listen, &shared).await?;
        let address = server.address;
        tracing::info!("membership: {} serves callers at {address}", shared.vm);
        Ok(Self {
            shared,
            peers,
            control,
            server,
            charges,
            background,
            drain_notice: Duration::from_millis(settings.drain_notice_ms),
            drain_timeout: Duration::from_millis(settings.drain_ms),
        })
    }
}

/// Creates the state that all requests share.
fn build_shared_state<C: Clock>(
    settings: &Settings,
    core: &CoreSettings,
    secret: &[u8],
    (inputs, status): (InputSender, StatusReader),
    clock: C,
) -> Result<Arc<SharedState<C>>, StartError> {
    let peer_options = PeerOptions::builder()
        .vm(core.vm.clone())
        .address(core.address.as_str())
        .incarnation(core.incarnation)
        .secret(derive_secret(secret, "peer")?)
        .build();
    Ok(Arc::new(SharedState {
        vm: core.vm.clone(),
        inputs,
        clock,
        upstream: UpstreamClient::new()?,
        last_requests: LastRequestTimes::default(),
        signer: Signer::new(derive_secret(secret, "sign")?.as_bytes())?,
        response_cache: ResponseCache::new(settings.answer_keep_ms),
        metrics: Arc::new(Metrics::new()?),
        in_flight: InFlight::default(),
        ids: CallIds::new(core.incarnation),
        status,
        lease_until_us: Arc::default(),
        draining: AtomicBool::new(false),
        peer_options,
        peer_counts: Arc::default(),
        max_body_bytes: settings.max_body_bytes,
        response_queue_len: settings.response_queue_len,
    }))
}

/// # Observation
impl<C: Clock> Daemon<C> {
    /// Returns the address on which the daemon serves callers.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the address on which the daemon listens for other VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Waits until the VM has a configuration, is a member and holds a lease.
    pub async fn wait_until_ready(&self) {
        let mut status = self.shared.status.clone();
        while !self.shared.unready_reasons().is_empty() {
            // The status does not include the lease, so it is also checked every 10 ms.
            let _ = timeout(Duration::from_millis(10), status.changed()).await;
        }
    }

    /// Returns a handle that lists the calls in flight, for logging at a forced end.
    pub fn unfinished_calls(&self) -> UnfinishedCalls {
        UnfinishedCalls(self.shared.in_flight.clone())
    }
}
