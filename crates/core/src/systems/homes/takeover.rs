//! Homes of programs across views.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::super::Tick;
use super::{MOVING_RETRY_MS, home, release, transfers, tree, waits, witness};
use crate::config::CoreSettings;
use crate::ids::{Epoch, Incarnation, ProgramKey, VmName};
use crate::message::{HandOver, HandedProgram, HomesMessage};
use crate::output::{Decision, TakeoverSource};
use crate::tables::{PastView, Program, Release, View};

/// Earlier views that are remembered; an older continuation counts as one of a lost home.
const MAX_PAST_VIEWS: usize = 32;

/// Programs in one message, so that it stays far below the limit of 256 KB.
const BATCH: usize = 64;

/// Returns the home of a program in a view, with the start of its process.
pub(super) fn home_in<'a>(view: &'a View, key: &ProgramKey) -> Option<(&'a VmName, Incarnation)> {
    let home = view.program_home(key)?;
    let member = view.member(home)?;
    Some((home, member.incarnation))
}

/// Returns whether this VM, with this start of its process, is the home in a view.
fn is_home_in(tick: &Tick<'_>, view: &View, key: &ProgramKey) -> bool {
    home_in(view, key) == Some((&tick.settings.vm, tick.settings.incarnation))
}

/// Returns whether a VM, with a start of its process, is a member.
pub(super) fn is_member(tick: &Tick<'_>, vm: &VmName, incarnation: Incarnation) -> bool {
    let member = tick.tables.view.member(vm);
    member.is_some_and(|member| member.incarnation == incarnation)
}

/// Checks that this VM may act as home of a program.
///
/// It must be the home in its view, hold a lease, and have waited until no
/// earlier home can hold one, unless that home has handed its programs over.
///
/// # Errors
///
/// Returns the time in milliseconds after which to try again.
pub(super) fn check_home(tick: &Tick<'_>, key: &ProgramKey) -> Result<(), u64> {
    let now_us = tick.now_us;
    let is_home = is_home_in(tick, &tick.tables.view, key);
    if !is_home || !tick.tables.lease.is_valid(now_us) {
        return Err(MOVING_RETRY_MS);
    }
    let past = tick.tables.homes.past.iter();
    let wait_us = past
        .filter(|past| past.until_us > now_us && !has_let_go(tick, past, key))
        .map(|past| past.until_us - now_us)
        .max();
    wait_us.map_or(Ok(()), |wait_us| Err(wait_us.div_ceil(1_000)))
}

/// Returns whether the home in a past view can no longer act for a program.
fn has_let_go(tick: &Tick<'_>, past: &PastView, key: &ProgramKey) -> bool {
    match home_in(&past.view, key) {
        Some((vm, incarnation)) => {
            let is_self = *vm == tick.settings.vm && incarnation == tick.settings.incarnation;
            is_self || past.handed_over.contains(vm)
        }
        None => false,
    }
}

/// Returns whether this VM has been the only home of a program since an epoch.
pub(super) fn was_home_since(tick: &Tick<'_>, key: &ProgramKey, since: Epoch) -> bool {
    let past = tick.tables.homes.past.iter().map(|past| &past.view);
    for view in std::iter::once(&tick.tables.view).chain(past) {
        if !is_home_in(tick, view, key) {
            return false;
        }
        if view.epoch <= since {
            return true;
        }
    }
    false
}

/// Returns whether no other VM was the home of a program in any remembered view.
pub(super) fn was_always_home(tick: &Tick<'_>, key: &ProgramKey) -> bool {
    let homes = &tick.tables.homes;
    homes
        .past
        .iter()
        .all(|past| is_home_in(tick, &past.view, key))
}

/// Sorts programs anew when the view has changed.
///
/// This is the only place that looks at all programs and all calls.
pub(super) fn follow_view(tick: &mut Tick<'_>) {
    if tick.tables.view.epoch == tick.tables.homes.view.epoch {
        return;
    }
    let new = tick.tables.view.clone();
    let old = std::mem::replace(&mut tick.tables.homes.view, new.clone());
    // Before the first view there was no home that could still act.
    if new.epoch > Epoch(1) {
        remember(tick, old.clone());
    }
    witness::push(tick, &old, &new);
    hand_over(tick, &old, &new);
    let kept: Vec<ProgramKey> = tick
        .tables
        .programs
        .iter()
        .map(|(k, _)| k.clone())
        .collect();
    for key in kept {
        home::lose_departed(tick, &key);
    }
}

/// Remembers a view that is no longer in force.
fn remember(tick: &mut Tick<'_>, view: View) {
    let past = &mut tick.tables.homes.past;
    past.push_front(PastView {
        view,
        until_us: tick.now_us + CoreSettings::with_margin_us(tick.settings.lease_ms),
        handed_over: SmallVec::new(),
        received: Vec::new(),
    });
    past.truncate(MAX_PAST_VIEWS);
}

/// Hands programs over to their new homes.
///
/// A new home is told even if it gets no programs, so that it need not wait.
fn hand_over(tick: &mut Tick<'_>, old: &View, new: &View) {
    let me = tick.settings.vm.clone();
    if !is_named(tick, old) {
        return;
    }
    let is_leaving = !is_named(tick, new);
    let mut by_home: BTreeMap<VmName, Vec<HandedProgram>> = new
        .members
        .iter()
        .filter(|member| member.vm != me)
        .filter(|member| {
            let before = old.member(&member.vm);
            is_leaving || before.is_none_or(|before| before.incarnation != member.incarnation)
        })
        .map(|member| (member.vm.clone(), Vec::new()))
        .collect();
    for (home, handed) in take_moved(tick, new) {
        by_home.entry(home).or_default().push(handed);
    }
    let mut releases = take_releases(tick, new, is_leaving);
    for (home, mut handed) in by_home {
        handed.sort_by(|a, b| a.key.cmp(&b.key));
        let releases = releases.remove(&home).unwrap_or_default();
        send_handed(tick, &home, new.epoch, &handed, releases);
    }
}

