//! Guards against programs that lose their order, history, budget or memory under faults of VMs
//! and links, one kind of fault at a time.

use knapweeddale_testing::callers::{Callers, fleet};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{Random, invariants, seeds_from};
use rstest::rstest;

/// A fault that is injected while programs run.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Lossy,
    Pause,
    Crash,
    Restart,
    TwoCrashes,
    Partition,
    Drain,
}

/// Injects a fault and ends it again, except crashes and drains, which last.
fn inject(fault: Fault, mesh: &mut Mesh, callers: &mut Callers, random: &mut Random) {
    let vm = random.below(mesh.len() as u64) as usize;
    let other = (vm + 1) % mesh.len();
    let pause_us = random.between(200_000, 8_000_000);
    match fault {
        Fault::None => {}
        Fault::Lossy => {
            mesh.faults.lost_per_mille = 100;
            mesh.faults.duplicated_per_mille = 100;
            mesh.faults.max_delay_us = 100_000;
            callers.run_ms(mesh, 10_000);
            mesh.faults = Default::default();
        }
        Fault::Pause => mesh.pause(vm, pause_us),
        Fault::Crash => mesh.crash(vm),
        Fault::Restart => {
            mesh.crash(vm);
            callers.run_ms(mesh, random.between(20, 4_000));
            mesh.restart(vm);
        }
        Fault::TwoCrashes => {
            mesh.crash(vm);
            callers.run_ms(mesh, random.between(20, 4_000));
            mesh.crash(other);
        }
        Fault::Partition => {
            let rest: Vec<usize> = (0..mesh.len()).filter(|row| *row != vm).collect();
            mesh.partition(&[vm], &rest);
            mesh.store.isolated.insert(vm);
            callers.run_ms(mesh, pause_us / 1_000);
            mesh.heal();
            mesh.store.isolated.clear();
        }
        Fault::Drain => {
            mesh.input(vm, knapweeddale_core::Input::Drain);
            callers.excluded_vm = Some(vm);
        }
    }
}

#[rstest]
fn invariants_hold(
    #[values(
        Fault::None,
        Fault::Lossy,
        Fault::Pause,
        Fault::Crash,
        Fault::Restart,
        Fault::TwoCrashes,
        Fault::Partition,
        Fault::Drain
    )]
    fault: Fault,
) {
    let (mut worst, mut total) = (0.0f64, 0.0f64);
    let seeds = seeds_from(0);
    for seed in seeds.clone() {
        let unknown_per_mille = run_and_check(fault, seed);
        worst = worst.max(unknown_per_mille);
        total += unknown_per_mille;
    }
    let mean = total / seeds.count() as f64;
    println!("{fault:?}: may_have_run {mean:.2} of 1,000 calls, worst seed {worst:.2}");
}

/// Guards against a turn that runs again after a later one: a copy of it waited at another VM
/// while the home, which had run both turns, was cut off, and no VM told the next home which
/// continuations the callers had sent.
#[rstest]
fn late_copies(#[values(587, 960)] seed: u64) {
    run_and_check(Fault::Partition, seed);
}

/// Runs programs under a fault, checks the invariants and returns how many calls of 1,000 have
/// an unknown outcome.
fn run_and_check(fault: Fault, seed: u64) -> f64 {
    let fleet = fleet(100_000, 130);
    let mut mesh = Mesh::new(5, fleet.clone(), seed);
    let mut callers = Callers::new(8, 8, seed);
    let mut random = Random::new(seed ^ 0xfa17);
    mesh.run_ms(1_500);
    callers.run_ms(&mut mesh, random.between(200, 3_000));
    inject(fault, &mut mesh, &mut callers, &mut random);
    callers.run_ms(&mut mesh, 60_000);
    let trace = &mesh.trace;
    let checks = [
        invariants::program_order(trace),
        invariants::history_intact(trace),
        invariants::budget_holds(trace, &fleet),
        invariants::memory_released(&mesh),
        invariants::at_most_once(trace),
        invariants::refusal_is_true(trace),
        invariants::charges_reconcile(trace),
        invariants::answer_matches_request(trace),
    ];
    for check in checks {
        check.unwrap_or_else(|broken| panic!("{fault:?}, seed {seed}: {broken}"));
    }
    let stuck = callers.stuck_programs();
    assert!(stuck.is_empty(), "{fault:?}, seed {seed}: {stuck:?}");
    callers.unknown_per_mille()
}
