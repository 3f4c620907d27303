//! Shares of client accounts that this VM holds.

use std::collections::VecDeque;

use super::{Bucket, NCALLS_PER_CALL};
use crate::ids::{CallId, Epoch, VmName};
use crate::message::ShareId;

/// Length of one slot of a meter.
const METER_SLOT_US: u64 = 1_000_000;

/// Counts arrivals over about the last second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Meter {
    slot: u64,
    current_calls: u64,
    previous_calls: u64,
}

impl Meter {
    /// Counts one arrival.
    pub fn count(&mut self, now_us: u64) {
        self.advance(now_us);
        self.current_calls += 1;
    }

    /// Returns the rate, weighting the previous slot by its part in the last second.
    pub fn rate_mcalls_per_s(&mut self, now_us: u64) -> u64 {
        self.advance(now_us);
        let rest_us = METER_SLOT_US - now_us % METER_SLOT_US;
        self.current_calls * 1_000 + self.previous_calls * rest_us / (METER_SLOT_US / 1_000)
    }

    /// Starts a new slot if the time has come.
    fn advance(&mut self, now_us: u64) {
        let slot = now_us / METER_SLOT_US;
        if slot == self.slot {
            return;
        }
        let is_next = slot == self.slot + 1;
        self.previous_calls = if is_next { self.current_calls } else { 0 };
        self.current_calls = 0;
        self.slot = slot;
    }
}

/// A grant in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldGrant {
    /// The share.
    pub id: ShareId,
    /// The last grant that was applied.
    pub applied_seq: u64,
    /// When the grant ends, on this VM's clock.
    pub until_us: u64,
    /// All calls that were deposited with grants of the share.
    pub received_ncalls: u64,
    /// All calls that were given back.
    pub returned_ncalls: u64,
    /// All calls that the owner has asked back, as far as answered.
    pub recalled_ncalls: u64,
}

/// What this VM may spend of a client account, and the calls that wait for it.
#[derive(Debug, Clone, Default)]
pub struct Share {
    /// What may be admitted; empty without a grant.
    pub bucket: Bucket,
    /// The grant in force.
    pub held: Option<HeldGrant>,
    /// Calls that wait for the rate, first come first served.
    pub waiting: VecDeque<CallId>,
    /// Calls that begin a program; they wait until no other call does.
    pub waiting_to_begin: VecDeque<CallId>,
    /// Arrivals of the last second.
    pub arrivals: Meter,
    /// When the last call arrived.
    pub last_call_us: u64,
    /// The last demand.
    pub demand_seq: u64,
    /// When the last demand that asks for a grant was sent.
    pub last_ask_us: u64,
    /// New shares that answer an earlier demand than this are ignored.
    pub floor_seq: u64,
    /// Pause before the next demand while calls wait; 0 if none wait.
    pub retry_us: u64,
    /// When the next demand is due; 0 if no timer runs.
    pub demand_due_us: u64,
    /// When the bucket is looked at again; 0 if no timer runs.
    pub refill_due_us: u64,
    /// Whether the owner still takes the account over and can lend little.
    pub is_owner_taking_over: bool,
    /// The owner of the account and the epoch in which it was worked out.
    pub owner: Option<(Epoch, VmName)>,
    /// How the bucket is shared with other VMs, if no owner divides it.
    pub replicated: Option<ReplicatedBucket>,
}

/// How a VM takes from a bucket of which each VM keeps a copy.
///
/// The copies learn of each other's calls with the delay of a summary. While the level is high,
/// calls are taken freely; below the reserve, each VM keeps to its part of the rate, so that the
/// VMs together do not take the same calls twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicatedBucket {
    /// Level below which each VM keeps to its part.
    pub reserve_ncalls: u64,
    /// Level below which no call that begins a program is admitted.
    pub begin_reserve_ncalls: u64,
    /// Calls that were taken beyond the level; they are paid back from the rate.
    pub debt_ncalls: u64,
    /// This VM's part of the rate.
    pub own_part: Bucket,
}

