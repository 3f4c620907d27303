//! Shares of client accounts that this VM holds.

use std::collections::VecDeque;

use super::{Bucket, NCALLS_PER_CALL};
use crate::ids::{CallId, Epoch, VmName};
use crate::message::ShareId;

/// Length of one counting slot of a meter.
const METER_SLOT_US: u64 = 1_000_000;

/// Measures the arrival rate over about the last second.
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

    /// Returns the rate; the previous slot counts in proportion to its part of the last second.
    pub fn rate_mcalls_per_s(&mut self, now_us: u64) -> u64 {
        self.advance(now_us);
        let rest_us = METER_SLOT_US - now_us % METER_SLOT_US;
        self.current_calls * 1_000 + self.previous_calls * rest_us / (METER_SLOT_US / 1_000)
    }

    /// Starts a new slot if the present one has ended.
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

/// A grant in force at its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldGrant {
    /// Identity of the share.
    pub id: ShareId,
    /// Number of the last grant that was applied.
    pub applied_seq: u64,
    /// End of the grant, on this VM's clock.
    pub until_us: u64,
    /// Total of calls received with grants of the share.
    pub received_ncalls: u64,
    /// Total of calls returned to the owner.
    pub returned_ncalls: u64,
    /// Total of calls recalled by the owner, as far as this VM has answered.
    pub recalled_ncalls: u64,
}

/// What this VM may admit for a client account, and the calls that wait for it.
#[derive(Debug, Clone, Default)]
pub struct Share {
    /// Calls that may be admitted; empty without a grant.
    pub bucket: Bucket,
    /// The grant in force.
    pub held: Option<HeldGrant>,
    /// Calls that wait for the rate, in order of arrival.
    pub waiting: VecDeque<CallId>,
    /// Calls that begin a program; they are admitted when no other call waits.
    pub waiting_to_begin: VecDeque<CallId>,
    /// Arrival rate over the last second.
    pub arrivals: Meter,
    /// Time of the last arrival.
    pub last_call_us: u64,
    /// Number of the last demand.
    pub demand_seq: u64,
    /// Time at which the last demand for a grant was sent.
    pub last_ask_us: u64,
    /// New shares that answer a demand with a lower number are ignored.
    pub floor_seq: u64,
    /// Pause before the next demand while calls wait; 0 if none wait.
    pub retry_us: u64,
    /// Due time of the timer for the next demand; 0 if none is set.
    pub demand_due_us: u64,
    /// Due time of the timer that checks the bucket; 0 if none is set.
    pub refill_due_us: u64,
    /// Whether the owner is still taking the account over and can lend little.
    pub is_owner_taking_over: bool,
    /// Owner of the account, with the epoch of the view from which it was computed.
    pub owner: Option<(Epoch, VmName)>,
    /// State of the replicated bucket; absent if an owner divides the rate.
    pub replicated: Option<ReplicatedBucket>,
}

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
}

impl ReplicatedBucket {
    /// Takes one call from this VM's copy of the bucket; returns `false` if none may be taken.
    fn try_take(&mut self, bucket: &mut Bucket, begins_program: bool, now_us: u64) -> bool {
        self.repay_debt(bucket, now_us);
        let needed_ncalls = self.reserved_ncalls(begins_program) + NCALLS_PER_CALL;
        let is_ample = self.debt_ncalls == 0 && bucket.level_ncalls >= needed_ncalls;
        let is_within_own_part = !begins_program && self.own_part.try_take(now_us);
        if is_ample || is_within_own_part {
            self.debit(bucket, NCALLS_PER_CALL);
        }
        is_ample || is_within_own_part
    }

    /// Returns the level that a call must leave unless it is taken from `own_part`.
    fn reserved_ncalls(&self, begins_program: bool) -> u64 {
        if begins_program {
            self.begin_reserve_ncalls
        } else {
            self.reserve_ncalls
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
    fn ready_in_us(&self, bucket: &Bucket, begins_program: bool, now_us: u64) -> Option<u64> {
        let mut copy = *bucket;
        copy.refill(now_us);
        let needed = self.reserved_ncalls(begins_program) + self.debt_ncalls + NCALLS_PER_CALL;
        let missing = needed.saturating_sub(copy.level_ncalls);
        let ample_us = match bucket.rate_mcalls_per_s {
            0 => None,
            rate => Some(missing.div_ceil(rate)),
        };
        let own_part_us = self
            .own_part
            .ready_in_us(now_us)
            .filter(|_| !begins_program);
        match (ample_us, own_part_us) {
            (Some(ample_us), Some(own_part_us)) => Some(ample_us.min(own_part_us)),
            (ample_us, own_part_us) => ample_us.or(own_part_us),
        }
    }
}

impl Share {
    /// Takes one call; returns `false` if none may be taken.
    ///
    /// A call that begins a program is admitted only while there is room for calls of running
    /// programs.
    pub fn try_take(&mut self, begins_program: bool, now_us: u64) -> bool {
        match &mut self.replicated {
            Some(replicated) => replicated.try_take(&mut self.bucket, begins_program, now_us),
            None => self.bucket.try_take(now_us),
        }
    }

    /// Returns the time until one call can be taken; `None` if that never happens.
    pub fn ready_in_us(&self, begins_program: bool, now_us: u64) -> Option<u64> {
        match &self.replicated {
            Some(replicated) => replicated.ready_in_us(&self.bucket, begins_program, now_us),
            None => self.bucket.ready_in_us(now_us),
        }
    }

    /// Returns the queue of the calls that begin a program, or the queue of all others.
    pub fn queue_mut(&mut self, begins_program: bool) -> &mut VecDeque<CallId> {
        if begins_program {
            &mut self.waiting_to_begin
        } else {
            &mut self.waiting
        }
    }

    /// Drops the share; grants that answer earlier demands are ignored from then on.
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
