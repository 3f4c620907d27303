//! Connections to VMs with a disk.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Time for which a VM that did not answer is avoided.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Requests to VMs with a disk that may be open at the same time.
const MAX_OPEN_REQUESTS: usize = 256;

/// The connection to a VM with a disk.
#[derive(Debug, Clone)]
struct Peer {
    /// `None` after a failure: a connection that fell silent is not used again.
    client: Option<Arc<HttpClient>>,
    avoid_until: Instant,
}

/// Connections to VMs with a disk, for requests of one purpose.
#[derive(Debug)]
pub(crate) struct StorageClients {
    /// What the requests are about, as a prefix of log lines.
    purpose: &'static str,
    request_timeout: Duration,
    peers: Mutex<HashMap<Arc<str>, Peer>>,
    requests: Semaphore,
}

impl StorageClients {
    /// Creates clients whose requests end after `request_timeout`.
    pub fn new(purpose: &'static str, request_timeout: Duration) -> Self {
        Self {
            purpose,
            request_timeout,
            peers: Mutex::default(),
            requests: Semaphore::new(MAX_OPEN_REQUESTS),
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
            Ok(answer) => return Some(answer),
            Err(error) => error,
        };
        let avoid_until = Instant::now() + AVOID_TIME;
        let peer = Peer {
            client: None,
            avoid_until,
        };
        self.peers().insert(Arc::clone(address), peer);
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

    /// Locks the connections; a panic while they were locked leaves them usable.
    fn peers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
