//! Sends charge records to VMs with a disk.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::{ChargeBatch, ChargeRecord, send_batch};
use crate::metrics::Metrics;
use crate::storage_vms::StorageList;

/// Interval between two batches while records are queued.
const BATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay before a batch that was not stored is sent to the next VM.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for sending the remaining records when the process ends.
///
/// Less than the part of the grace period that the daemon reserves for shutdown.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(600);

/// Time limit for a batch to be stored.
const BATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for a batch to be stored while the process ends.
const SHUTDOWN_BATCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay after a failure while the process ends.
const SHUTDOWN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of records in a batch.
const MAX_BATCH_RECORDS: usize = 2_000;

/// Maximum number of records queued in memory while no VM with a disk answers.
const MAX_QUEUED_RECORDS: usize = 50_000;

/// Queues charge records and sends them in batches to one VM with a disk at a time.
#[derive(Debug)]
pub(crate) struct ChargeWriter {
    sender: String,
    records: mpsc::Receiver<ChargeRecord>,
    keepers: watch::Receiver<StorageList>,
    metrics: Arc<Metrics>,
    queue: VecDeque<ChargeRecord>,
    /// The batch that has been sent but not confirmed.
    unconfirmed: Option<ChargeBatch>,
    /// Sequence number of the last batch.
    last_number: u64,
    /// Index of the keeper in use, modulo the number of keepers.
    keeper_index: usize,
    /// Whether the last batch failed, so that only changes are logged.
    has_failed: bool,
}

impl ChargeWriter {
    /// Creates a writer; `sender` names this VM and its incarnation.
    pub fn new(
        sender: String,
        records: mpsc::Receiver<ChargeRecord>,
        keepers: watch::Receiver<StorageList>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            sender,
            records,
            keepers,
            metrics,
            queue: VecDeque::new(),
            unconfirmed: None,
            last_number: 0,
            keeper_index: 0,
            has_failed: false,
        }
    }

    /// Sends records until the control thread ends, then the remaining ones within a time limit.
    pub async fn run(mut self) {
        let mut due = Instant::now() + BATCH_INTERVAL;
        loop {
            let has_work = self.unconfirmed.is_some() || !self.queue.is_empty();
            tokio::select! {
                record = self.records.recv() => match record {
                    Some(record) => {
                        if !has_work {
                            due = Instant::now() + BATCH_INTERVAL;
                        }
                        self.enqueue(record);
                    }
                    None => break,
                },
                () = sleep_until(due), if has_work => {
                    let is_stored = self.send_next(BATCH_TIMEOUT).await;
                    due = Instant::now() + if is_stored { BATCH_INTERVAL } else { RETRY_INTERVAL };
                }
            }
        }
        let end = Instant::now() + SHUTDOWN_LIMIT;
        while (self.unconfirmed.is_some() || !self.queue.is_empty()) && Instant::now() < end {
            if !self.send_next(SHUTDOWN_BATCH_TIMEOUT).await {
                sleep(SHUTDOWN_RETRY_INTERVAL).await;
            }
        }
        let remaining = self.queue.len() + self.unconfirmed.map_or(0, |batch| batch.records.len());
        if remaining > 0 {
            tracing::error!("charges: {remaining} records lost at the end of the process");
        }
    }

    /// Queues a record, dropping the oldest one if the queue is full.
    fn enqueue(&mut self, record: ChargeRecord) {
        if self.queue.len() >= MAX_QUEUED_RECORDS && self.queue.pop_front().is_some() {
            self.metrics.count_lost_charge();
            tracing::error!("charges: record lost, no VM with a disk answers");
        }
        self.queue.push_back(record);
    }

    /// Sends one batch and returns whether it was stored; after a failure the next keeper is used.
    async fn send_next(&mut self, limit: Duration) -> bool {
        let keepers = self.keepers.borrow().addresses.clone();
        let Some(batch) = self.next_batch().filter(|_| !keepers.is_empty()) else {
            return false;
        };
        let keeper = &*keepers[self.keeper_index % keepers.len()];
        let records = batch.records.len();
        let result = send_batch(keeper, batch, limit).await;
        let is_stored = result.is_ok();
        match result {
            Ok(()) => {
                self.unconfirmed = None;
                if std::mem::take(&mut self.has_failed) {
                    tracing::info!(keeper, "charges: a VM with a disk answers again");
                }
                tracing::debug!(keeper, records, "charges: batch kept");
            }
            Err(error) => {
                self.keeper_index += 1;
                if !std::mem::replace(&mut self.has_failed, true) {
                    tracing::warn!(keeper, records, "charges: batch not kept ({error})");
                }
            }
        }
        is_stored
    }

    /// Returns the unconfirmed batch, or a new one if records are queued.
    fn next_batch(&mut self) -> Option<ChargeBatch> {
        if self.unconfirmed.is_none() && !self.queue.is_empty() {
            let count = self.queue.len().min(MAX_BATCH_RECORDS);
            self.last_number += 1;
            self.unconfirmed = Some(ChargeBatch {
                sender: self.sender.clone(),
                number: self.last_number,
                records: self.queue.drain(..count).collect(),
            });
        }
        self.unconfirmed.clone()
    }
}
