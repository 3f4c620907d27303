//! The policies that are compared.

use knapweeddale_core::config::{PolicyFeatures, PolicyPreset, UpstreamChoice};

/// A policy that is compared with others.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    /// Its name in the report.
    pub name: &'static str,
    /// Its preset.
    pub preset: PolicyPreset,
    /// Its parts.
    pub parts: PolicyFeatures,
}

/// First come first served without any part of the policy.
const fn plain(upstream_choice: UpstreamChoice) -> PolicyFeatures {
    PolicyFeatures {
        fair_sharing: false,
        least_attained: false,
        upstream_choice,
        learned_limit: false,
    }
}

/// The whole policy.
const FULL: PolicyFeatures = PolicyFeatures {
    fair_sharing: true,
    least_attained: true,
    upstream_choice: UpstreamChoice::LowestCost,
    learned_limit: true,
};

impl Variant {
    /// All policies, the one that the others are compared with second.
    pub const ALL: &[Self] = &[
        Self::fair("fcfs, round robin", plain(UpstreamChoice::RoundRobin)),
        Self::fair("fcfs, least loaded", plain(UpstreamChoice::LeastLoaded)),
        Self::fair("full, fair_share", FULL),
        Self {
            name: "full, latency",
            preset: PolicyPreset::Latency,
            parts: FULL,
        },
        Self::fair(
            "full without affinity",
            PolicyFeatures {
                upstream_choice: UpstreamChoice::LeastLoaded,
                ..FULL
            },
        ),
        Self::fair(
            "full without least attained",
            PolicyFeatures {
                least_attained: false,
                ..FULL
            },
        ),
        Self::fair(
            "full without fair sharing",
            PolicyFeatures {
                fair_sharing: false,
                ..FULL
            },
        ),
        Self::fair(
            "full without learned limit",
            PolicyFeatures {
                learned_limit: false,
                ..FULL
            },
        ),
    ];

    /// The policy that the others are compared with.
    pub const BASELINE: &Self = &Self::ALL[1];

    /// Makes a policy with the preset `fair_share`.
    const fn fair(name: &'static str, parts: PolicyFeatures) -> Self {
        Self {
            name,
            preset: PolicyPreset::FairShare,
            parts,
        }
    }
}
