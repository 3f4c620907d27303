//! Rank of calls in a queue and the service booked for accounts.

use super::super::Tick;
use super::{stated_rates, urgency};
use crate::config::PolicyPreset;
use crate::ids::{AccountName, PoolKey};
use crate::message::Place;
use crate::tables::{LaneOrder, Rank};

/// Largest service lag of an account under the preset `Latency`, in service units.
///
/// About ten seconds of eight engines: enough for short programs of other
/// accounts to go first, and less than half of the longest wait of a call.
const MAX_ACCOUNT_LAG: u64 = 4_000_000;

/// Largest service lag of an account for each upstream of a pool that orders calls by deadlines, in
/// service units.
///
/// About two seconds of an engine, which is less than callers wait. Each VM has its part of it.
const MAX_LAG_PER_UPSTREAM: u64 = 100_000;

/// Smallest service lag of an account that changes the order by deadlines: a few calls.
const MIN_ACCOUNT_LAG: u64 = 30_000;

/// Service of one response token, in prompt tokens read.
///
/// A decode step is shared by the batch but takes far longer than the prefill
/// of one token.
pub(super) const ANSWER_TOKEN_WEIGHT: u64 = 30;

/// Attained tokens below which all programs rank equally.
const FIRST_LEVEL_TOKENS: u64 = 8_192;

/// Returns the order in which a queue serves its accounts.
pub(super) fn lane_order(tick: &Tick<'_>, pool: &PoolKey) -> LaneOrder {
    let row = tick.tables.pools.get(pool);
    if let Some(row) = row.filter(|row| row.deadlines.is_active(tick.now_us)) {
        let lag = MAX_LAG_PER_UPSTREAM * row.upstreams.len() as u64;
        let lag = lag / tick.tables.peering.sharing().reachable_vms;
        return LaneOrder::LowestRank {
            max_lag: lag.max(MIN_ACCOUNT_LAG),
        };
    }
    match tick.settings.preset {
        PolicyPreset::FairShare => LaneOrder::LeastServed,
        PolicyPreset::Latency => LaneOrder::LowestRank {
            max_lag: MAX_ACCOUNT_LAG,
        },
    }
}

/// Returns the queue lane of an account; without fair sharing there is only one.
pub(super) fn lane_of(tick: &Tick<'_>, account: &Option<AccountName>) -> Option<AccountName> {
    if tick.settings.policy.fair_sharing {
        account.clone()
    } else {
        None
    }
}

/// Returns the rank of a call among those of its account.
///
/// In a pool that orders calls by deadlines, that is its urgency. Elsewhere, a call with a priority ranks by it. Other calls rank by the attained tokens
/// of the whole program, sub-agents included, in levels that double. Within a
/// level the earlier call goes first, so that the sub-agents of a program stay
/// together instead of overtaking each other with each call. A call that has
/// waited for three quarters of the longest wait goes first; otherwise long
/// programs would be refused under load.
pub(super) fn compute_rank(tick: &Tick<'_>, place: &Place, arrived_us: u64) -> Rank {
    if let Some(urgency) = urgency::urgency_of(tick, place) {
        return urgency.rank(tick.now_us, place.attempt);
    }
    if let Some(priority) = place.priority {
        // A program that is refused at its first call loses no earlier turns.
        let comes_last = stated_rates::comes_last(tick, place);
        return Rank {
            attained: 2 * u64::from(priority) + u64::from(comes_last),
            arrived_us,
            attempt: place.attempt,
        };
    }
    let is_old = tick.now_us >= aging_due_us(tick, arrived_us);
    let attained = if tick.settings.policy.least_attained && !is_old {
        service_level(attained_tokens(tick, place))
    } else {
        0
    };
    Rank {
        attained,
        arrived_us,
        attempt: place.attempt,
    }
}

/// Returns the level and time by which a call is refused while the upstreams of its pool are
/// limited.
///
/// A call that begins a program comes first in its priority, also if it was ranked before the limit
/// was known.
pub(super) fn refusal_order(tick: &Tick<'_>, place: &Place, rank: &Rank) -> (u64, u64) {
    let has_class = urgency::is_ordered(tick, &place.pool);
    match place.priority {
        Some(priority) if !has_class => {
            let begins_program = stated_rates::begins_program(tick, place);
            let level = 2 * u64::from(priority) + u64::from(begins_program);
            (level, rank.arrived_us)
        }
        _ => (rank.attained, rank.arrived_us),
    }
}

/// Returns when a call has waited for three quarters of the longest wait.
pub(super) fn aging_due_us(tick: &Tick<'_>, arrived_us: u64) -> u64 {
    arrived_us + tick.settings.queue_ms * 750
}

/// Returns the tokens that a call's whole program has used so far.
fn attained_tokens(tick: &Tick<'_>, place: &Place) -> u64 {
    let Some(program) = &place.program else {
        return 0;
    };
    let root = super::hints::root_of(program);
    let known = tick.tables.placement_histories.get(&root);
    let known_tokens = known.map_or(0, |history| history.attained_tokens);
    known_tokens.max(place.spent_tokens)
}

/// Returns the level of an amount of tokens; each level is twice as wide as the one before.
fn service_level(tokens: u64) -> u64 {
    u64::from((tokens / FIRST_LEVEL_TOKENS + 1).ilog2())
}

/// Returns the service of a call in service units (prompt tokens read).
pub(super) fn service_units(prompt_tokens: u64, cached_tokens: u64, answer_tokens: u64) -> u64 {
    prompt_tokens.saturating_sub(cached_tokens) + ANSWER_TOKEN_WEIGHT * answer_tokens
}

/// Divides a service by the weight of its account.
pub(super) fn weighted_service(
    tick: &Tick<'_>,
    account: &Option<AccountName>,
    service: u64,
) -> u64 {
    let row = account
        .as_ref()
        .and_then(|account| tick.tables.accounts.get(account));
    let weight_percent = row.map_or(100, |row| u64::from(row.config.weight_percent.max(1)));
    service * 100 / weight_percent
}
