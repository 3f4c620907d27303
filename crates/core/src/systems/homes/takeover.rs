//! Moves programs between homes when the view changes.

use std::collections::BTreeMap;

use super::super::Tick;
use super::{
    MOVING_RETRY_AFTER_MS, home, lifecycle, release, transfers, tree, wait_queue, witness,
};
use crate::ids::{Epoch, Incarnation, ProgramKey, UpstreamName, VmName};
use crate::message::{HandOver, HandedProgram, HomesMessage};
use crate::output::{Decision, TakeoverSource};
use crate::tables::{HandOverProgress, Program, Release, Timer, View};

/// Number of earlier views that are remembered.
///
/// A continuation from before them is treated as if its home was lost.
const MAX_PAST_VIEWS: usize = 32;

/// Programs per message, which keeps it far below the limit of 256 KB.
const MAX_PROGRAMS_PER_MESSAGE: usize = 64;

/// A member by name, incarnation and the epoch in which it joined.
type MemberIdentity<'a> = (&'a VmName, Incarnation, Epoch);

/// Returns the home of a program in a view.
pub(super) fn home_in<'a>(view: &'a View, key: &ProgramKey) -> Option<MemberIdentity<'a>> {
    let member = view.member(view.program_home(key)?)?;
    Some((&member.vm, member.incarnation, member.joined))
}

/// Returns the identity of this VM in a view, if it is a member with its present incarnation.
fn own_identity_in<'a>(tick: &Tick<'_>, view: &'a View) -> Option<MemberIdentity<'a>> {
    let settings = tick.settings;
    let member = view.member_with_incarnation(&settings.vm, settings.incarnation)?;
    Some((&member.vm, member.incarnation, member.joined))
}

/// Returns whether a view names this VM, with its present membership, as the home of a program.
fn is_home_in(tick: &Tick<'_>, view: &View, key: &ProgramKey) -> bool {
    let own = own_identity_in(tick, &tick.tables.view);
    own.is_some() && home_in(view, key) == own
}

/// Returns whether a VM is a member with the given incarnation.
pub(super) fn is_member(tick: &Tick<'_>, vm: &VmName, incarnation: Incarnation) -> bool {
    tick.tables
        .view
        .member_with_incarnation(vm, incarnation)
        .is_some()
}

/// Checks that this VM may act as home of a program.
///
/// It must be the home in its view and hold a lease. No previous home may still
/// hold a lease: either the takeover wait has passed or all previous homes have
/// handed their programs over.
///
/// # Errors
///
/// Returns the time in milliseconds after which the caller should retry.
pub(super) fn check_home(tick: &Tick<'_>, key: &ProgramKey) -> Result<(), u64> {
    let (now_us, tables) = (tick.now_us, &*tick.tables);
    if !tables.lease.is_valid(now_us) {
        return Err(MOVING_RETRY_AFTER_MS);
    }
    let from_us = tables.may_act_from_us(tick.settings, |view| view.program_home(key));
    match from_us {
        None => Err(MOVING_RETRY_AFTER_MS),
        Some(from_us) if from_us <= now_us || was_handed_over(tick, key) => Ok(()),
        Some(from_us) => Err((from_us - now_us).div_ceil(1_000)),
    }
}

/// Returns whether all previous homes that could still hold a lease have handed a program over.
fn was_handed_over(tick: &Tick<'_>, key: &ProgramKey) -> bool {
    let past_views = &tick.tables.membership.past_views;
    let has_handed_over = |view: &View| {
        let Some((vm, ..)) = home_in(view, key).filter(|_| !is_home_in(tick, view, key)) else {
            return is_home_in(tick, view, key);
        };
        let handed = tick.tables.homes.hand_overs.get(vm);
        handed.is_some_and(|handed| {
            handed.epoch > view.epoch && handed.effective_us.is_some_and(|at| at <= tick.now_us)
        })
    };
    !past_views.is_empty() && past_views.iter().all(|past| has_handed_over(&past.view))
}

