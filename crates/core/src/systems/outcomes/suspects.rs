//! Detects crashes of upstreams and tracks the contents that were running.
//!
//! A lost connection alone is no crash. The upstream gets no calls while the
//! cause is examined. It counts as a crash if the probe is refused, shows a
//! restart or times out, if another attempt's connection is refused, or if
//! several attempts were lost at once. If the probe succeeds and only one
//! attempt was lost, it counts as an ordinary broken connection.

use std::collections::BTreeSet;

use super::super::{Tick, placement};
use super::{ejection, quarantine};
use crate::ids::{AttemptId, CallId, ContentDigest, UpstreamName, VmName};
use crate::input::ProbeState;
use crate::message::PlacementMessage;
use crate::output::{CrashEvidence, Decision, Output};
use crate::tables::{LostAttempt, RunningAttempt, Suspect, Timer};

/// Time after which an unanswered probe counts as a crash.
const PROBE_TIMEOUT_US: u64 = 1_000_000;

/// Records a lost connection and probes the upstream, unless it is being examined already.
pub(crate) fn record_lost_connection(
    tick: &mut Tick<'_>,
    attempt: AttemptId,
    running: &RunningAttempt,
) {
    if running.is_counted_in_crash {
        return;
    }
    let now_us = tick.now_us;
    let Some(row) = tick.tables.upstreams.get_mut(&running.upstream) else {
        return;
    };
    let is_first = row.health.lost_attempts.is_empty();
    row.health.lost_attempts.push(LostAttempt {
        call: attempt.call,
        vm: running.vm.clone(),
        digest: running.digest,
        is_exclusive: running.is_exclusive,
    });
    touch_suspect(tick, running.digest).pending_examinations += 1;
    if is_first {
        let probe = Output::Probe(running.upstream.clone());
        tick.outputs.push(probe);
        let timer = Timer::CrashDecision(running.upstream.clone());
        tick.tables.timers.set(now_us + PROBE_TIMEOUT_US, timer);
    }
    placement::refresh_availability(tick, &running.upstream);
}

/// Concludes the examination of an upstream from the result of its probe.
pub(super) fn handle_probe_result(tick: &mut Tick<'_>, upstream: &UpstreamName, state: ProbeState) {
    let lost_attempts = tick
        .tables
        .upstreams
        .get(upstream)
        .map_or(0, |row| row.health.lost_attempts.len());
    match state {
        ProbeState::Down => conclude_crash(tick, upstream, CrashEvidence::Refused),
        ProbeState::Restarted => conclude_crash(tick, upstream, CrashEvidence::Restarted),
        ProbeState::Up if lost_attempts > 1 => {
            conclude_crash(tick, upstream, CrashEvidence::SeveralLost);
        }
        ProbeState::Up => conclude_connection_loss(tick, upstream),
    }
}

/// Concludes that an upstream crashed because its probe got no answer in time.
pub(super) fn handle_probe_timeout(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    conclude_crash(tick, upstream, CrashEvidence::ProbeSilent);
}

/// Concludes the examination of an upstream as an ordinary broken connection.
fn conclude_connection_loss(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let lost = take_lost_attempts(tick, upstream);
    if lost.is_empty() {
        return;
    }
    tick.log(Decision::ConnectionBroke {
        upstream: upstream.clone(),
        evidence: CrashEvidence::Answering,
    });
    for attempt in &lost {
        remove_if_cleared(tick, &attempt.digest);
    }
    ejection::record_failure(tick, upstream);
    resume_assignment(tick, upstream, lost.iter().map(|lost| lost.digest));
}

/// Concludes the examination of an upstream as a crash.
///
/// All contents that were running there become suspects. If the content of a
/// lost attempt ran alone, it is quarantined. Does nothing if no lost
/// connection is being examined.
pub(super) fn conclude_crash(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    evidence: CrashEvidence,
) {
    let lost = take_lost_attempts(tick, upstream);
    if lost.is_empty() {
        return;
    }
    let mut suspects: Vec<(CallId, VmName, ContentDigest)> = lost
        .iter()
        .map(|lost| (lost.call, lost.vm.clone(), lost.digest))
        .collect();
    suspects.extend(mark_running_counted(tick, upstream));
    let exclusive = lost
        .iter()
        .find(|lost| lost.is_exclusive)
        .map(|lost| lost.digest);
    let digests: BTreeSet<ContentDigest> = suspects.iter().map(|(.., digest)| *digest).collect();
    tick.log(Decision::Crashed {
        upstream: upstream.clone(),
        suspects: digests.len(),
        evidence,
    });
    for digest in &digests {
        touch_suspect(tick, *digest).crashes += 1;
    }
    recount_running(tick, &digests);
    for (call, vm, digest) in suspects {
        let crashes = tick
            .tables
            .suspects
            .get(&digest)
            .map_or(0, |row| row.crashes);
        tick.send(&vm, PlacementMessage::Suspected { call, crashes });
    }
    if let Some(digest) = exclusive {
        quarantine::quarantine_on_all_vms(tick, digest);
    }
    if let Some(row) = tick.tables.upstreams.get_mut(upstream) {
        row.health.cache_valid_from_us = tick.now_us + 1;
        row.prefill_until_us = 0;
    }
    ejection::back_off(tick, upstream);
    resume_assignment(tick, upstream, digests.into_iter());
}

