//! Rates that upstreams state in their responses, kept by all VMs together.
//!
//! A stated rate is shared by the rule of `replicated`: each VM keeps a copy of the bucket and
//! deducts what the others report. Unlike an account, an upstream may have a rate of less than one
//! call for each VM, so the own parts lapse, and what other VMs leave over is taken in turns.

use super::super::{Tick, pacing, placement};
use crate::ids::UpstreamName;
use crate::input::{StatedRate, UpstreamStatement};
use crate::message::StatedLimit;
use crate::output::{Decision, LimitSource};
use crate::tables::{ColdLimit, RateKey, Timer, UpstreamRate, hash_name};

/// Length of the turns in which VMs take what others leave over; each hears of the calls of the
/// turn before.
const TURN_US: u64 = 300_000;

/// Shortest time between two log lines about the limit of an upstream, which may change with each
/// response.
const LOG_INTERVAL_US: u64 = 1_000_000;

/// Time for which a statement is kept after its upstream has left the list.
const RETENTION_US: u64 = 600_000_000;

/// Records what an upstream stated in a response to this VM.
pub(super) fn record_statement(tick: &mut Tick<'_>, statement: UpstreamStatement) {
    if let Some(cold_ms) = statement.cold_ms {
        pacing::record_cold_time(tick, &statement, cold_ms);
    }
    let limit = match statement.rate {
        StatedRate::Unreadable => return,
        StatedRate::Absent => None,
        StatedRate::PerSecond { mcalls } => Some(mcalls),
    };
    let news = StatedLimit {
        upstream: statement.upstream,
        started_unix_ms: statement.started_unix_ms,
        limit_mcalls_per_s: limit,
        age_us: 0,
    };
    record_limit(tick, news, LimitSource::Response);
}

/// Records a limit, or its end, that this VM or another one has been told.
///
/// Older news than what is known, and news of an earlier process of the upstream, is dropped.
pub(crate) fn record_limit(tick: &mut Tick<'_>, news: StatedLimit, source: LimitSource) {
    let now_us = tick.now_us;
    let stated_us = now_us.saturating_sub(news.age_us);
    let known = tick.tables.upstream_rates.get(&news.upstream);
    let is_older = known.is_some_and(|row| {
        news.started_unix_ms < row.started_unix_ms
            || (news.started_unix_ms == row.started_unix_ms && stated_us <= row.stated_us)
    });
    let was_limited = known.and_then(|row| row.limit_mcalls_per_s);
    let is_new_process = known.is_some_and(|row| news.started_unix_ms != row.started_unix_ms);
    if is_older || (known.is_none() && news.limit_mcalls_per_s.is_none()) {
        return;
    }
    let name = news.upstream;
    if known.is_none() {
        let timer = Timer::NoticeExpiry(name.clone());
        tick.tables.timers.set(now_us + RETENTION_US, timer);
    }
    let rates = &mut tick.tables.upstream_rates;
    let row = rates.get_or_insert_with(&name, UpstreamRate::default);
    row.started_unix_ms = news.started_unix_ms;
    row.stated_us = stated_us;
    if row.limit_mcalls_per_s == news.limit_mcalls_per_s && !is_new_process {
        return;
    }
    row.limit_mcalls_per_s = news.limit_mcalls_per_s;
    row.changed_round = tick.tables.peering.next_round();
    // Other VMs learn at once of a limit that is new or much lower, and of others with the next
    // round.
    let is_urgent = news
        .limit_mcalls_per_s
        .is_some_and(|limit| was_limited.is_none_or(|before| limit < before / 2));
    tick.work.peers.announce |= is_urgent && source == LimitSource::Response;
    resize(tick, &name);
    log_limit(tick, &name, source, (was_limited, news.age_us));
    placement::refresh_and_assign(tick, &name);
}

/// Logs a change of a limit, unless one was logged shortly before.
fn log_limit(
    tick: &mut Tick<'_>,
    name: &UpstreamName,
    source: LimitSource,
    (was_limited, age_us): (Option<u64>, u64),
) {
    let now_us = tick.now_us;
    let Some(row) = tick.tables.upstream_rates.get_mut(name) else {
        return;
    };
    let limit = row.limit_mcalls_per_s;
    let is_same_kind = limit.is_some() == was_limited.is_some();
    if is_same_kind && now_us < row.logged_us + LOG_INTERVAL_US {
        return;
    }
    row.logged_us = now_us;
    let (upstream, age_ms) = (name.clone(), age_us / 1_000);
    tick.log(match limit {
        Some(mcalls_per_s) => Decision::RateStated {
            upstream,
            mcalls_per_s,
            source,
            age_ms,
        },
        None => Decision::RateEnded {
            upstream,
            source,
            age_ms,
        },
    });
}

/// Sizes the bucket of an upstream for the VMs that share it now.
fn resize(tick: &mut Tick<'_>, name: &UpstreamName) {
    let sharing = tick.tables.peering.upstream_sharing();
    let vm = &tick.settings.vm;
    if let Some(row) = tick.tables.upstream_rates.get_mut(name) {
        row.resize(sharing, (vm, name), tick.now_us);
    }
}

/// Sizes all buckets after a change in the number of VMs that share them.
pub(super) fn resize_all(tick: &mut Tick<'_>) {
    let rates = tick.tables.upstream_rates.iter();
    let names: Vec<UpstreamName> = rates.map(|(name, _)| name.clone()).collect();
    for name in names {
        resize(tick, &name);
    }
}

