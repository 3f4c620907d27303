//! Contents that were running when an upstream crashed.

/// A content that was running when an upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspect {
    /// Crashes during which the content ran.
    pub crashes: u32,
    /// Lost connections with this content whose cause is still examined.
    pub pending_examinations: u32,
    /// Copies that run at present in the pools of this VM.
    pub running: u32,
    /// When the content was last seen.
    pub last_seen_us: u64,
}

impl Suspect {
    /// Crashes after which a content runs alone on an upstream.
    pub const EXCLUSIVE_RUN_CRASHES: u32 = 2;

    /// Returns whether the content has to run alone on an upstream.
    pub fn must_run_exclusively(&self) -> bool {
        self.crashes >= Self::EXCLUSIVE_RUN_CRASHES
    }
}

/// A content that no VM runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// When the quarantine ends.
    pub until_us: u64,
}
