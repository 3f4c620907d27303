//! Shares of client accounts that this VM lends to other VMs as owner of the accounts.

use std::collections::{BTreeSet, HashSet, VecDeque};

use smallvec::SmallVec;

use super::{Bucket, NCALLS_PER_CALL, Table};
use crate::ids::{AccountName, Epoch, Incarnation, VmName};
use crate::message::{ShareId, Unlent};

/// Unconfirmed grants that are kept apart for each loan; older ones are merged.
const MAX_OPEN_GRANTS: usize = 8;

/// A rate and a burst, in thousandths of a call per second and billionths of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateLimit {
    /// Sustained rate.
    pub rate_mcalls_per_s: u64,
    /// Capacity of the token bucket.
    pub burst_ncalls: u64,
}

impl RateLimit {
    /// Adds both rates and both bursts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate_mcalls_per_s: self.rate_mcalls_per_s + other.rate_mcalls_per_s,
            burst_ncalls: self.burst_ncalls + other.burst_ncalls,
        }
    }

    /// Returns the higher of both rates and the higher of both bursts.
    #[must_use]
    pub fn higher(self, other: Self) -> Self {
        Self {
            rate_mcalls_per_s: self.rate_mcalls_per_s.max(other.rate_mcalls_per_s),
            burst_ncalls: self.burst_ncalls.max(other.burst_ncalls),
        }
    }

    /// Returns the lower of both rates and the lower of both bursts.
    #[must_use]
    pub fn lower(self, other: Self) -> Self {
        Self {
            rate_mcalls_per_s: self.rate_mcalls_per_s.min(other.rate_mcalls_per_s),
            burst_ncalls: self.burst_ncalls.min(other.burst_ncalls),
        }
    }
}

/// One incarnation of a VM that holds a share.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// VM that holds the share.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// A share of an account that this VM has lent to a holder.
#[derive(Debug, Clone)]
pub struct Loan {
    /// Identity of the share.
    pub id: ShareId,
    /// Number of the demand that opened the loan.
    pub opened_seq: u64,
    /// Number of the latest demand of the holder.
    pub demand_seq: u64,
    /// Time at which that demand was sent, on the holder's clock.
    pub demand_sent_us: u64,
    /// Time at which that demand arrived.
    pub demand_arrived_us: u64,
    /// Time by which the last grant has certainly ended at the holder.
    pub expires_us: u64,
    /// Number of the last grant.
    pub grant_seq: u64,
    /// Rate limit of the last grant.
    pub granted: RateLimit,
    /// Numbers and rate limits of grants, from the last confirmed one to the last one sent.
    pub open_grants: SmallVec<[(u64, RateLimit); 2]>,
    /// Total of calls moved to the holder.
    pub moved_ncalls: u64,
    /// Total of moved calls that the holder has confirmed.
    pub received_ncalls: u64,
    /// Total of calls that the holder has returned.
    pub returned_ncalls: u64,
    /// Total of calls recalled from the holder.
    pub recalled_ncalls: u64,
    /// Weight of the holder in the division of the account, relative to the other holders.
    pub weight: u64,
    /// Rate that the holder wants.
    pub wanted_mcalls_per_s: u64,
    /// Calls that waited at the holder at `reported_us`.
    pub waiting_calls: u64,
    /// Level of the holder's bucket at `reported_us`.
    pub level_ncalls: u64,
    /// Time of the last report of the holder or of the last grant.
    pub reported_us: u64,
    /// Whether the holder is in the queue for calls.
    pub is_queued: bool,
}

/// # Changes
impl Loan {
    /// Creates a loan without a grant.
    pub fn new(id: ShareId, opened_seq: u64) -> Self {
        Self {
            id,
            opened_seq,
            demand_seq: 0,
            demand_sent_us: 0,
            demand_arrived_us: 0,
            expires_us: 0,
            grant_seq: 0,
            granted: RateLimit::default(),
            open_grants: SmallVec::new(),
            moved_ncalls: 0,
            received_ncalls: 0,
            returned_ncalls: 0,
            recalled_ncalls: 0,
            weight: 0,
            wanted_mcalls_per_s: 0,
            waiting_calls: 0,
            level_ncalls: 0,
            reported_us: 0,
            is_queued: false,
        }
    }

