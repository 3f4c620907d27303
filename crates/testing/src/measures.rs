//! Measures over a trace, as in section 1.2 of `docs/design.md`.

use std::collections::{BTreeMap, HashMap, HashSet};

use knapweeddale_core::tables::{Bucket, NCALLS_PER_CALL};
use knapweeddale_core::{AccountName, CallId, FleetConfig, KeyId};

use crate::mesh::{Trace, TraceEvent};

/// Admissions and refusals of an account, compared with one bucket for all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Served {
    /// Calls that were admitted or refused.
    pub calls: u64,
    /// Calls that were admitted.
    pub admitted: u64,
    /// Calls that one bucket for all VMs would have admitted immediately.
    pub entitled: u64,
    /// Calls that were refused although such a bucket had a token for them.
    ///
    /// This bucket is charged for admitted calls at their arrival, and not for refused calls.
    /// While an account exceeds its rate, a single token that is lost (with the bucket of a VM
    /// that crashed) stays in this bucket, so every later refusal is counted as well.
    pub wrongly_refused: u64,
    /// As `wrongly_refused`, but the bucket is charged for wrongly refused calls too.
    ///
    /// Each lost token is counted once, even while an account exceeds its rate.
    pub lost_calls: u64,
}

impl Served {
    /// Returns the ratio of admitted to entitled calls, at most 1.
    pub fn share(&self) -> f64 {
        (self.admitted as f64 / self.entitled.max(1) as f64).min(1.0)
    }

    /// Returns whether one bucket for all VMs would have admitted every call.
    pub fn is_in_rate(&self) -> bool {
        self.calls == self.entitled
    }
}

/// One token bucket for all VMs, charged for the calls that the trace admitted.
///
/// Its level is negative while calls that will be admitted are still queued.
#[derive(Debug)]
struct ReferenceBucket {
    limits: Bucket,
    level_ncalls: i128,
    updated_us: u64,
}

impl ReferenceBucket {
    /// Creates a full bucket.
    fn new(limits: Bucket) -> Self {
        Self {
            limits,
            level_ncalls: limits.burst_ncalls.into(),
            updated_us: 0,
        }
    }

    /// Refills the bucket up to a time and returns whether it has a token for a call.
    fn has_capacity(&mut self, at_us: u64) -> bool {
        let refilled_ncalls = self.limits.rate_mcalls_per_s * (at_us - self.updated_us);
        let level_ncalls = self.level_ncalls + i128::from(refilled_ncalls);
        self.level_ncalls = level_ncalls.min(self.limits.burst_ncalls.into());
        self.updated_us = at_us;
        self.level_ncalls >= i128::from(NCALLS_PER_CALL)
    }

    /// Charges the bucket for one call.
    fn charge(&mut self) {
        self.level_ncalls -= i128::from(NCALLS_PER_CALL);
    }
}

/// Reference buckets of an account and the resulting counts.
#[derive(Debug)]
struct Comparison {
    /// Admits calls independently of the trace.
    entitled: Bucket,
    /// Charged for admitted calls only; see [`Served::wrongly_refused`].
    admitted_only: ReferenceBucket,
    /// Charged for wrongly refused calls too; see [`Served::lost_calls`].
    with_lost: ReferenceBucket,
    served: Served,
}

impl Comparison {
    /// Starts a comparison in which all buckets are full.
    fn new(limits: Bucket) -> Self {
        Self {
            entitled: limits,
            admitted_only: ReferenceBucket::new(limits),
            with_lost: ReferenceBucket::new(limits),
            served: Served::default(),
        }
    }

    /// Counts a call that arrived and charges the buckets for it.
    fn record_arrival(&mut self, at_us: u64, is_admitted: bool) {
        let is_wrong = self.admitted_only.has_capacity(at_us) && !is_admitted;
        let is_lost = self.with_lost.has_capacity(at_us) && !is_admitted;
        if is_admitted {
            self.admitted_only.charge();
        }
        if is_admitted || is_lost {
            self.with_lost.charge();
        }
        let served = &mut self.served;
        served.calls += 1;
        served.admitted += u64::from(is_admitted);
        served.wrongly_refused += u64::from(is_wrong);
        served.lost_calls += u64::from(is_lost);
        served.entitled += u64::from(self.entitled.try_take(at_us));
    }
}

/// Compares calls (arrival time and whether they were admitted) with one bucket.
pub fn compare(limits: Bucket, calls: impl IntoIterator<Item = (u64, bool)>) -> Served {
    let mut comparison = Comparison::new(limits);
    for (at_us, is_admitted) in calls {
        comparison.record_arrival(at_us, is_admitted);
    }
    comparison.served
}

/// Compares the calls of each account with one bucket for all VMs.
///
/// Calls that were neither admitted nor refused are not counted: their VM
/// crashed, or they are still queued.
pub fn compare_accounts(trace: &Trace, fleet: &FleetConfig) -> BTreeMap<AccountName, Served> {
    let mut comparisons = BTreeMap::new();
    let mut accounts = HashMap::<KeyId, AccountName>::new();
    for account in &fleet.accounts {
        let burst_ncalls = account.burst_calls * NCALLS_PER_CALL;
        let limits = Bucket::full(account.rate_mcalls_per_s, burst_ncalls, 0);
        let comparison = Comparison::new(limits);
        comparisons.insert(account.name.clone(), comparison);
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
        if let Some(comparison) = account.and_then(|account| comparisons.get_mut(account)) {
            comparison.record_arrival(*at_us, is_admitted);
        }
    }
    comparisons
        .into_iter()
        .map(|(account, comparison)| (account, comparison.served))
        .collect()
}

/// Returns the admitted calls and the refused calls of a trace.
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

/// Returns the sums over all accounts.
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

/// Returns the smallest [`Served::share`] of all accounts.
pub fn worst_share<'a>(served: impl IntoIterator<Item = &'a Served>) -> f64 {
    served.into_iter().map(Served::share).fold(1.0, f64::min)
}
