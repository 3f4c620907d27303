//! Homes of programs across views.

use std::collections::BTreeMap;

use super::super::Tick;
use super::{MOVING_RETRY_MS, home, release, transfers, tree, waits, witness};
use crate::ids::{Epoch, Incarnation, ProgramKey, VmName};
use crate::message::{HandOver, HandedProgram, HomesMessage};
use crate::output::{Decision, TakeoverSource};
use crate::tables::{HandedOver, Program, Release, Timer, View};

/// Earlier views that are remembered; an older continuation counts as one of a lost home.
const MAX_PAST_VIEWS: usize = 32;

/// Programs in one message, so that it stays far below the limit of 256 KB.
const BATCH: usize = 64;

/// A home with the start of its process and the epoch in which it became a member.
type HomeOf<'a> = (&'a VmName, Incarnation, Epoch);

/// Returns the home of a program in a view.
pub(super) fn home_in<'a>(view: &'a View, key: &ProgramKey) -> Option<HomeOf<'a>> {
    let member = view.member(view.program_home(key)?)?;
    Some((&member.vm, member.incarnation, member.joined))
}

/// Returns the entry of this VM in a view.
fn self_in<'a>(tick: &Tick<'_>, view: &'a View) -> Option<HomeOf<'a>> {
    let settings = tick.settings;
    let member = view.member_at(&settings.vm, settings.incarnation)?;
    Some((&member.vm, member.incarnation, member.joined))
}

/// Returns whether this VM, as the member that it is now, is the home in a view.
fn is_home_in(tick: &Tick<'_>, view: &View, key: &ProgramKey) -> bool {
    let me = self_in(tick, &tick.tables.view);
    me.is_some() && home_in(view, key) == me
}

/// Returns whether a VM, with a start of its process, is a member.
pub(super) fn is_member(tick: &Tick<'_>, vm: &VmName, incarnation: Incarnation) -> bool {
    tick.tables.view.member_at(vm, incarnation).is_some()
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
    let (now_us, tables) = (tick.now_us, &*tick.tables);
    if !tables.lease.is_valid(now_us) {
        return Err(MOVING_RETRY_MS);
    }
    let from_us = tables.acts_from_us(tick.settings, |view| view.program_home(key));
    match from_us {
        None => Err(MOVING_RETRY_MS),
        Some(from_us) if from_us <= now_us || was_handed_over(tick, key) => Ok(()),
        Some(from_us) => Err((from_us - now_us).div_ceil(1_000)),
    }
}

/// Returns whether all homes that could still act for a program have handed it over.
fn was_handed_over(tick: &Tick<'_>, key: &ProgramKey) -> bool {
    let past_views = &tick.tables.membership.past_views;
    let has_let_go = |view: &View| {
        let Some((vm, ..)) = home_in(view, key).filter(|_| !is_home_in(tick, view, key)) else {
            return is_home_in(tick, view, key);
        };
        let handed = tick.tables.homes.handed_over.get(vm);
        handed.is_some_and(|handed| {
            handed.epoch > view.epoch && handed.from_us.is_some_and(|at| at <= tick.now_us)
        })
    };
    !past_views.is_empty() && past_views.iter().all(|past| has_let_go(&past.view))
}

/// Returns whether this VM has been the only home of a program since an epoch.
pub(super) fn was_home_since(tick: &Tick<'_>, key: &ProgramKey, since: Epoch) -> bool {
    let past = tick.tables.homes.past.iter();
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
    homes.past.iter().all(|view| is_home_in(tick, view, key))
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
    // Before the first view of the fleet there was no home.
    if old.epoch > Epoch::default() || !tick.tables.membership.is_founder {
        let past = &mut tick.tables.homes.past;
        past.push_front(old.clone());
        past.truncate(MAX_PAST_VIEWS);
    }
    witness::push(tick, &old, &new);
    hand_over(tick, &old, &new);
    let (before, now) = (self_in(tick, &old), self_in(tick, &new));
    let has_rejoined = now.is_some() && before != now;
    let kept: Vec<ProgramKey> = tick
        .tables
        .programs
        .iter()
        .map(|(key, _)| key.clone())
        .collect();
    for key in kept {
        if has_rejoined {
            distrust(tick, &key);
        }
        home::lose_departed(tick, &key);
    }
}

