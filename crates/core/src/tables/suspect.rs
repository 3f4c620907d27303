//! Request contents that were running when an upstream crashed.

/// A request content that was running when an upstream crashed, and may be the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspect {
    /// Crashes during which the content ran.
    pub crashes: u32,
    /// Lost connections of calls with this content whose cause is still being examined.
    pub pending_examinations: u32,
    /// Attempts with this content that run in the pools of this VM.
    pub running: u32,
    /// Time at which the content was last seen.
    pub last_seen_us: u64,
}

impl Suspect {
    /// Crashes after which a content runs only as the single call of an upstream.
    pub const EXCLUSIVE_RUN_CRASHES: u32 = 2;

    /// Returns whether the content may run only as the single call of an upstream.
    pub fn must_run_exclusively(&self) -> bool {
        self.crashes >= Self::EXCLUSIVE_RUN_CRASHES
    }
}

/// A request content that no VM runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// End of the quarantine.
    pub until_us: u64,
}
