//! Settings of one VM's core.

use std::collections::BTreeMap;

use bon::Builder;

use crate::ids::{DomainName, Incarnation, RegionName, VmName};

/// Objective that the placement policy favours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PolicyPreset {
    /// Fair shares between client accounts first.
    #[default]
    FairShare,
    /// Low program latency first.
    Latency,
}

/// How an upstream is chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UpstreamChoice {
    /// The next one in turn.
    RoundRobin,
    /// The one with the fewest running calls in relation to its limit.
    LeastLoaded,
    /// The one with the lowest estimated cost of queueing and prefill of uncached tokens.
    #[default]
    LowestCost,
}

/// How the VMs of a fleet coordinate decisions on shared state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Coordination {
    /// Views and leases assign one owner to each account, program and pool.
    #[default]
    Owners,
    /// Each VM decides on its own calls, using summaries from the others.
    ///
    /// Decisions that need agreement are written to the platform's store. Calls carry their whole
    /// prompt, so programs need no home.
    Peers,
}

/// Features of the placement policy that are enabled.
///
/// The policy report disables features to measure what each contributes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyFeatures {
    /// Whether accounts are scheduled by the service that they have received.
    pub fair_sharing: bool,
    /// Whether the program with the least attained service is scheduled first.
    pub least_attained: bool,
    /// How an upstream is chosen for a call.
    pub upstream_choice: UpstreamChoice,
    /// Whether an upstream's limit of concurrent calls adapts to its measured speed.
    pub learned_limit: bool,
    /// Whether an upstream that has started or recovered gets calls at a pace that follows its
    /// responses; with [`Coordination::Peers`] only.
    pub pace_returns: bool,
    /// Whether VMs learn the speeds of upstreams from each other and, in a large fleet, share the
    /// places of upstreams, so that they do not all take the same ones.
    pub share_places: bool,
    /// Whether waiting calls are ordered and refused by the deadlines of their programs.
    pub deadline_order: bool,
}

impl Default for PolicyFeatures {
    fn default() -> Self {
        Self {
            fair_sharing: true,
            least_attained: true,
            upstream_choice: UpstreamChoice::LowestCost,
            learned_limit: true,
            pace_returns: true,
            share_places: false,
            deadline_order: true,
        }
    }
}

