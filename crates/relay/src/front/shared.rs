//! State shared by all requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use knapweeddale_runtime::{CallIds, MemoryLimiter};
use tokio::sync::watch;

use crate::control::{InputSender, Status};
use crate::memory::MemoryPlan;
use crate::metrics::Metrics;
use crate::origins::StreamOrigins;
use crate::turns::TurnClient;
use crate::upstream::Pool;

/// State shared by all requests of a process.
#[derive(Debug)]
pub(crate) struct SharedState<D, C> {
    pub dialect: D,
    pub clock: C,
    pub inputs: InputSender,
    pub call_ids: CallIds,
    pub pool: Arc<Pool>,
    pub turns: Arc<TurnClient>,
    pub origins: Arc<StreamOrigins>,
    pub metrics: Arc<Metrics>,
    pub status: watch::Receiver<Status>,
    /// Whether the process was asked to stop.
    pub is_draining: AtomicBool,
    /// Whether the process ends all calls.
    pub is_halted: watch::Receiver<bool>,
    /// Limit for request bodies until a configuration states one.
    pub max_body_bytes: usize,
    /// Limit for the memory of the bodies of requests.
    pub requests: MemoryLimiter,
    /// Limit for the memory of responses.
    pub responses: MemoryLimiter,
    /// How the memory of the process is divided.
    pub memory: MemoryPlan,
}

impl<D, C> SharedState<D, C> {
    /// Waits until the process ends all calls.
    pub async fn wait_for_halt(&self) {
        let mut is_halted = self.is_halted.clone();
        // Fails only if the daemon dropped the sender, which means the same as the signal.
        let _ = is_halted.wait_for(|is_halted| *is_halted).await;
    }

    /// Returns the limit for request bodies, in bytes.
    pub fn body_limit(&self) -> usize {
        match self.status.borrow().body_bytes {
            0 => self.max_body_bytes,
            bytes => bytes,
        }
    }
}
