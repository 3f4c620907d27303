//! Tracks which VMs share the rates of accounts.
//!
//! An unreachable VM may still be serving calls. The reachable VMs therefore use only their part
//! of each rate until the silence has lasted so long that the other VM's keys are stale and it
//! refuses calls.

use super::super::{Tick, placement, rates};
use crate::ids::{UpstreamName, VmName};
use crate::message::PoolDemand;
use crate::output::Decision;
use crate::tables::Peer;

/// Marks VMs that have become silent, removes those that have stayed silent and counts the others.
pub(super) fn update_liveness(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let timeout_us = tick.settings.peer_timeout_ms * 1_000;
    let retention_us = tick.settings.peer_retention_ms * 1_000;
    let mut newly_silent: Vec<VmName> = Vec::new();
    let mut expired: Vec<VmName> = Vec::new();
    for (vm, peer) in tick.tables.peering.peers.iter() {
        if now_us.saturating_sub(peer.last_contact_us()) > retention_us {
            expired.push(vm.clone());
        }
        let silence_us = now_us.saturating_sub(peer.last_summary_us());
        if peer.is_reachable && silence_us > timeout_us {
            newly_silent.push(vm.clone());
        }
    }
    for vm in &newly_silent {
        mark_silent(tick, vm);
    }
    // Before the calls of silent VMs are removed, so that their part of the places is left to them.
    update_counts(tick);
    for vm in &newly_silent {
        replace_running(tick, vm, Vec::new());
    }
    for vm in expired {
        tick.tables.peering.peers.remove(&vm);
        tick.log(Decision::PeerExpired { vm });
    }
    update_counts(tick);
}

/// Marks a VM as silent.
fn mark_silent(tick: &mut Tick<'_>, vm: &VmName) {
    let now_us = tick.now_us;
    let Some(peer) = tick.tables.peering.peers.get_mut(vm) else {
        return;
    };
    peer.is_reachable = false;
    let silent_ms = now_us.saturating_sub(peer.last_summary_us()) / 1_000;
    tick.log(Decision::PeerUnreachable {
        vm: vm.clone(),
        silent_ms,
    });
    replace_demand(tick, vm, Vec::new());
}

/// Replaces the calls that wait at another VM; those of a silent VM do not count.
pub(super) fn replace_demand(tick: &mut Tick<'_>, vm: &VmName, demand: Vec<PoolDemand>) {
    let peering = &mut tick.tables.peering;
    let Some(peer) = peering.peers.get_mut(vm) else {
        return;
    };
    let previous = std::mem::replace(&mut peer.demand, demand);
    peering.demand.replace(&previous, &peer.demand);
}

/// Replaces the number of calls that another VM runs on each upstream.
pub(super) fn replace_running(tick: &mut Tick<'_>, vm: &VmName, running: Vec<(UpstreamName, u32)>) {
    let tables = &mut *tick.tables;
    let Some(peer) = tables.peering.peers.get_mut(vm) else {
        return;
    };
    let previous = std::mem::replace(&mut peer.running, running.clone());
    if previous == running {
        return;
    }
    for (name, calls) in &previous {
        if let Some(row) = tables.upstreams.get_mut(name) {
            row.foreign_calls = row.foreign_calls.saturating_sub(*calls);
        }
    }
    for (name, calls) in &running {
        if let Some(row) = tables.upstreams.get_mut(name) {
            row.foreign_calls += calls;
        }
    }
    let changed = previous.iter().chain(&running).map(|(name, _)| name);
    placement::refresh_loads(tick, changed);
}

/// Counts the reachable and the known VMs, and determines this VM's rank.
pub(super) fn update_counts(tick: &mut Tick<'_>) {
    let me = &tick.settings.vm;
    let peering = &mut tick.tables.peering;
    let previous = (peering.usable_fraction(), peering.upstream_sharing());
    let peers = || peering.peers.iter();
    let known = peers().filter(|(_, peer)| peer.may_serve());
    let known_vms = 1 + known.count() as u64;
    let reachable_vms = 1 + peers().filter(|(_, peer)| peer.is_reachable).count() as u64;
    let reporting = peers().filter(|(_, peer)| peer.is_reachable && !peer.omits_placed);
    let reporting_vms = 1 + reporting.count() as u64;
    let is_before = |vm: &VmName, peer: &Peer| peer.is_reachable && !peer.is_leaving && vm < me;
    let rank = peers().filter(|(vm, peer)| is_before(vm, peer)).count() as u64;
    let competing = peers().filter(|(_, peer)| peer.is_reachable && peer.uses_limited);
    peering.competing_vms = competing.count() as u64;
    (peering.known_vms, peering.reachable_vms, peering.rank) = (known_vms, reachable_vms, rank);
    peering.reporting_vms = reporting_vms;
    let usable_fraction = peering.usable_fraction();
    if (usable_fraction, peering.upstream_sharing()) != previous {
        rates::rescale_buckets(tick);
        placement::schedule_shared_places(tick);
    }
    if usable_fraction != previous.0 {
        let (reachable_vms, known_vms) = tick.tables.peering.usable_fraction();
        tick.log(Decision::ReachableVmsChanged {
            reachable_vms,
            known_vms,
        });
    }
}
