//! Decisions about the links of a VM to upstreams.

use derive_more::Display;

use crate::ids::{AttemptId, UpstreamName, VmName};

/// A decision about the links of this VM to upstreams.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum LinkDecision {
    /// This VM has lost its link to an upstream that another VM reaches.
    #[display("lost the link to {upstream}, {reached_by} reaches it")]
    LinkLost {
        /// The upstream at the other end.
        upstream: UpstreamName,
        /// The VM that reaches it.
        reached_by: VmName,
    },
    /// An upstream accepts connections of this VM again.
    #[display("the link to {upstream} is back")]
    LinkRestored {
        /// The upstream at the other end.
        upstream: UpstreamName,
    },
    /// This VM takes itself for cut off from all upstreams.
    #[display("cut off, {lost} links lost and no connection accepted since")]
    CutOff {
        /// Links lost since a connection was accepted last.
        lost: u32,
    },
    /// An upstream has accepted a connection, so this VM is not cut off any more.
    #[display("no longer cut off after {after_ms} ms")]
    CutEnded {
        /// Duration of the cut, as far as this VM knew of it.
        after_ms: u64,
    },
    /// An attempt goes through another VM, because this one has lost its link to the upstream.
    #[display("attempt {attempt} goes to {upstream} through {proxy}")]
    Proxied {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream that runs it.
        upstream: UpstreamName,
        /// The VM that passes its bytes on.
        proxy: VmName,
    },
}
