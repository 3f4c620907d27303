//! The policies that the report compares.

use knapweeddale_core::config::{PolicyFeatures, PolicyPreset, UpstreamChoice};

/// A policy under comparison.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    /// Name in the report.
    pub name: &'static str,
    /// Preset of the core settings.
    pub preset: PolicyPreset,
    /// Features that are switched on, and the choice of upstreams.
    pub features: PolicyFeatures,
}

/// First come, first served: all features off but for the choice of upstreams.
const fn fcfs(upstream_choice: UpstreamChoice) -> PolicyFeatures {
    PolicyFeatures {
        fair_sharing: false,
        least_attained: false,
        upstream_choice,
        learned_limit: false,
        pace_returns: false,
        share_places: false,
        deadline_order: false,
    }
}

/// All features of the policy.
const FULL: PolicyFeatures = PolicyFeatures {
    fair_sharing: true,
    least_attained: true,
    upstream_choice: UpstreamChoice::LowestCost,
    learned_limit: true,
    pace_returns: true,
    share_places: false,
    deadline_order: true,
};

impl Variant {
    /// All policies; the second one is the baseline.
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

    /// Creates a policy with the preset `fair_share`.
    const fn with_fair_share(name: &'static str, features: PolicyFeatures) -> Self {
        Self {
            name,
            preset: PolicyPreset::FairShare,
            features,
        }
    }
}
