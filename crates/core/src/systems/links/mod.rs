//! Tells lost links of this VM from upstreams that are down, and sends calls through other VMs.
//!
//! A VM that fails to connect to an upstream asks other VMs whether they reach it
//! (`outcomes::examination`). If one does, the link is lost and the upstream is not: attempts go
//! through another VM, the proxy, which only passes their bytes on. A VM that finds two links lost
//! without a connection accepted in between takes itself for cut off and uses proxies for all
//! upstreams at once. [`proxies`] selects the proxy, [`probes`] finds out when links are back.

mod probes;
mod proxies;

pub(crate) use proxies::{
    MAX_INDIRECT_PROBES, begin_proxied, can_reach, can_reach_from, end_proxied, indirect_probers,
    is_link_lost, proxy_for, record_proxy_failure,
};

use super::{Tick, placement};
use crate::ids::{PoolKey, UpstreamName, VmName};
use crate::output::LinkDecision;
use crate::tables::{Link, Timer};

/// Lost links, without a connection accepted in between, after which a VM takes itself for cut off.
const MIN_LOSSES: u32 = 2;

/// Time after the end of a cut in which one lost link is enough.
const RECURRENCE_US: u64 = 10_000_000;

/// Interval at which a lost link is probed.
const PROBE_INTERVAL_US: u64 = 400_000;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Upstreams that have accepted a new connection of this VM.
    pub accepted: Vec<UpstreamName>,
    /// Whether a lost link has to be probed.
    pub is_probe_due: bool,
    /// Whether other VMs may have become able or unable to be proxies.
    pub proxies_changed: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty() && !self.is_probe_due && !self.proxies_changed
    }
}

/// Processes the collected input.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.links);
    for upstream in work.accepted {
        record_accepted(tick, &upstream);
    }
    if work.is_probe_due {
        probes::probe_next(tick);
    }
    if work.proxies_changed {
        for upstream in probes::lost_links(tick) {
            placement::refresh_and_assign(tick, &upstream);
        }
        if tick.tables.links.is_cut_off {
            placement::refuse_unreachable(tick);
        }
    }
}

/// Records that connections to an upstream fail although another VM reaches it.
pub(crate) fn record_lost(tick: &mut Tick<'_>, upstream: &UpstreamName, reached_by: &VmName) {
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    let was_lost = std::mem::replace(&mut row.link, Link::Lost) == Link::Lost;
    clear_failures(tick, upstream);
    if !was_lost {
        tick.tables.links.losses += 1;
        tick.log(LinkDecision::LinkLost {
            upstream: upstream.clone(),
            reached_by: reached_by.clone(),
        });
    }
    let links = &tick.tables.links;
    let is_recurrence = links.restored_us > 0 && tick.now_us < links.restored_us + RECURRENCE_US;
    let min_losses = if is_recurrence { 1 } else { MIN_LOSSES };
    if !links.is_cut_off && links.losses >= min_losses {
        begin_cut(tick);
    }
    schedule_probe(tick);
}

/// Takes this VM for cut off from all upstreams.
fn begin_cut(tick: &mut Tick<'_>) {
    let links = &mut tick.tables.links;
    links.is_cut_off = true;
    links.cut_off_us = tick.now_us;
    let lost = links.losses;
    tick.log(LinkDecision::CutOff { lost });
    let rows = tick.tables.upstreams.iter();
    let up: Vec<UpstreamName> = rows
        .filter(|(_, row)| row.link == Link::Up)
        .map(|(name, _)| name.clone())
        .collect();
    for upstream in &up {
        if let Some(row) = tick.tables.upstreams.get_mut(upstream) {
            row.link = Link::AssumedLost;
        }
        clear_failures(tick, upstream);
    }
    for upstream in &up {
        placement::refresh_and_assign(tick, upstream);
    }
    tick.work.peers.announce = true;
}

/// Drops the failures of an upstream that were failures of this VM's link.
fn clear_failures(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let tables = &mut *tick.tables;
    let Some(row) = tables.upstreams.get_mut(upstream) else {
        return;
    };
    row.health.clear_failures(tick.now_us);
    for pool in &row.pools {
        if let Some(pool) = tables.pools.get_mut(pool) {
            pool.ejected.remove(upstream);
        }
    }
}

/// Records that an upstream has accepted a connection of this VM.
pub(crate) fn record_accepted(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    tick.tables.links.losses = 0;
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    let was = std::mem::take(&mut row.link);
    if was == Link::Up {
        return;
    }
    if was == Link::Lost {
        tick.log(LinkDecision::LinkRestored {
            upstream: upstream.clone(),
        });
    }
    if tick.tables.links.is_cut_off {
        end_cut(tick);
    }
    placement::refresh_and_assign(tick, upstream);
}

/// Ends the cut: links that were only assumed to be lost are used again at once.
fn end_cut(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let links = &mut tick.tables.links;
    links.is_cut_off = false;
    links.restored_us = now_us;
    let after_ms = now_us.saturating_sub(links.cut_off_us) / 1_000;
    tick.log(LinkDecision::CutEnded { after_ms });
    let mut back: Vec<UpstreamName> = Vec::new();
    for (name, row) in tick.tables.upstreams.iter_mut() {
        if row.link == Link::AssumedLost {
            row.link = Link::Up;
            back.push(name.clone());
        }
    }
    for upstream in &back {
        placement::refresh_and_assign(tick, upstream);
    }
    tick.work.peers.announce = true;
}

/// Sets the timer for the next probe of a lost link.
fn schedule_probe(tick: &mut Tick<'_>) {
    if std::mem::replace(&mut tick.tables.links.is_probe_due, true) {
        return;
    }
    let due_us = tick.now_us + PROBE_INTERVAL_US;
    tick.tables.timers.set(due_us, Timer::LinkProbe);
}

/// Returns whether no usable upstream of a pool can be reached, directly or through another VM.
pub(crate) fn is_unreachable(tick: &Tick<'_>, pool: &PoolKey) -> bool {
    if !tick.tables.links.is_cut_off {
        return false;
    }
    let pool = tick.tables.pools.get(pool);
    let names = pool.into_iter().flat_map(|pool| &pool.upstreams);
    names.into_iter().all(|name| !can_reach(tick, name))
}