    /// Records a new grant that moves calls to the holder and recalls calls from it.
    pub fn grant(
        &mut self,
        limits: RateLimit,
        moved_ncalls: u64,
        recalled_ncalls: u64,
        now_us: u64,
    ) {
        let level_ncalls = self.estimate_level_ncalls(now_us);
        self.granted = limits;
        self.grant_seq += 1;
        self.open_grants.push((self.grant_seq, limits));
        if self.open_grants.len() > MAX_OPEN_GRANTS {
            let (_, oldest) = self.open_grants.remove(0);
            let next = &mut self.open_grants[0].1;
            *next = next.higher(oldest);
        }
        self.moved_ncalls += moved_ncalls;
        self.recalled_ncalls += recalled_ncalls;
        let level_ncalls = (level_ncalls + moved_ncalls).saturating_sub(recalled_ncalls);
        let served_calls = self.waiting_calls.min(level_ncalls / NCALLS_PER_CALL);
        self.waiting_calls -= served_calls;
        self.level_ncalls = level_ncalls - served_calls * NCALLS_PER_CALL;
        self.reported_us = now_us;
    }
}

/// # Totals
impl Loan {
    /// Returns the most that the holder may use until it confirms the last grant.
    ///
    /// Before it applies the last grant, its bucket may be full under an earlier one when the calls
    /// in transit arrive.
    pub fn upper_bound(&self) -> RateLimit {
        let moving_ncalls = self.moved_ncalls - self.received_ncalls;
        let limits = self.open_grants.iter().map(|(_, limits)| *limits);
        let most = limits.fold(RateLimit::default(), RateLimit::higher);
        let earlier = self
            .open_grants
            .split_last()
            .map_or(&[][..], |(_, rest)| rest);
        let earlier = earlier.iter().map(|(_, limits)| *limits);
        let earlier = earlier.fold(RateLimit::default(), RateLimit::higher);
        RateLimit {
            rate_mcalls_per_s: most.rate_mcalls_per_s,
            burst_ncalls: most.burst_ncalls.max(earlier.burst_ncalls + moving_ncalls),
        }
    }

    /// Removes the grants before the one that the holder confirms.
    pub fn confirm(&mut self, applied_seq: u64) {
        self.open_grants.retain(|(seq, _)| *seq >= applied_seq);
    }

    /// Estimates the present level of the holder's bucket.
    pub fn estimate_level_ncalls(&self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.reported_us);
        let grown_ncalls = self.estimate_fill_mcalls_per_s().saturating_mul(elapsed_us);
        let level_ncalls = self.level_ncalls.saturating_add(grown_ncalls);
        level_ncalls.min(self.granted.burst_ncalls.max(self.level_ncalls))
    }

    /// Estimates the rate at which the holder's bucket fills.
    ///
    /// A holder whose bucket runs empty reports it at once; until then, it is assumed to use at
    /// most half of its rate.
    fn estimate_fill_mcalls_per_s(&self) -> u64 {
        if self.waiting_calls > 0 {
            return 0;
        }
        let granted = self.granted.rate_mcalls_per_s;
        let unused = granted.saturating_sub(self.wanted_mcalls_per_s);
        unused.max(granted / 2)
    }

    /// Estimates since when the holder's bucket has been filling; holders are sorted by it.
    ///
    /// It does not change between reports, so the sorted set stays valid.
    fn filling_since_us(&self) -> u64 {
        let filled_us = self.level_ncalls / self.estimate_fill_mcalls_per_s().max(1);
        self.reported_us.saturating_sub(filled_us)
    }

    /// Returns the granted rate per weight; holders are sorted by it.
    fn service_level(&self) -> u64 {
        // The factor of 1,024 keeps ten bits of the fraction.
        self.granted.rate_mcalls_per_s.saturating_mul(1_024) / self.weight.max(1)
    }
}

/// State of a new owner that waits for reports of the shares lent before.
#[derive(Debug, Clone, Default)]
pub struct Takeover {
    /// Sum of what live holders and earlier owners have reported.
    pub known_limits: RateLimit,
    /// Time at which all grants of earlier owners have ended.
    pub until_us: u64,
    /// Shares lent by earlier owners that this owner has taken into its loans.
    pub adopted: HashSet<ShareId>,
    /// Earlier owners that have reported what they had not lent.
    pub reported: HashSet<Holder>,
}

/// A client account that this VM owns.
#[derive(Debug, Clone, Default)]
pub struct OwnedAccount {
    /// What may be lent: the published limit, or during a takeover the part known to be free.
    pub limits: RateLimit,
    /// What is not lent, with the calls that have accumulated there.
    pub reserve: Bucket,
    /// What is lent, including grants in transit.
    pub lent: RateLimit,
    /// Sum of the weights of all holders.
    pub weight: u64,
    /// Loans, by holder.
    pub loans: Table<Holder, Loan>,
    /// Holders by granted rate per weight; the last has most for its weight.
    pub by_service_level: BTreeSet<(u64, Holder)>,
    /// Holders by the time since which their buckets fill; the first can return most.
    pub by_filling: BTreeSet<(u64, Holder)>,
    /// Holders that need calls, in the order of their demands.
    pub queue: VecDeque<Holder>,
    /// State of the takeover from an earlier owner, until it ends.
    pub takeover: Option<Takeover>,
    /// Due time of the timer that checks the queue; 0 if none is set.
    pub queue_due_us: u64,
}

