//! The ordered queue of a pool.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::Table;
use crate::ids::{AccountName, AttemptId, VmName};
use crate::message::Place;

/// Accounts considered for one assignment.
const MAX_CANDIDATE_LANES: usize = 4;

/// Calls of one account considered for one assignment.
///
/// A call that waits for the upstream with its cache must not block the calls
/// behind it, and a bound keeps the cost of an assignment constant.
const MAX_CANDIDATES_PER_LANE: usize = 4;

/// Calls considered for one assignment, best first.
pub type Candidates = SmallVec<[AttemptId; MAX_CANDIDATE_LANES * MAX_CANDIDATES_PER_LANE]>;

/// A call that waits for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// The entry VM of the call.
    pub vm: VmName,
    /// The request.
    pub place: Place,
    /// When it arrived.
    pub arrived_us: u64,
}

/// The position of a call among the calls of its account; lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Service that the program has attained.
    pub attained: u64,
    /// When the call arrived.
    pub arrived_us: u64,
    /// The call, which makes ranks unique.
    pub attempt: AttemptId,
}

/// The waiting calls of one account.
#[derive(Debug, Default)]
struct Lane {
    /// Weighted service received.
    counter: u64,
    calls: BTreeSet<Rank>,
}

/// Which account goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LaneOrder {
    /// The account that has received the least weighted service.
    LeastServed,
    /// The account whose first call has the lowest rank, unless an account is
    /// this far behind in weighted service.
    LowestRank {
        /// How far an account may fall behind.
        max_lag: u64,
    },
}

/// The account of a lane; absent for calls without one.
type LaneKey = Option<AccountName>;

/// Calls that wait for an upstream, in the order of service.
///
/// Every operation takes a time that is logarithmic in the number of calls
/// and accounts.
#[derive(Debug, Default)]
pub struct Queue {
    rows: Table<AttemptId, (QueuedCall, Rank, LaneKey)>,
    lanes: Table<LaneKey, Lane>,
    by_counter: BTreeSet<(u64, LaneKey)>,
    by_rank: BTreeSet<(Rank, LaneKey)>,
    /// The counter of the account that was served last.
    floor: u64,
}

/// # Calls
impl Queue {
    /// Adds a call to the lane of an account.
    pub fn push(&mut self, lane: LaneKey, rank: Rank, waiting: QueuedCall) {
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
        self.rows.insert(rank.attempt, (waiting, rank, lane));
    }

    /// Removes a call and returns it.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedCall> {
        let (waiting, rank, lane) = self.rows.remove(&attempt)?;
        self.remove_from_orders(&lane);
        if let Some(row) = self.lanes.get_mut(&lane) {
            row.calls.remove(&rank);
            self.floor = self.floor.max(row.counter);
        }
        self.insert_in_orders(&lane);
        Some(waiting)
    }

    /// Returns a waiting call.
    pub fn get(&self, attempt: &AttemptId) -> Option<&QueuedCall> {
        self.rows.get(attempt).map(|(waiting, ..)| waiting)
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over the waiting calls, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.rows.iter().map(|(_, (waiting, ..))| waiting)
    }
}

/// # Order
impl Queue {
    /// Books service that an account has received.
    pub fn add_service(&mut self, lane: &LaneKey, service: u64) {
        self.adjust(lane, |counter| counter.saturating_add(service));
    }

    /// Takes back service that was booked but not received.
    pub fn subtract_service(&mut self, lane: &LaneKey, service: u64) {
        self.adjust(lane, |counter| counter.saturating_sub(service));
    }

    /// Returns the weighted service that an account has received.
    pub fn service_received(&self, lane: &LaneKey) -> u64 {
        self.lanes.get(lane).map_or(0, |row| row.counter)
    }

    /// Returns the first calls in the order of service.
    pub fn candidates(&self, order: LaneOrder) -> Candidates {
        let mut found = Candidates::new();
        match order {
            LaneOrder::LeastServed => {
                let lanes = self.by_counter.iter().map(|(_, lane)| lane);
                self.collect(lanes, &mut found);
            }
            LaneOrder::LowestRank { max_lag } => {
                let behind = self.furthest_behind(max_lag);
                let others = self.by_rank.iter().map(|(_, lane)| lane);
                let lanes = behind
                    .into_iter()
                    .chain(others.filter(|lane| Some(*lane) != behind));
                self.collect(lanes, &mut found);
            }
        }
        found
    }

    /// Returns the account that is further behind than a bound, if there is one.
    fn furthest_behind(&self, max_lag: u64) -> Option<&LaneKey> {
        let (least, lane) = self.by_counter.first()?;
        let (most, _) = self.by_counter.last()?;
        (most - least > max_lag).then_some(lane)
    }

    /// Collects the first calls of the first lanes.
    fn collect<'a>(&'a self, lanes: impl Iterator<Item = &'a LaneKey>, found: &mut Candidates) {
        for lane in lanes.take(MAX_CANDIDATE_LANES) {
            let Some(row) = self.lanes.get(lane) else {
                continue;
            };
            let first = row.calls.iter().take(MAX_CANDIDATES_PER_LANE);
            found.extend(first.map(|rank| rank.attempt));
        }
    }

    /// Changes the counter of an account.
    fn adjust(&mut self, lane: &LaneKey, change: impl FnOnce(u64) -> u64) {
        self.remove_from_orders(lane);
        let row = self.lanes.get_or_insert_with(lane, Lane::default);
        row.counter = change(row.counter);
        self.insert_in_orders(lane);
    }

    /// Removes a lane from the ordered sets.
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

    /// Adds a lane with calls to the ordered sets.
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
