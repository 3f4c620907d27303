//! State of the membership system.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use smallvec::SmallVec;

use super::{Member, Table, View, ViewDelta};
use crate::ids::{Epoch, Incarnation, VmName};

/// State of the membership system.
#[derive(Debug, Default)]
pub struct Membership {
    /// Time at which this VM learned of the view in force.
    pub view_since_us: u64,
    /// Whether this VM wrote the first view of the fleet, so that there were no earlier owners.
    pub is_founder: bool,
    /// Views that were in force here within the takeover wait, oldest first.
    pub past_views: VecDeque<PastView>,
    /// The latest differences between successive views, oldest first.
    pub deltas: VecDeque<ViewDelta>,
    /// Members that were removed recently.
    pub departed: Table<VmName, Departed>,
    /// VMs with which this one exchanges heartbeats.
    pub peers: HeartbeatPeers,
    /// Number of the last round of heartbeats.
    pub round: u64,
    /// Numbers of the latest rounds of heartbeats with the times at which they were sent.
    pub sent_rounds: VecDeque<(u64, u64)>,
    /// Promises of writers to write no view for a while, with the time from which each counts.
    pub promises: SmallVec<[(VmName, u64); 2]>,
    /// Time until which this VM, as a writer, has promised to write no view.
    pub promised_until_us: u64,
    /// State of the requests to the store.
    pub store: StoreLink,
    /// VMs that asked to become members, with the time of their last request.
    pub join_requests: BTreeMap<VmName, (Member, u64)>,
    /// Members that have announced their departure.
    pub leaving: BTreeMap<VmName, Incarnation>,
    /// VMs that have reported the end of their hand-overs.
    pub left: BTreeMap<VmName, Incarnation>,
    /// Reports of silent members, by member.
    pub suspicions: BTreeMap<VmName, Suspicion>,
    /// Time since which a change of the view has been wanted; absent if none is.
    pub change_wanted_since_us: Option<u64>,
    /// The platform's list of VMs.
    pub platform: PlatformList,
    /// Time since which all writers have been missing from the platform's list.
    pub writers_missing_since_us: Option<u64>,
    /// Epoch of the last view that was requested, with the time of the request.
    pub view_requested: Option<(Epoch, u64)>,
    /// Time at which this VM last asked to become a member.
    pub join_sent_us: Option<u64>,
    /// Time of the last check for silent members.
    pub last_silence_check_us: Option<u64>,
    /// Time at which outdated rows were last removed.
    pub last_expiry_us: Option<u64>,
    /// Progress of this VM's own departure.
    pub departure: Departure,
}

/// A view that was in force here.
#[derive(Debug, Clone)]
pub struct PastView {
    /// The view.
    pub view: View,
    /// Time at which this VM learned of it.
    pub since_us: u64,
    /// Time at which this VM learned of the next view.
    pub until_us: u64,
}

/// A member that was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departed {
    /// Incarnation that was removed.
    pub incarnation: Incarnation,
    /// Time at which this VM learned of the removal.
    pub since_us: u64,
    /// Time of its report that it has stopped acting and handed everything over.
    pub handed_over_us: Option<u64>,
}

/// VMs with which this one exchanges heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatPeers {
    /// VMs that are asked for confirmations of the view.
    pub parents: Vec<VmName>,
    /// VMs that check this one for silence.
    pub watchers: Vec<VmName>,
    /// VMs that this one checks for silence, with the time since which it does.
    pub watched: BTreeMap<VmName, u64>,
    /// Whether heartbeats form a tree, because the fleet is too large for heartbeats to all.
    pub is_tree: bool,
}

/// Reports of a silent member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Incarnation that is silent.
    pub incarnation: Incarnation,
    /// VMs that reported it, with the time of the last report of each.
    pub reports: BTreeMap<VmName, u64>,
}

/// The platform's list of VMs, which may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformList {
    /// The latest list; absent until one has been read.
    pub listed: Option<BTreeSet<VmName>>,
    /// VMs that have been on the list.
    pub seen: BTreeSet<VmName>,
    /// VMs that the list marks as leaving.
    pub leaving: BTreeSet<VmName>,
    /// VMs that have been on the list and no longer are.
    pub delisted: BTreeSet<VmName>,
}

/// State of the requests to the store, of which one is in flight at a time.
#[derive(Debug, Clone, Default)]
pub struct StoreLink {
    /// The request in flight.
    pub pending: Option<PendingStoreRequest>,
    /// A view that was sent to the store without an answer, so that it may have been written.
    pub unresolved: Option<UnresolvedWrite>,
    /// Consecutive requests without an answer.
    pub failures: u32,
    /// Consecutive conditional updates that failed because another write came first.
    pub conflicts: u32,
    /// Time before which no request is sent.
    pub not_before_us: u64,
    /// Whether the object has to be read before the next update.
    pub needs_read: bool,
    /// Whether the store holds a view older than the one in force.
    pub is_behind: bool,
    /// Whether the store holds no view.
    pub is_absent: bool,
    /// Consecutive reads by which an isolated VM found nothing new.
    pub isolated_reads: u32,
    /// Time of the next read by an isolated VM.
    pub next_isolated_read_us: u64,
    /// Time of the last answer of the store.
    pub answered_us: Option<u64>,
    /// Time at which the last successful update was sent.
    pub updated_us: Option<u64>,
    /// Time at which the last touch was sent; absent if it has to be repeated.
    pub touched_us: Option<u64>,
    /// Due time of the earliest timer for the store.
    pub timer_us: Option<u64>,
    /// Requests sent so far; the number also varies the jitter.
    pub requests: u64,
}

/// A request to the store that is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingStoreRequest {
    /// Kind of the request.
    pub kind: StoreRequestKind,
    /// Time at which it was sent.
    pub sent_us: u64,
}

/// A view that was sent to the store without an answer, so that it may have been written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnresolvedWrite {
    /// The view.
    pub view: View,
    /// Version of the object on which the write was conditional.
    pub expected_version: u64,
}

/// Kind of a request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRequestKind {
    /// Reads the view.
    Read,
    /// Writes the next view.
    Write,
    /// Writes the present view unchanged, which confirms that it is current.
    Touch,
}

/// Progress of this VM's departure from the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Departure {
    /// Whether the process has been asked to stop.
    pub is_draining: bool,
    /// Time at which this VM learned of the view that no longer contains it.
    pub removed_us: Option<u64>,
    /// Hand-overs sent by other systems that are not confirmed yet.
    ///
    /// A system that hands rows over increments this in the tick of the view change and decrements
    /// it when the receiver has confirmed them.
    pub open_hand_overs: u32,
    /// Whether the other members have been told that this VM has stopped acting.
    pub has_left: bool,
    /// When the process ends all open calls, once it was asked to stop.
    pub calls_end_us: Option<u64>,
}
