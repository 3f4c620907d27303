//! Settings of the core of one VM.

use bon::Builder;

use crate::ids::{DomainName, Incarnation, VmName};

/// Which measure the placement policy favours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PolicyPreset {
    /// Fair shares between client accounts first.
    #[default]
    FairShare,
    /// Short program latency first.
    Latency,
}

/// How an upstream is chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UpstreamChoice {
    /// In turn.
    RoundRobin,
    /// The one with the fewest calls for its limit.
    LeastLoaded,
    /// The one with the lowest cost of waiting and reading the prompt again.
    #[default]
    LowestCost,
}

/// How the VMs of a fleet agree on what none of them may decide alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Coordination {
    /// Views and leases name one owner for each account, program and pool.
    #[default]
    Owners,
    /// Each VM decides for its own calls from summaries of the others.
    ///
    /// What must be agreed on is written to the platform's store. Calls carry their whole
    /// prompt, so that programs need no home.
    Peers,
}

/// The parts of the placement policy that are on.
///
/// The policy report switches parts off to measure what each contributes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyParts {
    /// Whether accounts take turns by the service that they received.
    pub fair_sharing: bool,
    /// Whether the program with the least attained service goes first.
    pub least_attained: bool,
    /// How an upstream is chosen.
    pub upstream_choice: UpstreamChoice,
    /// Whether the limit of calls on an upstream is learned.
    pub learned_limit: bool,
}

impl Default for PolicyParts {
    fn default() -> Self {
        Self {
            fair_sharing: true,
            least_attained: true,
            upstream_choice: UpstreamChoice::LowestCost,
            learned_limit: true,
        }
    }
}

/// Settings of the core of one VM.
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
    /// The name of this VM.
    pub vm: VmName,
    /// The number of this start of the process.
    pub incarnation: Incarnation,
    /// The failure domain of this VM.
    #[builder(default = DomainName::from("local"))]
    pub failure_domain: DomainName,
    /// The address at which other VMs reach this one, as `ip:port`.
    #[builder(default = String::new())]
    pub address: String,
    /// VMs to ask for the view when the store does not answer at the start.
    #[builder(default)]
    pub peers: Vec<VmName>,
    /// Which measure the placement policy favours.
    #[builder(default)]
    pub preset: PolicyPreset,
    /// The parts of the placement policy that are on.
    #[builder(default)]
    pub policy: PolicyParts,
    /// How the VMs of the fleet agree.
    #[builder(default)]
    pub coordination: Coordination,
    /// Addresses of VMs whose names are not known yet, as `ip:port`.
    #[builder(default)]
    pub seeds: Vec<String>,
    /// Whether this start is the first of the whole fleet, so that no program ran before it.
    #[builder(default)]
    pub is_first_start: bool,
    /// Interval between two summaries to another VM.
    #[builder(default = 200)]
    pub summary_ms: u64,
    /// Silence after which another VM does not count as one that shares its rates.
    #[builder(default = 700)]
    pub peer_silent_ms: u64,
    /// Silence after which another VM is forgotten.
    #[builder(default = 10_000)]
    pub peer_forget_ms: u64,
    /// Age of the last read of the configuration at which keys are no longer trusted.
    #[builder(default = 5_000)]
    pub stale_config_ms: u64,
    /// Time after a store outage in which upstreams that are missing from the list are kept.
    #[builder(default = 2_200)]
    pub relist_ms: u64,
    /// Longest mean time between two tokens before an upstream gets fewer calls.
    #[builder(default = 30)]
    pub token_target_ms: u64,
    /// Interval between heartbeats.
    #[builder(default = 500)]
    pub heartbeat_ms: u64,
    /// Silence after which a VM is suspected to have failed.
    #[builder(default = 2_000)]
    pub suspect_ms: u64,
    /// Interval between touches of the view by a writer.
    #[builder(default = 1_000)]
    pub touch_ms: u64,
    /// How long a confirmation of the view lets a VM act as owner or home.
    #[builder(default = 3_000)]
    pub lease_ms: u64,
    /// Peers that a VM sends heartbeats to in a large fleet.
    #[builder(default = 8)]
    pub fan_out: usize,
    /// How long a share of an account's rate is granted for.
    #[builder(default = 3_000)]
    pub grant_ms: u64,
    /// The window over which the rate and burst of an account are counted; 0 for all windows.
    #[builder(default)]
    pub rate_window_ms: u64,
    /// Longest wait of a call for its account's rate.
    #[builder(default = 2_000)]
    pub rate_wait_ms: u64,
    /// Longest wait of a call for the turn before it.
    #[builder(default = 2_000)]
    pub turn_wait_ms: u64,
    /// How long a program without calls is kept.
    #[builder(default = 600_000)]
    pub program_lease_ms: u64,
    /// How long the response to a call is kept for a resend.
    #[builder(default = 120_000)]
    pub answer_keep_ms: u64,
    /// Longest wait for the first token of a response.
    #[builder(default = 30_000)]
    pub first_token_ms: u64,
    /// Longest pause between two tokens of a response.
    #[builder(default = 10_000)]
    pub token_gap_ms: u64,
    /// How long after its lease a VM still admits calls with keys.
    #[builder(default = 1_000)]
    pub isolation_ms: u64,
    /// Longest wait for a response of the owner of a pool.
    #[builder(default = 200)]
    pub place_timeout_ms: u64,
    /// Longest wait of a call for an upstream.
    #[builder(default = 30_000)]
    pub queue_ms: u64,
    /// Time after which a cache hint counts half.
    #[builder(default = 60_000)]
    pub cache_half_life_ms: u64,
    /// Longest time that an order to an upstream is in flight.
    #[builder(default = 30_000)]
    pub order_ms: u64,
    /// How long a request that crashes upstreams is refused.
    #[builder(default = 600_000)]
    pub quarantine_ms: u64,
    /// Share of recent calls that may be retried, in percent.
    #[builder(default = 20)]
    pub retry_percent: u64,
}

impl CoreSettings {
    /// Extends a time by the margin for clocks that run at different speeds.
    ///
    /// Clock rates may differ by 10% before two VMs can act for the same thing.
    pub fn with_margin_us(time_ms: u64) -> u64 {
        time_ms * 1_100
    }

    /// Returns how long a VM waits before it acts for what was not handed over to it.
    pub fn takeover_wait_us(&self) -> u64 {
        Self::with_margin_us(self.lease_ms)
    }
}
