//! Begins and ends the episodes in which an upstream is paced.

use super::super::{Tick, placement};
use super::reports::RETENTION_US;
use super::{cold, is_enabled, parts};
use crate::config::Coordination;
use crate::ids::UpstreamName;
use crate::message::{AttemptResult, Finish};
use crate::output::PaceDecision;
use crate::tables::{Episode, Link, Pace, PaceCounts, RunningAttempt};

/// Time without a response after which an episode ends, unless calls fail.
const IDLE_US: u64 = 5_000_000;

/// Shortest time between two log lines about an upstream, which may start and fail all the time.
const LOG_INTERVAL_US: u64 = 1_000_000;

/// Records that an upstream has started, or that an ejection or backoff has ended.
///
/// It counts as cold until a list that was read later says otherwise, and is paced.
pub(crate) fn record_return(tick: &mut Tick<'_>, name: &UpstreamName) {
    let now_us = tick.now_us;
    if tick.settings.coordination != Coordination::Peers {
        return;
    }
    let Some(upstream) = tick.tables.upstreams.get(name) else {
        return;
    };
    let started_unix_ms = upstream.config.started_unix_ms;
    let rows = &mut tick.tables.pacing.rows;
    let row = rows.get_or_insert_with(name, Pace::default);
    row.event_us = Some(now_us);
    // Failures in an episode have halved its window already.
    let is_running = row.running().is_some() && row.started_unix_ms == started_unix_ms;
    if !is_running {
        begin(tick, name, started_unix_ms, now_us);
    }
    cold::update(tick, name);
    super::schedule_review(tick);
}

/// Begins an episode, if upstreams are paced.
pub(super) fn begin(tick: &mut Tick<'_>, name: &UpstreamName, started_unix_ms: u64, event_us: u64) {
    let is_paced = is_enabled(tick);
    let now_us = tick.now_us;
    let changed_round = tick.tables.peering.next_round();
    let rows = &mut tick.tables.pacing.rows;
    let row = rows.get_or_insert_with(name, Pace::default);
    row.started_unix_ms = started_unix_ms;
    row.event_us = row.event_us.max(Some(event_us));
    row.ended_us = None;
    row.episode = is_paced.then(|| Episode::new(event_us, now_us));
    row.changed_round = changed_round;
    if is_paced {
        let upstream = name.clone();
        log(tick, name, PaceDecision::EpisodeBegan { upstream });
        parts::refresh_deal(tick, name);
    }
    super::schedule_review(tick);
}

/// Logs a decision about an upstream, unless one was logged shortly before.
pub(super) fn log(tick: &mut Tick<'_>, name: &UpstreamName, decision: PaceDecision) {
    let now_us = tick.now_us;
    if let Some(row) = tick.tables.pacing.rows.get_mut(name) {
        let logged_us = row.logged_us;
        if logged_us.is_some_and(|logged_us| now_us < logged_us + LOG_INTERVAL_US) {
            return;
        }
        row.logged_us = Some(now_us);
    }
    tick.log(decision);
}

/// Notices the end of an ejection or backoff, and deals the places of a paced upstream anew.
pub(crate) fn prepare(tick: &mut Tick<'_>, name: &UpstreamName) {
    let now_us = tick.now_us;
    let row = tick.tables.upstreams.get_mut(name);
    let is_linked = row.as_ref().is_some_and(|row| row.link == Link::Up);
    let paused_us = row.and_then(|row| row.health.take_return(now_us));
    // Without a link, failures are those of this VM and of its proxies.
    if let Some(paused_us) = paused_us.filter(|_| is_linked) {
        let row = tick.tables.pacing.rows.get(name);
        let ended_us = row.and_then(|row| row.ended_us);
        // Other VMs have seen it recover since.
        if ended_us.is_none_or(|ended_us| paused_us > ended_us) {
            record_return(tick, name);
        }
    }
    parts::refresh_deal(tick, name);
}

/// Counts the result of an attempt for the pace of its upstream.
pub(crate) fn record_result(tick: &mut Tick<'_>, running: &RunningAttempt, finish: &Finish) {
    if tick.settings.coordination != Coordination::Peers {
        return;
    }
    let is_complete = finish.result == AttemptResult::Complete;
    let time_us = match finish.first_token_us {
        0 => finish.total_us,
        first_token_us => first_token_us,
    };
    let read_tokens = finish.prompt_tokens.saturating_sub(finish.cached_tokens);
    let name = &finish.upstream;
    let row = tick.tables.pacing.rows.get(name);
    let Some(began_us) = row.and_then(|row| row.running()).map(|e| e.began_us) else {
        let pool = tick.tables.pools.get_mut(&running.pool);
        if let Some(pool) = pool.filter(|_| is_complete) {
            pool.times.record((time_us, read_tokens), finish.total_us);
        }
        return;
    };
    if running.placed_us < began_us || finish.result == AttemptResult::Unused {
        return;
    }
    let pool = tick.tables.pools.get(&running.pool);
    let is_slow = pool.is_some_and(|pool| pool.times.is_slow(time_us, read_tokens));
    let is_timely = is_complete && !is_slow;
    let added = PaceCounts {
        responses: u64::from(is_timely),
        setbacks: u64::from(!is_timely),
    };
    count_own(tick, name, added);
}

