//! A log on disk whose writers share syncs.

use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use knapweeddale_log::{Log, LogError, SegmentId, TornSegment};
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;

/// Records that wait to be written, and whom to tell.
#[derive(Debug)]
struct QueuedWrite {
    payloads: Vec<Vec<u8>>,
    written: oneshot::Sender<Result<SegmentId, String>>,
}

/// A log of which records that arrive while the disk is being synced are written with one sync.
#[derive(Debug)]
pub(crate) struct SyncedLog {
    log: Mutex<Log>,
    queued: Mutex<Vec<QueuedWrite>>,
    /// Held while the log is written.
    writing: tokio::sync::Mutex<()>,
}

impl SyncedLog {
    /// Opens the log in a folder, creating it if needed, and passes its records to `visit`; returns
    /// the segments whose end is torn.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub fn open(
        folder: &Path,
        visit: impl FnMut(SegmentId, &[u8]),
    ) -> Result<(Self, Vec<TornSegment>), LogError> {
        let (log, torn) = Log::open(folder, visit)?;
        let log = Self {
            log: Mutex::new(log),
            queued: Mutex::default(),
            writing: tokio::sync::Mutex::default(),
        };
        Ok((log, torn))
    }

    /// Queues records at once; the result waits until they are on the disk.
    ///
    /// Records are written in the order of the calls.
    ///
    /// # Errors
    ///
    /// Fails if the disk cannot be written.
    pub fn write(
        self: &Arc<Self>,
        payloads: Vec<Vec<u8>>,
    ) -> impl Future<Output = Result<SegmentId, String>> + use<> {
        let (written, is_written) = oneshot::channel();
        lock(&self.queued).push(QueuedWrite { payloads, written });
        // A task of its own, since the writes of others must not end with this request.
        tokio::spawn(Arc::clone(self).write_queued());
        async move {
            let written = is_written.await;
            written.unwrap_or_else(|_| Err("the write was cancelled".to_owned()))
        }
    }

    /// Writes all queued records with one sync.
    async fn write_queued(self: Arc<Self>) {
        let _writing = self.writing.lock().await;
        let batch = std::mem::take(&mut *lock(&self.queued));
        if batch.is_empty() {
            return;
        }
        let (payloads, waiting): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|write| (write.payloads, write.written))
            .unzip();
        let payloads: Vec<Vec<u8>> = payloads.into_iter().flatten().collect();
        let log = Arc::clone(&self);
        let task = spawn_blocking(move || lock(&log.log).append(&payloads));
        let result = match task.await {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(error) = &result {
            tracing::error!("log: not written ({error})");
        }
        for written in waiting {
            // Fails if the request was cancelled; the records are stored nevertheless.
            let _ = written.send(result.clone());
        }
    }

    /// Replaces the records of a segment, unless it is being written to; returns whether they were
    /// replaced.
    ///
    /// # Errors
    ///
    /// Fails if the disk cannot be written.
    pub async fn replace(
        self: &Arc<Self>,
        segment: u64,
        payloads: Vec<Vec<u8>>,
    ) -> Result<bool, String> {
        let log = Arc::clone(self);
        let segment = SegmentId(segment);
        let task = spawn_blocking(move || lock(&log.log).replace(segment, &payloads));
        match task.await {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Removes segments unless they are written to or `is_used` says that they are in use; returns
    /// those that were not removed though unused. Blocks on the disk.
    pub fn remove(&self, segments: Vec<u64>, is_used: impl Fn(u64) -> bool) -> Vec<u64> {
        let mut log = lock(&self.log);
        let mut left = Vec::new();
        for segment in segments {
            let id = SegmentId(segment);
            if is_used(segment) {
                continue;
            }
            if log.active_segment() == Some(id) {
                left.push(segment);
            } else if let Err(error) = log.remove(id) {
                tracing::warn!(segment, "log: segment not removed ({error})");
                left.push(segment);
            }
        }
        left
    }
}

/// Locks a mutex; a panic while it was held leaves its content usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
