//! Examines whether an upstream crashed, only its connections broke, or this VM lost its link.
//!
//! A broken connection is no crash, and neither are many at once: a network fault may reset all
//! connections of this VM while the upstream goes on. While an upstream is examined it gets no
//! calls, and calls that are confined to it wait. A connection that it accepts proves that it runs.
//! If it refuses connections, or accepts none for [`EXAMINATION_US`], in which two probes are sent,
//! other VMs are asked whether they reach it. If one does, this VM has lost its link and the
//! upstream is not down. It crashed if none of those that were asked reaches it, if no other VM is
//! known, or if its process has restarted.

use std::collections::BTreeSet;

use super::super::{Tick, links, placement};
use super::{ejection, quarantine, suspects};
use crate::ids::{AttemptId, CallId, ContentDigest, UpstreamName, VmName};
use crate::input::ProbeState;
use crate::message::PlacementMessage;
use crate::output::{CrashEvidence, Decision, Output};
use crate::tables::{Examination, LostAttempt, RunningAttempt, Timer};

/// Longest examination of an upstream that accepts no connection.
const EXAMINATION_US: u64 = 600_000;

/// Probes in one examination; a full accept queue may drop the first one.
const MAX_PROBES: u32 = 2;

/// Records a lost connection and examines the upstream.
pub(crate) fn record_lost_connection(
    tick: &mut Tick<'_>,
    attempt: AttemptId,
    running: &RunningAttempt,
) {
    if running.is_counted_in_crash {
        return;
    }
    begin(tick, &running.upstream);
    let Some(row) = tick.tables.examinations.get_mut(&running.upstream) else {
        return;
    };
    row.lost.push(LostAttempt {
        call: attempt.call,
        vm: running.vm.clone(),
        digest: running.digest,
        is_exclusive: running.is_exclusive,
    });
    suspects::touch_suspect(tick, running.digest).pending_examinations += 1;
}

/// Examines an upstream that sent nothing for so long that a call left it.
///
/// Its failure is counted when the examination ends, once for all connections that fell silent.
pub(crate) fn record_silence(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    begin(tick, upstream);
}

/// Examines an upstream that sends nothing, without a failure if it turns out to run: a sound one
/// may pause, and each call that waits for it reports the same pause.
pub(super) fn check_silent(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    if tick.tables.examinations.contains_key(upstream) {
        return;
    }
    begin(tick, upstream);
    if let Some(row) = tick.tables.examinations.get_mut(upstream) {
        row.has_failure = false;
    }
}

/// Backs off from an upstream that did not accept a connection in time, and examines it.
pub(crate) fn record_unreachable(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    begin(tick, upstream);
    ejection::back_off(tick, upstream);
    record_no_connection(tick, upstream, CrashEvidence::ProbeSilent);
}

/// Examines an upstream that refused a connection: its process has ended, or the link is lost.
pub(crate) fn record_connection_refused(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    begin(tick, upstream);
    record_no_connection(tick, upstream, CrashEvidence::Refused);
}

/// Backs off from an upstream at whose address another process listens.
pub(crate) fn record_replaced(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    conclude_crash(tick, upstream, CrashEvidence::Restarted);
    record_crash(tick, upstream);
}

/// Starts the examination of a listed upstream, unless it is being examined already.
fn begin(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let tables = &mut *tick.tables;
    let Some(row) = tables.upstreams.get_mut(upstream) else {
        return;
    };
    if let Some(running) = tables.examinations.get_mut(upstream) {
        running.has_failure = true;
        return;
    }
    row.health.is_examined = true;
    let until_us = tick.now_us + EXAMINATION_US;
    let examination = Examination {
        until_us,
        probes: 1,
        has_failure: true,
        ..Examination::default()
    };
    tables.examinations.insert(upstream.clone(), examination);
    tables
        .timers
        .set(until_us, Timer::CrashDecision(upstream.clone()));
    probe_directly(tick, upstream);
    placement::refresh_availability(tick, upstream);
}

fn probe_directly(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    tick.outputs.push(Output::Probe {
        upstream: upstream.clone(),
        proxy: None,
    });
}

/// Handles the result of a probe, directly or through another VM.
pub(super) fn handle_probe_result(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    proxy: Option<VmName>,
    state: ProbeState,
) {
    match proxy {
        Some(prober) => handle_indirect_probe(tick, upstream, prober, state),
        None => handle_direct_probe(tick, upstream, state),
    }
}

