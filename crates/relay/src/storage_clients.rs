//! Connections to VMs with a disk.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep, timeout};

/// Time for which a VM that did not answer is avoided.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Interval at which VMs that did not answer are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests to VMs with a disk that may be open at the same time.
const MAX_OPEN_REQUESTS: usize = 256;

/// The connection to a VM with a disk.
#[derive(Debug, Clone)]
struct Peer {
    /// `None` after a failure: a connection that fell silent is not used again.
    client: Option<Arc<HttpClient>>,
    avoid_until: Instant,
    /// Whether the last request failed and no connection was accepted since.
    is_lost: bool,
}

/// Connections to VMs with a disk, for requests of one purpose.
#[derive(Debug)]
pub(crate) struct StorageClients {
    /// What the requests are about, as a prefix of log lines.
    purpose: &'static str,
    request_timeout: Duration,
    peers: Mutex<HashMap<Arc<str>, Peer>>,
    requests: Semaphore,
    /// Wakes the task that probes lost VMs.
    has_lost: Notify,
}

impl StorageClients {
    /// Creates clients whose requests end after `request_timeout`.
    pub fn new(purpose: &'static str, request_timeout: Duration) -> Self {
        Self {
            purpose,
            request_timeout,
            peers: Mutex::default(),
            requests: Semaphore::new(MAX_OPEN_REQUESTS),
            has_lost: Notify::new(),
        }
    }

    /// Sorts addresses so that VMs that lately did not answer come last.
    pub fn sort_by_health(&self, addresses: &mut [Arc<str>]) {
        let now = Instant::now();
        let peers = self.peers();
        addresses.sort_by_key(|address| {
            peers
                .get(address)
                .is_some_and(|peer| peer.avoid_until > now)
        });
    }

    /// Sends a request to a VM; returns `None` and avoids the VM for a while if it fails.
    pub async fn request<T, F>(
        &self,
        address: &Arc<str>,
        send: impl FnOnce(Arc<HttpClient>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let result = match self.client(address) {
            // The semaphore is never closed.
            Ok(client) => match self.requests.acquire().await {
                Ok(_permit) => send(client).await,
                Err(_) => return None,
            },
            Err(error) => Err(error),
        };
        let error = match result {
            Ok(answer) => {
                self.mark_reachable(address);
                return Some(answer);
            }
            Err(error) => error,
        };
        let peer = Peer {
            client: None,
            avoid_until: Instant::now() + AVOID_TIME,
            is_lost: true,
        };
        self.peers().insert(Arc::clone(address), peer);
        self.has_lost.notify_one();
        let purpose = self.purpose;
        tracing::warn!(keeper = &**address, "{purpose}: request failed ({error})");
        None
    }

    /// Returns the client of a VM.
    fn client(&self, address: &Arc<str>) -> Result<Arc<HttpClient>, ClientError> {
        let mut peers = self.peers();
        let peer = peers.entry(Arc::clone(address)).or_insert_with(|| Peer {
            client: None,
            avoid_until: Instant::now(),
            is_lost: false,
        });
        if let Some(client) = &peer.client {
            return Ok(Arc::clone(client));
        }
        let client = HttpClient::builder()
            .request_timeout(self.request_timeout)
            .build(format!("http://{address}"))?;
        let client = Arc::new(client);
        peer.client = Some(Arc::clone(&client));
        Ok(client)
    }

    /// Records that a VM answers or accepts connections.
    fn mark_reachable(&self, address: &Arc<str>) {
        if let Some(peer) = self.peers().get_mut(address) {
            peer.is_lost = false;
        }
    }

    /// Returns whether a VM did not answer the last request and was not reached since.
    pub fn is_lost(&self, address: &str) -> bool {
        self.peers().get(address).is_some_and(|peer| peer.is_lost)
    }

    /// Probes lost VMs until the task is aborted, so that no request has to find out for them.
    pub async fn probe_lost(&self) {
        loop {
            let peers = self.peers().clone();
            let lost = peers.into_iter().filter(|(_, peer)| peer.is_lost);
            let lost: Vec<Arc<str>> = lost.map(|(address, _)| address).collect();
            if lost.is_empty() {
                self.has_lost.notified().await;
                continue;
            }
            join_all(lost.iter().map(|address| self.probe(address))).await;
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Connects to a VM; if it accepts, requests go there again.
    async fn probe(&self, address: &Arc<str>) {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(&**address)).await;
        if let Ok(Ok(_)) = connected {
            self.mark_reachable(address);
        }
    }

    /// Locks the connections; a panic while they were locked leaves them usable.
    fn peers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
