//! Processes of the real programs, observed from outside.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Longest time from a signal to the exit of a process.
pub const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a process is looked at while a test waits for it.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalNumber {
    /// Requests a reload of the settings.
    Hup = 1,
    /// Requests a stop, from a terminal.
    Int = 2,
    /// Sent on a write to a closed connection.
    Pipe = 13,
    /// Requests a stop.
    Term = 15,
}

impl SignalNumber {
    /// Returns the bit of the signal in the masks of the kernel.
    fn bit(self) -> u64 {
        1 << (self as u32 - 1)
    }
}

/// Returns whether a process has a handler for a signal or ignores it; false if it has ended.
pub fn survives_signal(id: u32, signal: SignalNumber) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let mask = |field: &str| {
        let line = status.lines().find(|line| line.starts_with(field));
        let text = line.and_then(|line| line.split_whitespace().nth(1));
        text.map_or(0, |text| {
            u64::from_str_radix(text, 16).expect("a hexadecimal mask")
        })
    };
    (mask("SigCgt:") | mask("SigIgn:")) & signal.bit() != 0
}

/// Returns the memory of a process that is its own, without that of files; 0 if it has ended.
///
/// # Panics
///
/// Panics if the kernel reports the memory in an unknown form.
pub fn anonymous_memory_bytes(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.map_or(0, |kilobytes| {
        1_024 * kilobytes.parse::<u64>().expect("a number of kilobytes")
    })
}

/// Sends a signal to a process.
///
/// # Panics
///
/// Panics if the process does not exist.
pub fn send_signal(id: u32, signal: SignalNumber) {
    let status = Command::new("kill")
        .arg(format!("-{}", signal as u32))
        .arg(id.to_string())
        .status();
    assert!(status.expect("the command kill").success());
}

/// A process that waits for its settings, which it reads from a named pipe.
///
/// A process that has opened the pipe has reached its own code. Before that, while its image is
/// being loaded, the kernel's default action applies to signals, which no program can change from
/// within.
#[derive(Debug)]
pub struct StartingProcess {
    child: Child,
    pipe: Option<File>,
    settings: PathBuf,
    text: String,
    log: PathBuf,
    _folder: TempDir,
}

impl StartingProcess {
    /// Starts a process and waits until it opens its settings file.
    ///
    /// `command` builds the command from the path of the settings file, which will contain `text`.
    ///
    /// # Panics
    ///
    /// Panics if the process or its files cannot be created.
    pub async fn start(text: String, command: impl FnOnce(&Path) -> Command) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = folder.path().join("settings.yaml");
        let log = folder.path().join("log");
        let status = Command::new("mkfifo").arg(&settings).status();
        assert!(status.expect("the command mkfifo").success());
        let output = File::create(&log).expect("a log file");
        let child = command(&settings)
            .stdout(Stdio::from(output.try_clone().expect("a second handle")))
            .stderr(Stdio::from(output))
            .spawn()
            .expect("a started process");
        let path = settings.clone();
        let pipe = spawn_blocking(move || File::options().write(true).open(path)).await;
        Self {
            child,
            pipe: Some(pipe.expect("a finished task").expect("a named pipe")),
            settings,
            text,
            log,
            _folder: folder,
        }
    }

    /// Returns the ID of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lets the process read its settings; a later reload reads a regular file.
    ///
    /// # Panics
    ///
    /// Panics if the settings were written before, or if the process has ended.
    pub fn write_settings(&mut self) {
        let file = self.settings.with_extension("new");
        std::fs::write(&file, &self.text).expect("a settings file");
        std::fs::rename(&file, &self.settings).expect("a replaced settings file");
        // The reader sees the end of the file once the pipe is dropped.
        let mut pipe = self.pipe.take().expect("settings that are not written yet");
        pipe.write_all(self.text.as_bytes())
            .expect("a process that reads its settings");
    }

    /// Waits until the process has logged `text`.
    ///
    /// # Panics
    ///
    /// Panics if the text does not appear within [`EXIT_TIMEOUT`].
    pub async fn wait_for_log(&self, text: &str) {
        let started = Instant::now();
        loop {
            let logged = std::fs::read_to_string(&self.log).expect("a log file");
            if logged.contains(text) {
                return;
            }
            assert!(started.elapsed() < EXIT_TIMEOUT, "no {text:?} in {logged}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the process has exited and returns its status.
    ///
    /// # Panics
    ///
    /// Panics if the process still runs after [`EXIT_TIMEOUT`].
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("an exit status") {
                return status;
            }
            assert!(
                started.elapsed() < EXIT_TIMEOUT,
                "the process does not exit within {EXIT_TIMEOUT:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        // Fails only if the process has exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