fn count_own(tick: &mut Tick<'_>, name: &UpstreamName, added: PaceCounts) {
    let now_us = tick.now_us;
    let changed_round = tick.tables.peering.next_round();
    let Some(row) = tick.tables.pacing.rows.get_mut(name) else {
        return;
    };
    row.changed_round = changed_round;
    if let Some(episode) = &mut row.episode {
        episode.count_own(added, now_us);
    }
    end_if_open(tick, name);
}

/// Ends the episode of an upstream whose window has reached the upstream's own limit.
pub(super) fn end_if_open(tick: &mut Tick<'_>, name: &UpstreamName) {
    let is_learned = tick.settings.policy.learned_limit;
    let row = tick.tables.pacing.rows.get(name);
    let Some(episode) = row.and_then(|row| row.running()) else {
        return;
    };
    let upstream = tick.tables.upstreams.get(name);
    let limit_calls = upstream.map_or(0, |row| row.limit_calls(is_learned));
    if episode.window_calls >= limit_calls {
        end(tick, name);
    } else {
        parts::refresh_deal(tick, name);
    }
}

fn end(tick: &mut Tick<'_>, name: &UpstreamName) {
    let now_us = tick.now_us;
    let Some(row) = tick.tables.pacing.rows.get_mut(name) else {
        return;
    };
    row.ended_us = Some(now_us);
    let Some(episode) = &row.episode else {
        return;
    };
    let decision = PaceDecision::EpisodeEnded {
        upstream: name.clone(),
        after_ms: now_us.saturating_sub(episode.began_us) / 1_000,
        window_calls: episode.window_calls,
        setbacks: episode.setbacks,
    };
    log(tick, name, decision);
}

/// Looks at all upstreams that are paced or cold.
pub(super) fn review(tick: &mut Tick<'_>) {
    let rows = tick.tables.pacing.rows.iter();
    let mut names: Vec<UpstreamName> = rows.map(|(name, _)| name.clone()).collect();
    let cold = tick.tables.pacing.cold.iter();
    names.extend(
        cold.filter(|name| !tick.tables.pacing.rows.contains_key(name))
            .cloned(),
    );
    let is_uninformed = parts::is_uninformed(tick);
    let was_uninformed = std::mem::replace(&mut tick.tables.pacing.was_uninformed, is_uninformed);
    if is_uninformed || was_uninformed {
        let upstreams = tick.tables.upstreams.iter();
        names = upstreams.map(|(name, _)| name.clone()).collect();
    }
    for name in names {
        end_if_idle(tick, &name);
        end_if_open(tick, &name);
        cold::update(tick, &name);
        expire(tick, &name);
        placement::refresh_and_assign(tick, &name);
    }
}

/// Ends an episode without responses, unless its calls fail.
///
/// While they fail, the window is opened to the calls that run.
fn end_if_idle(tick: &mut Tick<'_>, name: &UpstreamName) {
    let now_us = tick.now_us;
    let upstream = tick.tables.upstreams.get(name);
    let running_calls = upstream.map_or(0, |row| row.running_calls());
    let row = tick.tables.pacing.rows.get_mut(name);
    let Some(episode) = row.and_then(|row| row.running_mut()) else {
        return;
    };
    let is_recent = |time_us: u64| now_us < time_us + IDLE_US;
    if is_recent(episode.responded_us) {
        return;
    }
    if !episode.setback_us.is_some_and(is_recent) {
        episode.window_calls = episode.window_calls.max(running_calls);
        end(tick, name);
    }
}

/// Removes the row of an upstream that is not listed any more, or neither paced nor cold.
fn expire(tick: &mut Tick<'_>, name: &UpstreamName) {
    let now_us = tick.now_us;
    let is_listed = tick.tables.upstreams.contains_key(name);
    let is_cold = tick.tables.pacing.cold.contains(name);
    let Some(row) = tick.tables.pacing.rows.get(name) else {
        if !is_listed {
            tick.tables.pacing.cold.remove(name);
        }
        return;
    };
    let is_over = row.running().is_none()
        && !is_cold
        && row
            .ended_us
            .max(row.event_us)
            .is_none_or(|time_us| now_us >= time_us + RETENTION_US);
    if !is_listed || is_over {
        tick.tables.pacing.rows.remove(name);
        if !is_listed {
            tick.tables.pacing.cold.remove(name);
        }
    }
}
