//! Connections to storage VMs, and which of them answer.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, From};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::types::ErrorCode;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep_until, timeout};

/// Time limit for a request without a deadline; also the interval at which the VM is probed during
/// one with a deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which the VM of an unanswered request is probed, so that the probe ends with
/// [`REQUEST_TIMEOUT`].
const PROBE_DELAY: Duration = Duration::from_millis(150);

/// Time for which a VM that did not answer is avoided.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Time for which a VM that has answered counts as one that answers.
const CONFIRMED_TIME: Duration = Duration::from_secs(1);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests to storage VMs that may be open at the same time.
const MAX_OPEN_REQUESTS: usize = 256;

/// Why a request to a storage VM failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The VM answers, but its build does not know the method.
    UnknownMethod,
    /// The VM does not answer, or refuses the request.
    Failed,
}

/// Why a request has no answer.
#[derive(Debug, Display, From)]
enum RequestFailure {
    /// The connection broke, or the VM refuses the request.
    Broken(ClientError),
    /// The VM accepts no connection.
    #[display("no connection is accepted")]
    Unreachable,
    /// The VM accepts connections, but did not answer in time.
    #[display("no answer in time")]
    Late,
}

/// Returns whether a VM does not know a method, since its build is an earlier one.
pub(crate) fn is_unknown_method(error: &ClientError) -> bool {
    let ClientError::Call(error) = error else {
        return false;
    };
    error.code() == ErrorCode::MethodNotFound.code()
}

/// What is known of a storage VM.
#[derive(Debug, Clone, Default)]
struct Peer {
    /// `None` after a failure: a connection that fell silent is not used again.
    client: Option<Arc<HttpClient>>,
    avoid_until: Option<Instant>,
    /// Time of the last answer, or of the last connection that it accepted.
    confirmed: Option<Instant>,
    /// Whether the last request or probe failed and no connection was accepted since.
    is_lost: bool,
}

/// Connections to storage VMs.
#[derive(Debug)]
pub(crate) struct StorageClients {
    peers: Mutex<HashMap<Arc<str>, Peer>>,
    requests: Semaphore,
    /// Wakes the task that looks after lost VMs.
    has_lost: Notify,
}

/// # Requests
impl StorageClients {
    /// Creates clients without connections.
    pub fn new() -> Self {
        Self {
            peers: Mutex::default(),
            requests: Semaphore::new(MAX_OPEN_REQUESTS),
            has_lost: Notify::new(),
        }
    }

