//! Shares of client accounts that this VM has lent as their owner.

use std::collections::{BTreeSet, HashSet, VecDeque};

use smallvec::SmallVec;

use super::{Bucket, NCALLS_PER_CALL, Table};
use crate::ids::{AccountName, Epoch, Incarnation, VmName};
use crate::message::{ShareId, Unlent};

/// Grants that are kept until they are confirmed; older ones are merged.
const MAX_OPEN_GRANTS: usize = 8;

/// A rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateLimit {
    /// The rate.
    pub rate_mcalls_per_s: u64,
    /// The burst.
    pub burst_ncalls: u64,
}

impl RateLimit {
    /// Adds another rate and burst.
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

/// One start of a VM that holds a share.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// The VM.
    pub vm: VmName,
    /// The start of its process.
    pub incarnation: Incarnation,
}

/// A share that this VM has lent.
#[derive(Debug, Clone)]
pub struct Loan {
    /// The share.
    pub id: ShareId,
    /// The demand that opened it.
    pub opened_seq: u64,
    /// The newest demand of the holder.
    pub demand_seq: u64,
    /// When that demand was sent, on the holder's clock.
    pub demand_sent_us: u64,
    /// When that demand arrived.
    pub demand_arrived_us: u64,
    /// When the last grant has certainly ended at the holder.
    pub expires_us: u64,
    /// The last grant.
    pub grant_seq: u64,
    /// What the last grant says.
    pub granted: RateLimit,
    /// Grants by number, from the last one that the holder confirmed to the last one.
    pub open_grants: SmallVec<[(u64, RateLimit); 2]>,
    /// All calls that moved to the holder.
    pub moved_ncalls: u64,
    /// All calls that the holder has confirmed.
    pub received_ncalls: u64,
    /// All calls that the holder has given back.
    pub returned_ncalls: u64,
    /// All calls that were asked back.
    pub recalled_ncalls: u64,
    /// The part of the account that the holder should have, relative to others.
    pub weight: u64,
    /// The rate that the holder wants.
    pub wanted_mcalls_per_s: u64,
    /// Calls that waited at the holder.
    pub waiting_calls: u64,
    /// Calls in the holder's bucket.
    pub level_ncalls: u64,
    /// When the holder reported these.
    pub reported_us: u64,
    /// Whether the holder is in the queue for calls.
    pub is_queued: bool,
}

/// # Changes
impl Loan {
    /// Makes a loan with nothing lent yet.
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

    /// Grants other limits, moves calls to the holder and asks calls back.
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
    /// Returns what the holder may use at most until it confirms the last grant.
    ///
    /// Before it applies the last grant, its bucket may be full under an
    /// earlier one when the calls that are on their way arrive.
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

    /// Forgets grants before the one that the holder confirms.
    pub fn confirm(&mut self, applied_seq: u64) {
        self.open_grants.retain(|(seq, _)| *seq >= applied_seq);
    }

    /// Estimates the calls in the holder's bucket.
    pub fn estimate_level_ncalls(&self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.reported_us);
        let grown_ncalls = self.estimate_fill_mcalls_per_s().saturating_mul(elapsed_us);
        let level_ncalls = self.level_ncalls.saturating_add(grown_ncalls);
        level_ncalls.min(self.granted.burst_ncalls.max(self.level_ncalls))
    }

    /// Returns the rate at which the holder's bucket is assumed to fill.
    ///
    /// A holder whose bucket runs out says so at once; until then, it is
    /// assumed to use at most half of its rate.
    fn estimate_fill_mcalls_per_s(&self) -> u64 {
        if self.waiting_calls > 0 {
            return 0;
        }
        let granted = self.granted.rate_mcalls_per_s;
        let unused = granted.saturating_sub(self.wanted_mcalls_per_s);
        unused.max(granted / 2)
    }

    /// Orders holders by the time for which their buckets have been filling.
    ///
    /// This time does not change between reports, so the order can be kept.
    fn filling_since_us(&self) -> u64 {
        let filled_us = self.level_ncalls / self.estimate_fill_mcalls_per_s().max(1);
        self.reported_us.saturating_sub(filled_us)
    }

    /// Orders holders by how well they are served compared with their weight.
    fn service_level(&self) -> u64 {
        // 1,024 keeps ten bits of the fraction.
        self.granted.rate_mcalls_per_s.saturating_mul(1_024) / self.weight.max(1)
    }
}

