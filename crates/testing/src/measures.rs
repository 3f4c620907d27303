//! Measures over a trace, as in section 1.2 of `docs/design.md`.

use std::collections::{BTreeMap, HashMap, HashSet};

use knapweeddale_core::tables::{Bucket, NCALLS_PER_CALL};
use knapweeddale_core::{AccountName, CallId, FleetConfig, KeyId};

use crate::mesh::{Trace, TraceEvent};

/// How an account was served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Served {
    /// Calls that were admitted or refused.
    pub calls: u64,
    /// Calls that were admitted.
    pub admitted: u64,
    /// Calls that one bucket for all VMs would have admitted at once.
    pub entitled: u64,
    /// Calls that were refused although such a bucket held a call for them.
    ///
    /// In this bucket, admitted calls count from their arrival and refused calls take nothing.
    /// While an account sends more than its rate, a single call that is lost (with the bucket of
    /// a VM that died) stays in this bucket and makes every later refusal count.
    pub wrongly_refused: u64,
    /// As `wrongly_refused`, but a wrongly refused call takes the call that was held for it.
    ///
    /// Each lost call counts once, also while an account sends more than its rate.
    pub lost_calls: u64,
}

impl Served {
    /// Returns the admitted part of the entitlement, at most 1.
    pub fn share(&self) -> f64 {
        (self.admitted as f64 / self.entitled.max(1) as f64).min(1.0)
    }

    /// Returns whether one bucket for all VMs would have admitted every call.
    pub fn is_in_rate(&self) -> bool {
        self.calls == self.entitled
    }
}

/// One bucket for all VMs that follows the admissions of a trace.
///
/// Its level is below zero while calls wait that will be admitted.
#[derive(Debug)]
struct Follower {
    limits: Bucket,
    level_ncalls: i128,
    updated_us: u64,
}

impl Follower {
    /// Makes a full bucket.
    fn new(limits: Bucket) -> Self {
        Self {
            limits,
            level_ncalls: limits.burst_ncalls.into(),
            updated_us: 0,
        }
    }

    /// Brings the level up to a time; returns whether there is a call.
    fn has_call(&mut self, at_us: u64) -> bool {
        let grown_ncalls = self.limits.rate_mcalls_per_s * (at_us - self.updated_us);
        let level_ncalls = self.level_ncalls + i128::from(grown_ncalls);
        self.level_ncalls = level_ncalls.min(self.limits.burst_ncalls.into());
        self.updated_us = at_us;
        self.level_ncalls >= i128::from(NCALLS_PER_CALL)
    }

    /// Takes one call out.
    fn take(&mut self) {
        self.level_ncalls -= i128::from(NCALLS_PER_CALL);
    }
}

/// What an account is compared with.
#[derive(Debug)]
struct Ideal {
    /// Admits by itself.
    entitled: Bucket,
    /// Refused calls take nothing.
    strict: Follower,
    /// Wrongly refused calls take one.
    once: Follower,
    served: Served,
}

impl Ideal {
    /// Makes the comparison of an account from a full bucket.
    fn new(limits: Bucket) -> Self {
        Self {
            entitled: limits,
            strict: Follower::new(limits),
            once: Follower::new(limits),
            served: Served::default(),
        }
    }

    /// Takes in a call that arrived.
    fn arrive(&mut self, at_us: u64, is_admitted: bool) {
        let is_wrong = self.strict.has_call(at_us) && !is_admitted;
        let is_lost = self.once.has_call(at_us) && !is_admitted;
        if is_admitted {
            self.strict.take();
        }
        if is_admitted || is_lost {
            self.once.take();
        }
        let served = &mut self.served;
        served.calls += 1;
        served.admitted += u64::from(is_admitted);
        served.wrongly_refused += u64::from(is_wrong);
        served.lost_calls += u64::from(is_lost);
        served.entitled += u64::from(self.entitled.try_take(at_us));
    }
}

/// Compares calls (arrival and whether they were admitted) with one bucket.
pub fn compare(limits: Bucket, calls: impl IntoIterator<Item = (u64, bool)>) -> Served {
    let mut ideal = Ideal::new(limits);
    for (at_us, is_admitted) in calls {
        ideal.arrive(at_us, is_admitted);
    }
    ideal.served
}

/// Compares each account with one bucket for all VMs.
///
/// Calls that were neither admitted nor refused are left out: their VM
/// crashed, or they still wait.
pub fn served(trace: &Trace, fleet: &FleetConfig) -> BTreeMap<AccountName, Served> {
    let mut ideals = BTreeMap::new();
    let mut accounts = HashMap::<KeyId, AccountName>::new();
    for account in &fleet.accounts {
        let burst_ncalls = account.burst_calls * NCALLS_PER_CALL;
        let limits = Bucket::full(account.rate_mcalls_per_s, burst_ncalls, 0);
        let ideal = Ideal::new(limits);
        ideals.insert(account.name.clone(), ideal);
        for key in &account.keys {
            accounts.insert(key.id.clone(), account.name.clone());
        }
    }
    let (admitted, refused) = outcomes(trace);
    for (at_us, event) in &trace.events {
        let TraceEvent::Arrived { call, .. } = event else {
            continue;
        };
        let is_admitted = admitted.contains(&call.id);
        if !is_admitted && !refused.contains(&call.id) {
            continue;
        }
        let account = call.key.as_ref().and_then(|key| accounts.get(&key.id));
        if let Some(ideal) = account.and_then(|account| ideals.get_mut(account)) {
            ideal.arrive(*at_us, is_admitted);
        }
    }
    ideals
        .into_iter()
        .map(|(account, ideal)| (account, ideal.served))
        .collect()
}

/// Returns the calls that were admitted and those that were refused.
fn outcomes(trace: &Trace) -> (HashSet<CallId>, HashSet<CallId>) {
    let mut admitted = HashSet::new();
    let mut refused = HashSet::new();
    for (_, event) in &trace.events {
        match event {
            TraceEvent::Admitted { call, .. } => {
                admitted.insert(*call);
            }
            TraceEvent::Refused(refusal) => {
                refused.insert(refusal.call);
            }
            _ => {}
        }
    }
    (admitted, refused)
}

/// Adds up how all accounts were served.
pub fn total<'a>(served: impl IntoIterator<Item = &'a Served>) -> Served {
    served
        .into_iter()
        .fold(Served::default(), |sum, one| Served {
            calls: sum.calls + one.calls,
            admitted: sum.admitted + one.admitted,
            entitled: sum.entitled + one.entitled,
            wrongly_refused: sum.wrongly_refused + one.wrongly_refused,
            lost_calls: sum.lost_calls + one.lost_calls,
        })
}

/// Returns the smallest share of an account.
pub fn worst_share<'a>(served: impl IntoIterator<Item = &'a Served>) -> f64 {
    served.into_iter().map(Served::share).fold(1.0, f64::min)
}
