//! Selects upstreams for calls.

use smallvec::SmallVec;

use super::super::{Tick, confinement, rates};
use super::claims::{self, Share};
use super::{hints, origins, speeds};
use crate::config::UpstreamChoice;
use crate::ids::{PoolKey, UpstreamName};
use crate::message::Place;
use crate::output::{PlacementReason, RefusalKind};
use crate::tables::{Pool, QueuedCall, Upstream};

/// Largest pool in which all available upstreams are compared; larger ones are sampled by hash.
const MAX_COMPARED_UPSTREAMS: usize = 16;

/// Weight of prefill time relative to waiting time.
///
/// Prefill delays other prompts, slows the whole batch and evicts prefixes of
/// other programs; the latency of the call itself includes none of this. In
/// the policy report at 2.7 programs per second, weights of 8, 16 and 32 gave
/// a mean program latency of 122, 107 and 105 s; weights above 16 gain little
/// and concentrate load on one upstream.
const PREFILL_WEIGHT: u64 = 16;

/// Fixed cost of an upstream in another failure domain: the round trip and the traffic.
const CROSS_DOMAIN_US: u64 = 8_000;

/// Cost of sending one prompt token to another failure domain.
///
/// Traffic between failure domains is expensive: to keep a prompt of 1,000 tokens
/// in its domain, a batch may be fuller by a third.
const CROSS_DOMAIN_NS_PER_TOKEN: u64 = 25_000;

/// Result of selecting an upstream for a waiting call.
#[derive(Debug)]
pub(super) enum Selection {
    /// The call is assigned to an upstream.
    Assign(SelectedUpstream),
    /// The call stays queued: no upstream has room, or a full one is worth waiting for.
    Wait,
    /// No allowed upstream will run the call: ejections, for one, are assumed to outlast its wait.
    Refuse(RefusalKind),
}

/// The upstream selected for a call.
#[derive(Debug)]
pub(super) struct SelectedUpstream {
    pub upstream: UpstreamName,
    pub reason: PlacementReason,
    pub runners_up: SmallVec<[UpstreamName; 2]>,
    /// Prompt tokens that the upstream is expected to have cached.
    pub cached_tokens: u64,
}

/// An upstream with room and its estimated cost for a call.
struct Candidate {
    cost_us: u64,
    cached_tokens: u64,
    upstream: UpstreamName,
}

/// Selects an upstream with room for a call by the configured policy.
pub(super) fn select_upstream(
    tick: &Tick<'_>,
    key: &PoolKey,
    waiting: &QueuedCall,
    share: Option<Share>,
) -> Selection {
    let Some(pool) = tick.tables.pools.get(key) else {
        return Selection::Wait;
    };
    if let Some(pinned) = pinned_upstream(tick, pool, waiting) {
        return select_pinned(tick, pinned);
    }
    if !origins::can_go_on(tick, &waiting.place) {
        return Selection::Refuse(RefusalKind::StreamNotResumable);
    }
    if let Some(kind) = confinement::find_refusal(tick, &waiting.place) {
        return Selection::Refuse(kind);
    }
    let ignores_avoid = avoids_all(tick, pool, waiting);
    let is_allowed = |name: &UpstreamName| {
        let is_avoided = waiting.place.avoid.contains(name);
        let is_claimable = share.is_none_or(|share| {
            let mut hints = hints::expected_cached_tokens(tick, &waiting.place);
            let is_cached = hints.any(|(hinted, tokens)| hinted == name && tokens > 0);
            share.allows(tick, name, is_cached)
        });
        (ignores_avoid || !is_avoided) && is_claimable && may_use(tick, &waiting.place, name)
    };
    match tick.settings.policy.upstream_choice {
        UpstreamChoice::RoundRobin => select_round_robin(tick, pool, is_allowed),
        UpstreamChoice::LeastLoaded => select_least_loaded(pool, is_allowed),
        UpstreamChoice::LowestCost => select_lowest_cost(
            tick,
            pool,
            (waiting, share.is_some_and(|share| share.is_contended())),
            is_allowed,
        ),
    }
}

