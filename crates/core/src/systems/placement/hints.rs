//! Cache hints of programs and the service that they have attained.

use super::super::Tick;
use crate::config::Coordination;
use crate::ids::{ProgramKey, UpstreamName};
use crate::message::{Finish, Place};
use crate::tables::{CacheHint, PlacementHistory, RunningAttempt, Timer};

/// Shortest expected prefix that counts as a sample of hint accuracy; shorter ones say little.
const MIN_ACCURACY_SAMPLE_TOKENS: u64 = 500;

/// Returns the key of a program's root; the name of a root is not copied.
pub(super) fn root_of(program: &ProgramKey) -> ProgramKey {
    if program.name.root().len() == program.name.as_str().len() {
        program.clone()
    } else {
        program.root()
    }
}

/// Estimates how many prompt tokens each hinted upstream has cached.
pub(super) fn expected_cached_tokens<'a>(
    tick: &'a Tick<'_>,
    place: &'a Place,
) -> impl Iterator<Item = (&'a UpstreamName, u64)> {
    let history = place
        .program
        .as_ref()
        .and_then(|program| tick.tables.placement_histories.get(program));
    let hints = history.map_or(&[][..], |history| &history.hints);
    hints.iter().filter_map(|hint| {
        let row = tick.tables.upstreams.get(&hint.upstream)?;
        // A hint may belong to another pool: tool calls of a program use other upstreams.
        let is_in_pool = row.pools.contains(&place.pool);
        if !is_in_pool || hint.ended_us < row.health.cache_valid_from_us {
            return None;
        }
        let half_life_us = tick.settings.cache_half_life_ms * 1_000;
        let tokens =
            hint.expected_cached_tokens(tick.now_us, half_life_us, row.hint_accuracy_percent);
        Some((&hint.upstream, tokens.min(place.prompt_tokens)))
    })
}

/// Records a complete attempt in the placement history of its program.
pub(super) fn record_completion(tick: &mut Tick<'_>, running: &RunningAttempt, finish: &Finish) {
    let Some(program) = &running.program else {
        return;
    };
    let now_us = tick.now_us;
    let used_tokens = finish.prompt_tokens + finish.answer_tokens;
    let hint = CacheHint {
        upstream: finish.upstream.clone(),
        tokens: used_tokens,
        ended_us: now_us,
    };
    touch(tick, program).record_hint(hint);
    let root = root_of(program);
    touch(tick, &root).attained_tokens += used_tokens;
    update_hint_accuracy(tick, running, finish);
}

/// Records that another VM ran a turn of a program on an engine.
pub(crate) fn record_cached_prefix(
    tick: &mut Tick<'_>,
    program: &ProgramKey,
    upstream: &UpstreamName,
    tokens: u64,
) {
    let now_us = tick.now_us;
    let hint = CacheHint {
        upstream: upstream.clone(),
        tokens,
        ended_us: now_us,
    };
    touch(tick, program).record_hint(hint);
}

/// Raises a program's attained tokens to those used before this VM tracked it.
pub(super) fn raise_attained_tokens(tick: &mut Tick<'_>, place: &Place) {
    let Some(program) = place.program.as_ref().filter(|_| place.spent_tokens > 0) else {
        return;
    };
    let root = root_of(program);
    let row = touch(tick, &root);
    row.attained_tokens = row.attained_tokens.max(place.spent_tokens);
}

/// Updates the hint accuracy of an upstream from the tokens that it found in its cache.
fn update_hint_accuracy(tick: &mut Tick<'_>, running: &RunningAttempt, finish: &Finish) {
    // Upstreams of relayed calls do not report cached tokens.
    let is_reported = tick.settings.coordination == Coordination::Owners;
    if running.expected_cached_tokens < MIN_ACCURACY_SAMPLE_TOKENS || !is_reported {
        return;
    }
    let Some(row) = tick.tables.upstreams.get_mut(&finish.upstream) else {
        return;
    };
    let found_percent = finish.cached_tokens * 100 / running.expected_cached_tokens;
    row.hint_accuracy_percent = (row.hint_accuracy_percent * 15 + found_percent.min(100)) / 16;
    // Without a lower bound, an upstream without hits would never be tried again.
    row.hint_accuracy_percent = row.hint_accuracy_percent.max(20);
}

/// Returns the placement history of a program and restarts its idle time.
fn touch<'a>(tick: &'a mut Tick<'_>, program: &ProgramKey) -> &'a mut PlacementHistory {
    let now_us = tick.now_us;
    if !tick.tables.placement_histories.contains_key(program) {
        let due_us = now_us + tick.settings.program_lease_ms * 1_000;
        let timer = Timer::PlacementHistoryIdle(program.clone());
        tick.tables.timers.set(due_us, timer);
    }
    let row = tick
        .tables
        .placement_histories
        .get_or_insert_with(program, PlacementHistory::default);
    row.last_used_us = now_us;
    row
}

/// Removes the placement history of a program without calls for a program lease.
pub(super) fn expire_history(tick: &mut Tick<'_>, program: ProgramKey) {
    let Some(row) = tick.tables.placement_histories.get(&program) else {
        return;
    };
    let due_us = row.last_used_us + tick.settings.program_lease_ms * 1_000;
    if due_us <= tick.now_us {
        tick.tables.placement_histories.remove(&program);
    } else {
        let timer = Timer::PlacementHistoryIdle(program);
        tick.tables.timers.set(due_us, timer);
    }
}