/// # Changes
impl OwnedAccount {
    /// Inserts a loan.
    pub fn insert(&mut self, holder: &Holder, loan: Loan, now_us: u64) {
        self.remove(holder, now_us);
        self.add_to_totals(holder, &loan);
        self.loans.insert(holder.clone(), loan);
        self.update_reserve(now_us);
    }

    /// Removes a loan, which frees what was lent.
    pub fn remove(&mut self, holder: &Holder, now_us: u64) -> Option<Loan> {
        let loan = self.loans.remove(holder)?;
        self.subtract_from_totals(holder, &loan);
        self.update_reserve(now_us);
        Some(loan)
    }

    /// Changes a loan and updates the totals and sorted sets.
    pub fn update(&mut self, holder: &Holder, now_us: u64, change: impl FnOnce(&mut Loan)) {
        let Some(mut loan) = self.loans.get(holder).cloned() else {
            return;
        };
        self.subtract_from_totals(holder, &loan);
        change(&mut loan);
        self.add_to_totals(holder, &loan);
        self.loans.insert(holder.clone(), loan);
        self.update_reserve(now_us);
    }

    /// Sets what may be lent.
    pub fn set_limits(&mut self, limits: RateLimit, now_us: u64) {
        self.limits = limits;
        self.update_reserve(now_us);
    }

    /// Adds returned calls to the reserve, up to the burst that is not lent.
    ///
    /// The rest is dropped, because the account could otherwise exceed its burst later.
    pub fn deposit(&mut self, ncalls: u64) {
        let level_ncalls = self.reserve.level_ncalls.saturating_add(ncalls);
        self.reserve.level_ncalls = level_ncalls.min(self.reserve.burst_ncalls);
    }

    /// Returns whether more is lent than `limits` allows.
    pub fn is_over_limits(&self) -> bool {
        self.lent.rate_mcalls_per_s > self.limits.rate_mcalls_per_s
            || self.lent.burst_ncalls > self.limits.burst_ncalls
    }

    /// Recomputes what is not lent; the time until now is refilled at the old rate.
    fn update_reserve(&mut self, now_us: u64) {
        let (limits, lent) = (self.limits, self.lent);
        let reserve = &mut self.reserve;
        reserve.refill(now_us);
        reserve.rate_mcalls_per_s = limits
            .rate_mcalls_per_s
            .saturating_sub(lent.rate_mcalls_per_s);
        reserve.burst_ncalls = limits.burst_ncalls.saturating_sub(lent.burst_ncalls);
        reserve.level_ncalls = reserve.level_ncalls.min(reserve.burst_ncalls);
    }

    /// Adds a loan to the totals and sorted sets.
    fn add_to_totals(&mut self, holder: &Holder, loan: &Loan) {
        let upper_bound = loan.upper_bound();
        self.lent.rate_mcalls_per_s += upper_bound.rate_mcalls_per_s;
        self.lent.burst_ncalls += upper_bound.burst_ncalls;
        self.weight += loan.weight;
        self.by_service_level
            .insert((loan.service_level(), holder.clone()));
        let filling = (loan.filling_since_us(), holder.clone());
        self.by_filling.insert(filling);
    }

    /// Removes a loan from the totals and sorted sets.
    fn subtract_from_totals(&mut self, holder: &Holder, loan: &Loan) {
        let upper_bound = loan.upper_bound();
        self.lent.rate_mcalls_per_s -= upper_bound.rate_mcalls_per_s;
        self.lent.burst_ncalls -= upper_bound.burst_ncalls;
        self.weight -= loan.weight;
        self.by_service_level
            .remove(&(loan.service_level(), holder.clone()));
        let filling = (loan.filling_since_us(), holder.clone());
        self.by_filling.remove(&filling);
    }
}

/// State of a VM as owner of accounts that belongs to no single account.
#[derive(Debug, Clone, Default)]
pub struct Ownership {
    /// Epoch of the view from which owners were last computed.
    pub epoch: Epoch,
    /// Time at which this VM learned of that view.
    pub learned_us: u64,
    /// Shares opened by this process.
    pub opened_shares: u64,
    /// Members that have not answered the query for shares of this epoch.
    pub unanswered: Vec<VmName>,
    /// Accounts that this VM took over in this epoch.
    pub taken_over: Vec<AccountName>,
    /// What this VM had not lent of accounts that it owned in the previous epoch.
    pub unlent: Table<AccountName, Unlent>,
}
