//! Shares of client accounts that this VM holds.

use std::collections::VecDeque;

use super::{Bucket, ReplicatedBucket};
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

impl Share {
    /// Takes one call; returns `false` if none may be taken.
    ///
    /// A call that begins a program is admitted only while there is room for calls of running
    /// programs.
    pub fn try_take(&mut self, begins_program: bool, now_us: u64) -> bool {
        match &mut self.replicated {
            Some(replicated) => {
                let claim = replicated.account_claim(begins_program);
                replicated.try_take(&mut self.bucket, claim, now_us)
            }
            None => self.bucket.try_take(now_us),
        }
    }

    /// Returns the time until one call can be taken; `None` if that never happens.
    pub fn ready_in_us(&self, begins_program: bool, now_us: u64) -> Option<u64> {
        match &self.replicated {
            Some(replicated) => {
                let claim = replicated.account_claim(begins_program);
                replicated.ready_in_us(&self.bucket, claim, now_us)
            }
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