/// Sets or ends the limit of an upstream that is cold; the lower one of it and a stated rate holds.
pub(crate) fn set_cold(tick: &mut Tick<'_>, name: &UpstreamName, cold: Option<ColdLimit>) {
    let known = tick.tables.upstream_rates.get(name);
    let is_same = |row: &UpstreamRate| {
        let rate = |cold: &ColdLimit| cold.mcalls_per_s;
        row.cold.as_ref().map(rate) == cold.as_ref().map(rate)
    };
    if known.map_or(cold.is_none(), is_same) {
        return;
    }
    if known.is_none() {
        let timer = Timer::NoticeExpiry(name.clone());
        tick.tables.timers.set(tick.now_us + RETENTION_US, timer);
    }
    let rates = &mut tick.tables.upstream_rates;
    rates.get_or_insert_with(name, UpstreamRate::default).cold = cold;
    resize(tick, name);
}

/// Returns the limit of a listed upstream that is cold or whose present process has stated one.
fn limit_of<'a>(tick: &'a Tick<'_>, name: &UpstreamName) -> Option<&'a UpstreamRate> {
    let row = tick.tables.upstream_rates.get(name)?;
    let upstream = tick.tables.upstreams.get(name)?;
    let is_current = upstream.config.started_unix_ms == row.started_unix_ms;
    let is_stated = is_current && row.limit_mcalls_per_s.is_some();
    (is_stated || row.cold.is_some()).then_some(row)
}

/// Returns whether the rate of a limited or cold upstream lets this VM send it a call now.
pub(crate) fn may_send(tick: &Tick<'_>, name: &UpstreamName) -> bool {
    limit_of(tick, name).is_none_or(|row| row.is_open(is_turn(tick, name), tick.now_us))
}

/// Returns whether an upstream is cold or has stated a rate that is in force.
pub(crate) fn is_limited(tick: &Tick<'_>, name: &UpstreamName) -> bool {
    limit_of(tick, name).is_some()
}

/// Returns the rate of an upstream that falls to this VM, in thousandths of a call per second.
///
/// VMs that have calls for limited upstreams share what the others leave over.
pub(crate) fn expected_rate(tick: &Tick<'_>, name: &UpstreamName) -> Option<u64> {
    let row = limit_of(tick, name)?;
    Some(row.bucket.rate_mcalls_per_s / (1 + tick.tables.peering.competing_vms))
}

/// Counts a call that is placed on an upstream against the rate that it has stated.
///
/// It counts as sent also if its connection fails afterwards.
pub(crate) fn take_upstream_call(tick: &mut Tick<'_>, name: &UpstreamName) {
    if !is_limited(tick, name) {
        return;
    }
    let is_turn = is_turn(tick, name);
    let now_us = tick.now_us;
    if let Some(row) = tick.tables.upstream_rates.get_mut(name) {
        row.take(is_turn, now_us);
    }
    let key = RateKey::Upstream(name.clone());
    tick.tables.peering.count_admitted(&key);
}

/// Deducts calls that another VM has placed on an upstream.
pub(super) fn debit_remote_calls(tick: &mut Tick<'_>, name: &UpstreamName, ncalls: u64) {
    let now_us = tick.now_us;
    if let Some(row) = tick.tables.upstream_rates.get_mut(name) {
        row.debit(ncalls, now_us);
    }
}

/// Schedules the next look at an upstream whose rate is used up while calls wait for it.
pub(crate) fn schedule_ready(tick: &mut Tick<'_>, name: &UpstreamName) {
    let now_us = tick.now_us;
    let Some(ready_in_us) = limit_of(tick, name).and_then(|row| row.ready_in_us(now_us)) else {
        return;
    };
    // What others leave over may be ready before this VM's turn.
    let due_us = match ready_in_us {
        0 => (now_us / TURN_US + 1) * TURN_US,
        ready_in_us => now_us + ready_in_us,
    };
    let Some(row) = tick.tables.upstream_rates.get_mut(name) else {
        return;
    };
    if row.ready_due_us > now_us && row.ready_due_us <= due_us {
        return;
    }
    row.ready_due_us = due_us;
    let timer = Timer::UpstreamReady(name.clone());
    tick.tables.timers.set(due_us, timer);
}

/// Returns whether this VM may take what other VMs leave over of the rate of an upstream.
///
/// On average one of the VMs that have calls for limited upstreams may in each turn. All of them see
/// the same level, so without turns they would all take the same calls. Each VM derives its turns
/// from its name.
fn is_turn(tick: &Tick<'_>, name: &UpstreamName) -> bool {
    let turn = tick.now_us / TURN_US;
    let hash = hash_name(tick.settings.vm.as_str(), hash_name(name.as_str(), turn));
    hash.is_multiple_of(1 + tick.tables.peering.competing_vms)
}

/// Removes what an upstream has stated if it is not listed any more; returns whether it is kept.
pub(crate) fn expire_statement(tick: &mut Tick<'_>, name: &UpstreamName) -> bool {
    if tick.tables.upstreams.contains_key(name) {
        return tick.tables.upstream_rates.contains_key(name);
    }
    tick.tables.upstream_rates.remove(name);
    false
}
