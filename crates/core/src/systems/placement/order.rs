//! The order of calls in a queue and the service booked for accounts.

use super::super::Tick;
use crate::config::PolicyPreset;
use crate::ids::AccountName;
use crate::message::Place;
use crate::tables::{LaneOrder, Rank};

/// How far an account may fall behind under the preset `Latency`, in service units.
///
/// About ten seconds of eight engines: enough to let short programs of other
/// accounts pass, and less than half of the longest wait of a call.
const FALL_BEHIND: u64 = 4_000_000;

/// Service of one token of a response, in prompt tokens read.
///
/// A decode step is shared by the batch but takes far longer than the
/// reading of one token.
pub(super) const ANSWER_WEIGHT: u64 = 30;

/// Attained service below which all programs are alike.
const LEVEL_TOKENS: u64 = 8_192;

/// Returns how the accounts of a queue take turns.
pub(super) fn lane_order(tick: &Tick<'_>) -> LaneOrder {
    match tick.settings.preset {
        PolicyPreset::FairShare => LaneOrder::LeastServed,
        PolicyPreset::Latency => LaneOrder::LowestRank { bound: FALL_BEHIND },
    }
}

/// Returns the lane of a call.
pub(super) fn lane_of(tick: &Tick<'_>, account: &Option<AccountName>) -> Option<AccountName> {
    if tick.settings.policy.fair_sharing {
        account.clone()
    } else {
        None
    }
}

/// Returns the position of a call among those of its account.
///
/// The attained service of the whole program counts, sub-agents included, in
/// levels that double. Within a level the earlier call goes first, so that
/// the sub-agents of a program stay together instead of passing each other
/// with each call. A call that has waited for three quarters of the longest wait goes
/// first, or a long program would be refused under load.
pub(super) fn rank(tick: &Tick<'_>, place: &Place, arrived_us: u64) -> Rank {
    if let Some(priority) = place.priority {
        return Rank {
            attained: u64::from(priority),
            arrived_us,
            attempt: place.attempt,
        };
    }
    let is_old = tick.now_us >= aged_us(tick, arrived_us);
    let attained = if tick.settings.policy.least_attained && !is_old {
        level(attained_tokens(tick, place))
    } else {
        0
    };
    Rank {
        attained,
        arrived_us,
        attempt: place.attempt,
    }
}

/// Returns when a call has waited for three quarters of the longest wait.
pub(super) fn aged_us(tick: &Tick<'_>, arrived_us: u64) -> u64 {
    arrived_us + tick.settings.queue_ms * 750
}

/// Returns the tokens of the whole program so far.
fn attained_tokens(tick: &Tick<'_>, place: &Place) -> u64 {
    let Some(program) = &place.program else {
        return 0;
    };
    let root = super::hints::root_of(program);
    let known = tick.tables.footprints.get(&root);
    let known_tokens = known.map_or(0, |footprint| footprint.attained_tokens);
    known_tokens.max(place.spent_tokens)
}

/// Returns the level of an attained service.
fn level(tokens: u64) -> u64 {
    u64::from((tokens / LEVEL_TOKENS + 1).ilog2())
}

/// Returns the service of a call in prompt tokens read.
pub(super) fn service(prompt_tokens: u64, cached_tokens: u64, answer_tokens: u64) -> u64 {
    prompt_tokens.saturating_sub(cached_tokens) + ANSWER_WEIGHT * answer_tokens
}

/// Weights a service with the weight of the account.
pub(super) fn weighted(tick: &Tick<'_>, account: &Option<AccountName>, service: u64) -> u64 {
    let row = account
        .as_ref()
        .and_then(|account| tick.tables.accounts.get(account));
    let weight_percent = row.map_or(100, |row| u64::from(row.config.weight_percent.max(1)));
    service * 100 / weight_percent
}
