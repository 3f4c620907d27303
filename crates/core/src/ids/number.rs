//! Numbered identifiers.

use derive_more::Display;

/// The number of a process start, unique over the fleet.
///
/// The daemon derives it from its start time and a random part, so that a
/// restarted VM is never taken for its predecessor.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// The number of a view. A higher epoch replaces a lower one.
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

/// The number of a published configuration.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Revision(pub u64);

/// A call, unique over the fleet.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{incarnation}-{seq}")]
pub struct CallId {
    /// The start of the entry VM that received the call.
    pub incarnation: Incarnation,
    /// Counts the calls of that start.
    pub seq: u64,
}

/// One attempt to run a call on an upstream.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{call}.{number}")]
pub struct AttemptId {
    /// The call that is run.
    pub call: CallId,
    /// Counts the attempts of the call, from 1.
    pub number: u32,
}