/// Returns whether an upstream may run a call, by its software version, region and evacuation.
pub(super) fn may_use(tick: &Tick<'_>, place: &Place, name: &UpstreamName) -> bool {
    origins::fits(tick, place, name) && confinement::allows(tick, place.attempt, name)
}

/// Returns whether only some upstreams of its pool may run a call.
fn is_choosy(tick: &Tick<'_>, place: &Place) -> bool {
    place.origin.is_some() || confinement::homes_of(tick, place.attempt).is_some()
}

/// Selects the only upstream that a call may use, once it is known to run and has room.
fn select_pinned(tick: &Tick<'_>, pinned: &UpstreamName) -> Selection {
    let Some(row) = tick.tables.upstreams.get(pinned) else {
        return Selection::Wait;
    };
    if row.health.is_examined {
        return Selection::Wait;
    }
    // One that is leaving or evacuated still runs what it has begun, but takes no new calls.
    if !row.takes_new_calls() || row.health.ejected_until_us > tick.now_us {
        return Selection::Refuse(RefusalKind::UpstreamFailed);
    }
    if row.open_load_permille.is_none() {
        return Selection::Wait;
    }
    select_first(&mut std::iter::once(pinned), PlacementReason::OnlyAllowed)
}

/// Returns the upstream that a call is pinned to.
///
/// Returns `None` if the upstream left the pool, or if its process has ended and so lost the call:
/// it crashed recently, or restarted with another software version.
pub(super) fn pinned_upstream<'a>(
    tick: &Tick<'_>,
    pool: &Pool,
    waiting: &'a QueuedCall,
) -> Option<&'a UpstreamName> {
    let pinned = waiting.place.only.as_ref()?;
    let row = tick.tables.upstreams.get(pinned)?;
    let has_crashed = row.health.has_crashed_recently(tick.now_us);
    let runs_on = !has_crashed && row.fits(waiting.place.origin.as_ref());
    (pool.upstreams.contains(pinned) && runs_on).then_some(pinned)
}

/// Returns whether a call waits because the upstreams of its version or region are busy.
///
/// Such calls must not keep those behind them from other upstreams.
pub(super) fn waits_for_fitting(tick: &Tick<'_>, pool: &Pool, waiting: &QueuedCall) -> bool {
    let place = &waiting.place;
    let mut available = pool.available.iter().map(|(_, name)| name);
    is_choosy(tick, place)
        && !available.any(|name| may_use(tick, place, name))
        && origins::can_go_on(tick, place)
        && confinement::find_refusal(tick, place).is_none()
        && pinned_upstream(tick, pool, waiting).is_none()
}

/// Returns whether a call avoids every usable upstream that fits it.
///
/// Large pools are checked only for calls that few upstreams may fit: streams that have begun, and
/// calls with homes.
fn avoids_all(tick: &Tick<'_>, pool: &Pool, waiting: &QueuedCall) -> bool {
    let place = &waiting.place;
    let is_large = pool.upstreams.len() > MAX_COMPARED_UPSTREAMS;
    if place.avoid.is_empty() || (is_large && !is_choosy(tick, place)) {
        return false;
    }
    pool.upstreams
        .iter()
        .filter(|name| is_usable(tick, name) && may_use(tick, place, name))
        .all(|name| place.avoid.contains(name))
}

/// Returns whether an upstream may get calls, regardless of its free capacity.
fn is_usable(tick: &Tick<'_>, name: &UpstreamName) -> bool {
    let row = tick.tables.upstreams.get(name);
    row.is_some_and(|row| row.is_usable(tick.now_us))
}

/// Selects the next available upstream in round-robin order.
fn select_round_robin(
    tick: &Tick<'_>,
    pool: &Pool,
    is_allowed: impl Fn(&UpstreamName) -> bool,
) -> Selection {
    let count = pool.upstreams.len();
    let rotation = (0..count).map(|step| &pool.upstreams[(pool.next_round_robin + step) % count]);
    let mut available = rotation.filter(|name| {
        let row = tick.tables.upstreams.get(name);
        row.is_some_and(|row| row.open_load_permille.is_some()) && is_allowed(name)
    });
    select_first(&mut available, PlacementReason::InTurn)
}