/// Settings of one VM's core.
///
/// The defaults are those of section 4.5 of `docs/design.md`.
///
/// # Examples
///
/// ```
/// use knapweeddale_core::{CoreSettings, Incarnation, VmName};
///
/// let settings = CoreSettings::builder()
///     .vm(VmName::from("vm-1"))
///     .incarnation(Incarnation(7))
///     .rate_wait_ms(500)
///     .build();
/// assert_eq!(settings.lease_ms, 3_000);
/// ```
#[derive(Debug, Clone, Builder)]
pub struct CoreSettings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmName,
    /// Identifies this start of the process.
    pub incarnation: Incarnation,
    /// Failure domain of this VM.
    #[builder(default = DomainName::from("local"))]
    pub failure_domain: DomainName,
    /// Address at which other VMs reach this one, as `ip:port`.
    #[builder(default = String::new())]
    pub address: String,
    /// Address at which this VM accepts tunnels to upstreams, as `ip:port`; `None` if it does not.
    pub tunnel_address: Option<String>,
    /// VMs to ask for the view if the store does not answer at startup.
    #[builder(default)]
    pub peers: Vec<VmName>,
    /// Objective that the placement policy favours.
    #[builder(default)]
    pub preset: PolicyPreset,
    /// Features of the placement policy that are enabled.
    #[builder(default)]
    pub policy: PolicyFeatures,
    /// How the VMs of the fleet coordinate.
    #[builder(default)]
    pub coordination: Coordination,
    /// Addresses of VMs whose names are not known yet, as `ip:port`.
    #[builder(default)]
    pub seeds: Vec<String>,
    /// Whether the whole fleet starts for the first time, so that no program ran before.
    #[builder(default)]
    pub is_first_start: bool,
    /// Interval between two summaries to another VM.
    #[builder(default = 200)]
    pub summary_ms: u64,
    /// Silence after which another VM no longer counts as one that shares the rates.
    #[builder(default = 700)]
    pub peer_timeout_ms: u64,
    /// Silence after which the state of another VM is removed.
    #[builder(default = 10_000)]
    pub peer_retention_ms: u64,
    /// Age of the last configuration read beyond which keys are no longer trusted.
    #[builder(default = 5_000)]
    pub max_config_age_ms: u64,
    /// Time after a store outage for which upstreams that are missing from the list are kept.
    #[builder(default = 2_200)]
    pub list_grace_ms: u64,
    /// Time after which an evacuated upstream must get no more calls; `None` if evacuations are not
    /// read.
    pub evacuate_ms: Option<u64>,
    /// The region of each failure domain, as far as known.
    #[builder(default)]
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Mean time between two tokens above which an upstream's call limit is lowered.
    #[builder(default = 30)]
    pub token_gap_target_ms: u64,
    /// Interval between heartbeats.
    #[builder(default = 500)]
    pub heartbeat_ms: u64,
    /// Silence after which a VM is suspected to have failed.
    #[builder(default = 2_000)]
    pub suspect_ms: u64,
    /// Interval at which a writer confirms the view in the store.
    #[builder(default = 1_000)]
    pub touch_ms: u64,
    /// Lease: how long a VM may act as owner or home after the view was confirmed.
    #[builder(default = 3_000)]
    pub lease_ms: u64,
    /// Number of peers to which a VM sends heartbeats in a large fleet.
    #[builder(default = 8)]
    pub fan_out: usize,
    /// Validity of a grant of a share of an account's rate.
    #[builder(default = 3_000)]
    pub grant_ms: u64,
    /// Window over which an account's rate and burst are counted; 0 counts over every window.
    #[builder(default)]
    pub rate_window_ms: u64,
    /// Longest wait of a call for its account's rate.
    #[builder(default = 2_000)]
    pub rate_wait_ms: u64,
    /// Longest wait of a call for the end of the previous turn.
    #[builder(default = 2_000)]
    pub turn_wait_ms: u64,
    /// How long a program without calls is kept.
    #[builder(default = 600_000)]
    pub program_lease_ms: u64,
    /// How long the response to a call is kept for resends.
    #[builder(default = 120_000)]
    pub answer_keep_ms: u64,
    /// Timeout for the first token of a response.
    #[builder(default = 30_000)]
    pub first_token_ms: u64,
    /// Timeout for each further token of a response.
    #[builder(default = 10_000)]
    pub token_gap_ms: u64,
    /// How long a VM still admits calls with keys after its lease has expired.
    #[builder(default = 1_000)]
    pub isolation_ms: u64,
    /// Timeout for a response from the owner of a pool.
    #[builder(default = 200)]
    pub placement_timeout_ms: u64,
    /// Longest wait of a call for an upstream.
    #[builder(default = 30_000)]
    pub queue_ms: u64,
    /// Half-life of the estimate of a program's cached tokens on an engine.
    #[builder(default = 60_000)]
    pub cache_half_life_ms: u64,
    /// Timeout of an order to an upstream.
    #[builder(default = 30_000)]
    pub order_ms: u64,
    /// How long a request that crashes upstreams is refused.
    #[builder(default = 600_000)]
    pub quarantine_ms: u64,
    /// Calls that a cold upstream may get in any second, in percent of the rate of its service.
    #[builder(default = 150)]
    pub cold_overage_percent: u64,
    /// Calls that a cold upstream may get in any second beyond that.
    #[builder(default = 5)]
    pub cold_slack_calls: u64,
    /// Retry budget, in percent of recent calls.
    #[builder(default = 20)]
    pub retry_percent: u64,
}

impl CoreSettings {
    /// Converts a time to microseconds and extends it by 10% for clock drift.
    ///
    /// Two VMs never act as owner of the same thing while their clock rates differ by less.
    pub fn with_clock_margin_us(time_ms: u64) -> u64 {
        time_ms * 1_100
    }

    /// Returns the region of a failure domain; `None` if either is unknown.
    pub fn region_of(&self, domain: Option<&DomainName>) -> Option<&RegionName> {
        self.regions.get(domain?)
    }

    /// Returns how long a new owner or home waits before it acts without a hand-over.
    pub fn takeover_wait_us(&self) -> u64 {
        Self::with_clock_margin_us(self.lease_ms)
    }
}
