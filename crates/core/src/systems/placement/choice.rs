//! The choice of an upstream for a call.

use smallvec::SmallVec;

use super::super::Tick;
use super::hints;
use crate::config::UpstreamChoice;
use crate::ids::{PoolKey, UpstreamName};
use crate::output::PlacementReason;
use crate::tables::{Pool, Upstream, Waiting};

/// Pools up to this size are compared as a whole; larger ones by two hashes.
const COMPARED_UPSTREAMS: usize = 16;

/// Weight of reading a prompt against waiting.
///
/// Reading holds up other prompts, slows the whole batch and evicts prefixes
/// of other programs, none of which the call itself feels. In the policy
/// report at 2.7 programs per second, weights of 8, 16 and 32 gave a mean
/// program latency of 122, 107 and 105 s; more than 16 gains little and lets
/// load pile up on one upstream.
const READ_WEIGHT: u64 = 16;

/// Cost of an upstream in another failure domain: the way there and back, and the traffic.
const FAR_US: u64 = 8_000;

/// Cost of sending one token of a prompt to another failure domain.
///
/// Traffic between failure domains is dear; a prompt of 1,000 tokens is worth a third of a
/// batch more in the same one.
const FAR_TOKEN_NS: u64 = 25_000;

/// What happens to a waiting call.
#[derive(Debug)]
pub(super) enum Choice {
    /// It runs on an upstream.
    Run(Chosen),
    /// It waits for an upstream that suits it better, or for any.
    Wait,
    /// The only upstream that may run it gets no calls for longer than the call may wait.
    Never,
}

/// The upstream chosen for a call.
#[derive(Debug)]
pub(super) struct Chosen {
    pub upstream: UpstreamName,
    pub reason: PlacementReason,
    pub runners_up: SmallVec<[UpstreamName; 2]>,
    pub cached_tokens: u64,
}

/// An upstream with room and its cost for a call.
struct Offer {
    cost_us: u64,
    cached_tokens: u64,
    upstream: UpstreamName,
}

/// Chooses an upstream with room for a call.
pub(super) fn choose(tick: &Tick<'_>, key: &PoolKey, waiting: &Waiting) -> Choice {
    let Some(pool) = tick.tables.pools.get(key) else {
        return Choice::Wait;
    };
    if let Some(only) = only(tick, pool, waiting) {
        let row = tick.tables.upstreams.get(only);
        if row.is_some_and(|row| row.health.ejected_until_us > tick.now_us) {
            return Choice::Never;
        }
        if row.is_none_or(|row| row.listed.is_none()) {
            return Choice::Wait;
        }
        return chosen(&mut std::iter::once(only), PlacementReason::OnlyAllowed);
    }
    let ignores_avoid = avoids_all(tick, pool, waiting);
    let is_allowed = |name: &UpstreamName| ignores_avoid || !waiting.place.avoid.contains(name);
    match tick.settings.policy.upstream_choice {
        UpstreamChoice::RoundRobin => in_turn(tick, pool, is_allowed),
        UpstreamChoice::LeastLoaded => least_loaded(pool, is_allowed),
        UpstreamChoice::LowestCost => lowest_cost(tick, pool, waiting, is_allowed),
    }
}

/// Returns the only upstream that may run a call, unless it has ended since.
fn only<'a>(tick: &Tick<'_>, pool: &Pool, waiting: &'a Waiting) -> Option<&'a UpstreamName> {
    let only = waiting.place.only.as_ref()?;
    let row = tick.tables.upstreams.get(only)?;
    let has_ended = row.health.has_crashed_lately(tick.now_us);
    (pool.upstreams.contains(only) && !row.config.leaving && !has_ended).then_some(only)
}

/// Returns whether a call avoids every upstream that could run it.
fn avoids_all(tick: &Tick<'_>, pool: &Pool, waiting: &Waiting) -> bool {
    let avoid = &waiting.place.avoid;
    if avoid.is_empty() || pool.upstreams.len() > COMPARED_UPSTREAMS {
        return false;
    }
    pool.upstreams
        .iter()
        .filter(|name| is_usable(tick, name))
        .all(|name| avoid.contains(name))
}

/// Returns whether an upstream may get calls, whether or not it has room.
fn is_usable(tick: &Tick<'_>, name: &UpstreamName) -> bool {
    let row = tick.tables.upstreams.get(name);
    row.is_some_and(|row| row.is_usable(tick.now_us))
}

/// Chooses the next upstream in turn.
fn in_turn(tick: &Tick<'_>, pool: &Pool, is_allowed: impl Fn(&UpstreamName) -> bool) -> Choice {
    let count = pool.upstreams.len();
    let turns = (0..count).map(|step| &pool.upstreams[(pool.next + step) % count]);
    let mut open = turns.filter(|name| {
        let row = tick.tables.upstreams.get(name);
        row.is_some_and(|row| row.listed.is_some()) && is_allowed(name)
    });
    chosen(&mut open, PlacementReason::InTurn)
}

/// Chooses the upstream with the fewest calls for its limit.
fn least_loaded(pool: &Pool, is_allowed: impl Fn(&UpstreamName) -> bool) -> Choice {
    let mut open = pool.open.iter().map(|(_, name)| name);
    let mut allowed = open.by_ref().filter(|name| is_allowed(name));
    chosen(&mut allowed, PlacementReason::LeastRunning)
}

/// Makes a choice from upstreams in the order of preference.
fn chosen<'a>(
    ranked: &mut impl Iterator<Item = &'a UpstreamName>,
    reason: PlacementReason,
) -> Choice {
    let Some(upstream) = ranked.next().cloned() else {
        return Choice::Wait;
    };
    Choice::Run(Chosen {
        upstream,
        reason,
        runners_up: ranked.take(2).cloned().collect(),
        cached_tokens: 0,
    })
}

