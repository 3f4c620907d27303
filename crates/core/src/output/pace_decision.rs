//! Decisions about upstreams that have started or recovered.

use derive_more::Display;

use crate::ids::UpstreamName;

/// A decision about an upstream that has started or recovered.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum PaceDecision {
    /// An upstream has started or returned and is paced.
    #[display("{upstream} has started or returned and is paced")]
    EpisodeBegan {
        /// The paced upstream.
        upstream: UpstreamName,
    },
    /// An upstream is not paced any more.
    #[display(
        "{upstream} is not paced any more after {after_ms} ms, window {window_calls} calls, {setbacks} setbacks"
    )]
    EpisodeEnded {
        /// The upstream that was paced.
        upstream: UpstreamName,
        /// Duration of the episode.
        after_ms: u64,
        /// Calls that all VMs together could run there at last.
        window_calls: u32,
        /// Rejected, failed and slow calls.
        setbacks: u64,
    },
    /// An upstream is cold.
    #[display("{upstream} is cold and takes {mcalls_per_s} thousandths of a call a second")]
    ColdBegan {
        /// The cold upstream.
        upstream: UpstreamName,
        /// Rate of calls from all VMs together.
        mcalls_per_s: u64,
    },
    /// An upstream is not cold any more.
    #[display("{upstream} is not cold any more")]
    ColdEnded {
        /// The upstream that was cold.
        upstream: UpstreamName,
    },
}