/// The wait of a new owner for shares that it does not know.
#[derive(Debug, Clone, Default)]
pub struct Takeover {
    /// What live holders and the earlier owner have reported.
    pub known_limits: RateLimit,
    /// When all grants of earlier owners have ended.
    pub until_us: u64,
    /// Shares that were adopted.
    pub adopted: HashSet<ShareId>,
    /// Earlier owners that stated what they had not lent.
    pub reported: HashSet<Holder>,
}

/// A client account that this VM owns.
#[derive(Debug, Clone, Default)]
pub struct OwnedAccount {
    /// What may be lent: the published limits, or during a takeover what is known to be free.
    pub limits: RateLimit,
    /// What is not lent, with the calls that have gathered there.
    pub reserve: Bucket,
    /// What is lent, including grants that are on their way.
    pub lent: RateLimit,
    /// The weights of all holders.
    pub weight: u64,
    /// Loans by holder.
    pub loans: Table<Holder, Loan>,
    /// Holders by how well they are served; the last has most for its weight.
    pub by_service_level: BTreeSet<(u64, Holder)>,
    /// Holders by the time since which their buckets fill; the first has most to give.
    pub by_filling: BTreeSet<(u64, Holder)>,
    /// Holders that need calls, in the order of their demands.
    pub queue: VecDeque<Holder>,
    /// The wait after a change of owner.
    pub takeover: Option<Takeover>,
    /// When the queue is looked at again; 0 if no timer runs.
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

    /// Removes a loan; what was lent is free again.
    pub fn remove(&mut self, holder: &Holder, now_us: u64) -> Option<Loan> {
        let loan = self.loans.remove(holder)?;
        self.subtract_from_totals(holder, &loan);
        self.update_reserve(now_us);
        Some(loan)
    }

    /// Changes a loan and brings totals and orders up to date.
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

    /// Adds calls that came back, up to the burst that is not lent.
    ///
    /// The rest is lost: kept for later, it would exceed the account's burst.
    pub fn deposit(&mut self, ncalls: u64) {
        let level_ncalls = self.reserve.level_ncalls.saturating_add(ncalls);
        self.reserve.level_ncalls = level_ncalls.min(self.reserve.burst_ncalls);
    }

    /// Returns whether more is lent than may be.
    pub fn is_over_limits(&self) -> bool {
        self.lent.rate_mcalls_per_s > self.limits.rate_mcalls_per_s
            || self.lent.burst_ncalls > self.limits.burst_ncalls
    }

    /// Works out what is not lent; the time before counts at the old rate.
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

    /// Adds a loan to totals and orders.
    fn add_to_totals(&mut self, holder: &Holder, loan: &Loan) {
        let counted = loan.upper_bound();
        self.lent.rate_mcalls_per_s += counted.rate_mcalls_per_s;
        self.lent.burst_ncalls += counted.burst_ncalls;
        self.weight += loan.weight;
        self.by_service_level
            .insert((loan.service_level(), holder.clone()));
        let filling = (loan.filling_since_us(), holder.clone());
        self.by_filling.insert(filling);
    }

    /// Removes a loan from totals and orders.
    fn subtract_from_totals(&mut self, holder: &Holder, loan: &Loan) {
        let counted = loan.upper_bound();
        self.lent.rate_mcalls_per_s -= counted.rate_mcalls_per_s;
        self.lent.burst_ncalls -= counted.burst_ncalls;
        self.weight -= loan.weight;
        self.by_service_level
            .remove(&(loan.service_level(), holder.clone()));
        let filling = (loan.filling_since_us(), holder.clone());
        self.by_filling.remove(&filling);
    }
}

/// What the owner's side of the rates keeps beside its rows.
#[derive(Debug, Clone, Default)]
pub struct Ownership {
    /// The view that owners were worked out for.
    pub epoch: Epoch,
    /// When it was learned.
    pub learned_us: u64,
    /// Shares opened by this start.
    pub opened_shares: u64,
    /// Members that have not answered the query of this epoch.
    pub unanswered: Vec<VmName>,
    /// Accounts that were taken over in this epoch.
    pub taken_over: Vec<AccountName>,
    /// What this VM had not lent of accounts that it owned in the epoch before.
    pub unlent: Table<AccountName, Unlent>,
}
