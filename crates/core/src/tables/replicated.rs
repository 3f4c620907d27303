//! Buckets of which every VM keeps a copy.

use super::{Bucket, NCALLS_PER_CALL};

/// Burst of a VM's own part of the rate: what that part adds in this time, at least one call.
const OWN_PART_BURST_US: u64 = 250_000;

/// State of a bucket of which every VM keeps a copy.
///
/// A copy learns of the calls of other VMs with the delay of a summary. While the level is high,
/// calls are taken freely. Below the reserve, each VM keeps to its part of the rate, so that the
/// VMs do not take the same calls twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicatedBucket {
    /// Level below which each VM keeps to its part of the rate.
    pub reserve_ncalls: u64,
    /// Level that must be left after a call that begins a program.
    pub begin_reserve_ncalls: u64,
    /// Calls that were taken beyond the level; they are repaid from later refills.
    pub debt_ncalls: u64,
    /// Bucket with this VM's part of the rate.
    pub own_part: Bucket,
    /// Time for which a call of `own_part` may be taken before it lapses; 0 if it never lapses.
    ///
    /// In a fleet with more VMs than calls, parts that never lapse would add up to a burst of one
    /// call for each VM.
    pub own_part_lapse_us: u64,
}

/// Which parts of a bucket a call may be taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Level of the shared copy that the call must leave; `None` if it may not be taken there.
    pub shared_reserve_ncalls: Option<u64>,
    /// Whether the call may be taken from this VM's own part.
    pub uses_own_part: bool,
}

/// The VMs that share a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// VMs that hear each other, this one included.
    pub reachable_vms: u64,
    /// VMs that may be serving.
    pub known_vms: u64,
}

impl Sharing {
    /// Returns the part of a rate that the reachable VMs may use.
    pub fn usable(&self, rate_mcalls_per_s: u64) -> u64 {
        rate_mcalls_per_s.saturating_mul(self.reachable_vms) / self.known_vms.max(1)
    }

    /// Returns the part of the usable rate that is this VM's own.
    pub fn own_part(&self, usable_mcalls_per_s: u64) -> u64 {
        usable_mcalls_per_s / self.reachable_vms.max(1)
    }
}

impl ReplicatedBucket {
    /// Sets the rate of the own part and keeps its level as far as it fits.
    pub fn resize_own_part(&mut self, rate_mcalls_per_s: u64, now_us: u64) {
        let lapses = self.own_part_lapse_us > 0;
        let burst_ncalls = match lapses {
            // Limited by the lapse instead.
            true => u64::MAX,
            false => (rate_mcalls_per_s * OWN_PART_BURST_US).max(NCALLS_PER_CALL),
        };
        self.own_part = Bucket {
            rate_mcalls_per_s,
            burst_ncalls,
            level_ncalls: self.own_part.level_ncalls.min(burst_ncalls),
            updated_us: self.own_part.updated_us.max(now_us),
        };
    }

    /// Returns what a call of an account may be taken from.
    pub fn account_claim(&self, begins_program: bool) -> Claim {
        let reserve_ncalls = match begins_program {
            true => self.begin_reserve_ncalls,
            false => self.reserve_ncalls,
        };
        Claim {
            shared_reserve_ncalls: Some(reserve_ncalls),
            uses_own_part: !begins_program,
        }
    }

    /// Takes one call from this VM's copy of the bucket; returns `false` if none may be taken.
    pub fn try_take(&mut self, bucket: &mut Bucket, claim: Claim, now_us: u64) -> bool {
        self.repay_debt(bucket, now_us);
        let is_ample = claim.shared_reserve_ncalls.is_some_and(|reserve_ncalls| {
            self.debt_ncalls == 0 && bucket.level_ncalls >= reserve_ncalls + NCALLS_PER_CALL
        });
        self.lapse_own_part(now_us);
        let is_within_own_part = claim.uses_own_part && self.own_part.try_take(now_us);
        if is_ample || is_within_own_part {
            self.debit(bucket, NCALLS_PER_CALL);
        }
        is_ample || is_within_own_part
    }

    /// Drops a call of the own part that was not taken in time; the next one is due as if it had
    /// been.
    fn lapse_own_part(&mut self, now_us: u64) {
        if self.own_part_lapse_us == 0 {
            return;
        }
        self.own_part.refill(now_us);
        let lapse_ncalls = self.own_part.rate_mcalls_per_s * self.own_part_lapse_us;
        if self.own_part.level_ncalls >= NCALLS_PER_CALL + lapse_ncalls {
            // Several calls may have fallen due since; the last one of them may still be taken.
            let since_due_ncalls = self.own_part.level_ncalls % NCALLS_PER_CALL;
            let is_in_time = since_due_ncalls < lapse_ncalls;
            self.own_part.level_ncalls = since_due_ncalls + u64::from(is_in_time) * NCALLS_PER_CALL;
        }
    }

    /// Takes calls from this VM's copy of the bucket; what exceeds the level becomes debt.
    pub fn debit(&mut self, bucket: &mut Bucket, ncalls: u64) {
        let taken_ncalls = bucket.level_ncalls.min(ncalls);
        bucket.level_ncalls -= taken_ncalls;
        self.debt_ncalls += ncalls - taken_ncalls;
    }

    /// Refills the copy and repays debt from it.
    pub fn repay_debt(&mut self, bucket: &mut Bucket, now_us: u64) {
        bucket.refill(now_us);
        let repaid_ncalls = bucket.level_ncalls.min(self.debt_ncalls);
        bucket.level_ncalls -= repaid_ncalls;
        self.debt_ncalls -= repaid_ncalls;
    }

    /// Returns the time until one call can be taken; `None` if that never happens.
    pub fn ready_in_us(&self, bucket: &Bucket, claim: Claim, now_us: u64) -> Option<u64> {
        let shared_us = claim.shared_reserve_ncalls.and_then(|reserve_ncalls| {
            let mut copy = *bucket;
            copy.refill(now_us);
            let needed = reserve_ncalls + self.debt_ncalls + NCALLS_PER_CALL;
            let missing = needed.saturating_sub(copy.level_ncalls);
            match bucket.rate_mcalls_per_s {
                0 => None,
                rate => Some(missing.div_ceil(rate)),
            }
        });
        let mut own = *self;
        own.lapse_own_part(now_us);
        let own_part_us = own
            .own_part
            .ready_in_us(now_us)
            .filter(|_| claim.uses_own_part);
        match (shared_us, own_part_us) {
            (Some(shared_us), Some(own_part_us)) => Some(shared_us.min(own_part_us)),
            (shared_us, own_part_us) => shared_us.or(own_part_us),
        }
    }
}
