//! Writes log lines on a dedicated thread.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue of lines.
const MAX_QUEUED_LINES: usize = 4_096;

/// Rate limit at level `info` and below, in lines per second.
const LINES_PER_S: f64 = 600.0;

/// Burst size of the rate limit, in lines.
const LINES_BURST: f64 = 1_200.0;

/// Delay before each write, so that several lines are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);

/// Time limit for writing the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Minimum interval between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of lines dropped by this process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that this process has dropped.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Queues lines for the log thread without blocking, and drops lines above the rate limit.
///
/// Warnings and errors are dropped only if the queue is full.
#[derive(Debug, Clone)]
pub struct LineWriter {
    lines: SyncSender<Entry>,
    rate_limit: Arc<Mutex<TokenBucket>>,
}

/// An entry in the queue of the log thread.
#[derive(Debug)]
enum Entry {
    /// A formatted line.
    Line(Vec<u8>),
    /// A request to signal that all lines before it have been written.
    Flush(SyncSender<()>),
}

/// A token bucket that limits the rate of lines.
#[derive(Debug)]
struct TokenBucket {
    lines: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Takes the token of one line; returns `false` if there is none.
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let elapsed_s = now.duration_since(self.updated).as_secs_f64();
        self.lines = (self.lines + elapsed_s * LINES_PER_S).min(LINES_BURST);
        self.updated = now;
        if self.lines < 1.0 {
            return false;
        }
        self.lines -= 1.0;
        true
    }
}

impl LineWriter {
    /// Starts the log thread, which writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, output))?;
        Ok(Self {
            lines,
            rate_limit: Arc::new(Mutex::new(TokenBucket {
                lines: LINES_BURST,
                updated: Instant::now(),
            })),
        })
    }
}

impl LineWriter {
    /// Waits until all queued lines have been written, within a short time limit.
    pub fn flush(&self) {
        let (done, is_done) = sync_channel(1);
        if self.lines.try_send(Entry::Flush(done)).is_ok() {
            // An output that blocks must not keep the process from ending.
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Runs the log thread: writes queued lines, several at a time.
fn write_lines<W: Write>(queue: &Receiver<Entry>, mut output: W) {
    let mut reported = (Instant::now(), 0);
    let mut text = Vec::new();
    let mut signals = Vec::new();
    while let Ok(entry) = queue.recv() {
        add_entry(entry, &mut text, &mut signals);
        std::thread::sleep(WRITE_INTERVAL);
        while let Ok(entry) = queue.try_recv() {
            add_entry(entry, &mut text, &mut signals);
        }
        let dropped = dropped_lines();
        if dropped > reported.1 && reported.0.elapsed() >= REPORT_INTERVAL {
            let report = format!(
                "{{\"level\":\"WARN\",\"message\":\"logs: lines left out\",\"lines\":{}}}\n",
                dropped - reported.1
            );
            text.extend_from_slice(report.as_bytes());
            reported = (Instant::now(), dropped);
        }
        // A failure to write the log cannot be reported anywhere.
        let _ = output.write_all(&text).and_then(|()| output.flush());
        text.clear();
        for signal in signals.drain(..) {
            let _ = signal.try_send(());
        }
    }
}

/// Adds an entry to the next write.
fn add_entry(entry: Entry, text: &mut Vec<u8>, signals: &mut Vec<SyncSender<()>>) {
    match entry {
        Entry::Line(line) => text.extend_from_slice(&line),
        Entry::Flush(signal) => signals.push(signal),
    }
}

/// A line that is being formatted; dropping it queues it.
#[derive(Debug)]
pub struct Line<'a> {
    writer: &'a LineWriter,
    text: Vec<u8>,
    is_allowed: bool,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        if self.text.is_empty() {
            return;
        }
        let line = std::mem::take(&mut self.text);
        if !self.is_allowed || self.writer.lines.try_send(Entry::Line(line)).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            writer: self,
            text: Vec::new(),
            is_allowed: true,
        }
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Line<'a> {
        let mut line = self.make_writer();
        if *meta.level() >= Level::INFO {
            let mut bucket = self
                .rate_limit
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            line.is_allowed = bucket.try_take();
        }
        line
    }
}