/// Returns whether this VM has been the only home of a program since an epoch.
///
/// The answer is `false` if the epoch is older than the remembered views.
pub(super) fn was_home_since(tick: &Tick<'_>, key: &ProgramKey, since: Epoch) -> bool {
    let past_views = tick.tables.homes.view_history.iter();
    for view in std::iter::once(&tick.tables.view).chain(past_views) {
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
        .view_history
        .iter()
        .all(|view| is_home_in(tick, view, key))
}

/// Moves programs to their new homes after a change of the view.
///
/// This is the only place that iterates over all programs and all calls.
pub(super) fn apply_view_change(tick: &mut Tick<'_>) {
    if tick.tables.view.epoch == tick.tables.homes.view.epoch {
        return;
    }
    let new = tick.tables.view.clone();
    let old = std::mem::replace(&mut tick.tables.homes.view, new.clone());
    // There were no homes before the first view of the fleet, which its founder wrote.
    if old.epoch > Epoch::default() || !tick.tables.membership.is_founder {
        let past = &mut tick.tables.homes.view_history;
        past.push_front(old.clone());
        past.truncate(MAX_PAST_VIEWS);
    }
    witness::send_moved(tick, &old, &new);
    hand_over(tick, &old, &new);
    let (old_identity, new_identity) = (own_identity_in(tick, &old), own_identity_in(tick, &new));
    let has_rejoined = new_identity.is_some() && old_identity != new_identity;
    let keys: Vec<ProgramKey> = tick
        .tables
        .programs
        .iter()
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        if has_rejoined {
            mark_recovered(tick, &key);
        }
        home::mark_departed_unknown(tick, &key);
    }
}

/// Marks a row as recovered: another home may have run turns while this VM was not a member.
fn mark_recovered(tick: &mut Tick<'_>, key: &ProgramKey) {
    let epoch = tick.tables.view.epoch.next();
    if let Some(program) = tick.tables.programs.get_mut(key) {
        program.is_recovered = true;
        program.known_from = epoch;
    }
}

/// Hands programs over to their new homes.
///
/// New members, and all members if this VM leaves, get a message even without
/// programs, so that they can skip the takeover wait.
fn hand_over(tick: &mut Tick<'_>, old: &View, new: &View) {
    let own_vm = tick.settings.vm.clone();
    if own_identity_in(tick, old).is_none() {
        return;
    }
    let is_leaving = own_identity_in(tick, new).is_none();
    let mut by_home: BTreeMap<VmName, Vec<HandedProgram>> = new
        .members
        .iter()
        .filter(|member| member.vm != own_vm)
        .filter(|member| {
            let before = old.member(&member.vm);
            is_leaving || before.is_none_or(|before| before.joined != member.joined)
        })
        .map(|member| (member.vm.clone(), Vec::new()))
        .collect();
    for (home, handed) in remove_moved(tick, new) {
        by_home.entry(home).or_default().push(handed);
    }
    let mut releases = collect_releases(tick, new, is_leaving);
    for (home, mut handed) in by_home {
        handed.sort_by(|a, b| a.key.cmp(&b.key));
        let releases = releases.remove(&home).unwrap_or_default();
        send_hand_over(tick, &home, new.epoch, &handed, releases);
    }
}

/// Removes and returns the programs whose home is now another VM.
fn remove_moved(tick: &mut Tick<'_>, new: &View) -> Vec<(VmName, HandedProgram)> {
    let moved: Vec<(ProgramKey, VmName)> = tick
        .tables
        .programs
        .iter()
        .filter(|(key, _)| new.program_home(key) != Some(&tick.settings.vm))
        .filter_map(|(key, _)| Some((key.clone(), new.program_home(key)?.clone())))
        .collect();
    let mut taken = Vec::new();
    for (key, home) in moved {
        // The entry VMs of waiting calls resend `Begin` to the new home.
        wait_queue::take_all(tick, &key);
        if let Some(row) = tick.tables.programs.remove(&key) {
            let now_us = tick.now_us;
            taken.push((home, HandedProgram { key, row, now_us }));
        }
    }
    taken
}