/// Marks a row that others may have moved on while this VM was no member.
fn distrust(tick: &mut Tick<'_>, key: &ProgramKey) {
    let epoch = tick.tables.view.epoch;
    if let Some(program) = tick.tables.programs.get_mut(key) {
        program.is_recovered = true;
        program.known_from = epoch;
    }
}

/// Hands programs over to their new homes.
///
/// A new home is told even if it gets no programs, so that it need not wait.
fn hand_over(tick: &mut Tick<'_>, old: &View, new: &View) {
    let me = tick.settings.vm.clone();
    if self_in(tick, old).is_none() {
        return;
    }
    let is_leaving = self_in(tick, new).is_none();
    let mut by_home: BTreeMap<VmName, Vec<HandedProgram>> = new
        .members
        .iter()
        .filter(|member| member.vm != me)
        .filter(|member| {
            let before = old.member(&member.vm);
            is_leaving || before.is_none_or(|before| before.joined != member.joined)
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

/// Removes the programs whose home is now another VM.
fn take_moved(tick: &mut Tick<'_>, new: &View) -> Vec<(VmName, HandedProgram)> {
    let moved: Vec<(ProgramKey, VmName)> = tick
        .tables
        .programs
        .iter()
        .filter(|(key, _)| new.program_home(key) != Some(&tick.settings.vm))
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
    let wait_us = own_wait_us(tick);
    if self_in(tick, &tick.tables.view).is_none() {
        tick.tables.membership.departure.open_hand_overs += messages;
    }
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
                wait_us,
            }))
        });
    }
}

/// Returns how long this VM would still have had to wait for homes before it.
///
/// It can have gained programs from members that were removed, and from all
/// others when it became a member itself.
fn own_wait_us(tick: &Tick<'_>) -> u64 {
    let membership = &tick.tables.membership;
    let past_views = &membership.past_views;
    let mut ready_us = match past_views.front() {
        Some(first) if !membership.is_founder && self_in(tick, &first.view).is_some() => {
            first.since_us + tick.settings.takeover_wait_us()
        }
        _ => 0,
    };
    for (before, after) in past_views.iter().zip(past_views.iter().skip(1)) {
        let has_joined = self_in(tick, &before.view) != self_in(tick, &after.view);
        let removed = before.view.members_not_in(&after.view);
        let earlier = if has_joined {
            &before.view.members
        } else {
            &removed
        };
        for member in earlier.iter().filter(|row| row.vm != tick.settings.vm) {
            let until_us = let_go_us(tick, &member.vm, after.view.epoch);
            let until_us = until_us.unwrap_or(after.since_us + tick.settings.takeover_wait_us());
            ready_us = ready_us.max(until_us);
        }
    }
    ready_us.saturating_sub(tick.now_us)
}

/// Returns from when a VM that handed its programs over needs no wait.
fn let_go_us(tick: &Tick<'_>, vm: &VmName, epoch: Epoch) -> Option<u64> {
    let handed = tick.tables.homes.handed_over.get(vm)?;
    handed.from_us.filter(|_| handed.epoch >= epoch)
}

/// Takes note that a transfer has arrived, for a VM that leaves after the last one.
pub(super) fn received(tick: &mut Tick<'_>, transfer: u64) {
    let Some(transfer) = tick.tables.homes.transfers.remove(&transfer) else {
        return;
    };
    let departure = &mut tick.tables.membership.departure;
    if matches!(transfer.message, HomesMessage::HandOver(_)) && departure.open_hand_overs > 0 {
        departure.open_hand_overs -= 1;
        tick.tables.timers.set(tick.now_us + 1, Timer::Store);
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
    note_handed_over(
        tick,
        vm,
        transfer,
        handed.epoch,
        handed.messages,
        handed.wait_us,
    );
}

/// Takes note of a part of a hand-over; the last part ends the takeover wait.
fn note_handed_over(
    tick: &mut Tick<'_>,
    vm: &VmName,
    transfer: u64,
    epoch: Epoch,
    messages: u32,
    wait_us: u64,
) {
    let now_us = tick.now_us;
    let homes = &mut tick.tables.homes;
    let row = homes
        .handed_over
        .get_or_insert_with(vm, HandedOver::default);
    if row.epoch < epoch {
        *row = HandedOver {
            epoch,
            ..HandedOver::default()
        };
    }
    if row.epoch == epoch && !row.received.contains(&transfer) {
        row.received.push(transfer);
    }
    if row.epoch == epoch && row.received.len() as u32 == messages && row.from_us.is_none() {
        row.from_us = Some(now_us + wait_us);
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
