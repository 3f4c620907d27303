//! Selects the VMs through which this one reaches upstreams whose links are lost.

use smallvec::SmallVec;

use super::super::{Tick, confinement};
use crate::ids::{AttemptId, DomainName, UpstreamName, VmName};
use crate::output::{LinkDecision, ProxyVm};
use crate::tables::{AllowedRegions, Link, Peer, ProxyPause, hash_name};

/// VMs that are asked at once whether they reach an upstream; if none of them does, as many are
/// asked once more.
///
/// Most VMs may be cut off at the same moment and not know it yet.
pub(crate) const MAX_INDIRECT_PROBES: usize = 6;

/// First pause after another VM has failed as a proxy, and the longest one.
const PROXY_PAUSE_RANGE_US: (u64, u64) = (1_000_000, 8_000_000);

/// Time after a pause in which another failure doubles the next one.
const PAUSE_MEMORY_US: u64 = 4_000_000;

/// Calls of a proxy that count as one step of its load. Among proxies of the same load, each upstream
/// keeps to one, so that its tunnels are used again.
const LOAD_STEP_CALLS: u64 = 8;

/// Steps by which a proxy may be busier than another one before bytes that cross failure domains
/// twice are the better choice.
const DETOUR_STEPS: u64 = 2;

/// The cost of a proxy for an upstream: steps of load, then a hash that differs by upstream.
type Cost = (u64, u64);

/// Returns whether this VM reaches an upstream, directly or through another VM.
pub(crate) fn can_reach(tick: &Tick<'_>, upstream: &UpstreamName) -> bool {
    can_reach_from(tick, upstream, None)
}

/// Returns whether this VM reaches an upstream with a call of these homes, directly or through
/// another VM in one of them.
pub(crate) fn can_reach_from(
    tick: &Tick<'_>,
    upstream: &UpstreamName,
    homes: Option<&AllowedRegions>,
) -> bool {
    let mut proxies = ranked_proxies(tick, upstream);
    !is_link_lost(tick, upstream) || proxies.any(|(.., peer)| may_pass_on(tick, peer, homes))
}

/// Returns whether another VM may get the body of a call with these homes.
fn may_pass_on(tick: &Tick<'_>, peer: &Peer, homes: Option<&AllowedRegions>) -> bool {
    confinement::allows_proxy(tick, homes, peer.failure_domain.as_ref())
}

/// Returns whether this VM's link to an upstream is lost, or assumed to be.
pub(crate) fn is_link_lost(tick: &Tick<'_>, upstream: &UpstreamName) -> bool {
    let row = tick.tables.upstreams.get(upstream);
    row.is_some_and(|row| row.link != Link::Up)
}

/// Returns the VM through which an attempt of a call with these homes goes; `None` if it goes
/// directly.
pub(crate) fn proxy_for(
    tick: &Tick<'_>,
    upstream: &UpstreamName,
    homes: Option<&AllowedRegions>,
) -> Option<ProxyVm> {
    if !is_link_lost(tick, upstream) {
        return None;
    }
    let able = ranked_proxies(tick, upstream).filter(|(.., peer)| may_pass_on(tick, peer, homes));
    let best = able.min_by_key(|(cost, ..)| *cost);
    best.map(|(_, vm, peer)| to_proxy(vm, peer))
}

/// Returns VMs that can tell whether they reach an upstream, without those that were asked before.
///
/// Every second one is of another failure domain, since a whole domain may be cut off.
pub(crate) fn indirect_probers(
    tick: &Tick<'_>,
    upstream: &UpstreamName,
    asked: &[VmName],
) -> SmallVec<[ProxyVm; MAX_INDIRECT_PROBES]> {
    let able = ranked_proxies(tick, upstream).filter(|(_, vm, _)| !asked.contains(vm));
    let mut ranked: Vec<(Cost, &VmName, &Peer)> = able.collect();
    ranked.sort_by_key(|(cost, ..)| *cost);
    let is_near = |peer: &Peer| peer.failure_domain.as_ref() == Some(&tick.settings.failure_domain);
    let (near, far): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(.., peer)| is_near(peer));
    let (mut near, mut far) = (near.into_iter(), far.into_iter());
    let mut probers = SmallVec::new();
    while probers.len() < MAX_INDIRECT_PROBES {
        let pair = [far.next(), near.next()];
        if pair.iter().all(Option::is_none) {
            break;
        }
        let found = pair.into_iter().flatten();
        probers.extend(found.map(|(_, vm, peer)| to_proxy(vm, peer)));
    }
    probers
}

