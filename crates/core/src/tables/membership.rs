//! State of the membership system.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use smallvec::SmallVec;

use super::{Member, Table, View, ViewDelta};
use crate::ids::{Epoch, Incarnation, VmName};

/// State of the membership system.
#[derive(Debug, Default)]
pub struct Membership {
    /// When this VM learned of the view in force.
    pub view_since_us: u64,
    /// Whether this VM wrote the first view of the fleet, so that nobody owned anything before.
    pub is_founder: bool,
    /// Views that were in force here within the takeover wait, oldest first.
    pub past_views: VecDeque<PastView>,
    /// The latest changes of the view, oldest first.
    pub deltas: VecDeque<ViewDelta>,
    /// Members that were removed lately.
    pub departed: Table<VmName, Departed>,
    /// The VMs that this one exchanges heartbeats with.
    pub peers: HeartbeatPeers,
    /// The number of the last round of heartbeats.
    pub round: u64,
    /// Latest rounds of heartbeats with the time at which each was sent.
    pub sent_rounds: VecDeque<(u64, u64)>,
    /// Promises of writers, with the time from which each counts.
    pub promises: SmallVec<[(VmName, u64); 2]>,
    /// Until when this VM, as a writer, writes no view.
    pub promised_until_us: u64,
    /// Exchange with the store.
    pub store: StoreLink,
    /// VMs that asked to be members, with the time at which they last did.
    pub join_requests: BTreeMap<VmName, (Member, u64)>,
    /// Members that said that they are leaving.
    pub leaving: BTreeMap<VmName, Incarnation>,
    /// VMs that said that they have handed everything over.
    pub left: BTreeMap<VmName, Incarnation>,
    /// Reports of silent members.
    pub suspicions: BTreeMap<VmName, Suspicion>,
    /// Since when a change of the view has been wanted.
    pub change_wanted_since_us: Option<u64>,
    /// The platform's list of VMs.
    pub platform: PlatformList,
    /// Since when all writers have been missing from the platform's list.
    pub writers_missing_since_us: Option<u64>,
    /// The epoch that was last asked for, and when.
    pub view_requested: Option<(Epoch, u64)>,
    /// When this VM last asked to be a member.
    pub join_sent_us: Option<u64>,
    /// When this VM last looked for silent members.
    pub last_silence_check_us: Option<u64>,
    /// When rows of the past were last forgotten.
    pub last_expiry_us: Option<u64>,
    /// The departure of this VM.
    pub departure: Departure,
}

/// A view that was in force here.
#[derive(Debug, Clone)]
pub struct PastView {
    /// The view.
    pub view: View,
    /// When this VM learned of it.
    pub since_us: u64,
    /// When this VM learned of the next one.
    pub until_us: u64,
}

/// A member that was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departed {
    /// The start of its process that was removed.
    pub incarnation: Incarnation,
    /// When this VM learned of the removal.
    pub since_us: u64,
    /// When it said that it has stopped acting and handed everything over.
    pub handed_over_us: Option<u64>,
}

/// The VMs that this one exchanges heartbeats with.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatPeers {
    /// VMs that confirmations are asked from.
    pub parents: Vec<VmName>,
    /// VMs that watch this one.
    pub watchers: Vec<VmName>,
    /// VMs that this one watches, with the time since when.
    pub watched: BTreeMap<VmName, u64>,
    /// Whether the fleet is too large for heartbeats to all.
    pub is_tree: bool,
}

/// Reports of a silent member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The start of its process that is silent.
    pub incarnation: Incarnation,
    /// Who reported it, and when last.
    pub reports: BTreeMap<VmName, u64>,
}

/// The platform's list of VMs, which lags.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformList {
    /// The latest list, if there was one.
    pub listed: Option<BTreeSet<VmName>>,
    /// VMs that have been on the list.
    pub seen: BTreeSet<VmName>,
    /// VMs that the list calls leaving.
    pub leaving: BTreeSet<VmName>,
    /// VMs that have been on the list and are no longer.
    pub delisted: BTreeSet<VmName>,
}

/// Exchange with the store, one request at a time.
#[derive(Debug, Clone, Default)]
pub struct StoreLink {
    /// The request that is not answered yet.
    pub pending: Option<PendingStoreRequest>,
    /// A view that was sent to the store and may have been written.
    pub unresolved: Option<UnresolvedWrite>,
    /// Requests in a row that were not answered.
    pub failures: u32,
    /// Conditional updates in a row that lost.
    pub conflicts: u32,
    /// No request is sent before this time.
    pub not_before_us: u64,
    /// Whether the object has to be read before the next update.
    pub needs_read: bool,
    /// Whether the store holds a view older than the one in force.
    pub is_behind: bool,
    /// Whether the store holds no view.
    pub is_absent: bool,
    /// Reads in a row by which a VM that is cut off found nothing new.
    pub isolated_reads: u32,
    /// When a VM that is cut off reads again.
    pub next_isolated_read_us: u64,
    /// When the store last answered.
    pub answered_us: Option<u64>,
    /// When the last update that succeeded was sent.
    pub updated_us: Option<u64>,
    /// When the last touch was sent, unless it has to be repeated.
    pub touched_us: Option<u64>,
    /// When the earliest timer for the store is due.
    pub timer_us: Option<u64>,
    /// Requests so far; also the counter behind the jitter.
    pub requests: u64,
}

/// A request to the store that is not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingStoreRequest {
    /// What was asked.
    pub kind: StoreRequestKind,
    /// When it was sent.
    pub sent_us: u64,
}

/// A view that was sent to the store and may have been written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnresolvedWrite {
    /// The view.
    pub view: View,
    /// The version that the object must have had.
    pub expected_version: u64,
}

/// What is asked of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRequestKind {
    /// Read the view.
    Read,
    /// Write the next view.
    Write,
    /// Touch the view.
    Touch,
}

/// How far this VM's departure is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Departure {
    /// Whether the process has been asked to stop.
    pub is_draining: bool,
    /// When this VM learned of the view without it.
    pub removed_us: Option<u64>,
    /// Hand-overs that other systems sent and that are not confirmed yet.
    ///
    /// A system that hands rows over adds to this in the tick of the view
    /// change and subtracts when the receiver has confirmed them.
    pub open_hand_overs: u32,
    /// Whether the other members have been told that this VM acts no more.
    pub has_left: bool,
}