/// Concludes the examination of an upstream if it accepts connections, or else asks other VMs.
fn handle_direct_probe(tick: &mut Tick<'_>, upstream: &UpstreamName, state: ProbeState) {
    if state == ProbeState::Up {
        links::record_accepted(tick, upstream);
    }
    let Some(row) = tick.tables.examinations.get_mut(upstream) else {
        return;
    };
    match state {
        ProbeState::Up => conclude_connection_loss(tick, upstream),
        ProbeState::Restarted => conclude_crash(tick, upstream, CrashEvidence::Restarted),
        ProbeState::Down => record_no_connection(tick, upstream, CrashEvidence::Refused),
        ProbeState::Silent | ProbeState::ProxyFailed => {
            if row.probes < MAX_PROBES {
                row.probes += 1;
                probe_directly(tick, upstream);
            }
            record_no_connection(tick, upstream, CrashEvidence::ProbeSilent);
        }
    }
}

/// Records that an examined upstream accepts no connection of this VM, and asks other VMs once.
fn record_no_connection(tick: &mut Tick<'_>, upstream: &UpstreamName, evidence: CrashEvidence) {
    let Some(row) = tick.tables.examinations.get_mut(upstream) else {
        return;
    };
    let is_first = row.failed.is_none();
    // A refusal says more than silence.
    if is_first || evidence == CrashEvidence::Refused {
        row.failed = Some(evidence);
    }
    if is_first {
        probe_indirectly(tick, upstream);
    }
    decide(tick, upstream);
}

/// Asks other VMs, those that were not asked yet, whether they reach an upstream.
fn probe_indirectly(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let row = tick.tables.examinations.get(upstream);
    let asked = row.map(|row| row.probed_by.clone()).unwrap_or_default();
    let probers = links::indirect_probers(tick, upstream, &asked);
    if let Some(row) = tick.tables.examinations.get_mut(upstream) {
        let names = probers.iter().map(|prober| prober.vm.clone());
        row.probed_by.extend(names);
    }
    for prober in probers {
        tick.outputs.push(Output::Probe {
            upstream: upstream.clone(),
            proxy: Some(prober),
        });
    }
}

/// Records whether another VM reaches an upstream.
fn handle_indirect_probe(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    prober: VmName,
    state: ProbeState,
) {
    if state == ProbeState::ProxyFailed {
        links::record_proxy_failure(tick, &prober);
    }
    let Some(row) = tick.tables.examinations.get_mut(upstream) else {
        return;
    };
    match state {
        ProbeState::Up => row.reached_by = Some(prober),
        ProbeState::Down | ProbeState::Restarted | ProbeState::Silent => {
            row.unreached_by.push(prober);
        }
        ProbeState::ProxyFailed => row.failed_proxies += 1,
    }
    decide(tick, upstream);
}

/// Concludes an examination if what is known suffices.
fn decide(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let Some(row) = tick.tables.examinations.get(upstream) else {
        return;
    };
    let Some(failed) = row.failed else {
        return;
    };
    if let Some(prober) = row.reached_by.clone() {
        conclude_link_loss(tick, upstream, &prober);
        return;
    }
    // One denial is not enough: that VM may have lost its links as well.
    let asked = row.probed_by.len();
    if row.unreached_by.len() + row.failed_proxies < asked {
        return;
    }
    let is_crash = failed == CrashEvidence::Refused || !row.unreached_by.is_empty();
    if (1..=links::MAX_INDIRECT_PROBES).contains(&asked) {
        probe_indirectly(tick, upstream);
    }
    let row = tick.tables.examinations.get(upstream);
    let has_asked_more = row.is_some_and(|row| row.probed_by.len() > asked);
    if is_crash && !has_asked_more {
        conclude_crash(tick, upstream, failed);
    }
}

/// Concludes an examination that has lasted long enough.
///
/// Silence counts as a crash only if another VM gets no answer either, or no other VM is known: a
/// VM that reaches nobody knows nothing about upstreams.
pub(super) fn handle_timeout(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let row = tick.tables.examinations.get(upstream);
    // The timer may belong to an earlier examination.
    let Some(row) = row.filter(|row| tick.now_us >= row.until_us) else {
        return;
    };
    let evidence = row.failed.unwrap_or(CrashEvidence::ProbeSilent);
    if evidence == CrashEvidence::Refused
        || row.probed_by.is_empty()
        || !row.unreached_by.is_empty()
    {
        conclude_crash(tick, upstream, evidence);
    } else {
        conclude_unconfirmed(tick, upstream);
    }
}

/// Concludes that this VM has lost its link to an upstream that another VM reaches.
fn conclude_link_loss(tick: &mut Tick<'_>, upstream: &UpstreamName, prober: &VmName) {
    let row = tick.tables.examinations.get(upstream);
    let unreached_by = row.map(|row| row.unreached_by.clone()).unwrap_or_default();
    let Some(lost) = end_without_crash(tick, upstream, CrashEvidence::ReachedByOther) else {
        return;
    };
    // They have lost their links as well and may not know it yet.
    for vm in &unreached_by {
        links::record_proxy_failure(tick, vm);
    }
    links::record_lost(tick, upstream, prober);
    resume_assignment(tick, upstream, lost.iter().map(|lost| lost.digest));
}