/// Returns the VMs that may reach an upstream, each with its cost.
fn ranked_proxies<'a>(
    tick: &'a Tick<'_>,
    upstream: &'a UpstreamName,
) -> impl Iterator<Item = (Cost, &'a VmName, &'a Peer)> {
    let rows = tick.tables.peering.peers.iter();
    rows.filter(move |(vm, peer)| is_able(tick, vm, peer) && !peer.lost_links.contains(upstream))
        .map(move |(vm, peer)| (cost_of(tick, upstream, (vm, peer)), vm, peer))
}

/// Returns whether another VM passes calls on, as far as this one knows.
fn is_able(tick: &Tick<'_>, vm: &VmName, peer: &Peer) -> bool {
    let pause = tick.tables.links.proxy_pauses.get(vm);
    let is_paused = pause.is_some_and(|pause| tick.now_us < pause.until_us);
    peer.is_reachable
        && !peer.is_leaving
        && !peer.is_cut_off
        && peer.tunnel_address.is_some()
        && !is_paused
}

/// Returns the cost of a proxy: the calls that it runs, and a detour of the bytes.
fn cost_of(tick: &Tick<'_>, upstream: &UpstreamName, (vm, peer): (&VmName, &Peer)) -> Cost {
    let running = peer.running.iter().map(|(_, calls)| u64::from(*calls));
    let proxied = tick.tables.links.proxied_attempts.get(vm);
    let calls = running.sum::<u64>() + proxied.map_or(0, |calls| u64::from(*calls));
    let row = tick.tables.upstreams.get(upstream);
    let upstream_domain = row.and_then(|row| row.config.failure_domain.as_ref());
    let is_on_way = |domain: &DomainName| {
        *domain == tick.settings.failure_domain || Some(domain) == upstream_domain
    };
    let is_detour = !peer.failure_domain.as_ref().is_some_and(is_on_way);
    let steps = calls / LOAD_STEP_CALLS + u64::from(is_detour) * DETOUR_STEPS;
    (
        steps,
        hash_name(vm.as_str(), hash_name(upstream.as_str(), 0)),
    )
}

fn to_proxy(vm: &VmName, peer: &Peer) -> ProxyVm {
    ProxyVm {
        vm: vm.clone(),
        address: peer.tunnel_address.clone().unwrap_or_default(),
    }
}

/// Counts and logs an attempt that goes through another VM.
pub(crate) fn begin_proxied(
    tick: &mut Tick<'_>,
    attempt: AttemptId,
    upstream: UpstreamName,
    proxy: VmName,
) {
    let proxied = &mut tick.tables.links.proxied_attempts;
    *proxied.get_or_insert_with(&proxy, || 0) += 1;
    tick.log(LinkDecision::Proxied {
        attempt,
        upstream,
        proxy,
    });
}

/// Counts the end of an attempt that went through another VM.
pub(crate) fn end_proxied(tick: &mut Tick<'_>, proxy: &VmName) {
    if let Some(attempts) = tick.tables.links.proxied_attempts.get_mut(proxy) {
        *attempts = attempts.saturating_sub(1);
    }
}

/// Sends no calls through a VM for a time after it has failed as a proxy.
pub(crate) fn record_proxy_failure(tick: &mut Tick<'_>, vm: &VmName) {
    let now_us = tick.now_us;
    let (shortest_us, longest_us) = PROXY_PAUSE_RANGE_US;
    let pauses = &mut tick.tables.links.proxy_pauses;
    let pause = pauses.get_or_insert_with(vm, ProxyPause::default);
    if now_us < pause.until_us {
        return;
    }
    let is_repeated = pause.until_us > 0 && now_us < pause.until_us + PAUSE_MEMORY_US;
    pause.length_us = match is_repeated {
        true => (pause.length_us * 2).min(longest_us),
        false => shortest_us,
    };
    pause.until_us = now_us + pause.length_us;
    tick.work.links.proxies_changed = true;
}
