//! The client side of the exchange between VMs.

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
use crate::wire::{self, Batch, KeptAnswer};

/// Bytes of a request that do not belong to messages: names and JSON-RPC fields.
const ENVELOPE_BYTES: usize = 1_024;

/// The queues to other VMs.
///
/// Each peer has one queue and one task that sends its messages in batches.
/// [`Peers::send`] never waits: a message to a full queue is dropped and counted.
#[derive(Debug)]
pub struct Peers {
    options: Arc<PeerOptions>,
    counts: Arc<PeerCounts>,
    runtime: Handle,
    queues: HashMap<VmName, Queue>,
}

/// The queue to one peer.
#[derive(Debug)]
struct Queue {
    address: String,
    messages: mpsc::Sender<PeerMessage>,
}

/// A kept response could not be fetched.
#[derive(Debug, Display, Error)]
#[display("no answer from the VM at {address} ({reason}); resend the request")]
pub struct FetchError {
    /// The address of the VM.
    pub address: String,
    /// What went wrong.
    pub reason: String,
}

impl Peers {
    /// Makes queues whose tasks run on a runtime.
    pub fn new(options: PeerOptions, counts: Arc<PeerCounts>, runtime: Handle) -> Self {
        Self {
            options: Arc::new(options),
            counts,
            runtime,
            queues: HashMap::new(),
        }
    }

    /// Queues a message for the VM at an address.
    pub fn send(&mut self, to: &VmName, address: &str, message: PeerMessage) {
        if self.queues.get(to).is_none_or(|q| q.address != address) {
            let queue = self.open(address);
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

    /// Starts the task of a queue.
    fn open(&self, address: &str) -> Queue {
        let (messages, receiver) = mpsc::channel(self.options.queue_len);
        let link = Link {
            options: Arc::clone(&self.options),
            counts: Arc::clone(&self.counts),
            address: address.to_owned(),
        };
        self.runtime.spawn(link.run(receiver));
        Queue {
            address: address.to_owned(),
            messages,
        }
    }

    /// Fetches the response that the VM at an address keeps for a call.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer in time.
    pub async fn fetch_answer(
        options: &PeerOptions,
        address: &str,
        call: CallId,
        digest: ContentDigest,
    ) -> Result<Option<KeptAnswer>, FetchError> {
        let error = |reason: ClientError| FetchError {
            address: address.to_owned(),
            reason: reason.to_string(),
        };
        let client = connect(options, address).map_err(error)?;
        let params = rpc_params![call, digest];
        client.request("fetch_answer", params).await.map_err(error)
    }
}

/// The connection to one peer.
struct Link {
    options: Arc<PeerOptions>,
    counts: Arc<PeerCounts>,
    address: String,
}

impl Link {
    /// Sends messages until the queue is closed.
    async fn run(self, mut queue: mpsc::Receiver<PeerMessage>) {
        let mut client = None;
        let mut backoff = self.options.backoff_min;
        let mut left_over = None;
        while let Some((batch, bytes)) = self.next_batch(&mut queue, &mut left_over).await {
            let messages = batch.messages.len() as u64;
            match self.deliver(&mut client, batch).await {
                Ok(()) => {
                    self.counts.sent_messages(messages);
                    self.counts.sent_bytes(bytes as u64);
                    backoff = self.options.backoff_min;
                }
                Err(error) => {
                    self.counts.dropped_failed(messages);
                    tracing::debug!(peer = self.address, %error, "peer: dropped {messages} messages");
                    client = None;
                    tokio::time::sleep(backoff).await;
                    backoff = next_backoff(backoff, self.options.backoff_max);
                }
            }
        }
    }

    /// Takes as many waiting messages as one request may carry.
    async fn next_batch(
        &self,
        queue: &mut mpsc::Receiver<PeerMessage>,
        left_over: &mut Option<(Value, usize)>,
    ) -> Option<(Batch, usize)> {
        let limit = (self.options.max_body_bytes as usize).saturating_sub(ENVELOPE_BYTES);
        let mut batch = Batch {
            from: self.options.vm.clone(),
            address: self.options.address.clone(),
            incarnation: self.options.incarnation,
            messages: Vec::new(),
        };
        let mut bytes = 0;
        if let Some((message, len)) = left_over.take() {
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
                *left_over = Some((message, len));
                return Some((batch, bytes));
            }
            batch.messages.push(message);
            bytes += len;
        }
    }

    /// Encodes a message; one that no request can carry is dropped and counted.
    fn encode(&self, message: &PeerMessage, limit: usize) -> Option<(Value, usize)> {
        let encoded = wire::write(message).ok()?;
        let len = encoded.to_string().len() + 1;
        if len > limit {
            self.counts.dropped_large(1);
            tracing::warn!(
                peer = self.address,
                "peer: dropped a message of {len} bytes"
            );
            return None;
        }
        Some((encoded, len))
    }

    /// Sends one batch, over a new connection after a failure.
    async fn deliver(
        &self,
        client: &mut Option<HttpClient>,
        batch: Batch,
    ) -> Result<(), ClientError> {
        let client = match client {
            Some(client) => client,
            empty => empty.insert(connect(&self.options, &self.address)?),
        };
        let _: bool = client.request("deliver", rpc_params![batch]).await?;
        Ok(())
    }
}

/// Makes a client for the VM at an address; the connection opens with the first request.
fn connect(options: &PeerOptions, address: &str) -> Result<HttpClient, ClientError> {
    let mut headers = HeaderMap::new();
    let mut secret = HeaderValue::from_str(&options.secret)
        .map_err(|error| ClientError::Custom(error.to_string()))?;
    secret.set_sensitive(true);
    headers.insert(SECRET_HEADER, secret);
    HttpClient::builder()
        .request_timeout(options.request_timeout)
        .connect_timeout(options.request_timeout)
        .max_request_size(options.max_body_bytes)
        .max_response_size(options.max_answer_bytes)
        .set_tcp_no_delay(true)
        .set_headers(headers)
        .build(format!("http://{address}"))
}

/// Doubles a pause up to a limit.
fn next_backoff(backoff: Duration, limit: Duration) -> Duration {
    (backoff * 2).min(limit)
}
