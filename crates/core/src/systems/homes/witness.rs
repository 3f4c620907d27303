//! Witnesses: copies of program state kept by entry VMs, from which a new home rebuilds lost rows.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::super::Tick;
use super::{home, lifecycle, recovery, release, settlement, takeover, transfers};
use crate::ids::{Epoch, ProgramKey, UpstreamName, VmName};
use crate::input::Continuation;
use crate::message::{HomesMessage, RunningTurn, Witness};
use crate::output::{CloseReason, Execution, TakeoverSource};
use crate::tables::{Stage, Timer, View, WitnessRecord};

/// Witnesses per message, which keeps it far below the limit of 256 KB.
const MAX_WITNESSES_PER_MESSAGE: usize = 128;

/// Records the state of a program as sent by its home.
pub(super) fn record_state(tick: &mut Tick<'_>, state: Continuation) {
    let now_us = tick.now_us;
    let key = state.program.clone();
    let record = tick.tables.homes.witnesses.get_mut(&key);
    if let Some(record) = record
        && record.witness.state.generation == state.generation
    {
        record.last_seen_us = now_us;
        if state.turn >= record.witness.state.turn {
            record.witness.state = state;
        }
        return;
    }
    let witness = Witness {
        state,
        upstreams: SmallVec::new(),
        running: SmallVec::new(),
        is_ended: false,
        idle_ms: 0,
    };
    let last_seen_us = now_us;
    let record = WitnessRecord {
        witness,
        last_seen_us,
    };
    if tick
        .tables
        .homes
        .witnesses
        .insert(key.clone(), record)
        .is_none()
    {
        let due_us = now_us + tick.settings.program_lease_ms * 1_000;
        tick.tables.timers.set(due_us, Timer::WitnessExpiry(key));
    }
}

/// Records the continuation that a call carries, unless a newer state is recorded.
///
/// If the home that issued it is isolated, the next home needs it: it must not run an earlier
/// turn again for a call that waits at another VM.
pub(super) fn record_carried_state(tick: &mut Tick<'_>, state: &Continuation) {
    let record = tick.tables.homes.witnesses.get(&state.program);
    let is_new = record.is_none_or(|record| {
        let known = &record.witness.state;
        known.generation == state.generation && known.turn < state.turn
    });
    if is_new {
        record_state(tick, state.clone());
    }
}

/// Records upstreams that may hold memory of a program.
pub(super) fn record_upstreams(tick: &mut Tick<'_>, key: &ProgramKey, upstreams: &[UpstreamName]) {
    let Some(record) = tick.tables.homes.witnesses.get_mut(key) else {
        return;
    };
    for upstream in upstreams {
        if !record.witness.upstreams.contains(upstream) {
            record.witness.upstreams.push(upstream.clone());
        }
    }
}

/// Records that the caller ended a program through this VM.
pub(super) fn record_end(tick: &mut Tick<'_>, key: &ProgramKey) {
    if let Some(record) = tick.tables.homes.witnesses.get_mut(key) {
        record.witness.is_ended = true;
    }
}

/// Removes the witness of a program that this VM has not served for the length of a lease.
pub(super) fn expire_record(tick: &mut Tick<'_>, key: &ProgramKey) {
    let Some(record) = tick.tables.homes.witnesses.get(key) else {
        return;
    };
    let due_us = record.last_seen_us + tick.settings.program_lease_ms * 1_000;
    if due_us > tick.now_us {
        let timer = Timer::WitnessExpiry(key.clone());
        tick.tables.timers.set(due_us, timer);
    } else {
        tick.tables.homes.witnesses.remove(key);
    }
}

/// Sends the witnesses of programs whose home has changed to their new homes.
pub(super) fn send_moved(tick: &mut Tick<'_>, old: &View, new: &View) {
    let mut by_home: BTreeMap<VmName, Vec<Witness>> = BTreeMap::new();
    for witness in moved_witnesses(tick, old, new)
        .into_iter()
        .chain(tombstone_witnesses(tick, old, new))
    {
        if let Some(home) = new.program_home(&witness.state.program) {
            by_home.entry(home.clone()).or_default().push(witness);
        }
    }
    let epoch = new.epoch;
    for (home, mut witnesses) in by_home {
        // Puts roots before their sub-agents and makes the order deterministic.
        witnesses.sort_by(|a, b| a.state.program.cmp(&b.state.program));
        for batch in witnesses.chunks(MAX_WITNESSES_PER_MESSAGE) {
            transfers::start(tick, home.clone(), |transfer| HomesMessage::Witness {
                transfer,
                epoch,
                witnesses: batch.to_vec(),
            });
        }
    }
}

