//! Guards against programs that are denied turns because of claimed tokens that nobody uses.

use knapweeddale_core::{Input, RefusalKind};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, UpstreamState, account, fleet, upstreams,
};
use rstest::rstest;

/// Maximum of tokens that one turn generates.
const MAX_TURN_TOKENS: u64 = 100;

/// A budget that holds one turn.
const ONE_TURN: u64 = 175;

/// A budget that holds two turns.
const TWO_TURNS: u64 = 2 * MAX_TURN_TOKENS;

/// A budget that holds three turns.
const THREE_TURNS: u64 = 3 * MAX_TURN_TOKENS;

/// Time in which a turn ends and is reported to all VMs.
const SETTLE_MS: u64 = 600;

/// Starts VMs with an account whose rate is never reached.
fn start() -> RelayFleet {
    let config = fleet(1, vec![account("bus", 100_000, 100_000)]);
    let mut relays = RelayFleet::new(4, config, upstreams(1), 1);
    relays.run_ms(3_000);
    relays
}

/// Makes a turn of a kept history that generates a quarter of its maximum of tokens.
fn turn(budget: u64, line: u64) -> RelayCall {
    let mut call = RelayCall::turn("bus", "tour", budget, MAX_TURN_TOKENS);
    call.path = "/talk/x".to_owned();
    if let Some((.., known)) = &mut call.turn {
        *known = line;
    }
    call
}

/// Checks that a turn runs on a VM for which a storage VM other than the first one decides.
fn check_runs(relays: &mut RelayFleet, lost: usize, budget: u64) {
    relays.usage.set_lost(1, lost);
    let id = relays.call(1, turn(budget, 1));
    relays.run_ms(SETTLE_MS);
    assert!(relays.has_run(id), "{:?}", relays.refusal(id));
}

/// Guards against a claim that is recorded without an answer in time and counts for ever.
#[rstest]
fn lost_answer(#[values(0, 1)] lost: usize) {
    let mut relays = start();
    relays.usage.set_answers_lost(0, true);
    let id = relays.call(0, turn(ONE_TURN, 1));
    relays.run_ms(SETTLE_MS);
    assert_eq!(relays.refusal(id), Some(RefusalKind::BudgetUnknown));
    check_runs(&mut relays, lost, ONE_TURN);
}

/// Guards against a claim that counts for ever though its caller has left before it was granted.
#[rstest]
fn caller_gone(#[values(0, 1)] lost: usize) {
    let mut relays = start();
    relays.usage.set_latency_ms(200);
    let id = relays.call(0, turn(ONE_TURN, 1));
    relays.run_ms(100);
    relays.give_input(0, Input::CallAbandoned(id));
    relays.run_ms(SETTLE_MS);
    check_runs(&mut relays, lost, ONE_TURN);
}

/// Sets the state of all model engines.
fn set_engines(relays: &mut RelayFleet, state: Option<UpstreamState>) {
    for engine in ["engine-1", "engine-2"] {
        relays.set_upstream_state(engine, state);
    }
}

/// Guards against a turn that was answered whole and counts its most at storage VMs that keep copies.
#[rstest]
fn complete_turn(#[values(0, 1)] lost: usize) {
    let mut relays = start();
    let id = relays.call(0, turn(ONE_TURN, 1));
    relays.run_ms(SETTLE_MS);
    assert!(relays.is_answered(id));
    check_runs(&mut relays, lost, ONE_TURN);
}

/// Guards against a claim of a turn that no upstream has run, which counts at the storage VMs that
/// keep copies.
#[rstest]
fn failed_turn(#[values(0, 1)] lost: usize) {
    let mut relays = start();
    set_engines(&mut relays, Some(UpstreamState::Crashed));
    let id = relays.call(0, turn(ONE_TURN, 1));
    relays.run_ms(4_000);
    assert!(relays.refusal(id).is_some());
    set_engines(&mut relays, None);
    relays.run_ms(4_000);
    check_runs(&mut relays, lost, ONE_TURN);
}

/// Guards against a record that counts an estimate as used while storage VMs do not answer, for a
/// turn that cannot run without them.
#[rstest]
fn estimated_use(#[values(0, 1)] lost: usize) {
    let mut relays = start();
    relays.usage.set_answers_lost(0, true);
    set_engines(&mut relays, Some(UpstreamState::Crashed));
    let id = relays.call(0, turn(THREE_TURNS, 1));
    relays.run_ms(4_000);
    assert!(relays.refusal(id).is_some());
    set_engines(&mut relays, None);
    relays.run_ms(4_000);
    check_runs(&mut relays, lost, THREE_TURNS);
}

