//! Queue of a pool: fair between accounts, ordered by rank within an account.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::queue_counts::QueueCounts;
use super::{Table, UrgencyClass};
use crate::ids::{AccountName, AttemptId, VmName};
use crate::message::Place;

/// Accounts considered for one assignment of an upstream.
const MAX_CANDIDATE_LANES: usize = 4;

/// Calls of one account considered for one assignment of an upstream.
///
/// More than one, so that a call that waits for the upstream with its cache does not block the
/// calls behind it. Few, so that the cost of an assignment is constant.
const MAX_CANDIDATES_PER_LANE: usize = 4;

/// Calls considered for one assignment, best first.
pub type Candidates = SmallVec<[AttemptId; MAX_CANDIDATE_LANES * MAX_CANDIDATES_PER_LANE]>;

/// A call that waits for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// Entry VM of the call.
    pub vm: VmName,
    /// Request of the entry VM for an upstream.
    pub place: Place,
    /// Time at which the request arrived.
    pub arrived_us: u64,
}

/// Position of a call among the calls of its account; the lowest rank goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Level of the call: the service that its program has attained, its priority, or its class,
    /// priority and whether its program has begun.
    pub attained: u64,
    /// Time by which calls of a level are ordered: arrival, or the latest start for the program to
    /// be on time.
    pub arrived_us: u64,
    /// Identity of the attempt, which makes ranks unique.
    pub attempt: AttemptId,
}

/// Waiting calls of one account.
#[derive(Debug, Default)]
struct Lane {
    /// Weighted service that the account has received.
    counter: u64,
    calls: BTreeSet<Rank>,
}

/// Order in which accounts are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LaneOrder {
    /// The account that has received the least weighted service goes first.
    LeastServed,
    /// The account whose first call has the lowest rank goes first, unless the one with the least
    /// weighted service is too far behind.
    LowestRank {
        /// Largest allowed difference in weighted service between two accounts with waiting calls.
        max_lag: u64,
    },
}

/// Order in which waiting calls are refused, the greatest first: calls that no upstream runs yet
/// before those that are confined to one, then by level and time.
type RefusalOrder = (bool, u64, u64, AttemptId);

/// A waiting call with its place in the orders.
#[derive(Debug)]
struct QueueRow {
    waiting: QueuedCall,
    rank: Rank,
    refusal: RefusalOrder,
    lane: LaneKey,
}

/// Account of a lane; absent for calls without an account.
type LaneKey = Option<AccountName>;

/// Calls that wait for an upstream, in the order in which they are served.
///
/// Except for [`iter`](Self::iter), every operation takes time logarithmic in the number of calls
/// and accounts.
#[derive(Debug, Default)]
pub struct Queue {
    rows: Table<AttemptId, QueueRow>,
    lanes: Table<LaneKey, Lane>,
    by_counter: BTreeSet<(u64, LaneKey)>,
    by_rank: BTreeSet<(Rank, LaneKey)>,
    by_arrival: BTreeSet<(u64, AttemptId)>,
    by_refusal: BTreeSet<RefusalOrder>,
    counts: QueueCounts,
    /// Highest counter of an account from which a call was removed.
    floor: u64,
}

/// # Calls
impl Queue {
    /// Adds a call to the lane of an account; its rank is also the order of refusal.
    pub fn push(&mut self, lane: LaneKey, rank: Rank, waiting: QueuedCall) {
        self.push_ordered(lane, rank, (rank.attained, rank.arrived_us), waiting);
    }

    /// Adds a call to the lane of an account, with the level and time by which it is refused.
    ///
    /// The counter of a lane without calls is raised to the least one of the lanes with calls, so
    /// that an account gains no advantage from a time without calls.
    pub fn push_ordered(
        &mut self,
        lane: LaneKey,
        rank: Rank,
        refusal: (u64, u64),
        waiting: QueuedCall,
    ) {
        let floor = self
            .by_counter
            .first()
            .map_or(self.floor, |(least, _)| *least);
        self.remove_from_orders(&lane);
        let row = self.lanes.get_or_insert_with(&lane, Lane::default);
        if row.calls.is_empty() {
            row.counter = row.counter.max(floor);
        }
        row.calls.insert(rank);
        self.insert_in_orders(&lane);
        let refusal = refusal_order(&waiting, refusal);
        self.by_arrival.insert((waiting.arrived_us, rank.attempt));
        self.by_refusal.insert(refusal);
        self.counts.add(&rank);
        let row = QueueRow {
            waiting,
            rank,
            refusal,
            lane,
        };
        self.rows.insert(rank.attempt, row);
    }

