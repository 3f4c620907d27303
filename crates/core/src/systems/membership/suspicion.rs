//! Failure detection from reports of silent members.

use std::collections::BTreeSet;

use super::super::{Sender, Tick};
use super::topology;
use crate::ids::{Incarnation, VmName};
use crate::message::MembershipMessage;
use crate::output::MembershipDecision;
use crate::tables::{Suspicion, Vm};

/// Heartbeat rounds after which a report expires; watchers repeat it in each round.
const REPORT_RETENTION_ROUNDS: u64 = 3;

/// Reports watched members that have been silent for too long.
pub(super) fn report_silent(tick: &mut Tick<'_>) {
    reset_after_pause(tick);
    let limit_us = tick.settings.suspect_ms * 1_000;
    let now_us = tick.now_us;
    let tables = &*tick.tables;
    let mut silent = Vec::new();
    for (vm, since_us) in &tables.membership.peers.watched {
        let Some(member) = tables.view.member(vm) else {
            continue;
        };
        let is_same_incarnation = |row: &&Vm| row.incarnation == member.incarnation;
        let last_heard_us = tables
            .vms
            .get(vm)
            .filter(is_same_incarnation)
            .map_or(0, |r| r.last_heard_us);
        if now_us.saturating_sub(last_heard_us.max(*since_us)) > limit_us {
            silent.push((vm.clone(), member.incarnation));
        }
    }
    for (vm, incarnation) in silent {
        send_report(tick, vm, incarnation);
    }
}

/// Restarts the silence of all watched members if this VM itself was paused.
///
/// Heartbeats that arrived during the pause have not been read yet.
fn reset_after_pause(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let limit_us = tick.settings.heartbeat_ms * 2_000;
    let membership = &mut tick.tables.membership;
    let last_us = membership.last_silence_check_us.replace(now_us);
    if last_us.is_some_and(|last_us| now_us > last_us + limit_us) {
        for since_us in membership.peers.watched.values_mut() {
            *since_us = now_us;
        }
    }
}

/// Reports a silent member to the writers.
fn send_report(tick: &mut Tick<'_>, vm: VmName, incarnation: Incarnation) {
    let writers = tick.tables.view.writers.clone();
    for writer in writers {
        let vm = vm.clone();
        tick.send(&writer, MembershipMessage::Suspect { vm, incarnation });
    }
}

/// Records a report about a silent member.
pub(super) fn record_report(
    tick: &mut Tick<'_>,
    sender: &Sender,
    vm: VmName,
    incarnation: Incarnation,
) {
    let now_us = tick.now_us;
    let view = &tick.tables.view;
    let is_known = view.member_with_incarnation(&vm, incarnation).is_some()
        && view
            .member_with_incarnation(&sender.vm, sender.incarnation)
            .is_some();
    if !is_known || vm == tick.settings.vm {
        return;
    }
    let suspicions = &mut tick.tables.membership.suspicions;
    let is_first = !suspicions.contains_key(&vm);
    let row = suspicions.entry(vm.clone()).or_insert_with(|| Suspicion {
        incarnation,
        reports: Default::default(),
    });
    row.reports.insert(sender.vm.clone(), now_us);
    if is_first {
        let by = sender.vm.clone();
        tick.log(MembershipDecision::Suspected { vm, by });
    }
}

/// Returns the members that all their live watchers report as silent.
///
/// Watchers that are to be removed themselves are not counted. The result is
/// the largest set of suspects in which each is reported by all its watchers
/// outside the set, and by at least one.
pub(super) fn failed_members(tick: &Tick<'_>, removed: &BTreeSet<VmName>) -> BTreeSet<VmName> {
    let tables = &*tick.tables;
    let suspicions = &tables.membership.suspicions;
    if suspicions.is_empty() {
        return BTreeSet::new();
    }
    let mut failed: BTreeSet<VmName> = suspicions
        .keys()
        .filter(|vm| !heard_recently(tick, vm))
        .cloned()
        .collect();
    loop {
        let is_live = |vm: &&VmName| !failed.contains(*vm) && !removed.contains(*vm);
        let cleared: Vec<VmName> = failed
            .iter()
            .filter(|vm| {
                let watchers = topology::watchers_of(&tables.view, vm);
                let mut live = watchers.iter().filter(is_live).peekable();
                live.peek().is_none() || !live.all(|by| is_reported(tick, vm, by))
            })
            .cloned()
            .collect();
        if cleared.is_empty() {
            return failed;
        }
        for vm in cleared {
            failed.remove(&vm);
        }
    }
}

/// Returns whether a watcher's report about a member has not expired.
fn is_reported(tick: &Tick<'_>, vm: &VmName, by: &VmName) -> bool {
    let retention_us = tick.settings.heartbeat_ms * 1_000 * REPORT_RETENTION_ROUNDS;
    let suspect = tick.tables.membership.suspicions.get(vm);
    suspect
        .and_then(|suspect| suspect.reports.get(by))
        .is_some_and(|at_us| tick.now_us.saturating_sub(*at_us) <= retention_us)
}

/// Returns whether this VM itself received a message from a member within the
/// suspicion timeout.
pub(super) fn heard_recently(tick: &Tick<'_>, vm: &VmName) -> bool {
    let tables = &*tick.tables;
    let limit_us = tick.settings.suspect_ms * 1_000;
    let (Some(member), Some(row)) = (tables.view.member(vm), tables.vms.get(vm)) else {
        return false;
    };
    row.incarnation == member.incarnation
        && tick.now_us.saturating_sub(row.last_heard_us) <= limit_us
}

/// Removes suspects whose reports have all expired.
pub(super) fn expire_suspicions(tick: &mut Tick<'_>) {
    let retention_us = tick.settings.heartbeat_ms * 1_000 * REPORT_RETENTION_ROUNDS;
    let oldest_us = tick.now_us.saturating_sub(retention_us);
    let suspicions = &mut tick.tables.membership.suspicions;
    suspicions.retain(|_, suspect| suspect.reports.values().any(|at_us| *at_us >= oldest_us));
}
