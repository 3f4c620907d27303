//! Copies the origins of streams to storage VMs.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::origins::{ORIGIN_COPIES, choose_holders};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::copies::PURPOSE;
use super::rpc::{OriginRecord, OriginRpcClient};
use crate::metrics::Metrics;
use crate::storage_vms::{StorageList, StorageVms};

/// Maximum number of origins in one request.
const MAX_BATCH_RECORDS: usize = 500;

/// Maximum number of origins queued for one storage VM, or while none is known.
const MAX_QUEUED_RECORDS: usize = 5_000;

/// Delay before a request that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A message to the writer.
#[derive(Debug)]
pub(super) enum WriterMessage {
    /// Copy an origin.
    Copy(OriginRecord),
    /// Report once nothing is queued or being sent.
    Flush(oneshot::Sender<()>),
}

/// What became of a request.
#[derive(Debug)]
struct RequestResult {
    holder: Arc<str>,
    /// The records to send again.
    failed: Vec<OriginRecord>,
}

/// The origins for one storage VM.
#[derive(Debug, Default)]
struct HolderQueue {
    records: VecDeque<OriginRecord>,
    /// Whether a request is open or waits to be repeated; origins queue up meanwhile.
    is_sending: bool,
}

/// Copies each origin to [`ORIGIN_COPIES`] storage VMs.
///
/// An origin is sent at once, together with what was queued while the request before was open.
#[derive(Debug)]
pub(crate) struct OriginWriter {
    messages: mpsc::Receiver<WriterMessage>,
    list: watch::Receiver<StorageList>,
    storage: Arc<StorageVms>,
    metrics: Arc<Metrics>,
    holders: Vec<Arc<str>>,
    queues: HashMap<Arc<str>, HolderQueue>,
    /// Origins that came before any storage VM was known.
    unplaced: VecDeque<OriginRecord>,
    flushes: Vec<oneshot::Sender<()>>,
    requests: JoinSet<RequestResult>,
}

impl OriginWriter {
    /// Creates a writer for these storage VMs.
    pub(super) fn new(
        messages: mpsc::Receiver<WriterMessage>,
        storage: Arc<StorageVms>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            messages,
            list: storage.list(),
            storage,
            metrics,
            holders: Vec::new(),
            queues: HashMap::new(),
            unplaced: VecDeque::new(),
            flushes: Vec::new(),
            requests: JoinSet::new(),
        }
    }

    /// Copies origins until the control thread has ended, and with it all streams.
    pub async fn run(mut self) {
        self.update_holders();
        loop {
            tokio::select! {
                message = self.messages.recv() => {
                    let Some(message) = message else { return };
                    self.accept(message);
                    while let Ok(message) = self.messages.try_recv() {
                        self.accept(message);
                    }
                }
                Some(result) = self.requests.join_next() => match result {
                    Ok(result) => self.finish_request(result),
                    Err(error) => tracing::error!("origins: a request failed ({error})"),
                },
                changed = self.list.changed() => match changed {
                    Ok(()) => self.update_holders(),
                    Err(_) => return,
                },
            }
            self.start_requests();
            self.report_flushes();
        }
    }
}

/// # Queues
impl OriginWriter {
    /// Queues an origin for the VMs that hold it.
    fn accept(&mut self, message: WriterMessage) {
        match message {
            WriterMessage::Copy(record) if self.holders.is_empty() => {
                push_bounded(&mut self.unplaced, record, &self.metrics);
            }
            WriterMessage::Copy(record) => self.place(&record),
            WriterMessage::Flush(flushed) => self.flushes.push(flushed),
        }
    }

    fn place(&mut self, record: &OriginRecord) {
        for holder in choose_holders(&record.id, &self.storage.living(), ORIGIN_COPIES) {
            let queue = self.queues.entry(holder).or_default();
            push_bounded(&mut queue.records, record.clone(), &self.metrics);
        }
    }

    /// Reads the list of storage VMs, and places the origins that waited for it.
    ///
    /// The queues of removed VMs are dropped; each of their origins has another copy.
    fn update_holders(&mut self) {
        self.holders = self.list.borrow_and_update().addresses.clone();
        let holders = &self.holders;
        self.queues
            .retain(|holder, queue| queue.is_sending || holders.contains(holder));
        if self.holders.is_empty() {
            return;
        }
        for record in std::mem::take(&mut self.unplaced) {
            self.place(&record);
        }
    }
}

/// # Requests
impl OriginWriter {
    /// Starts a request to each VM for which origins are queued and no request is open.
    fn start_requests(&mut self) {
        for (holder, queue) in &mut self.queues {
            if queue.is_sending || queue.records.is_empty() {
                continue;
            }
            queue.is_sending = true;
            let count = queue.records.len().min(MAX_BATCH_RECORDS);
            let batch = queue.records.drain(..count).collect();
            let storage = Arc::clone(&self.storage);
            self.requests
                .spawn(send(storage, Arc::clone(holder), batch));
        }
    }

    /// Queues the origins of a failed request again.
    fn finish_request(&mut self, result: RequestResult) {
        if !self.holders.contains(&result.holder) {
            self.queues.remove(&result.holder);
            return;
        }
        let queue = self.queues.entry(result.holder).or_default();
        queue.is_sending = false;
        for record in result.failed.into_iter().rev() {
            if queue.records.len() < MAX_QUEUED_RECORDS {
                queue.records.push_front(record);
            } else {
                self.metrics.count_origin("dropped");
            }
        }
    }

    /// Reports flushes once no origin is queued or being sent.
    fn report_flushes(&mut self) {
        let is_busy = |queue: &HolderQueue| queue.is_sending || !queue.records.is_empty();
        if !self.unplaced.is_empty() || self.queues.values().any(is_busy) {
            return;
        }
        for flushed in self.flushes.drain(..) {
            // Fails if the time limit of the flush has passed.
            let _ = flushed.send(());
        }
    }
}

/// Sends origins to a storage VM; after a failure, returns them with a delay.
async fn send(
    storage: Arc<StorageVms>,
    holder: Arc<str>,
    batch: Vec<OriginRecord>,
) -> RequestResult {
    let records = batch.clone();
    let stored = storage.request(PURPOSE, &holder, |client| async move {
        client.store_origins(records).await
    });
    let failed = match stored.await {
        Some(()) => Vec::new(),
        None => {
            sleep(RETRY_INTERVAL).await;
            batch
        }
    };
    RequestResult { holder, failed }
}

/// Queues an origin, dropping the oldest one if the queue is full.
fn push_bounded(queue: &mut VecDeque<OriginRecord>, record: OriginRecord, metrics: &Metrics) {
    if queue.len() >= MAX_QUEUED_RECORDS && queue.pop_front().is_some() {
        metrics.count_origin("dropped");
    }
    queue.push_back(record);
}
