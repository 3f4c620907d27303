//! Program rows and the tree of a root and its sub-agents.

use smallvec::SmallVec;

use super::super::Tick;
use super::takeover;
use crate::ids::{HistoryDigest, ProgramKey, ProgramName};
use crate::input::Continuation;
use crate::tables::{Links, Phase, Program, Timer, Usage};

/// Creates the row of a new program, with a new generation.
///
/// The row is marked as recovered if another VM was the home in any remembered
/// view, as a program of this name may have run there.
pub(super) fn new_row(tick: &mut Tick<'_>, key: &ProgramKey) -> Program {
    let homes = &mut tick.tables.homes;
    homes.started_programs += 1;
    let generation = tick
        .settings
        .incarnation
        .0
        .wrapping_add(homes.started_programs);
    let is_recovered = !takeover::was_always_home(tick, key);
    Program {
        generation,
        turn: 0,
        before_permits: tick.tables.homes.issued_permits,
        last_permit: 0,
        history: HistoryDigest::default(),
        phase: Phase::Open,
        is_recovered,
        current: None,
        unknown: None,
        last: None,
        first_wait: None,
        usage: Usage::default(),
        started_us: tick.now_us,
        lease_until_us: tick.now_us + tick.settings.program_lease_ms * 1_000,
        known_from: tick.tables.view.epoch,
        served: SmallVec::new(),
        unknown_pools: Vec::new(),
        links: Links::default(),
    }
}

/// Inserts the row of a program, and that of its root if it is missing.
pub(super) fn insert(tick: &mut Tick<'_>, key: &ProgramKey, row: Program) {
    let timer = Timer::ProgramLease(key.clone());
    tick.tables.timers.set(row.lease_until_us, timer);
    tick.tables.programs.insert(key.clone(), row);
    if key.name.is_root() {
        return;
    }
    let root_key = key.root();
    if !tick.tables.programs.contains_key(&root_key) {
        let root = new_row(tick, &root_key);
        insert(tick, &root_key, root);
    }
    link(tick, &root_key, &key.name);
}

/// Adds a sub-agent to the front of its root's list.
fn link(tick: &mut Tick<'_>, root_key: &ProgramKey, name: &ProgramName) {
    let programs = &mut tick.tables.programs;
    let Some(root) = programs.get_mut(root_key) else {
        return;
    };
    let next = root.links.first.replace(name.clone());
    let key = |name: &ProgramName| ProgramKey {
        account: root_key.account.clone(),
        name: name.clone(),
    };
    if let Some(next) = next.as_ref().and_then(|next| programs.get_mut(&key(next))) {
        next.links.previous = Some(name.clone());
    }
    if let Some(row) = programs.get_mut(&key(name)) {
        row.links.previous = None;
        row.links.next = next;
    }
}

/// Removes the row of a program and unlinks it from its root's list.
pub(super) fn remove(tick: &mut Tick<'_>, key: &ProgramKey) -> Option<Program> {
    let programs = &mut tick.tables.programs;
    let row = programs.remove(key)?;
    if key.name.is_root() {
        return Some(row);
    }
    let sibling = |name: &ProgramName| ProgramKey {
        account: key.account.clone(),
        name: name.clone(),
    };
    match &row.links.previous {
        Some(previous) => {
            if let Some(previous) = programs.get_mut(&sibling(previous)) {
                previous.links.next = row.links.next.clone();
            }
        }
        None => {
            if let Some(root) = programs.get_mut(&key.root()) {
                root.links.first = row.links.next.clone();
            }
        }
    }
    if let Some(next) = &row.links.next
        && let Some(next) = programs.get_mut(&sibling(next))
    {
        next.links.previous = row.links.previous.clone();
    }
    Some(row)
}

/// Returns a program and its sub-agents, sub-agents first.
pub(super) fn subtree(tick: &Tick<'_>, key: &ProgramKey) -> Vec<ProgramKey> {
    let root = tick.tables.programs.get(&key.root());
    let mut next = root.and_then(|root| root.links.first.clone());
    let mut keys = Vec::new();
    while let Some(name) = next {
        let child = ProgramKey {
            account: key.account.clone(),
            name,
        };
        next = tick
            .tables
            .programs
            .get(&child)
            .and_then(|row| row.links.next.clone());
        if child.name.is_within(&key.name) {
            keys.push(child);
        }
    }
    if key.name.is_root() {
        keys.push(key.clone());
    }
    keys
}

/// Renews the lease of a program and of its root.
pub(super) fn renew_lease(tick: &mut Tick<'_>, key: &ProgramKey) {
    let until_us = tick.now_us + tick.settings.program_lease_ms * 1_000;
    for key in [key, &key.root()] {
        if let Some(row) = tick.tables.programs.get_mut(key) {
            row.lease_until_us = row.lease_until_us.max(until_us);
        }
    }
}

/// Builds the continuation that a caller presents with its next turn.
pub(super) fn build_continuation(tick: &Tick<'_>, key: &ProgramKey) -> Option<Continuation> {
    let row = tick.tables.programs.get(key)?;
    let root = tick.tables.programs.get(&key.root()).unwrap_or(row);
    Some(Continuation {
        program: key.clone(),
        generation: row.generation,
        turn: row.turn,
        history: row.history,
        spent_tokens: root.usage.spent_tokens,
        age_ms: tick.now_us.saturating_sub(root.started_us) / 1_000,
        epoch: tick.tables.view.epoch,
    })
}