impl ReplicatedBucket {
    /// Takes one call from this VM's copy of the bucket; returns whether there was one.
    fn try_take(&mut self, bucket: &mut Bucket, begins: bool, now_us: u64) -> bool {
        self.repay_debt(bucket, now_us);
        let needed_ncalls = self.reserved_ncalls(begins) + NCALLS_PER_CALL;
        let is_ample = self.debt_ncalls == 0 && bucket.level_ncalls >= needed_ncalls;
        let is_paced = !begins && self.own_part.try_take(now_us);
        if is_ample || is_paced {
            self.debit(bucket, NCALLS_PER_CALL);
        }
        is_ample || is_paced
    }

    /// Returns the level that a call has to leave, apart from a VM's own part of the rate.
    fn reserved_ncalls(&self, begins: bool) -> u64 {
        if begins {
            self.begin_reserve_ncalls
        } else {
            self.reserve_ncalls
        }
    }

    /// Takes calls of another VM from this VM's copy of the bucket.
    pub fn debit(&mut self, bucket: &mut Bucket, ncalls: u64) {
        let taken = bucket.level_ncalls.min(ncalls);
        bucket.level_ncalls -= taken;
        self.debt_ncalls += ncalls - taken;
    }

    /// Refills the copy, paying debt back first.
    pub fn repay_debt(&mut self, bucket: &mut Bucket, now_us: u64) {
        bucket.refill(now_us);
        let paid = bucket.level_ncalls.min(self.debt_ncalls);
        bucket.level_ncalls -= paid;
        self.debt_ncalls -= paid;
    }

    /// Returns the time until one call can be taken; `None` if that never happens.
    fn ready_in_us(&self, bucket: &Bucket, begins: bool, now_us: u64) -> Option<u64> {
        let mut full = *bucket;
        full.refill(now_us);
        let needed = self.reserved_ncalls(begins) + self.debt_ncalls + NCALLS_PER_CALL;
        let missing = needed.saturating_sub(full.level_ncalls);
        let ample_us = match bucket.rate_mcalls_per_s {
            0 => None,
            rate => Some(missing.div_ceil(rate)),
        };
        let paced_us = self.own_part.ready_in_us(now_us).filter(|_| !begins);
        match (ample_us, paced_us) {
            (Some(ample_us), Some(paced_us)) => Some(ample_us.min(paced_us)),
            (ample_us, paced_us) => ample_us.or(paced_us),
        }
    }
}

impl Share {
    /// Takes one call; returns whether there was one.
    ///
    /// A call that begins a program is admitted only while there is room for those that go on.
    pub fn try_take(&mut self, begins: bool, now_us: u64) -> bool {
        match &mut self.replicated {
            Some(pooled) => pooled.try_take(&mut self.bucket, begins, now_us),
            None => self.bucket.try_take(now_us),
        }
    }

    /// Returns the time until one call can be taken; `None` if that never happens.
    pub fn ready_in_us(&self, begins: bool, now_us: u64) -> Option<u64> {
        match &self.replicated {
            Some(pooled) => pooled.ready_in_us(&self.bucket, begins, now_us),
            None => self.bucket.ready_in_us(now_us),
        }
    }

    /// Returns the queue of calls that begin a program, or that of the others.
    pub fn queue_mut(&mut self, begins: bool) -> &mut VecDeque<CallId> {
        if begins {
            &mut self.waiting_to_begin
        } else {
            &mut self.waiting
        }
    }

    /// Drops the share; grants that answer earlier demands are ignored from now on.
    pub fn drop_grant(&mut self) {
        self.held = None;
        self.bucket = Bucket::default();
        self.floor_seq = self.demand_seq + 1;
    }

    /// Drops the share if its grant has ended.
    pub fn drop_expired(&mut self, now_us: u64) {
        if self.held.is_some_and(|held| held.until_us <= now_us) {
            self.drop_grant();
        }
    }
}
