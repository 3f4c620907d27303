//! Writes lines in a thread of its own.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait to be written.
const WAITING_LINES: usize = 4_096;

/// Lines a second at level `info` and below.
const LINES_PER_S: f64 = 600.0;

/// Lines at once at level `info` and below.
const LINES_BURST: f64 = 1_200.0;

/// Pause between two writes, so that lines are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);

/// Longest wait for the last lines at the end of the process.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// Interval between two lines that state how many were left out.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Lines left out by this process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines this process has left out.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes lines without waiting, and leaves some out when there are too many.
///
/// Warnings and errors are only left out when the writing thread itself is behind.
#[derive(Debug, Clone)]
pub struct LineWriter {
    lines: SyncSender<Entry>,
    allowance: Arc<Mutex<Allowance>>,
}

/// What the writing thread is given.
#[derive(Debug)]
enum Entry {
    /// A line.
    Line(Vec<u8>),
    /// A request to say when all lines before it are written.
    Mark(SyncSender<()>),
}

/// How many lines may be written now.
#[derive(Debug)]
struct Allowance {
    lines: f64,
    updated: Instant,
}

impl Allowance {
    /// Takes one line; returns whether there was one.
    fn take(&mut self) -> bool {
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
    /// Starts the writing thread.
    ///
    /// # Errors
    ///
    /// Fails if the system has no room for another thread.
    pub fn start<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (lines, queue) = sync_channel(WAITING_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, output))?;
        Ok(Self {
            lines,
            allowance: Arc::new(Mutex::new(Allowance {
                lines: LINES_BURST,
                updated: Instant::now(),
            })),
        })
    }
}

impl LineWriter {
    /// Waits until the lines so far are written, for a short time at most.
    pub fn finish(&self) {
        let (done, is_done) = sync_channel(1);
        if self.lines.try_send(Entry::Mark(done)).is_ok() {
            // A reader that does not take the lines must not keep the process from ending.
            let _ = is_done.recv_timeout(FINISH_LIMIT);
        }
    }
}

/// Writes lines as they come, several at a time.
fn write_lines<W: Write>(queue: &Receiver<Entry>, mut output: W) {
    let mut reported = (Instant::now(), 0);
    let mut text = Vec::new();
    let mut marks = Vec::new();
    while let Ok(entry) = queue.recv() {
        take(entry, &mut text, &mut marks);
        std::thread::sleep(WRITE_INTERVAL);
        while let Ok(entry) = queue.try_recv() {
            take(entry, &mut text, &mut marks);
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
        // There is nowhere to report that the log cannot be written.
        let _ = output.write_all(&text).and_then(|()| output.flush());
        text.clear();
        for mark in marks.drain(..) {
            let _ = mark.try_send(());
        }
    }
}

/// Adds an entry to what is written next.
fn take(entry: Entry, text: &mut Vec<u8>, marks: &mut Vec<SyncSender<()>>) {
    match entry {
        Entry::Line(line) => text.extend_from_slice(&line),
        Entry::Mark(mark) => marks.push(mark),
    }
}

/// One line.
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
            let mut allowance = self
                .allowance
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            line.is_allowed = allowance.take();
        }
        line
    }
}
