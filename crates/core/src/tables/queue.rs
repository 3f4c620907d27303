//! Queue of a pool: fair between accounts, ordered by rank within an account.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::Table;
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
    /// Service that the program of the call has attained.
    pub attained: u64,
    /// Time at which the call arrived.
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

/// Account of a lane; absent for calls without an account.
type LaneKey = Option<AccountName>;

/// Calls that wait for an upstream, in the order in which they are served.
///
/// Except for [`iter`](Self::iter), every operation takes time logarithmic in the number of calls
/// and accounts.
#[derive(Debug, Default)]
pub struct Queue {
    rows: Table<AttemptId, (QueuedCall, Rank, LaneKey)>,
    lanes: Table<LaneKey, Lane>,
    by_counter: BTreeSet<(u64, LaneKey)>,
    by_rank: BTreeSet<(Rank, LaneKey)>,
    /// Highest counter of an account from which a call was removed.
    floor: u64,
}

/// # Calls
impl Queue {
    /// Adds a call to the lane of an account.
    ///
    /// The counter of a lane without calls is raised to the least one of the lanes with calls, so
    /// that an account gains no advantage from a time without calls.
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

    /// Iterates over the waiting calls in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.rows.iter().map(|(_, (waiting, ..))| waiting)
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
