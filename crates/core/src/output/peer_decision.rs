//! Decisions about the datagrams of other VMs.

use derive_more::Display;

use crate::ids::VmName;

/// A decision about the datagrams of another VM.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum PeerDecision {
    /// A VM sends datagrams that this build cannot read. It counts as known and shares no rate.
    #[display("{vm} is up, but its summaries cannot be read")]
    Unreadable {
        /// The other VM.
        vm: VmName,
    },
}
