//! Writer of charge records to the store.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::{Charge, Incarnation};
use knapweeddale_store::{Backoff, CHARGES_PREFIX, ObjectApi, StoreError};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Maximum time that a record waits until its batch is written.
const BATCH_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum size of a batch; the store accepts values of up to one megabyte.
const MAX_BATCH_BYTES: usize = 900_000;

/// Maximum size of the batches queued in memory while the store is unavailable: at 300 bytes per
/// record, six minutes of 300 calls per second.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// A charge record as it is stored, one JSON object per line.
#[derive(Debug, Serialize)]
struct Record<'a> {
    call: String,
    attempt: u32,
    account: Option<&'a str>,
    program: Option<&'a str>,
    turn: Option<u32>,
    upstream: &'a str,
    prompt_tokens: u64,
    answer_tokens: u64,
    outcome: &'static str,
}

impl<'a> From<&'a Charge> for Record<'a> {
    fn from(charge: &'a Charge) -> Self {
        let program = charge.program.as_ref();
        Self {
            call: charge.attempt.call.to_string(),
            attempt: charge.attempt.number,
            account: charge.account.as_ref().map(|name| name.as_str()),
            program: program.map(|(key, _)| key.name.as_str()),
            turn: program.map(|(_, turn)| *turn),
            upstream: charge.upstream.as_str(),
            prompt_tokens: charge.prompt_tokens,
            answer_tokens: charge.answer_tokens,
            outcome: charge.outcome.label(),
        }
    }
}

/// Writes charge records to the store in batches.
#[derive(Debug)]
pub(crate) struct ChargeWriter<A> {
    api: Arc<A>,
    prefix: String,
    next_batch: u64,
    open_batch: Vec<u8>,
    /// Batches that are not stored yet, with their keys; oldest first.
    queued: VecDeque<(String, Vec<u8>)>,
    queued_bytes: usize,
    data_folder: Option<PathBuf>,
    backoff: Backoff,
    metrics: Arc<Metrics>,
}

impl<A: ObjectApi> ChargeWriter<A> {
    /// Creates the writer for one incarnation of a VM.
    pub fn new(
        api: Arc<A>,
        vm: &str,
        incarnation: Incarnation,
        data_folder: Option<PathBuf>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            api,
            prefix: format!("{CHARGES_PREFIX}{vm}/{incarnation}"),
            next_batch: 0,
            open_batch: Vec::new(),
            queued: VecDeque::new(),
            queued_bytes: 0,
            data_folder,
            backoff: Backoff::new(vm),
            metrics,
        }
    }

    /// Writes records until the control thread ends, then flushes the rest.
    pub async fn run(mut self, mut charges: mpsc::Receiver<Charge>) {
        self.load_saved();
        let mut flush_at = Instant::now() + BATCH_INTERVAL;
        loop {
            tokio::select! {
                charge = charges.recv() => {
                    let Some(charge) = charge else {
                        break;
                    };
                    self.append(&charge);
                    if self.open_batch.len() < MAX_BATCH_BYTES {
                        continue;
                    }
                }
                () = tokio::time::sleep_until(flush_at) => {}
            }
            let is_stored = self.flush().await;
            let wait = if is_stored {
                self.backoff.reset();
                BATCH_INTERVAL
            } else {
                self.backoff.next_delay()
            };
            flush_at = Instant::now() + wait;
        }
        if !self.flush().await {
            let left = self.queued.len();
            tracing::error!("charges: {left} batches are not stored; the store is unavailable");
        }
    }

    /// Adds a record to the open batch.
    fn append(&mut self, charge: &Charge) {
        if serde_json::to_writer(&mut self.open_batch, &Record::from(charge)).is_ok() {
            self.open_batch.push(b'\n');
        }
    }

    /// Closes the open batch and writes all batches; returns whether all were stored.
    async fn flush(&mut self) -> bool {
        if !self.open_batch.is_empty() {
            let key = format!("{}/{}", self.prefix, self.next_batch);
            self.next_batch += 1;
            let batch = std::mem::take(&mut self.open_batch);
            self.enqueue(key, batch);
        }
        while let Some((key, batch)) = self.queued.front() {
            match self.api.put(key, batch.clone(), 0).await {
                Ok(_) => {}
                // Only this process writes the key, so an earlier write has succeeded.
                Err(StoreError::Conflict { .. }) => {}
                Err(error) => {
                    tracing::warn!("charges: {error}");
                    self.save_queued();
                    return false;
                }
            }
            if let Some((key, batch)) = self.queued.pop_front() {
                self.queued_bytes -= batch.len();
                self.remove_saved(&key);
            }
        }
        true
    }

    /// Queues a batch; drops the oldest ones if the queue exceeds its size limit.
    fn enqueue(&mut self, key: String, batch: Vec<u8>) {
        self.queued_bytes += batch.len();
        self.queued.push_back((key, batch));
        while self.queued_bytes > MAX_QUEUED_BYTES {
            let Some((key, batch)) = self.queued.pop_front() else {
                return;
            };
            self.queued_bytes -= batch.len();
            self.metrics.count_lost_charge();
            tracing::error!(
                "charges: dropped batch {key} from memory; more than {MAX_QUEUED_BYTES} bytes wait for the store"
            );
        }
    }
}

/// # Data folder
impl<A> ChargeWriter<A> {
    /// Returns the path of a batch's file; `None` without a data folder.
    fn batch_file(&self, key: &str) -> Option<PathBuf> {
        let name = format!("{}.jsonl", key.replace('/', "+"));
        Some(self.data_folder.as_ref()?.join(name))
    }

    /// Writes the queued batches to the data folder, except those that are there already.
    fn save_queued(&self) {
        for (key, batch) in &self.queued {
            let Some(file) = self.batch_file(key).filter(|file| !file.exists()) else {
                continue;
            };
            if let Err(error) = std::fs::write(&file, batch) {
                tracing::error!("charges: cannot write {}, {error}", file.display());
            }
        }
    }

    /// Queues the batches that an earlier process left in the data folder.
    fn load_saved(&mut self) {
        let Some(folder) = &self.data_folder else {
            return;
        };
        let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
        for entry in entries {
            let name = entry.file_name().to_string_lossy().into_owned();
            let Some(key) = name.strip_suffix(".jsonl") else {
                continue;
            };
            if let Ok(batch) = std::fs::read(entry.path()) {
                self.queued_bytes += batch.len();
                self.queued.push_back((key.replace('+', "/"), batch));
            }
        }
    }

    /// Removes the file of a batch after it was stored.
    fn remove_saved(&self, key: &str) {
        if let Some(file) = self.batch_file(key) {
            // Fails for most batches, which were never saved to a file.
            let _ = std::fs::remove_file(file);
        }
    }
}
