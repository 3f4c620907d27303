//! The objects of the platform fake.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// A fault of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Works.
    #[default]
    None,
    /// Refuses every request.
    Down,
    /// Performs writes but answers with an error.
    LoseAnswers,
    /// Never answers watches, and performs everything else.
    SilentWatch,
    /// Answers reads from the state at the time the fault was set.
    LaggingReads,
    /// Waits before each answer.
    Slow {
        /// The wait.
        wait_ms: u64,
    },
}

/// One VM in the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmRow {
    /// The name.
    pub vm: String,
    /// The address as `ip:port`.
    pub address: String,
    /// Whether the VM is being removed.
    pub leaving: bool,
}

/// An object with its version.
pub(super) type Versioned = (u64, Vec<u8>);

/// The objects of the platform fake.
#[derive(Debug)]
pub struct Objects {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    calls: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Versioned>,
    lagging: BTreeMap<String, Versioned>,
    vms: Vec<VmRow>,
    fault: Fault,
}

impl Default for Objects {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::channel(0).0,
            calls: AtomicU64::new(0),
        }
    }
}

/// # Control by tests
impl Objects {
    /// Sets the present fault.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        state.lagging = state.objects.clone();
        drop(state);
        self.notify();
    }

    /// Returns the present fault.
    pub fn fault(&self) -> Fault {
        self.lock().fault
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmRow>) {
        self.lock().vms = vms;
    }

    /// Returns the objects whose key starts with a prefix.
    pub fn with_prefix(&self, prefix: &str) -> Vec<(String, u64, Vec<u8>)> {
        self.lock()
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| (key.clone(), *version, value.clone()))
            .collect()
    }

    /// Puts an object back to an older state, as a restored backup would.
    pub fn restore(&self, key: &str, version: u64, value: Vec<u8>) {
        self.lock().objects.insert(key.to_owned(), (version, value));
        self.notify();
    }

    /// Returns the number of requests so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

/// # Requests
impl Objects {
    /// Counts a request.
    pub(super) fn count(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads an object.
    pub(super) fn get(&self, key: &str) -> Option<Versioned> {
        let state = self.lock();
        let objects = match state.fault {
            Fault::LaggingReads => &state.lagging,
            _ => &state.objects,
        };
        objects.get(key).cloned()
    }

    /// Writes an object; returns its present version if that is not the expected one.
    pub(super) fn put(&self, key: &str, value: Vec<u8>, expected: u64) -> Result<u64, u64> {
        let mut state = self.lock();
        let current = state.objects.get(key).map_or(0, |(version, _)| *version);
        if current != expected {
            return Err(current);
        }
        state.objects.insert(key.to_owned(), (current + 1, value));
        drop(state);
        self.notify();
        Ok(current + 1)
    }

    /// Returns the list of VMs.
    pub(super) fn vms(&self) -> Vec<VmRow> {
        self.lock().vms.clone()
    }

    /// Returns a receiver that changes with each write.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test panics while it holds the lock")
    }
}
