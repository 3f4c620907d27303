//! Numbered identifiers.

use derive_more::Display;

/// Identifies one start of a VM's process, unique in the fleet.
///
/// The daemon derives it from its start time and a random part, so that a
/// restarted VM is never mistaken for its previous incarnation.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// The number of a view. A view replaces all views with lower epochs.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The number of a published configuration. Newer configurations have higher numbers.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Revision(pub u64);

/// Lets an upstream reject orders from an earlier owner: later tokens are higher.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[display("{epoch}.{seq}")]
pub struct FencingToken {
    /// The epoch in which the order was sent.
    pub epoch: Epoch,
    /// Sequence number of the owner's order.
    pub seq: u64,
}

/// Identifies a call, unique in the fleet.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{incarnation}-{seq}")]
pub struct CallId {
    /// The incarnation of the entry VM that received the call.
    pub incarnation: Incarnation,
    /// Sequence number of the call in that incarnation.
    pub seq: u64,
}

/// Identifies one attempt to run a call on an upstream.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{call}.{number}")]
pub struct AttemptId {
    /// The call that the attempt runs.
    pub call: CallId,
    /// Number of the attempt within the call, from 1.
    pub number: u32,
}