    /// Sends a request to a VM and avoids the VM for a while if it fails.
    ///
    /// A request with a deadline is waited for until then, as long as the VM accepts connections: a
    /// busy VM answers late, and the request may be one that no other VM can answer.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer, refuses the request or does not know its method.
    pub async fn request<T, F>(
        &self,
        purpose: &'static str,
        address: &Arc<str>,
        deadline: Option<Instant>,
        send: impl FnOnce(Arc<HttpClient>) -> F,
    ) -> Result<T, RequestError>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let result = match self.client(address) {
            // The semaphore is never closed.
            Ok(client) => match self.requests.acquire().await {
                Ok(_permit) => self.wait_for_answer(address, deadline, send(client)).await,
                Err(_) => return Err(RequestError::Failed),
            },
            Err(error) => Err(error.into()),
        };
        let failure = match result {
            Ok(answer) => {
                self.mark_reachable(address);
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        match &failure {
            RequestFailure::Broken(error) if is_unknown_method(error) => {
                tracing::debug!(keeper = &**address, "{purpose}: not known to its build");
                self.mark_reachable(address);
                return Err(RequestError::UnknownMethod);
            }
            RequestFailure::Broken(_) => self.mark_lost(address),
            // The VM was marked while the request was open.
            RequestFailure::Unreachable | RequestFailure::Late => {}
        }
        tracing::warn!(keeper = &**address, "{purpose}: request failed ({failure})");
        Err(RequestError::Failed)
    }

    /// Waits for the answer to a request until its deadline, or until its VM accepts no connection.
    async fn wait_for_answer<T>(
        &self,
        address: &Arc<str>,
        deadline: Option<Instant>,
        request: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, RequestFailure> {
        let sent = Instant::now();
        let limit = deadline.unwrap_or(sent + REQUEST_TIMEOUT);
        tokio::select! {
            biased;
            result = request => Ok(result?),
            () = self.wait_until_unreachable(address, sent) => Err(RequestFailure::Unreachable),
            () = sleep_until(limit) => Err(RequestFailure::Late),
        }
    }

    /// Probes the VM of a request that was sent at this time, until it accepts no connection; marks
    /// it as late after [`REQUEST_TIMEOUT`].
    ///
    /// Other requests that it answers meanwhile make up for probes.
    async fn wait_until_unreachable(&self, address: &Arc<str>, sent: Instant) {
        let mut checked = sent;
        loop {
            sleep_until(checked + PROBE_DELAY).await;
            let is_known = self.is_confirmed_since(address, checked);
            if !is_known && !self.probe(Arc::clone(address)).await {
                return;
            }
            checked += REQUEST_TIMEOUT;
            sleep_until(checked).await;
            self.mark_late(address);
        }
    }

    /// Returns the client of a VM.
    fn client(&self, address: &Arc<str>) -> Result<Arc<HttpClient>, ClientError> {
        let mut peers = self.peers();
        let peer = peers.entry(Arc::clone(address)).or_default();
        if let Some(client) = &peer.client {
            return Ok(Arc::clone(client));
        }
        let client = HttpClient::builder().build(format!("http://{address}"))?;
        let client = Arc::new(client);
        peer.client = Some(Arc::clone(&client));
        Ok(client)
    }
}

/// # Health
impl StorageClients {
    /// Sorts addresses so that VMs that lately did not answer come last.
    pub fn sort_by_health(&self, addresses: &mut [Arc<str>]) {
        let now = Instant::now();
        let peers = self.peers();
        addresses.sort_by_key(|address| {
            let peer = peers.get(address);
            let is_avoided = |peer: &Peer| peer.avoid_until.is_some_and(|until| until > now);
            peer.is_some_and(|peer| peer.is_lost || is_avoided(peer))
        });
    }

    /// Returns whether a VM did not answer the last request or probe and was not reached since.
    pub fn is_lost(&self, address: &str) -> bool {
        self.peers().get(address).is_some_and(|peer| peer.is_lost)
    }

    /// Returns which of these VMs are lost.
    pub fn lost_of(&self, addresses: &[Arc<str>]) -> HashSet<Arc<str>> {
        let peers = self.peers();
        let is_lost = |address: &&Arc<str>| peers.get(*address).is_some_and(|peer| peer.is_lost);
        addresses.iter().filter(is_lost).cloned().collect()
    }

    /// Returns whether a VM answered a moment ago.
    pub fn is_confirmed(&self, address: &str) -> bool {
        let peers = self.peers();
        let Some(peer) = peers.get(address).filter(|peer| !peer.is_lost) else {
            return false;
        };
        peer.confirmed
            .is_some_and(|time| time.elapsed() < CONFIRMED_TIME)
    }

    /// Returns whether a VM has answered or accepted a connection since this time.
    fn is_confirmed_since(&self, address: &str, since: Instant) -> bool {
        let peers = self.peers();
        let confirmed = peers.get(address).and_then(|peer| peer.confirmed);
        confirmed.is_some_and(|time| time >= since)
    }

    /// Connects to a VM; returns whether it accepts.
    pub async fn probe(&self, address: Arc<str>) -> bool {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(&*address)).await;
        let is_accepted = matches!(connected, Ok(Ok(_)));
        if is_accepted {
            self.mark_reachable(&address);
        } else {
            self.mark_lost(&address);
        }
        is_accepted
    }

    /// Waits until a VM becomes lost.
    pub async fn wait_for_loss(&self) {
        self.has_lost.notified().await;
    }

    /// Records that a VM answers or accepts connections.
    fn mark_reachable(&self, address: &Arc<str>) {
        let mut peers = self.peers();
        let peer = peers.entry(Arc::clone(address)).or_default();
        peer.is_lost = false;
        peer.confirmed = Some(Instant::now());
    }

    /// Records that a VM accepts connections but answers too late.
    fn mark_late(&self, address: &Arc<str>) {
        let mut peers = self.peers();
        let peer = peers.entry(Arc::clone(address)).or_default();
        peer.client = None;
        peer.avoid_until = Some(Instant::now() + AVOID_TIME);
    }

    /// Records that a VM does not answer.
    fn mark_lost(&self, address: &Arc<str>) {
        let peer = Peer {
            client: None,
            avoid_until: Some(Instant::now() + AVOID_TIME),
            confirmed: None,
            is_lost: true,
        };
        let replaced = self.peers().insert(Arc::clone(address), peer);
        if replaced.is_none_or(|replaced| !replaced.is_lost) {
            self.has_lost.notify_one();
        }
    }

    /// Locks the connections; a panic while they were locked leaves them usable.
    fn peers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
