//! Exchanges with other VMs what calls have shown about paced upstreams.

use super::super::{Tick, placement};
use super::{cold, episodes, is_enabled};
use crate::ids::{UpstreamName, VmName};
use crate::message::UpstreamPace;
use crate::tables::{Episode, PaceCounts, Tables};

/// Time for which the end of an episode is remembered.
///
/// In this time, a VM that has missed the end may still report the episode.
pub(super) const RETENTION_US: u64 = 10_000_000;

/// Time after its end for which an episode is still reported.
const REPORT_AFTER_END_US: u64 = 1_000_000;

/// Longest time between the moments at which VMs notice the same event: the list takes this long to
/// reach all of them.
const SAME_EVENT_US: u64 = 2_000_000;

/// Returns the reports about upstreams that are paced, with the rounds of their last changes.
pub(crate) fn announcements(
    tables: &Tables,
    now_us: u64,
) -> impl Iterator<Item = (u64, UpstreamPace)> {
    tables.pacing.rows.iter().filter_map(move |(name, row)| {
        let episode = row.episode.as_ref()?;
        let is_over = row
            .ended_us
            .is_some_and(|ended_us| now_us > ended_us + REPORT_AFTER_END_US);
        let pace = UpstreamPace {
            upstream: name.clone(),
            started_unix_ms: row.started_unix_ms,
            age_us: now_us.saturating_sub(episode.began_us),
            responses: episode.own.responses,
            setbacks: episode.own.setbacks,
        };
        (!is_over).then_some((row.changed_round, pace))
    })
}

/// Applies what another VM reports about an upstream that it paces.
pub(crate) fn merge_report(tick: &mut Tick<'_>, vm: &VmName, pace: &UpstreamPace) {
    if !is_enabled(tick) || !tick.tables.upstreams.contains_key(&pace.upstream) {
        return;
    }
    let name = &pace.upstream;
    let event_us = tick.now_us.saturating_sub(pace.age_us);
    let row = tick.tables.pacing.rows.get(name);
    let known_unix_ms = row.map_or(0, |row| row.started_unix_ms);
    if pace.started_unix_ms < known_unix_ms {
        return;
    }
    let is_same_process = pace.started_unix_ms == known_unix_ms;
    let running = row
        .and_then(|row| row.running())
        .filter(|_| is_same_process);
    let began_us = running.map(|episode| episode.began_us);
    let ended_us = row.and_then(|row| row.ended_us).filter(|_| is_same_process);
    match began_us {
        Some(began_us) if event_us + SAME_EVENT_US < began_us => return,
        Some(_) => {}
        None if ended_us.is_some_and(|ended_us| event_us <= ended_us) => return,
        None if is_outdated(tick, event_us) => return,
        None => {
            episodes::begin(tick, name, pace.started_unix_ms, event_us);
            cold::update(tick, name);
        }
    }
    count(tick, name, vm, (event_us, pace));
}

/// Returns whether an event is so old that this VM would have learned of it before.
fn is_outdated(tick: &Tick<'_>, event_us: u64) -> bool {
    let started_us = tick.tables.source.started_us;
    event_us.max(started_us) + RETENTION_US < tick.now_us
}

/// Adds the totals of another VM to an episode.
fn count(
    tick: &mut Tick<'_>,
    name: &UpstreamName,
    vm: &VmName,
    (event_us, pace): (u64, &UpstreamPace),
) {
    let now_us = tick.now_us;
    let total = PaceCounts {
        responses: pace.responses,
        setbacks: pace.setbacks,
    };
    let row = tick.tables.pacing.rows.get_mut(name);
    let Some(episode) = row.and_then(|row| row.episode.as_mut()) else {
        return;
    };
    adopt_event(episode, event_us);
    if episode.count_total(vm, total, now_us) {
        episodes::end_if_open(tick, name);
        placement::refresh_and_assign(tick, name);
    }
}

/// Takes over the time of the VM that noticed the event first, so that all deal the same places.
///
/// Times differ by the transit of summaries, so the earliest one is not a fixed one. Differences
/// are small against the period of a deal.
fn adopt_event(episode: &mut Episode, event_us: u64) {
    episode.began_us = episode.began_us.min(event_us);
}