/// Returns whether a view names this VM with this start of its process.
fn is_named(tick: &Tick<'_>, view: &View) -> bool {
    let member = view.member(&tick.settings.vm);
    member.is_some_and(|member| member.incarnation == tick.settings.incarnation)
}

/// Removes the programs whose home is now another VM.
fn take_moved(tick: &mut Tick<'_>, new: &View) -> Vec<(VmName, HandedProgram)> {
    let moved: Vec<(ProgramKey, VmName)> = tick
        .tables
        .programs
        .iter()
        .filter(|(key, _)| !is_home_in(tick, new, key))
        .filter_map(|(key, _)| Some((key.clone(), new.program_home(key)?.clone())))
        .collect();
    let mut taken = Vec::new();
    for (key, home) in moved {
        // The entry VMs of calls that wait send `Begin` again, to the new home.
        waits::take_all(tick, &key);
        if let Some(row) = tick.tables.programs.remove(&key) {
            let now_us = tick.now_us;
            taken.push((home, HandedProgram { key, row, now_us }));
        }
    }
    taken
}

/// Takes the releases that a leaving VM can no longer carry through.
fn take_releases(
    tick: &mut Tick<'_>,
    new: &View,
    is_leaving: bool,
) -> BTreeMap<VmName, Vec<Release>> {
    let mut by_home: BTreeMap<VmName, Vec<Release>> = BTreeMap::new();
    if !is_leaving {
        return by_home;
    }
    for (release, _) in tick.tables.homes.releases.iter() {
        if let Some(home) = new.program_home(&release.program) {
            by_home
                .entry(home.clone())
                .or_default()
                .push(release.clone());
        }
    }
    by_home
}

/// Sends programs to their new home.
fn send_handed(
    tick: &mut Tick<'_>,
    to: &VmName,
    epoch: Epoch,
    handed: &[HandedProgram],
    releases: Vec<Release>,
) {
    let batches: Vec<&[HandedProgram]> = if handed.is_empty() {
        vec![&[]]
    } else {
        handed.chunks(BATCH).collect()
    };
    let messages = batches.len() as u32;
    for (number, batch) in batches.into_iter().enumerate() {
        let programs = batch.to_vec();
        let releases = if number == 0 {
            releases.clone()
        } else {
            Vec::new()
        };
        transfers::start(tick, to.clone(), |transfer| {
            HomesMessage::HandOver(Box::new(HandOver {
                transfer,
                epoch,
                programs,
                releases,
                messages,
            }))
        });
    }
}

/// Takes programs from their old home.
pub(super) fn receive(tick: &mut Tick<'_>, vm: &VmName, handed: HandOver) {
    if handed.epoch > tick.tables.view.epoch {
        // This VM does not know yet that the programs move here.
        return;
    }
    let transfer = handed.transfer;
    tick.send(vm, HomesMessage::Received { transfer });
    for program in handed.programs {
        if is_home_in(tick, &tick.tables.view, &program.key) {
            install(tick, program);
        }
    }
    for gone in handed.releases {
        release::release(tick, gone.upstream, gone.program, gone.generation);
    }
    for past in &mut tick.tables.homes.past {
        let is_meant = past.view.epoch < handed.epoch && past.view.member(vm).is_some();
        let part = (vm.clone(), transfer);
        if !is_meant || past.received.contains(&part) {
            continue;
        }
        past.received.push(part);
        let parts = past.received.iter().filter(|(from, _)| from == vm).count();
        if parts as u32 == handed.messages {
            past.handed_over.push(vm.clone());
        }
    }
}

/// Puts the row of a handed-over program in place of one that was rebuilt.
///
/// A row that has moved on since stays; it only learns the upstreams.
fn install(tick: &mut Tick<'_>, handed: HandedProgram) {
    let HandedProgram { key, row, now_us } = handed;
    let is_waiting = check_home(tick, &key).is_err();
    let present = tick.tables.programs.get(&key);
    if present.is_some_and(|present| !present.is_recovered) {
        if present.is_some_and(|present| present.generation == row.generation) {
            release::note(tick, &key, &row.served);
        }
        return;
    }
    let mut row = rebase(row, now_us, tick.now_us);
    row.is_recovered |= !is_waiting;
    match tick.tables.programs.get_mut(&key) {
        Some(present) => {
            row.links = std::mem::take(&mut present.links);
            row.first_wait = present.first_wait;
            *present = row;
        }
        None => tree::insert(tick, &key, row),
    }
    let turn = tick.tables.programs.get(&key).map_or(0, |row| row.turn);
    tick.decide(Decision::ProgramTakenOver {
        program: key.clone(),
        turn,
        source: TakeoverSource::HandOver,
    });
    home::resume_turn(tick, &key);
}

/// Moves the times of a row to the clock of this VM and drops what only its old place had.
fn rebase(mut row: Program, from_us: u64, to_us: u64) -> Program {
    let rebased = |at_us: u64| (at_us + to_us).saturating_sub(from_us);
    row.started_us = rebased(row.started_us);
    row.lease_until_us = rebased(row.lease_until_us);
    if let Some(last) = &mut row.last {
        last.ended_us = rebased(last.ended_us);
    }
    row.first_wait = None;
    row.links = Default::default();
    row
}