/// Selects the available upstream with the fewest running calls relative to its limit.
fn select_least_loaded(pool: &Pool, is_allowed: impl Fn(&UpstreamName) -> bool) -> Selection {
    let mut available = pool.available.iter().map(|(_, name)| name);
    let mut allowed = available.by_ref().filter(|name| is_allowed(name));
    select_first(&mut allowed, PlacementReason::LeastRunning)
}

/// Selects the first of the ranked upstreams; the next two are the runners-up.
fn select_first<'a>(
    ranked: &mut impl Iterator<Item = &'a UpstreamName>,
    reason: PlacementReason,
) -> Selection {
    let Some(upstream) = ranked.next().cloned() else {
        return Selection::Wait;
    };
    Selection::Assign(SelectedUpstream {
        upstream,
        reason,
        runners_up: ranked.take(2).cloned().collect(),
        cached_tokens: 0,
    })
}

/// Selects the upstream with the lowest estimated cost of waiting and prefill.
fn select_lowest_cost(
    tick: &Tick<'_>,
    pool: &Pool,
    (waiting, is_shared): (&QueuedCall, bool),
    is_allowed: impl Fn(&UpstreamName) -> bool,
) -> Selection {
    let hints: SmallVec<[(&UpstreamName, u64); 2]> =
        hints::expected_cached_tokens(tick, &waiting.place)
            .filter(|(name, _)| may_use(tick, &waiting.place, name))
            .collect();
    let cached_on = |name: &UpstreamName| {
        let hint = hints.iter().find(|(hinted, _)| *hinted == name);
        hint.map_or(0, |(_, tokens)| *tokens)
    };
    let candidate = |name: &UpstreamName| {
        let row = tick.tables.upstreams.get(name)?;
        if row.open_load_permille.is_none() || !is_allowed(name) {
            return None;
        }
        let cached_tokens = cached_on(name);
        Some(Candidate {
            cost_us: estimate_cost_us(tick, row, waiting, cached_tokens),
            cached_tokens,
            upstream: name.clone(),
        })
    };
    let compared = candidate_names(tick, pool, (waiting, is_shared), &hints);
    let mut candidates: SmallVec<[Candidate; MAX_COMPARED_UPSTREAMS]> =
        compared.into_iter().filter_map(candidate).collect();
    if candidates.is_empty() {
        let mut least_loaded = pool.available.iter().map(|(_, name)| name);
        candidates.extend(least_loaded.find_map(candidate));
    }
    candidates.sort_by(|a, b| (a.cost_us, &a.upstream).cmp(&(b.cost_us, &b.upstream)));
    candidates.dedup_by(|a, b| a.upstream == b.upstream);
    let Some(best) = candidates.first() else {
        return Selection::Wait;
    };
    if should_wait_for_cache(tick, waiting, &hints, best.cost_us) {
        return Selection::Wait;
    }
    let reason = if best.cached_tokens > 0 {
        PlacementReason::CachedPrefix {
            cached_tokens: best.cached_tokens,
            cost_us: best.cost_us,
        }
    } else {
        PlacementReason::LowestCost {
            cost_us: best.cost_us,
        }
    };
    let others = candidates.iter().skip(1).take(2);
    Selection::Assign(SelectedUpstream {
        upstream: best.upstream.clone(),
        reason,
        runners_up: others.map(|candidate| candidate.upstream.clone()).collect(),
        cached_tokens: best.cached_tokens,
    })
}