/// Returns the witnesses of programs whose home has changed, with their turns in progress.
fn moved_witnesses(tick: &Tick<'_>, old: &View, new: &View) -> Vec<Witness> {
    let mut running = running_turns(tick);
    tick.tables
        .homes
        .witnesses
        .iter()
        .filter(|(key, _)| takeover::home_in(old, key) != takeover::home_in(new, key))
        .map(|(key, record)| {
            let mut witness = record.witness.clone();
            witness.idle_ms = tick.now_us.saturating_sub(record.last_seen_us) / 1_000;
            if let Some((turns, upstreams)) = running.remove(key) {
                witness.running = turns;
                witness.upstreams.extend(upstreams);
            }
            witness
        })
        .collect()
}

/// Returns witnesses that mark the ended programs of this VM as ended at their new homes.
fn tombstone_witnesses(tick: &Tick<'_>, old: &View, new: &View) -> Vec<Witness> {
    let tombstones = tick.tables.homes.tombstones.iter();
    tombstones
        .filter(|(key, _)| takeover::home_in(old, key) != takeover::home_in(new, key))
        .map(|(_, tombstone)| Witness {
            state: tombstone.state.clone(),
            upstreams: SmallVec::new(),
            running: SmallVec::new(),
            is_ended: true,
            idle_ms: 0,
        })
        .collect()
}

/// Turns in progress of one program, with the upstreams that may run them.
type RunningTurns = (SmallVec<[RunningTurn; 1]>, SmallVec<[UpstreamName; 4]>);

/// Returns the turns in progress at this entry VM by program.
///
/// This includes turns whose end no home has confirmed, even if their callers have the responses.
fn running_turns(tick: &Tick<'_>) -> BTreeMap<ProgramKey, RunningTurns> {
    let mut running: BTreeMap<ProgramKey, RunningTurns> = BTreeMap::new();
    for (_, call) in tick.tables.calls.iter() {
        let has_begun = matches!(call.stage, Stage::Place | Stage::Running | Stage::Settling);
        let turn = settlement::running_turn(call).filter(|_| has_begun || call.may_have_run);
        if let (Some(key), Some(turn)) = (&call.program, turn) {
            let entry = running.entry(key.clone()).or_default();
            entry.0.push(turn);
            entry.1.extend(settlement::upstreams_of(call));
        }
    }
    for (id, pending) in tick.tables.homes.pending_settles.iter() {
        let settle = &pending.settle;
        if settle.ran == Execution::NotRun || tick.tables.calls.contains_key(id) {
            continue;
        }
        let entry = running.entry(settle.state.program.clone()).or_default();
        entry.0.push(settle.turn.clone());
        entry.1.extend(settle.upstreams.iter().cloned());
    }
    running
}

/// Applies the witnesses of an entry VM for programs whose home is now this VM.
///
/// Witnesses of a view that this VM has not seen yet are not confirmed: it
/// cannot tell which of the programs move here, and the sender retries.
pub(super) fn handle_witnesses(
    tick: &mut Tick<'_>,
    vm: &VmName,
    transfer: u64,
    epoch: Epoch,
    witnesses: Vec<Witness>,
) {
    if epoch > tick.tables.view.epoch {
        return;
    }
    for witness in witnesses {
        let key = &witness.state.program;
        if tick.tables.view.program_home(key) == Some(&tick.settings.vm) {
            apply(tick, vm, &witness);
        }
    }
    tick.send(vm, HomesMessage::Received { transfer });
}

/// Returns whether the program of a state is known to be over, given that it has no row.
fn has_ended(tick: &Tick<'_>, key: &ProgramKey, state: &Continuation) -> bool {
    lifecycle::has_tombstone(tick, key, state.generation)
        || takeover::was_home_since(tick, key, state.epoch)
}

/// Updates or rebuilds the row of a program from a witness.
fn apply(tick: &mut Tick<'_>, vm: &VmName, witness: &Witness) {
    let (key, state) = (&witness.state.program, &witness.state);
    let mut state = state.clone();
    state.age_ms += witness.idle_ms;
    let source = TakeoverSource::Witness;
    if tick.tables.programs.contains_key(key) {
        recovery::advance(tick, key, &state, source);
    } else if !has_ended(tick, key, &state) {
        recovery::rebuild(tick, key, &state, source);
    }
    let program = tick.tables.programs.get(key);
    if program.is_none_or(|program| program.generation != state.generation) {
        // That generation is over; its home may not have known all upstreams with its memory.
        for upstream in &witness.upstreams {
            release::release(tick, upstream.clone(), key.clone(), state.generation);
        }
        return;
    }
    recovery::raise_usage(tick, key, &state, 0);
    release::record_upstreams(tick, key, &witness.upstreams);
    for running in &witness.running {
        home::adopt_turn(tick, key, vm, state.generation, running);
    }
    if witness.is_ended {
        lifecycle::close(tick, key, CloseReason::Ended);
    }
}