/// Returns the unconfirmed releases of a leaving VM, by the new home of their program.
fn collect_releases(
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

/// Sends a hand-over to a new home, in as many messages as the programs need.
fn send_hand_over(
    tick: &mut Tick<'_>,
    to: &VmName,
    epoch: Epoch,
    handed: &[HandedProgram],
    releases: Vec<Release>,
) {
    let batches: Vec<&[HandedProgram]> = if handed.is_empty() {
        vec![&[]]
    } else {
        handed.chunks(MAX_PROGRAMS_PER_MESSAGE).collect()
    };
    let messages = batches.len() as u32;
    let wait_us = remaining_wait_us(tick);
    if own_identity_in(tick, &tick.tables.view).is_none() {
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

/// Returns how much of the takeover wait for previous homes is left at this VM.
///
/// It may have gained programs from members that were removed, and from every
/// other member when it joined.
fn remaining_wait_us(tick: &Tick<'_>) -> u64 {
    let membership = &tick.tables.membership;
    let past_views = &membership.past_views;
    let mut ready_us = match past_views.front() {
        Some(first) if !membership.is_founder && own_identity_in(tick, &first.view).is_some() => {
            first.since_us + tick.settings.takeover_wait_us()
        }
        _ => 0,
    };
    for (before, after) in past_views.iter().zip(past_views.iter().skip(1)) {
        let has_joined = own_identity_in(tick, &before.view) != own_identity_in(tick, &after.view);
        let removed = before.view.members_not_in(&after.view);
        let earlier = if has_joined {
            &before.view.members
        } else {
            &removed
        };
        for member in earlier.iter().filter(|row| row.vm != tick.settings.vm) {
            let until_us = hand_over_effective_us(tick, &member.vm, after.view.epoch);
            let until_us = until_us.unwrap_or(after.since_us + tick.settings.takeover_wait_us());
            ready_us = ready_us.max(until_us);
        }
    }
    ready_us.saturating_sub(tick.now_us)
}

/// Returns when the complete hand-over of a VM takes effect, if it is of this epoch or later.
fn hand_over_effective_us(tick: &Tick<'_>, vm: &VmName, epoch: Epoch) -> Option<u64> {
    let handed = tick.tables.homes.hand_overs.get(vm)?;
    handed.effective_us.filter(|_| handed.epoch >= epoch)
}

/// Handles the confirmation of a transfer.
///
/// A leaving VM counts its open hand-overs and goes on with its departure as they are confirmed.
pub(super) fn handle_received(tick: &mut Tick<'_>, transfer: u64) {
    let Some(transfer) = tick.tables.homes.transfers.remove(&transfer) else {
        return;
    };
    let departure = &mut tick.tables.membership.departure;
    if matches!(transfer.message, HomesMessage::HandOver(_)) && departure.open_hand_overs > 0 {
        departure.open_hand_overs -= 1;
        tick.tables.timers.set(tick.now_us + 1, Timer::Store);
    }
}

/// Installs the programs that their previous home hands over.
pub(super) fn handle_hand_over(tick: &mut Tick<'_>, vm: &VmName, hand_over: HandOver) {
    if hand_over.epoch > tick.tables.view.epoch {
        // This VM has not seen the view that moves the programs here; the sender retries.
        return;
    }
    let transfer = hand_over.transfer;
    tick.send(vm, HomesMessage::Received { transfer });
    for program in hand_over.programs {
        if is_home_in(tick, &tick.tables.view, &program.key) {
            install_row(tick, program);
        }
    }
    for release in hand_over.releases {
        release::release(tick, release.upstream, release.program, release.generation);
    }
    record_hand_over(
        tick,
        vm,
        transfer,
        hand_over.epoch,
        hand_over.messages,
        hand_over.wait_us,
    );
}

/// Records one message of a hand-over; the last one replaces the takeover wait by `wait_us`.
fn record_hand_over(
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
        .hand_overs
        .get_or_insert_with(vm, HandOverProgress::default);
    if row.epoch < epoch {
        *row = HandOverProgress {
            epoch,
            ..HandOverProgress::default()
        };
    }
    if row.epoch == epoch && !row.received.contains(&transfer) {
        row.received.push(transfer);
    }
    if row.epoch == epoch && row.received.len() as u32 == messages && row.effective_us.is_none() {
        row.effective_us = Some(now_us + wait_us);
    }
}

/// Installs a handed-over row; it may replace one that was rebuilt during the takeover wait.
///
/// The present row stays if it was not rebuilt, if it is newer or if this VM may
/// already act on it; the handed-over row is then merged into it.
fn install_row(tick: &mut Tick<'_>, handed: HandedProgram) {
    let HandedProgram { key, row, now_us } = handed;
    let is_waiting = check_home(tick, &key).is_err();
    let present = tick.tables.programs.get(&key);
    let known_upstreams: Vec<UpstreamName> = present
        .filter(|present| present.generation == row.generation)
        .map_or_else(Vec::new, |present| present.served.to_vec());
    let keeps_present = present.is_some_and(|present| {
        let is_newer = present.generation == row.generation && present.turn > row.turn;
        !is_waiting || !present.is_recovered || is_newer
    });
    if keeps_present || lifecycle::has_tombstone(tick, &key, row.generation) {
        return merge_row(tick, &key, &row);
    }
    let mut row = rebase_times(row, now_us, tick.now_us);
    if !is_waiting {
        // Homes between the previous one and this one may have run turns.
        row.is_recovered = true;
        row.known_from = tick.tables.view.epoch.next();
    }
    match tick.tables.programs.get_mut(&key) {
        Some(present) => {
            row.links = std::mem::take(&mut present.links);
            row.first_wait = present.first_wait;
            *present = row;
        }
        None => tree::insert(tick, &key, row),
    }
    release::record_upstreams(tick, &key, &known_upstreams);
    let turn = tick.tables.programs.get(&key).map_or(0, |row| row.turn);
    tick.log(Decision::ProgramTakenOver {
        program: key.clone(),
        turn,
        source: TakeoverSource::HandOver,
    });
    home::monitor_turn(tick, &key);
}

/// Merges the usage and engine memory of a handed-over row into the present row.
///
/// If the present row has another generation, the memory is released instead.
fn merge_row(tick: &mut Tick<'_>, key: &ProgramKey, handed: &Program) {
    let present = tick.tables.programs.get_mut(key);
    let Some(present) = present.filter(|row| row.generation == handed.generation) else {
        for upstream in &handed.served {
            release::release(tick, upstream.clone(), key.clone(), handed.generation);
        }
        return;
    };
    let spent_tokens = &mut present.usage.spent_tokens;
    *spent_tokens = (*spent_tokens).max(handed.usage.spent_tokens);
    release::record_upstreams(tick, key, &handed.served);
    for pool in &handed.unknown_pools {
        release::record_unknown_pool(tick, key, pool.clone());
    }
}

/// Converts the times of a row to the clock of this VM and clears state that is local to a home.
fn rebase_times(mut row: Program, from_us: u64, to_us: u64) -> Program {
    let rebased = |at_us: u64| (at_us + to_us).saturating_sub(from_us);
    row.started_us = rebased(row.started_us);
    row.lease_until_us = rebased(row.lease_until_us);
    if let Some(last) = &mut row.last {
        last.ended_us = rebased(last.ended_us);
    }
    // Permits of the previous home are not valid here.
    row.before_permits = 0;
    row.last_permit = 0;
    row.first_wait = None;
    row.links = Default::default();
    row
}
