//! Decisions on evacuated failure domains.

use derive_more::Display;

use crate::ids::DomainName;

/// A decision on evacuated failure domains.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ConfinementDecision {
    /// A failure domain is evacuated: its upstreams get no new calls.
    #[display("{domain} is evacuated, its {upstreams} upstreams get no new calls")]
    EvacuationSeen {
        /// The evacuated failure domain.
        domain: DomainName,
        /// Number of its upstreams in the list.
        upstreams: usize,
    },
    /// The evacuation of a failure domain ended.
    #[display("{domain} is no longer evacuated, its {upstreams} upstreams get calls")]
    EvacuationEnded {
        /// The failure domain.
        domain: DomainName,
        /// Number of its upstreams in the list.
        upstreams: usize,
    },
    /// The evacuations cannot be read although the list of upstreams can.
    #[display("evacuations cannot be read, those known last stay in force")]
    EvacuationsUnavailable,
    /// The evacuations can be read again.
    #[display("evacuations are read again")]
    EvacuationsAvailable,
}
