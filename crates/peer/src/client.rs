//! Client for JSON-RPC requests to other VMs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient};
use jsonrpsee::rpc_params;
use knapweeddale_core::{CallId, ContentDigest, PeerMessage, VmName};
use serde_json::Value;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::counts::PeerCounts;
use crate::options::PeerOptions;
use crate::server::SECRET_HEADER;
use crate::wire::{self, Batch, CachedResponse};

/// Bytes reserved in each request body for the batch header and the JSON-RPC fields.
const ENVELOPE_BYTES: usize = 1_024;

/// Outgoing message queues to other VMs.
///
/// Each peer has one queue and one task that sends its messages in batches.
/// [`Peers::send`] never blocks: a message to a full queue is dropped and counted.
#[derive(Debug)]
pub struct Peers {
    options: Arc<PeerOptions>,
    counts: Arc<PeerCounts>,
    runtime: Handle,
    queues: HashMap<VmName, Queue>,
}

/// Outgoing message queue to one peer.
#[derive(Debug)]
struct Queue {
    address: String,
    messages: mpsc::Sender<PeerMessage>,
}

/// A request outside the queues failed or timed out.
#[derive(Debug, Display, Error)]
#[display(
    "no response from the VM at {address} ({reason}); check that it runs with the same secret"
)]
pub struct FetchError {
    /// Address of the VM, as `ip:port`.
    pub address: String,
    /// Error of the JSON-RPC client.
    pub reason: String,
}

impl Peers {
    /// Creates an empty set of queues whose send tasks will run on `runtime`.
    pub fn new(options: PeerOptions, counts: Arc<PeerCounts>, runtime: Handle) -> Self {
        Self {
            options: Arc::new(options),
            counts,
            runtime,
            queues: HashMap::new(),
        }
    }

    /// Enqueues a message for a VM; opens a new queue if the VM's address has changed.
    pub fn send(&mut self, to: &VmName, address: &str, message: PeerMessage) {
        if self.queues.get(to).is_none_or(|q| q.address != address) {
            let queue = self.open_queue(address);
            self.queues.insert(to.clone(), queue);
        }
        let Some(queue) = self.queues.get(to) else {
            return;
        };
        if queue.messages.try_send(message).is_err() {
            self.counts.dropped_full(1);
        }
    }

    /// Closes the queues to VMs that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&VmName) -> bool) {
        self.queues.retain(|vm, _| is_member(vm));
    }

    /// Creates a queue and spawns the task that sends its messages.
    fn open_queue(&self, address: &str) -> Queue {
        let (messages, receiver) = mpsc::channel(self.options.queue_len);
        let task = SendTask {
            options: Arc::clone(&self.options),
            counts: Arc::clone(&self.counts),
            address: address.to_owned(),
        };
        self.runtime.spawn(task.run(receiver));
        Queue {
            address: address.to_owned(),
            messages,
        }
    }

    /// Sends messages in one request, without a queue, to a VM whose name is not yet known.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM does not confirm them within `request_timeout`.
    pub async fn deliver_once(
        options: &PeerOptions,
        address: &str,
        messages: &[PeerMessage],
    ) -> Result<(), FetchError> {
        let error = |reason: ClientError| FetchError {
            address: address.to_owned(),
            reason: reason.to_string(),
        };
        let batch = Batch {
            from: options.vm.clone(),
            address: options.address.clone(),
            incarnation: options.incarnation,
            messages: messages
                .iter()
                .filter_map(|m| wire::encode(m).ok())
                .collect(),
        };
        let client = build_client(options, address).map_err(error)?;
        let params = rpc_params![batch];
        let _: bool = client.request("deliver", params).await.map_err(error)?;
        Ok(())
    }

    /// Fetches the cached response of a call from the VM at `address`; `None` if it has none.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM does not respond within `request_timeout`.
    pub async fn fetch_response(
        options: &PeerOptions,
        address: &str,
        call: CallId,
        digest: ContentDigest,
    ) -> Result<Option<CachedResponse>, FetchError> {
        let error = |reason: ClientError| FetchError {
            address: address.to_owned(),
            reason: reason.to_string(),
        };
        let client = build_client(options, address).map_err(error)?;
        let params = rpc_params![call, digest];
        client.request("fetch_answer", params).await.map_err(error)
    }
}

