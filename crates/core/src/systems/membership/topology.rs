//! Chooses which VMs exchange heartbeats.
//!
//! Small fleets use a full mesh. Larger ones use a tree of parents for
//! confirmations and a ring of watchers for failure detection.

use super::super::Tick;
use crate::ids::VmName;
use crate::tables::{HeartbeatPeers, View, hash_name};

/// Largest fleet in which every member sends heartbeats to all others.
pub(super) const MAX_MESH_SIZE: usize = 9;

/// Number of VMs that watch each member of a larger fleet.
///
/// With a single watcher, a member that fails together with it would be
/// unwatched.
const WATCHER_COUNT: usize = 2;

/// Seed that makes the ring's hashes differ from those that choose owners.
const RING_HASH_SEED: u64 = 11;

/// Number of parents of each member of a larger fleet.
///
/// A writer has only the other writer. With a single parent, its failure would
/// let the leases of all its descendants expire before the next view.
const PARENT_COUNT: usize = 2;

/// Chooses the peers of this VM in the view in force.
pub(super) fn choose_peers(tick: &mut Tick<'_>) {
    let view = &tick.tables.view;
    let me = &tick.settings.vm;
    let is_member = view
        .member_with_incarnation(me, tick.settings.incarnation)
        .is_some();
    let now_us = tick.now_us;
    let mut peers = if !is_member {
        non_member_peers(view, me)
    } else if view.members.len() <= MAX_MESH_SIZE {
        mesh_peers(view, me)
    } else {
        tree_peers(view, me, tick.settings.fan_out)
    };
    for (vm, since_us) in &mut peers.watched {
        // A member that was watched before keeps its silence timer.
        let before = tick.tables.membership.peers.watched.get(vm);
        *since_us = before.copied().unwrap_or(now_us);
    }
    tick.tables.membership.peers = peers;
}

/// Returns the VMs that watch a member in a view.
pub(super) fn watchers_of(view: &View, vm: &VmName) -> Vec<VmName> {
    if view.members.len() <= MAX_MESH_SIZE {
        return others(view, vm);
    }
    let ring = ring(view);
    let at = ring.iter().position(|row| row == vm);
    at.map_or_else(Vec::new, |at| successors(&ring, at))
}

/// Returns the peers of a VM that is not a member: a few members, chosen by hash.
fn non_member_peers(view: &View, me: &VmName) -> HeartbeatPeers {
    let mut members = others(view, me);
    members.sort_by_key(|vm| hash_name(vm.as_str(), hash_name(me.as_str(), RING_HASH_SEED)));
    members.truncate(MAX_MESH_SIZE);
    HeartbeatPeers {
        parents: members,
        is_tree: view.members.len() > MAX_MESH_SIZE,
        ..HeartbeatPeers::default()
    }
}

/// Returns the peers in a small fleet: all other members.
fn mesh_peers(view: &View, me: &VmName) -> HeartbeatPeers {
    let others = others(view, me);
    HeartbeatPeers {
        parents: others.clone(),
        watchers: others.clone(),
        watched: others.into_iter().map(|vm| (vm, 0)).collect(),
        is_tree: false,
    }
}

/// Returns the peers in a large fleet.
///
/// Members form a tree of pairs; both VMs of a pair are the parents of the
/// members in the pairs below. The writers are the root pair. The fan-out
/// covers parents, watchers and children.
fn tree_peers(view: &View, me: &VmName, fan_out: usize) -> HeartbeatPeers {
    let ring = ring(view);
    let at = ring.iter().position(|vm| vm == me).unwrap_or(0);
    let before = |step: usize| ring[(at + ring.len() - step) % ring.len()].clone();
    HeartbeatPeers {
        parents: parents(view, &ring, me, fan_out),
        watchers: successors(&ring, at),
        watched: (1..=WATCHER_COUNT).map(|step| (before(step), 0)).collect(),
        is_tree: true,
    }
}

/// Returns the VMs from which a member requests confirmations.
fn parents(view: &View, ring: &[VmName], me: &VmName, fan_out: usize) -> Vec<VmName> {
    if view.is_writer(me) {
        let others = view.writers.iter().filter(|vm| *vm != me);
        return others.cloned().collect();
    }
    let inner = ring.iter().filter(|vm| !view.is_writer(vm));
    let order: Vec<&VmName> = view.writers.iter().chain(inner).collect();
    let at = order.iter().position(|vm| *vm == me).unwrap_or(0);
    let children = fan_out
        .saturating_sub(WATCHER_COUNT + PARENT_COUNT)
        .max(PARENT_COUNT);
    let pair = (at / PARENT_COUNT - 1) / (children / PARENT_COUNT);
    order[pair * PARENT_COUNT..(pair + 1) * PARENT_COUNT]
        .iter()
        .map(|vm| (*vm).clone())
        .collect()
}

/// Returns the members in ring order, which mixes failure domains.
fn ring(view: &View) -> Vec<VmName> {
    let mut ring: Vec<_> = view
        .members
        .iter()
        .map(|member| (hash_name(member.vm.as_str(), RING_HASH_SEED), &member.vm))
        .collect();
    ring.sort_unstable();
    ring.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Returns the members after a position in the ring, which watch the member there.
fn successors(ring: &[VmName], at: usize) -> Vec<VmName> {
    (1..=WATCHER_COUNT)
        .map(|step| ring[(at + step) % ring.len()].clone())
        .collect()
}

/// Returns all members except one VM.
fn others(view: &View, me: &VmName) -> Vec<VmName> {
    view.members
        .iter()
        .filter(|member| member.vm != *me)
        .map(|member| member.vm.clone())
        .collect()
}
