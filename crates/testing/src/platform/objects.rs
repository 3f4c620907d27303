//! Versioned object store and fault injection of the platform fake.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Fault injected into the platform fake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses every request with 503.
    Down,
    /// Performs writes but responds with 504, as if the response was lost.
    DropResponses,
    /// Never responds to watches; other requests succeed.
    UnansweredWatch,
    /// Serves reads from a snapshot taken when the fault was set.
    LaggingReads,
    /// Delays every request.
    Slow {
        /// Delay before the request is handled, in milliseconds.
        wait_ms: u64,
    },
}

/// One entry of the platform's VM list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmRow {
    /// Name of the VM.
    pub vm: String,
    /// Address of its process as `ip:port`.
    pub address: String,
    /// Whether the VM is being removed.
    pub leaving: bool,
}

/// Version and value of an object.
pub(super) type Versioned = (u64, Vec<u8>);

/// State of the platform fake, shared by its routes and the test.
#[derive(Debug)]
pub struct Objects {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    request_count: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Versioned>,
    snapshot: BTreeMap<String, Versioned>,
    vms: Vec<VmRow>,
    fault: Fault,
}

impl Default for Objects {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::channel(0).0,
            request_count: AtomicU64::new(0),
        }
    }
}

/// # Control by tests
impl Objects {
    /// Sets the current fault and takes the snapshot for [`Fault::LaggingReads`].
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        state.snapshot = state.objects.clone();
        drop(state);
        self.notify();
    }

    /// Returns the current fault.
    pub fn fault(&self) -> Fault {
        self.lock().fault
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmRow>) {
        self.lock().vms = vms;
    }

    /// Returns key, version and value of each object whose key starts with a prefix.
    pub fn with_prefix(&self, prefix: &str) -> Vec<(String, u64, Vec<u8>)> {
        self.lock()
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| (key.clone(), *version, value.clone()))
            .collect()
    }

    /// Overwrites an object and its version unconditionally, as restoring a backup does.
    pub fn restore(&self, key: &str, version: u64, value: Vec<u8>) {
        self.lock().objects.insert(key.to_owned(), (version, value));
        self.notify();
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }
}

/// # Requests
impl Objects {
    /// Adds one to the number of requests received.
    pub(super) fn record_request(&self) {
        self.request_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads an object, from the snapshot under [`Fault::LaggingReads`].
    pub(super) fn get(&self, key: &str) -> Option<Versioned> {
        let state = self.lock();
        let objects = match state.fault {
            Fault::LaggingReads => &state.snapshot,
            _ => &state.objects,
        };
        objects.get(key).cloned()
    }

    /// Writes an object if its version is `expected` (0 for a new one); returns the new version.
    ///
    /// Fails with the current version if that differs.
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

    /// Returns a receiver that is notified of each write and change of fault.
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
