//! Rates that upstreams state in their responses, for all VMs together.

use super::{Bucket, Claim, NCALLS_PER_CALL, ReplicatedBucket, Sharing, hash_name};
use crate::ids::{UpstreamName, VmName};

/// Lowest rate to which an upstream is limited, in thousandths of a call per second.
///
/// Only responses show that a limit has ended, so an upstream that states 0 still gets a call every
/// five seconds.
pub const MIN_UPSTREAM_RATE_MCALLS_PER_S: u64 = 200;

/// Burst of a limited upstream: what its rate adds in this time, at least two calls.
const BURST_US: u64 = 750_000;

/// Smallest burst of a limited upstream: one call beyond the reserve.
const MIN_BURST_NCALLS: u64 = 2 * NCALLS_PER_CALL;

/// Time for which a VM may take a call of its own part before the call lapses.
const OWN_PART_LAPSE_US: u64 = 1_500_000;

/// Longest time for which a VM may take a call of its own part for a cold upstream.
///
/// The limit of cold upstreams is counted over a second, so parts that VMs have saved must not add
/// up to a burst.
const MAX_COLD_LAPSE_US: u64 = 300_000;

/// Shortest such time; calls that wait are looked at more often.
const MIN_COLD_LAPSE_US: u64 = 50_000;

/// Part of the calls allowed beyond the rate that VMs may have saved up, as a divisor.
const COLD_LAPSE_DIVISOR: u64 = 4;

/// The limit of an upstream that is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Rate of calls from all VMs together, in thousandths of a call per second.
    pub mcalls_per_s: u64,
    /// Calls that may exceed the rate in any second, in billionths of a call.
    pub overage_ncalls: u64,
    /// Level with which this VM's own part begins, spread evenly over the VMs.
    ///
    /// Levels drawn by a hash would bring up to twice the rate in single seconds, with 80 VMs.
    pub phase_ncalls: u64,
}

impl ColdLimit {
    /// Returns the time for which a VM may take a call of its own part.
    fn lapse_us(&self) -> u64 {
        let lapse_us = self.overage_ncalls / COLD_LAPSE_DIVISOR / self.mcalls_per_s.max(1);
        lapse_us.clamp(MIN_COLD_LAPSE_US, MAX_COLD_LAPSE_US)
    }
}

/// What an upstream stated last about the rate of calls that it takes from all VMs together, and
/// this VM's copy of the bucket for it.
///
/// The row stays after the upstream has stated that it has no limit any more, so that older news
/// from other VMs is recognized, and after the upstream has left the list, whose entry may return.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamRate {
    /// Start of the process that stated it, in Unix time; 0 if unknown.
    pub started_unix_ms: u64,
    /// The stated rate in thousandths of a call per second; `None` if it stated none.
    pub limit_mcalls_per_s: Option<u64>,
    /// The limit while it is cold; `None` if it is not cold, or its service asks for no limit.
    pub cold: Option<ColdLimit>,
    /// Time at which the statement arrived, at any VM.
    pub stated_us: u64,
    /// Round of summaries that reports the last change.
    pub changed_round: u64,
    /// Time at which a change was logged last.
    pub logged_us: u64,
    /// This VM's copy of the bucket.
    pub bucket: Bucket,
    /// State of the copy.
    pub replicated: ReplicatedBucket,
    /// Due time of the timer for the next call; 0 if none is set.
    pub ready_due_us: u64,
}

impl UpstreamRate {
    /// Sizes the bucket for the stated rate and the VMs that share it; keeps its level and debt.
    pub fn resize(
        &mut self,
        sharing: Sharing,
        (vm, upstream): (&VmName, &UpstreamName),
        now_us: u64,
    ) {
        let Some(limit) = self.lower_limit() else {
            self.bucket = Bucket::default();
            self.replicated = ReplicatedBucket::default();
            return;
        };
        self.bucket.refill(now_us);
        let rate_mcalls_per_s = sharing.usable(limit.max(MIN_UPSTREAM_RATE_MCALLS_PER_S));
        let burst_ncalls = rate_mcalls_per_s
            .saturating_mul(BURST_US)
            .max(MIN_BURST_NCALLS);
        let lapse_us = self.cold.map_or(OWN_PART_LAPSE_US, |cold| cold.lapse_us());
        self.bucket = Bucket {
            rate_mcalls_per_s,
            burst_ncalls,
            level_ncalls: self.bucket.level_ncalls.min(burst_ncalls),
            updated_us: now_us,
        };
        let own_mcalls_per_s = sharing.own_part(rate_mcalls_per_s);
        let had_own_part = self.replicated.own_part.rate_mcalls_per_s > 0;
        let is_fraction = own_mcalls_per_s.saturating_mul(lapse_us) < NCALLS_PER_CALL;
        self.replicated.reserve_ncalls = (burst_ncalls / 3).max(NCALLS_PER_CALL);
        self.replicated.own_part_lapse_us = if is_fraction { lapse_us } else { 0 };
        if !had_own_part && is_fraction {
            // Different on each VM, so that the calls of all own parts do not fall due at once.
            let phase = hash_name(vm.as_str(), hash_name(upstream.as_str(), 0));
            self.replicated.own_part.level_ncalls = match self.cold {
                Some(cold) => cold.phase_ncalls,
                None => phase % NCALLS_PER_CALL,
            };
            self.replicated.own_part.updated_us = now_us;
        }
        self.replicated.resize_own_part(own_mcalls_per_s, now_us);
    }

    /// Returns the lower one of the stated rate and that of a cold upstream.
    fn lower_limit(&self) -> Option<u64> {
        let cold = self.cold.map(|cold| cold.mcalls_per_s);
        self.limit_mcalls_per_s.into_iter().chain(cold).min()
    }

    /// Returns whether one call may be sent to the upstream now.
    pub fn is_open(&self, is_turn: bool, now_us: u64) -> bool {
        let mut copy = *self;
        copy.lower_limit().is_none() || copy.try_take(is_turn, now_us)
    }

    /// Takes one call; returns `false` if none may be taken.
    fn try_take(&mut self, is_turn: bool, now_us: u64) -> bool {
        let claim = self.claim(is_turn);
        self.replicated.try_take(&mut self.bucket, claim, now_us)
    }

    /// Takes one call for an attempt that is placed, from the level if from nothing else.
    pub fn take(&mut self, is_turn: bool, now_us: u64) {
        if !self.try_take(is_turn, now_us) {
            self.debit(NCALLS_PER_CALL, now_us);
        }
    }

    /// Deducts calls that another VM has sent.
    pub fn debit(&mut self, ncalls: u64, now_us: u64) {
        self.replicated.repay_debt(&mut self.bucket, now_us);
        self.replicated.debit(&mut self.bucket, ncalls);
    }

    /// Returns the time until one call may be sent, if no other VM sends one before.
    pub fn ready_in_us(&self, now_us: u64) -> Option<u64> {
        let claim = self.claim(true);
        self.replicated.ready_in_us(&self.bucket, claim, now_us)
    }

    /// Returns what a call may be taken from: what other VMs have left over only in this VM's turn.
    ///
    /// VMs that have just lost contact take the same leftover calls. The limit of cold upstreams
    /// leaves no room for these, so each VM keeps to its own part there.
    fn claim(&self, is_turn: bool) -> Claim {
        let may_share = is_turn && self.cold.is_none();
        Claim {
            shared_reserve_ncalls: may_share.then_some(self.replicated.reserve_ncalls),
            uses_own_part: true,
        }
    }
}