/// Ends an examination in which nobody could tell whether the upstream runs.
fn conclude_unconfirmed(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let Some(lost) = end_without_crash(tick, upstream, CrashEvidence::Unconfirmed) else {
        return;
    };
    ejection::back_off(tick, upstream);
    resume_assignment(tick, upstream, lost.iter().map(|lost| lost.digest));
}

/// Ends an examination whose lost attempts make no content a suspect, and returns them.
fn end_without_crash(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    evidence: CrashEvidence,
) -> Option<Vec<LostAttempt>> {
    let lost = end(tick, upstream)?;
    tick.log(Decision::ConnectionBroke {
        upstream: upstream.clone(),
        evidence,
        lost: lost.len(),
    });
    for attempt in &lost {
        suspects::remove_if_cleared(tick, &attempt.digest);
    }
    Some(lost)
}

/// Concludes the examination of an upstream as broken or silent connections.
fn conclude_connection_loss(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let row = tick.tables.examinations.get(upstream);
    let has_failure = row.is_some_and(|row| row.has_failure);
    let Some(lost) = end_without_crash(tick, upstream, CrashEvidence::Answering) else {
        return;
    };
    if has_failure {
        ejection::record_failure(tick, upstream);
    }
    resume_assignment(tick, upstream, lost.iter().map(|lost| lost.digest));
}

/// Concludes the examination of an upstream, if there is one, as a crash.
///
/// If attempts were lost, all contents that were running there become suspects, and the content of
/// a lost attempt that ran alone is quarantined.
fn conclude_crash(tick: &mut Tick<'_>, upstream: &UpstreamName, evidence: CrashEvidence) {
    let Some(lost) = end(tick, upstream) else {
        return;
    };
    let digests = if lost.is_empty() {
        BTreeSet::new()
    } else {
        suspect_all(tick, upstream, &lost)
    };
    tick.log(Decision::Crashed {
        upstream: upstream.clone(),
        suspects: digests.len(),
        evidence,
    });
    if let Some(lost) = lost.iter().find(|lost| lost.is_exclusive) {
        quarantine::quarantine_on_all_vms(tick, lost.digest);
    }
    if let Some(row) = tick.tables.upstreams.get_mut(upstream) {
        row.health.cache_valid_from_us = tick.now_us + 1;
        row.prefill_until_us = 0;
    }
    record_crash(tick, upstream);
    if evidence == CrashEvidence::Refused {
        ejection::record_failure(tick, upstream);
    }
    resume_assignment(tick, upstream, digests.into_iter());
}

/// Counts a crash for the contents that were running on an upstream, and returns them.
fn suspect_all(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    lost: &[LostAttempt],
) -> BTreeSet<ContentDigest> {
    let mut running: Vec<(CallId, VmName, ContentDigest)> = lost
        .iter()
        .map(|lost| (lost.call, lost.vm.clone(), lost.digest))
        .collect();
    running.extend(mark_running_counted(tick, upstream));
    let digests: BTreeSet<ContentDigest> = running.iter().map(|(.., digest)| *digest).collect();
    for digest in &digests {
        suspects::touch_suspect(tick, *digest).crashes += 1;
    }
    recount_running(tick, &digests);
    for (call, vm, digest) in running {
        let suspect = tick.tables.suspects.get(&digest);
        let crashes = suspect.map_or(0, |row| row.crashes);
        tick.send(&vm, PlacementMessage::Suspected { call, crashes });
    }
    digests
}

/// Records a crash of an upstream and backs off from it.
fn record_crash(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    if let Some(row) = tick.tables.upstreams.get_mut(upstream) {
        row.health.record_crash(tick.now_us);
    }
    ejection::back_off(tick, upstream);
}

/// Ends the examination of an upstream and returns its lost attempts; `None` if there is none.
fn end(tick: &mut Tick<'_>, upstream: &UpstreamName) -> Option<Vec<LostAttempt>> {
    let lost = tick.tables.examinations.remove(upstream)?.lost.into_vec();
    if let Some(row) = tick.tables.upstreams.get_mut(upstream) {
        row.health.is_examined = false;
    }
    for attempt in &lost {
        if let Some(suspect) = tick.tables.suspects.get_mut(&attempt.digest) {
            suspect.pending_examinations = suspect.pending_examinations.saturating_sub(1);
        }
    }
    Some(lost)
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
    for digest in digests {
        placement::requeue_held_everywhere(tick, &digest);
    }
    placement::refresh_and_assign(tick, upstream);
}