/// Returns the upstreams whose costs are compared.
///
/// In a large pool these are the hinted ones, two selected by hash, and the
/// least loaded one in case those selected by hash are full. In a large fleet
/// the least loaded one is left out, because all VMs would choose it before
/// they know of each other's calls. For a stream that has begun and a call with
/// homes, they are the least loaded ones that fit it.
fn candidate_names<'a>(
    tick: &Tick<'_>,
    pool: &'a Pool,
    (waiting, is_shared): (&QueuedCall, bool),
    hints: &[(&'a UpstreamName, u64)],
) -> SmallVec<[&'a UpstreamName; MAX_COMPARED_UPSTREAMS]> {
    if pool.upstreams.len() <= MAX_COMPARED_UPSTREAMS && !is_shared {
        return pool.available.iter().map(|(_, name)| name).collect();
    }
    if is_choosy(tick, &waiting.place) {
        let available = pool.available.iter().map(|(_, name)| name);
        let fitting = available.filter(|name| may_use(tick, &waiting.place, name));
        let hinted = hints.iter().map(|(name, _)| *name);
        return hinted.chain(fitting.take(MAX_COMPARED_UPSTREAMS)).collect();
    }
    let mut compared: SmallVec<[&UpstreamName; MAX_COMPARED_UPSTREAMS]> =
        hints.iter().map(|(name, _)| *name).collect();
    let attempt = waiting.place.attempt;
    let seed = attempt.call.incarnation.0 ^ (attempt.call.seq << 8) ^ u64::from(attempt.number);
    for round in 0..2 {
        let hash = splitmix64(seed.wrapping_add(round));
        let name = &pool.upstreams[(hash % pool.upstreams.len() as u64) as usize];
        let row = tick.tables.upstreams.get(name);
        if row.is_some_and(|row| row.open_load_permille.is_some()) {
            compared.push(name);
        }
    }
    if !claims::is_large_fleet(tick) {
        compared.extend(pool.available.first().map(|(_, name)| name));
    }
    compared
}

/// Estimates the cost of running a call on an upstream.
fn estimate_cost_us(
    tick: &Tick<'_>,
    row: &Upstream,
    waiting: &QueuedCall,
    cached_tokens: u64,
) -> u64 {
    let limit_calls = row.limit_calls(tick.settings.policy.learned_limit).max(1);
    let wait_us = row.prefill_until_us.saturating_sub(tick.now_us);
    // A fuller batch decodes more slowly; a full one about doubles the time of a call.
    let mean_call_us = speeds::mean_call_us(tick, &row.config.name, row);
    let batch_us = mean_call_us * u64::from(row.running_calls()) / u64::from(limit_calls) / 2;
    let read_tokens = waiting.place.prompt_tokens.saturating_sub(cached_tokens);
    let domain = row.config.failure_domain.as_ref();
    let is_cross_domain = domain.is_some_and(|domain| *domain != tick.settings.failure_domain);
    let cross_domain_us = if is_cross_domain {
        CROSS_DOMAIN_US + waiting.place.prompt_tokens * CROSS_DOMAIN_NS_PER_TOKEN / 1_000
    } else {
        0
    };
    let slow_us = speeds::slowness_us(tick, row);
    wait_us
        + batch_us
        + slow_us
        + cross_domain_us
        + PREFILL_WEIGHT * prefill_us(tick, row, read_tokens)
}

/// Returns the prefill time of prompt tokens.
fn prefill_us(tick: &Tick<'_>, row: &Upstream, tokens: u64) -> u64 {
    tokens * speeds::prefill_ns_per_token(tick, &row.config.name, row) / 1_000
}

/// Returns whether a call should wait for a full upstream that has its prefix cached.
///
/// The wait is limited to the prefill cost that the cached prefix saves.
fn should_wait_for_cache(
    tick: &Tick<'_>,
    waiting: &QueuedCall,
    hints: &[(&UpstreamName, u64)],
    best_us: u64,
) -> bool {
    let waited_us = tick.now_us.saturating_sub(waiting.arrived_us);
    hints.iter().any(|(name, cached_tokens)| {
        let Some(row) = tick.tables.upstreams.get(name) else {
            return false;
        };
        if row.open_load_permille.is_some() || row.has_exclusive_call || !row.is_usable(tick.now_us)
        {
            return false;
        }
        // When a rate lets the next call through does not depend on the calls that run.
        if waiting.place.avoid.contains(name) || rates::is_limited(tick, name) {
            return false;
        }
        let saved_us = PREFILL_WEIGHT * prefill_us(tick, row, *cached_tokens);
        let limit_calls = row.limit_calls(tick.settings.policy.learned_limit).max(1);
        let free_us = speeds::mean_call_us(tick, name, row) / u64::from(limit_calls);
        waited_us < saved_us
            && estimate_cost_us(tick, row, waiting, *cached_tokens) + free_us < best_us
    })
}

/// Hashes a number with SplitMix64.
fn splitmix64(number: u64) -> u64 {
    let hash = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
