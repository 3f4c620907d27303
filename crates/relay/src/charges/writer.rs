//! Sends charge records to VMs with a disk.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::{ChargeBatch, ChargeRecord, keep};
use crate::metrics::Metrics;

/// Interval between two batches while records are queued.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay before a batch that was not stored is sent to the next VM.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for sending the remaining records when the process ends.
///
/// Less than the part of the grace period that the daemon reserves for shutdown.
const END_LIMIT: Duration = Duration::from_millis(600);

/// Time limit for a batch to be stored.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for a batch to be stored while the process ends.
const END_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay after a failure while the process ends.
const END_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of records in a batch.
const BATCH_RECORDS: usize = 2_000;

/// Maximum number of records queued in memory while no VM with a disk answers.
const KEPT_RECORDS: usize = 50_000;

/// Queues charge records and sends them in batches to one VM with a disk at a time.
#[derive(Debug)]
pub(crate) struct ChargeWriter {
    sender: String,
    records: mpsc::Receiver<ChargeRecord>,
    /// Addresses of VMs with a disk, those in this VM's failure domain first.
    keepers: watch::Receiver<Vec<String>>,
    metrics: Arc<Metrics>,
    waiting: VecDeque<ChargeRecord>,
    /// The batch that has been sent but not confirmed.
    open: Option<ChargeBatch>,
    /// Sequence number of the last batch.
    number: u64,
    /// Index of the keeper in use, modulo the number of keepers.
    at: usize,
    /// Whether the last batch failed, so that only changes are logged.
    is_lost: bool,
}

impl ChargeWriter {
    /// Creates a writer; `sender` names this VM and its incarnation.
    pub fn new(
        sender: String,
        records: mpsc::Receiver<ChargeRecord>,
        keepers: watch::Receiver<Vec<String>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            sender,
            records,
            keepers,
            metrics,
            waiting: VecDeque::new(),
            open: None,
            number: 0,
            at: 0,
            is_lost: false,
        }
    }

    /// Sends records until the control thread ends, then the remaining ones within a time limit.
    pub async fn run(mut self) {
        let mut due = Instant::now() + INTERVAL;
        loop {
            let has_work = self.open.is_some() || !self.waiting.is_empty();
            tokio::select! {
                record = self.records.recv() => match record {
                    Some(record) => {
                        if !has_work {
                            due = Instant::now() + INTERVAL;
                        }
                        self.add(record);
                    }
                    None => break,
                },
                () = sleep_until(due), if has_work => {
                    let is_kept = self.send(TIMEOUT).await;
                    due = Instant::now() + if is_kept { INTERVAL } else { RETRY_INTERVAL };
                }
            }
        }
        let end = Instant::now() + END_LIMIT;
        while (self.open.is_some() || !self.waiting.is_empty()) && Instant::now() < end {
            if !self.send(END_TIMEOUT).await {
                sleep(END_PAUSE).await;
            }
        }
        let left = self.waiting.len() + self.open.map_or(0, |open| open.records.len());
        if left > 0 {
            tracing::error!("charges: {left} records lost at the end of the process");
        }
    }

    /// Queues a record, dropping the oldest one if the queue is full.
    fn add(&mut self, record: ChargeRecord) {
        if self.waiting.len() >= KEPT_RECORDS && self.waiting.pop_front().is_some() {
            self.metrics.count_lost_charge();
            tracing::error!("charges: record lost, no VM with a disk answers");
        }
        self.waiting.push_back(record);
    }

    /// Sends one batch and returns whether it was stored; after a failure the next keeper is used.
    async fn send(&mut self, limit: Duration) -> bool {
        let keepers = self.keepers.borrow().clone();
        let Some(batch) = self.next_batch().filter(|_| !keepers.is_empty()) else {
            return false;
        };
        let keeper = &keepers[self.at % keepers.len()];
        let records = batch.records.len();
        let kept = keep(keeper, batch, limit).await;
        let is_kept = kept.is_ok();
        match kept {
            Ok(()) => {
                self.open = None;
                if std::mem::take(&mut self.is_lost) {
                    tracing::info!(keeper, "charges: a VM with a disk answers again");
                }
                tracing::debug!(keeper, records, "charges: batch kept");
            }
            Err(error) => {
                self.at += 1;
                if !std::mem::replace(&mut self.is_lost, true) {
                    tracing::warn!(keeper, records, "charges: batch not kept ({error})");
                }
            }
        }
        is_kept
    }

    /// Returns the unconfirmed batch, or a new one if records are queued.
    fn next_batch(&mut self) -> Option<ChargeBatch> {
        if self.open.is_none() && !self.waiting.is_empty() {
            let count = self.waiting.len().min(BATCH_RECORDS);
            self.number += 1;
            self.open = Some(ChargeBatch {
                sender: self.sender.clone(),
                number: self.number,
                records: self.waiting.drain(..count).collect(),
            });
        }
        self.open.clone()
    }
}