    /// Removes a call and returns it.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedCall> {
        let QueueRow {
            waiting,
            rank,
            refusal,
            lane,
        } = self.rows.remove(&attempt)?;
        self.remove_from_orders(&lane);
        if let Some(row) = self.lanes.get_mut(&lane) {
            row.calls.remove(&rank);
            self.floor = self.floor.max(row.counter);
        }
        self.insert_in_orders(&lane);
        self.by_arrival.remove(&(waiting.arrived_us, attempt));
        self.by_refusal.remove(&refusal);
        self.counts.remove(&rank);
        Some(waiting)
    }

    /// Changes the rank of a waiting call, which is also its order of refusal.
    pub fn rerank(&mut self, rank: Rank) {
        let Some(row) = self.rows.get_mut(&rank.attempt) else {
            return;
        };
        let previous = std::mem::replace(&mut row.rank, rank);
        if previous == rank {
            return;
        }
        let refusal = refusal_order(&row.waiting, (rank.attained, rank.arrived_us));
        let previous_refusal = std::mem::replace(&mut row.refusal, refusal);
        let lane = row.lane.clone();
        self.remove_from_orders(&lane);
        if let Some(row) = self.lanes.get_mut(&lane) {
            row.calls.remove(&previous);
            row.calls.insert(rank);
        }
        self.insert_in_orders(&lane);
        self.by_refusal.remove(&previous_refusal);
        self.by_refusal.insert(refusal);
        self.counts.remove(&previous);
        self.counts.add(&rank);
    }

    /// Returns a waiting call.
    pub fn get(&self, attempt: &AttemptId) -> Option<&QueuedCall> {
        self.rows.get(attempt).map(|row| &row.waiting)
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over the waiting calls in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.rows.iter().map(|(_, row)| &row.waiting)
    }

    /// Returns the rank of a waiting call.
    pub fn rank(&self, attempt: &AttemptId) -> Option<Rank> {
        self.rows.get(attempt).map(|row| row.rank)
    }

    /// Returns the number of waiting calls of a class.
    pub fn len_of_class(&self, class: UrgencyClass) -> u32 {
        self.counts.in_class(class)
    }

    /// Returns the number of calls before a rank.
    pub fn calls_before(&self, rank: &Rank) -> u64 {
        self.counts.before(rank)
    }

    /// Returns the call that is refused before all others.
    pub fn first_to_refuse(&self) -> Option<&QueuedCall> {
        let (.., attempt) = self.by_refusal.last()?;
        self.get(attempt)
    }

    /// Returns the call that has waited longest, of the first few that are `placeable`.
    pub fn oldest(&self, placeable: impl Fn(&QueuedCall) -> bool) -> Option<AttemptId> {
        let mut attempts = self.by_arrival.iter().map(|(_, attempt)| *attempt);
        let is_placeable = |attempt: &AttemptId| self.get(attempt).is_some_and(&placeable);
        attempts
            .by_ref()
            .take(MAX_CANDIDATES_PER_LANE)
            .find(is_placeable)
    }
}

/// # Order
impl Queue {
    /// Adds service that an account has received.
    pub fn add_service(&mut self, lane: &LaneKey, service: u64) {
        self.adjust(lane, |counter| counter.saturating_add(service));
    }

    /// Subtracts service that was added but not received.
    pub fn subtract_service(&mut self, lane: &LaneKey, service: u64) {
        self.adjust(lane, |counter| counter.saturating_sub(service));
    }

    /// Returns the weighted service that an account has received.
    pub fn service_received(&self, lane: &LaneKey) -> u64 {
        self.lanes.get(lane).map_or(0, |row| row.counter)
    }

    /// Returns the first calls in the given order of accounts, without those that are not
    /// `placeable` at present.
    pub fn candidates(
        &self,
        order: LaneOrder,
        placeable: impl Fn(&QueuedCall) -> bool,
    ) -> Candidates {
        let mut found = Candidates::new();
        match order {
            LaneOrder::LeastServed => {
                let lanes = self.by_counter.iter().map(|(_, lane)| lane);
                self.collect(lanes, placeable, &mut found);
            }
            LaneOrder::LowestRank { max_lag } => {
                let behind = self.furthest_behind(max_lag);
                let others = self.by_rank.iter().map(|(_, lane)| lane);
                let lanes = behind
                    .into_iter()
                    .chain(others.filter(|lane| Some(*lane) != behind));
                self.collect(lanes, placeable, &mut found);
            }
        }
        found
    }

    /// Returns the account with the least service if it is behind by more than `max_lag`.
    fn furthest_behind(&self, max_lag: u64) -> Option<&LaneKey> {
        let (least, lane) = self.by_counter.first()?;
        let (most, _) = self.by_counter.last()?;
        (most - least > max_lag).then_some(lane)
    }

    /// Appends the first placeable calls of the first lanes to `found`.
    fn collect<'a>(
        &'a self,
        lanes: impl Iterator<Item = &'a LaneKey>,
        placeable: impl Fn(&QueuedCall) -> bool,
        found: &mut Candidates,
    ) {
        for lane in lanes.take(MAX_CANDIDATE_LANES) {
            let Some(row) = self.lanes.get(lane) else {
                continue;
            };
            let attempts = row.calls.iter().map(|rank| rank.attempt);
            let placeable = attempts.filter(|attempt| self.get(attempt).is_some_and(&placeable));
            found.extend(placeable.take(MAX_CANDIDATES_PER_LANE));
        }
    }

    /// Changes the counter of an account and updates the sorted sets.
    fn adjust(&mut self, lane: &LaneKey, change: impl FnOnce(u64) -> u64) {
        self.remove_from_orders(lane);
        let row = self.lanes.get_or_insert_with(lane, Lane::default);
        row.counter = change(row.counter);
        self.insert_in_orders(lane);
    }

    /// Removes a lane from the sorted sets.
    fn remove_from_orders(&mut self, lane: &LaneKey) {
        let Some(row) = self.lanes.get(lane) else {
            return;
        };
        let Some(first) = row.calls.first() else {
            return;
        };
        self.by_counter.remove(&(row.counter, lane.clone()));
        self.by_rank.remove(&(*first, lane.clone()));
    }

    /// Adds a lane to the sorted sets if it has calls.
    fn insert_in_orders(&mut self, lane: &LaneKey) {
        let Some(row) = self.lanes.get(lane) else {
            return;
        };
        let Some(first) = row.calls.first() else {
            return;
        };
        self.by_counter.insert((row.counter, lane.clone()));
        self.by_rank.insert((*first, lane.clone()));
    }
}

/// Returns the place of a call in the order of refusal.
fn refusal_order(waiting: &QueuedCall, (level, time_us): (u64, u64)) -> RefusalOrder {
    let place = &waiting.place;
    let is_confined = place.only.is_some() || place.origin.is_some();
    (!is_confined, level, time_us, place.attempt)
}
