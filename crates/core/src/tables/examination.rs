//! Examinations of upstreams whose connections broke.

use smallvec::SmallVec;

use crate::ids::{CallId, ContentDigest, VmName};
use crate::output::CrashEvidence;

/// The examination of an upstream: whether it crashed or only its connections broke.
///
/// It is kept apart from the row of the upstream, so that it ends also if the upstream leaves the
/// list meanwhile.
#[derive(Debug, Clone, Default)]
pub struct Examination {
    /// Time at which it ends without an answer.
    pub until_us: u64,
    /// Probes that were sent.
    pub probes: u32,
    /// Whether it counts as a failure although the upstream runs; silence that was waited out does
    /// not.
    pub has_failure: bool,
    /// Why this VM has no connection to the upstream; `None` while its probe is under way.
    pub failed: Option<CrashEvidence>,
    /// Other VMs that were asked whether they reach the upstream.
    pub probed_by: SmallVec<[VmName; 6]>,
    /// Those that do not reach it.
    pub unreached_by: SmallVec<[VmName; 2]>,
    /// Those that could not be asked.
    pub failed_proxies: usize,
    /// A VM that reaches the upstream.
    pub reached_by: Option<VmName>,
    /// Attempts whose connection broke.
    pub lost: SmallVec<[LostAttempt; 2]>,
}

/// An attempt whose connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostAttempt {
    /// Call of the attempt.
    pub call: CallId,
    /// Entry VM of the call.
    pub vm: VmName,
    /// Digest of the content that was running.
    pub digest: ContentDigest,
    /// Whether it ran as the only call on the upstream.
    pub is_exclusive: bool,
}
