//! Invariant of the memory that programs hold at engines.

use std::collections::{BTreeMap, BTreeSet};

use knapweeddale_core::{Decision, ProgramKey, Target, UpstreamName};

use crate::mesh::{Mesh, TraceEvent};

/// Checks that no engine holds memory of a program that no longer exists.
///
/// Memory that a run left at an engine and that was not released since must belong to a program on
/// a live home, to a pending release, to a transfer in progress, or to a program that a live entry
/// VM has served and whose home in that VM's view is missing or down. Memory is exempt if the entry
/// VM and the home of every run that left it have crashed: no VM knows of it any more, and the
/// engine evicts it by itself.
///
/// # Errors
///
/// Returns the engine, the program and the generation of the unreleased memory.
pub fn memory_released(mesh: &Mesh) -> Result<(), String> {
    let mut held: BTreeSet<(&UpstreamName, &ProgramKey, u64)> = BTreeSet::new();
    let mut homes = BTreeMap::new();
    let mut runs = Vec::new();
    let mut crashed = BTreeSet::new();
    for (_, event) in &mesh.trace.events {
        match event {
            TraceEvent::Executed { vm, dispatch, call } => {
                if let (Some((key, generation)), Target::Model(_)) =
                    (&dispatch.program, &call.target)
                {
                    held.insert((&dispatch.upstream, key, *generation));
                    runs.push((vm, call.id, (&dispatch.upstream, key, *generation)));
                }
            }
            TraceEvent::Released {
                upstream,
                program,
                generation,
            } => {
                held.remove(&(upstream, program, *generation));
            }
            TraceEvent::Crashed { vm } => {
                crashed.insert(vm);
            }
            TraceEvent::Decided {
                vm,
                decision: Decision::TurnBegan { call, .. },
            } => {
                homes.insert(*call, vm);
            }
            _ => {}
        }
    }
    let is_exempt = |memory: &(&UpstreamName, &ProgramKey, u64)| {
        let is_lost = |vm, call| {
            crashed.contains(vm) && homes.get(call).is_none_or(|home| crashed.contains(home))
        };
        let mut left_by = runs.iter().filter(|(.., other)| other == memory);
        left_by.all(|(vm, call, _)| is_lost(*vm, call))
    };
    for memory in held {
        let (upstream, program, generation) = memory;
        if !is_exempt(&memory) && !is_tracked(mesh, upstream, program, generation) {
            return Err(format!(
                "{upstream} still holds {program} generation {generation}"
            ));
        }
    }
    Ok(())
}

/// Returns whether a live VM tracks the memory of a program, so that it will release it.
fn is_tracked(mesh: &Mesh, upstream: &UpstreamName, program: &ProgramKey, generation: u64) -> bool {
    let controls = (0..mesh.len()).filter_map(|vm| mesh.control(vm));
    controls.into_iter().any(|control| {
        let tables = control.tables();
        let row = tables.programs.get(program);
        let is_released = tables.homes.releases.iter().any(|(release, _)| {
            release.upstream == *upstream
                && release.program == *program
                && release.generation == generation
        });
        let record = tables.homes.witnesses.get(program);
        let is_witnessed = record.is_some_and(|record| record.witness.upstreams.contains(upstream));
        let home = tables
            .view
            .program_home(program)
            .and_then(|home| mesh.index(home));
        let is_orphan = home.is_none_or(|home| mesh.control(home).is_none());
        is_released
            || (is_witnessed && is_orphan)
            || !tables.homes.transfers.is_empty()
            || row.is_some_and(|row| {
                let is_served = row.served.contains(upstream) || !row.unknown_pools.is_empty();
                row.generation == generation && (is_served || row.current.is_some())
            })
    })
}