/// Guards against a program that is stopped for good because its running turns may use up its
/// budget; they use less.
#[rstest]
fn running_agents() {
    let mut relays = start();
    for (vm, line) in [(0, 1), (1, 2)] {
        let id = relays.call(vm, turn(TWO_TURNS, line));
        relays.run_ms(20);
        assert!(relays.has_run(id), "{:?}", relays.refusal(id));
    }
    let id = relays.call(2, turn(TWO_TURNS, 3));
    relays.run_ms(20);
    assert_eq!(relays.refusal(id), Some(RefusalKind::BudgetUnknown));
    relays.run_ms(SETTLE_MS);
    check_runs(&mut relays, 0, TWO_TURNS);
}

/// Guards against a program that is stopped for good because of the claim of a VM that is not heard
/// yet, as after a start of all VMs.
#[rstest]
fn unheard_vm() {
    let mut relays = start();
    relays.set_isolated(0, true);
    relays.usage.set_reachable(0, true);
    relays.run_ms(2_000);
    relays.call(0, turn(ONE_TURN, 1));
    relays.run_ms(20);
    let id = relays.call(1, turn(ONE_TURN, 1));
    relays.run_ms(20);
    assert_eq!(relays.refusal(id), Some(RefusalKind::BudgetUnknown));
    relays.run_ms(SETTLE_MS);
    check_runs(&mut relays, 0, ONE_TURN);
}

/// Guards against tokens of a process that was killed while its turn ran, which its caller may have
/// got.
#[rstest]
fn killed_vm() {
    let mut relays = start();
    relays.call(0, turn(ONE_TURN, 1));
    relays.run_ms(20);
    relays.kill(0);
    relays.restart(0);
    relays.run_ms(2_000);
    let id = relays.call(1, turn(ONE_TURN, 1));
    relays.run_ms(SETTLE_MS);
    assert_eq!(relays.refusal(id), Some(RefusalKind::OverBudget));
}

/// Guards against tokens of a process that is gone for good, which the other VMs have heard of.
#[rstest]
fn gone_vm() {
    let mut relays = start();
    let mut first = turn(ONE_TURN, 1);
    first.tokens = 90;
    relays.call(0, first);
    relays.run_ms(SETTLE_MS);
    relays.kill(0);
    relays.run_ms(3_000);
    let id = relays.call(1, turn(ONE_TURN, 1));
    relays.run_ms(SETTLE_MS);
    assert_eq!(relays.refusal(id), Some(RefusalKind::OverBudget));
}

/// Guards against tokens that a stopping VM has passed on in a turn that it cuts off.
#[rstest]
fn halted_vm() {
    let mut relays = start();
    let mut first = turn(ONE_TURN, 1);
    first.run_ms = 1_000;
    relays.call(0, first);
    relays.run_ms(500);
    relays.give_input(0, Input::Halt);
    relays.run_ms(20);
    let id = relays.call(1, turn(ONE_TURN, 1));
    relays.run_ms(SETTLE_MS);
    assert!(!relays.has_run(id));
}

/// Guards against a storage VM that decides from an older claim than others know, since it did not
/// answer for a time.
#[rstest]
fn returned_decider() {
    let mut relays = start();
    relays.call(0, turn(ONE_TURN, 1));
    relays.run_ms(SETTLE_MS);
    relays.usage.set_lost(0, 1);
    let mut second = turn(ONE_TURN, 1);
    second.run_ms = 1_000;
    let id = relays.call(0, second);
    relays.run_ms(20);
    assert!(relays.has_run(id));
    let id = relays.call(1, turn(ONE_TURN, 2));
    relays.run_ms(20);
    assert_eq!(relays.refusal(id), Some(RefusalKind::BudgetUnknown));
}

/// Guards against reservations of turns that no upstream has run, which leave no room in the record
/// for the next try.
#[rstest]
fn reserved_turns() {
    let mut relays = start();
    let mut first = turn(THREE_TURNS, 1);
    first.tokens = 80;
    relays.call(0, first);
    relays.run_ms(SETTLE_MS);
    set_engines(&mut relays, Some(UpstreamState::Crashed));
    for vm in [2, 3] {
        let id = relays.call(vm, turn(THREE_TURNS, 1));
        relays.run_ms(4_000);
        assert!(relays.refusal(id).is_some());
    }
    set_engines(&mut relays, None);
    relays.run_ms(4_000);
    check_runs(&mut relays, 0, THREE_TURNS);
}