/// Chooses the upstream with the lowest cost of waiting and reading the prompt.
fn lowest_cost(
    tick: &Tick<'_>,
    pool: &Pool,
    waiting: &Waiting,
    is_allowed: impl Fn(&UpstreamName) -> bool,
) -> Choice {
    let hints: SmallVec<[(&UpstreamName, u64); 2]> =
        hints::expected(tick, &waiting.place).collect();
    let cached_on = |name: &UpstreamName| {
        let hint = hints.iter().find(|(hinted, _)| *hinted == name);
        hint.map_or(0, |(_, tokens)| *tokens)
    };
    let mut offers: SmallVec<[Offer; COMPARED_UPSTREAMS]> = SmallVec::new();
    for name in compared(tick, pool, waiting, &hints) {
        let Some(row) = tick.tables.upstreams.get(name) else {
            continue;
        };
        if row.listed.is_none() || !is_allowed(name) {
            continue;
        }
        let cached_tokens = cached_on(name);
        offers.push(Offer {
            cost_us: cost_us(tick, row, waiting, cached_tokens),
            cached_tokens,
            upstream: name.clone(),
        });
    }
    offers.sort_by(|a, b| (a.cost_us, &a.upstream).cmp(&(b.cost_us, &b.upstream)));
    offers.dedup_by(|a, b| a.upstream == b.upstream);
    let Some(best) = offers.first() else {
        return Choice::Wait;
    };
    if is_worth_waiting(tick, waiting, &hints, best.cost_us) {
        return Choice::Wait;
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
    let others = offers.iter().skip(1).take(2);
    Choice::Run(Chosen {
        upstream: best.upstream.clone(),
        reason,
        runners_up: others.map(|offer| offer.upstream.clone()).collect(),
        cached_tokens: best.cached_tokens,
    })
}

/// Returns the upstreams whose cost is worked out.
///
/// In a large pool these are the hinted ones, two chosen by hash and, as the
/// hashed ones may be full, the least loaded one.
fn compared<'a>(
    tick: &Tick<'_>,
    pool: &'a Pool,
    waiting: &Waiting,
    hints: &[(&'a UpstreamName, u64)],
) -> SmallVec<[&'a UpstreamName; COMPARED_UPSTREAMS]> {
    if pool.upstreams.len() <= COMPARED_UPSTREAMS {
        return pool.open.iter().map(|(_, name)| name).collect();
    }
    let mut compared: SmallVec<[&UpstreamName; COMPARED_UPSTREAMS]> =
        hints.iter().map(|(name, _)| *name).collect();
    let attempt = waiting.place.attempt;
    let seed = attempt.call.incarnation.0 ^ (attempt.call.seq << 8) ^ u64::from(attempt.number);
    for round in 0..2 {
        let hash = spread(seed.wrapping_add(round));
        let name = &pool.upstreams[(hash % pool.upstreams.len() as u64) as usize];
        let row = tick.tables.upstreams.get(name);
        if row.is_some_and(|row| row.listed.is_some()) {
            compared.push(name);
        }
    }
    compared.extend(pool.open.first().map(|(_, name)| name));
    compared
}

/// Works out the cost of a call on an upstream.
fn cost_us(tick: &Tick<'_>, row: &Upstream, waiting: &Waiting, cached_tokens: u64) -> u64 {
    let limit_calls = row.limit_calls(tick.settings.policy.learned_limit).max(1);
    let wait_us = row.prefill_until_us.saturating_sub(tick.now_us);
    // A fuller batch decodes more slowly; a full one about doubles the time of a call.
    let batch_us = row.hold_us * u64::from(row.running_calls()) / u64::from(limit_calls) / 2;
    let read_tokens = waiting.place.prompt_tokens.saturating_sub(cached_tokens);
    let is_far = row.config.failure_domain.as_ref();
    let is_far = is_far.is_some_and(|domain| *domain != tick.settings.failure_domain);
    let far_us = if is_far {
        FAR_US + waiting.place.prompt_tokens * FAR_TOKEN_NS / 1_000
    } else {
        0
    };
    wait_us + batch_us + far_us + READ_WEIGHT * read_us(row, read_tokens)
}

/// Returns the time to read tokens of a prompt.
fn read_us(row: &Upstream, tokens: u64) -> u64 {
    tokens * row.prefill_ns_per_token / 1_000
}

/// Returns whether a call had better wait for the full upstream with its prefix.
///
/// The wait is bounded by what reading the prompt again would cost.
fn is_worth_waiting(
    tick: &Tick<'_>,
    waiting: &Waiting,
    hints: &[(&UpstreamName, u64)],
    best_us: u64,
) -> bool {
    let waited_us = tick.now_us.saturating_sub(waiting.arrived_us);
    hints.iter().any(|(name, cached_tokens)| {
        let Some(row) = tick.tables.upstreams.get(name) else {
            return false;
        };
        if row.listed.is_some() || row.is_alone || !row.is_usable(tick.now_us) {
            return false;
        }
        if waiting.place.avoid.contains(name) {
            return false;
        }
        let saved_us = READ_WEIGHT * read_us(row, *cached_tokens);
        let limit_calls = row.limit_calls(tick.settings.policy.learned_limit).max(1);
        let free_us = row.hold_us / u64::from(limit_calls);
        waited_us < saved_us && cost_us(tick, row, waiting, *cached_tokens) + free_us < best_us
    })
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
fn spread(number: u64) -> u64 {
    let hash = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