/// Removes the lost attempts of an upstream, which ends their examination.
fn take_lost_attempts(tick: &mut Tick<'_>, upstream: &UpstreamName) -> Vec<LostAttempt> {
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return Vec::new();
    };
    let lost: Vec<LostAttempt> = std::mem::take(&mut row.health.lost_attempts).into_vec();
    for attempt in &lost {
        if let Some(suspect) = tick.tables.suspects.get_mut(&attempt.digest) {
            suspect.pending_examinations = suspect.pending_examinations.saturating_sub(1);
        }
    }
    lost
}

/// Marks the attempts still recorded on a crashed upstream as counted and returns them.
fn mark_running_counted(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
) -> Vec<(CallId, VmName, ContentDigest)> {
    let attempts = tick.tables.upstreams.get(upstream);
    let attempts = attempts.map(|row| row.attempts.clone()).unwrap_or_default();
    let mut counted = Vec::new();
    for attempt in attempts {
        if let Some(running) = tick.tables.running.get_mut(&attempt) {
            running.is_counted_in_crash = true;
            counted.push((attempt.call, running.vm.clone(), running.digest));
        }
    }
    counted
}

/// Recounts the running copies of contents; crashes are rare enough for a full scan.
fn recount_running(tick: &mut Tick<'_>, digests: &BTreeSet<ContentDigest>) {
    for digest in digests {
        if let Some(suspect) = tick.tables.suspects.get_mut(digest) {
            suspect.running = 0;
        }
    }
    let tables = &mut *tick.tables;
    for (_, running) in tables.running.iter() {
        if digests.contains(&running.digest)
            && let Some(suspect) = tables.suspects.get_mut(&running.digest)
        {
            suspect.running += 1;
        }
    }
}

/// Requeues held calls in the pools of an upstream and resumes assignment.
fn resume_assignment(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    digests: impl Iterator<Item = ContentDigest>,
) {
    let row = tick.tables.upstreams.get(upstream);
    let pools = row.map(|row| row.pools.clone()).unwrap_or_default();
    for digest in digests {
        for pool in &pools {
            placement::requeue_held(tick, pool, &digest);
        }
    }
    placement::refresh_and_assign(tick, upstream);
}

/// Returns the row of a content and restarts its retention time.
fn touch_suspect<'a>(tick: &'a mut Tick<'_>, digest: ContentDigest) -> &'a mut Suspect {
    let now_us = tick.now_us;
    if !tick.tables.suspects.contains_key(&digest) {
        let due_us = now_us + retention_us(tick);
        let timer = Timer::SuspectIdle(digest);
        tick.tables.timers.set(due_us, timer);
    }
    let row = tick
        .tables
        .suspects
        .get_or_insert_with(&digest, Suspect::default);
    row.last_seen_us = now_us;
    row
}

/// Returns the retention time of a suspect, twice that of a quarantine.
///
/// A content that crashes again right after its quarantine thus still runs alone.
fn retention_us(tick: &Tick<'_>) -> u64 {
    tick.settings.quarantine_ms * 2_000
}

/// Raises a content's crash count to a reported one.
pub(crate) fn raise_crash_count(tick: &mut Tick<'_>, digest: ContentDigest, crashes: u32) {
    if crashes == 0 {
        return;
    }
    let row = touch_suspect(tick, digest);
    row.crashes = row.crashes.max(crashes);
}

/// Resets the crash count of a content that completed.
pub(crate) fn clear_crash_count(tick: &mut Tick<'_>, digest: &ContentDigest) {
    if tick.tables.suspects.is_empty() {
        return;
    }
    if let Some(suspect) = tick.tables.suspects.get_mut(digest) {
        suspect.crashes = 0;
    }
}

/// Removes the row of a content with no crashes and no pending examinations.
fn remove_if_cleared(tick: &mut Tick<'_>, digest: &ContentDigest) {
    let suspect = tick.tables.suspects.get(digest);
    if suspect.is_some_and(|row| row.crashes == 0 && row.pending_examinations == 0) {
        tick.tables.suspects.remove(digest);
    }
}

/// Removes a suspect whose retention time is over and that no longer runs.
pub(super) fn expire_suspect(tick: &mut Tick<'_>, digest: ContentDigest) {
    let Some(suspect) = tick.tables.suspects.get(&digest) else {
        return;
    };
    let due_us = suspect.last_seen_us + retention_us(tick);
    if due_us <= tick.now_us && suspect.running == 0 {
        tick.tables.suspects.remove(&digest);
    } else {
        let timer = Timer::SuspectIdle(digest);
        tick.tables
            .timers
            .set(due_us.max(tick.now_us + 1_000_000), timer);
    }
}
