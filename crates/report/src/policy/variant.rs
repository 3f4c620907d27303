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
    pub features: PolicyFeatures,
}

/// First come first served without any part of the policy.
const fn fcfs(upstream_choice: UpstreamChoice) -> PolicyFeatures {
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
        Self::with_fair_share("fcfs, round robin", fcfs(UpstreamChoice::RoundRobin)),
        Self::with_fair_share("fcfs, least loaded", fcfs(UpstreamChoice::LeastLoaded)),
        Self::with_fair_share("full, fair_share", FULL),
        Self {
            name: "full, latency",
            preset: PolicyPreset::Latency,
            features: FULL,
        },
        Self::with_fair_share(
            "full without affinity",
            PolicyFeatures {
                upstream_choice: UpstreamChoice::LeastLoaded,
                ..FULL
            },
        ),
        Self::with_fair_share(
            "full without least attained",
            PolicyFeatures {
                least_attained: false,
                ..FULL
            },
        ),
        Self::with_fair_share(
            "full without fair sharing",
            PolicyFeatures {
                fair_sharing: false,
                ..FULL
            },
        ),
        Self::with_fair_share(
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
    const fn with_fair_share(name: &'static str, features: PolicyFeatures) -> Self {
        Self {
            name,
            preset: PolicyPreset::FairShare,
            features,
        }
    }
}