/// Sends the queued messages of one peer in batches.
struct SendTask {
    options: Arc<PeerOptions>,
    counts: Arc<PeerCounts>,
    address: String,
}

impl SendTask {
    /// Sends batches until the queue is closed; pauses with exponential backoff after failures.
    async fn run(self, mut queue: mpsc::Receiver<PeerMessage>) {
        let mut client = None;
        let mut backoff = self.options.backoff_min;
        let mut deferred = None;
        while let Some((batch, bytes)) = self.next_batch(&mut queue, &mut deferred).await {
            let messages = batch.messages.len() as u64;
            match self.send_batch(&mut client, batch).await {
                Ok(()) => {
                    self.counts.sent_messages(messages);
                    self.counts.sent_bytes(bytes as u64);
                    backoff = self.options.backoff_min;
                }
                Err(error) => {
                    self.counts.dropped_failed(messages);
                    tracing::debug!(
                        peer = self.address,
                        %error,
                        "peer: dropped {messages} messages of a failed request"
                    );
                    client = None;
                    tokio::time::sleep(backoff).await;
                    backoff = next_backoff(backoff, self.options.backoff_max);
                }
            }
        }
    }

    /// Waits for a message and returns a batch of all queued messages that fit into one request,
    /// with its size in bytes; a message that does not fit is left in `deferred`.
    async fn next_batch(
        &self,
        queue: &mut mpsc::Receiver<PeerMessage>,
        deferred: &mut Option<(Value, usize)>,
    ) -> Option<(Batch, usize)> {
        let limit = (self.options.max_body_bytes as usize).saturating_sub(ENVELOPE_BYTES);
        let mut batch = Batch {
            from: self.options.vm.clone(),
            address: self.options.address.clone(),
            incarnation: self.options.incarnation,
            messages: Vec::new(),
        };
        let mut bytes = 0;
        if let Some((message, len)) = deferred.take() {
            batch.messages.push(message);
            bytes = len;
        }
        loop {
            let message = if batch.messages.is_empty() {
                queue.recv().await?
            } else {
                match queue.try_recv() {
                    Ok(message) => message,
                    Err(_) => return Some((batch, bytes)),
                }
            };
            let Some((message, len)) = self.encode(&message, limit) else {
                continue;
            };
            if bytes + len > limit {
                *deferred = Some((message, len));
                return Some((batch, bytes));
            }
            batch.messages.push(message);
            bytes += len;
        }
    }

    /// Encodes a message; one that exceeds `limit` bytes is dropped and counted.
    fn encode(&self, message: &PeerMessage, limit: usize) -> Option<(Value, usize)> {
        let encoded = wire::encode(message).ok()?;
        let len = encoded.to_string().len() + 1;
        if len > limit {
            self.counts.dropped_large(1);
            tracing::warn!(
                peer = self.address,
                "peer: dropped a message of {len} bytes, limit {limit}"
            );
            return None;
        }
        Some((encoded, len))
    }

    /// Sends one batch; creates a new client if the previous request failed.
    async fn send_batch(
        &self,
        client: &mut Option<HttpClient>,
        batch: Batch,
    ) -> Result<(), ClientError> {
        let client = match client {
            Some(client) => client,
            empty => empty.insert(build_client(&self.options, &self.address)?),
        };
        let _: bool = client.request("deliver", rpc_params![batch]).await?;
        Ok(())
    }
}

/// Builds a client for the VM at `address`; it connects on the first request.
fn build_client(options: &PeerOptions, address: &str) -> Result<HttpClient, ClientError> {
    let mut headers = HeaderMap::new();
    let mut secret = HeaderValue::from_str(&options.secret)
        .map_err(|error| ClientError::Custom(error.to_string()))?;
    secret.set_sensitive(true);
    headers.insert(SECRET_HEADER, secret);
    HttpClient::builder()
        .request_timeout(options.request_timeout)
        .connect_timeout(options.request_timeout)
        .max_request_size(options.max_body_bytes)
        .max_response_size(options.max_response_bytes)
        .set_tcp_no_delay(true)
        .set_headers(headers)
        .build(format!("http://{address}"))
}

/// Doubles a backoff delay up to `limit`.
fn next_backoff(backoff: Duration, limit: Duration) -> Duration {
    (backoff * 2).min(limit)
}
