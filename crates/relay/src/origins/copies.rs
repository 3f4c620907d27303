//! The entry VM's side of the copies of origins on storage VMs.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::StreamOrigin;
use knapweeddale_core::origins::{ASKED_VMS, choose_holders};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::OriginLookup;
use super::rpc::{OriginRecord, OriginRpcClient};
use super::writer::{OriginWriter, WriterMessage};
use crate::metrics::Metrics;
use crate::storage_vms::StorageVms;

/// Longest wait for an origin, which holds back a resumed stream.
const FIND_LIMIT: Duration = Duration::from_millis(250);

/// What requests are about, in log lines.
pub(super) const PURPOSE: &str = "origins";

/// Capacity of the queue of origins for the writer.
const WRITER_QUEUE_LEN: usize = 4_096;

/// Copies origins to storage VMs and finds them there.
#[derive(Debug)]
pub(super) struct OriginCopies {
    writer: mpsc::Sender<WriterMessage>,
    storage: Arc<StorageVms>,
    metrics: Arc<Metrics>,
}

impl OriginCopies {
    /// Creates the client of these storage VMs, and its writer.
    pub fn new(storage: Arc<StorageVms>, metrics: Arc<Metrics>) -> (Self, OriginWriter) {
        let (writer, messages) = mpsc::channel(WRITER_QUEUE_LEN);
        let origin_writer = OriginWriter::new(messages, Arc::clone(&storage), Arc::clone(&metrics));
        let copies = Self {
            writer,
            storage,
            metrics,
        };
        (copies, origin_writer)
    }

    /// Queues an origin to be copied; never blocks.
    pub fn store(&self, id: Arc<str>, origin: StreamOrigin) {
        let message = WriterMessage::Copy(OriginRecord { id, origin });
        if self.writer.try_send(message).is_err() {
            self.metrics.count_origin("dropped");
            tracing::warn!("origins: not copied, the queue is full");
        }
    }

    /// Waits until all queued origins are copied, within a time limit.
    pub async fn flush(&self, limit: Duration) {
        let (flushed, is_flushed) = oneshot::channel();
        let flush = async {
            // Both fail only if the writer has ended.
            let _ = self.writer.send(WriterMessage::Flush(flushed)).await;
            let _ = is_flushed.await;
        };
        if timeout(limit, flush).await.is_err() {
            tracing::warn!("origins: not all were copied within {limit:?}");
        }
    }

    /// Asks the storage VMs that may hold the origin of a stream.
    pub async fn find(&self, id: &str) -> OriginLookup {
        let mut answers = Answers::default();
        // What has arrived by then counts.
        let _ = timeout(FIND_LIMIT, self.collect_answers(id, &mut answers)).await;
        let (asked, answered) = (answers.asked, answers.answered);
        let lookup = answers.conclude();
        match &lookup {
            OriginLookup::Found(origin) => {
                self.metrics.count_origin("found");
                tracing::info!(stream = id, "origins: found {origin} on a storage VM");
            }
            OriginLookup::Unknown => {
                self.metrics.count_origin("unknown");
                tracing::info!(stream = id, "origins: not found on storage VMs");
            }
            OriginLookup::Unanswered => {
                self.metrics.count_origin("unanswered");
                tracing::warn!(
                    stream = id,
                    asked,
                    answered,
                    "origins: too few storage VMs answer"
                );
            }
        }
        lookup
    }

    /// Collects answers until one names the origin or all have arrived.
    async fn collect_answers(&self, id: &str, answers: &mut Answers) {
        let id: Arc<str> = Arc::from(id);
        self.storage.wait_for_list().await;
        let asked = choose_holders(&id, &self.storage.living(), ASKED_VMS);
        answers.asked = asked.len();
        let mut pending: FuturesUnordered<_> = asked
            .into_iter()
            .map(|address| self.find_at(address, Arc::clone(&id)))
            .collect();
        while let Some(answer) = pending.next().await {
            answers.answered += usize::from(answer.is_some());
            answers.found = answer.flatten();
            if answers.found.is_some() {
                return;
            }
        }
    }

    /// Asks one storage VM; `None` if it does not answer.
    async fn find_at(&self, address: Arc<str>, id: Arc<str>) -> Option<Option<StreamOrigin>> {
        let find = |client: Arc<HttpClient>| async move { client.find_origin(id).await };
        self.storage.request(PURPOSE, &address, find).await
    }
}

/// The answers of storage VMs about one stream.
#[derive(Debug, Default)]
struct Answers {
    asked: usize,
    answered: usize,
    found: Option<StreamOrigin>,
}

impl Answers {
    /// Concludes that the origin is unknown only if no storage VM that would know it was silent:
    /// each origin has two holders, and all but one of those that were asked have answered.
    fn conclude(self) -> OriginLookup {
        let needed = self.asked.saturating_sub(1).max(1);
        match self.found {
            Some(origin) => OriginLookup::Found(origin),
            None if self.answered >= needed => OriginLookup::Unknown,
            None => OriginLookup::Unanswered,
        }
    }
}
