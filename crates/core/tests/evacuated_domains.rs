//! Guards against calls to upstreams of an evacuated failure domain, and against an evacuation that
//! is lost because a VM, a link or the store fails.

use knapweeddale_core::RefusalKind;
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, spread_upstreams};
use rstest::rstest;

/// Calls that are sent to see which upstreams a VM uses.
const CALLS: usize = 6;

/// VMs of each fleet.
const VMS: usize = 4;

/// Time after the operator's write in which an evacuation has to hold.
const EVACUATE_MS: u64 = 5_000;

/// Starts VMs with upstreams in two failure domains: `tool-1` in north, `tool-2` in south.
fn start() -> RelayFleet {
    let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    let list = spread_upstreams(1, &["north", "south"]);
    let mut relays = RelayFleet::with_evacuations(VMS, config, list, 1);
    relays.run_ms(3_000);
    relays
}

/// Time after which the pace of an upstream that has returned ends if it gets no calls.
const IDLE_PACE_MS: u64 = 6_000;

/// Asserts that calls of these VMs run in north only.
fn assert_south_is_empty(relays: &mut RelayFleet, vms: &[usize]) {
    for vm in vms {
        assert_eq!(
            relays.run_tool_calls(*vm, "bus", CALLS),
            ["tool-1"],
            "vm-{vm}"
        );
    }
}

/// Guards against calls to an evacuated upstream, and against an upstream that gets none after the
/// evacuation has ended.
#[rstest]
fn begun_and_ended() {
    let mut relays = start();
    relays.store.set_evacuations(&["south"]);
    relays.run_ms(EVACUATE_MS / 2);
    assert_south_is_empty(&mut relays, &[0, 1, 2, 3]);
    relays.store.set_evacuations(&[]);
    relays.run_ms(EVACUATE_MS / 2 + IDLE_PACE_MS);
    for vm in 0..VMS {
        assert_eq!(
            relays.run_tool_calls(vm, "bus", CALLS),
            ["tool-1", "tool-2"]
        );
    }
}

/// Guards against reads that cost more than one call to the store a second.
#[rstest]
fn priced_reads() {
    let mut relays = start();
    let before = relays.store.requests["evacuations"];
    relays.run_ms(20_000);
    let reads = relays.store.requests["evacuations"] - before;
    assert!((10..=20).contains(&reads), "{reads} reads in 20 s");
}

/// Guards against an upstream that joins an evacuated failure domain and gets calls.
#[rstest]
fn joined_domain() {
    let mut relays = start();
    relays.store.set_evacuations(&["west"]);
    relays.run_ms(EVACUATE_MS / 2);
    relays
        .store
        .set_upstreams(spread_upstreams(2, &["north", "west"]));
    relays.run_ms(1_500);
    assert_south_is_empty(&mut relays, &[0, 1, 2, 3]);
}

/// Guards against marks that are dropped while evacuations cannot be read but the list can, also
/// by a VM that has just started.
#[rstest]
fn failed_reads() {
    let mut relays = start();
    relays.store.set_evacuations(&["south"]);
    relays.run_ms(EVACUATE_MS / 2);
    relays.store.set_evacuations_down(true);
    relays.restart(0);
    relays
        .store
        .set_upstreams(spread_upstreams(2, &["north", "south"]));
    relays.run_ms(4_000);
    assert_south_is_empty(&mut relays, &[0, 1, 2, 3]);
    let source = &relays.control(1).tables().source;
    assert!(source.list.age_us(relays.now_us()) < Some(1_500_000));
}

/// Guards against an evacuation that ends because the store is away.
#[rstest]
fn store_away() {
    let mut relays = start();
    relays.store.set_evacuations(&["south"]);
    relays.run_ms(EVACUATE_MS / 2);
    relays.store.set_down(true);
    relays.run_ms(2_000);
    assert_south_is_empty(&mut relays, &[0, 1, 2, 3]);
    relays.store.set_evacuations(&["north"]);
    relays.store.set_down(false);
    relays.run_ms(EVACUATE_MS / 2 + IDLE_PACE_MS);
    for vm in 0..VMS {
        assert_eq!(relays.run_tool_calls(vm, "bus", CALLS), ["tool-2"]);
    }
}

/// Guards against an evacuation that is missed because the VM that reads the list is killed at any
/// moment around it.
#[rstest]
fn killed_reader(#[values(0, 100, 450, 700, 1_000, 1_300)] killed_ms: u64) {
    let mut relays = start();
    relays.store.set_evacuations(&["south"]);
    relays.run_ms(killed_ms);
    relays.kill(0);
    relays.run_ms(EVACUATE_MS - killed_ms - 500);
    assert_south_is_empty(&mut relays, &[1, 2, 3]);
    relays.restart(0);
    relays.run_ms(1_000);
    assert_south_is_empty(&mut relays, &[0]);
}

/// Guards against an evacuation that does not reach a VM which hears no other one.
#[rstest]
fn unheard_vm() {
    let mut relays = start();
    relays.set_isolated(3, true);
    relays.store.set_reachable(3, true);
    relays.store.set_evacuations(&["south"]);
    relays.run_ms(EVACUATE_MS);
    assert_south_is_empty(&mut relays, &[0, 1, 2, 3]);
}

/// Guards against an evacuation that a VM with older marks ends for all, since it reads the list
/// but not the evacuations.
#[rstest]
fn older_marks() {
    let mut relays = start();
    relays.set_isolated(3, true);
    relays.store.set_evacuations(&["south"]);
    relays.run_ms(3_000);
    relays.store.set_evacuations_down(true);
    relays.set_isolated(3, false);
    relays
        .store
        .set_upstreams(spread_upstreams(9, &["north", "south"]));
    for _ in 0..20 {
        relays.run_ms(200);
        assert_south_is_empty(&mut relays, &[0, 1, 2]);
    }
    assert_south_is_empty(&mut relays, &[3]);
}

/// Guards against a VM without the bound that reads evacuations or keeps marks.
#[rstest]
fn unmarked_list() {
    let mut list = spread_upstreams(1, &["north", "south"]);
    list.upstreams[3].config.is_evacuated = true;
    let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    let mut relays = RelayFleet::new(1, config, list, 1);
    relays.store.set_evacuations(&["north"]);
    relays.run_ms(1_000);
    assert_eq!(relays.run_tool_calls(0, "bus", CALLS), ["tool-1", "tool-2"]);
    assert_eq!(relays.store.requests.get("evacuations"), None);
}

/// Guards against calls that wait, or are refused as run, while all upstreams are evacuated, and
/// against attempts that an evacuation ends.
#[rstest]
fn whole_pool() {
    let mut relays = start();
    let long = RelayCall {
        run_ms: 2_900,
        timeout_ms: 4_000,
        ..RelayCall::tool("bus")
    };
    let running = relays.call(0, long);
    relays.store.set_evacuations(&["north", "south"]);
    relays.run_ms(2_500);
    for vm in 0..VMS {
        let call = relays.call(vm, RelayCall::tool("bus"));
        let (at_us, refusal) = relays.refusals.last().expect("a refusal");
        assert_eq!((refusal.call, *at_us), (call, relays.now_us()));
        assert_eq!(refusal.kind, RefusalKind::Evacuated);
        assert!(refusal.retry_after_ms.is_some());
        assert!(!relays.has_run(call));
    }
    relays.run_ms(500);
    assert!(relays.is_answered(running));
}

/// Guards against a waiting call that is kept until its time limit when the last upstreams that
/// could run it are evacuated.
#[rstest]
fn waiting_calls() {
    let mut list = spread_upstreams(1, &["north", "south"]);
    for row in &mut list.upstreams {
        row.config.max_running_calls = 1;
    }
    let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    let mut relays = RelayFleet::with_evacuations(1, config, list, 1);
    relays.run_ms(1_000);
    let long = || RelayCall {
        run_ms: 2_900,
        timeout_ms: 9_000,
        ..RelayCall::tool("bus")
    };
    let calls: Vec<_> = (0..3).map(|_| relays.call(0, long())).collect();
    relays.store.set_evacuations(&["north", "south"]);
    relays.run_ms(2_000);
    assert_eq!(relays.refusal(calls[2]), Some(RefusalKind::Evacuated));
    assert!(!relays.has_run(calls[2]));
}

/// Guards against a stream that goes on at an evacuated upstream, or at another one than that to
/// which it is confined, and against one that waits for the end of the evacuation.
#[rstest]
#[case::one(&["south"], RefusalKind::UpstreamFailed)]
#[case::all(&["north", "south"], RefusalKind::StreamNotResumable)]
fn confined_stream(#[case] domains: &[&str], #[case] expected: RefusalKind) {
    let mut relays = start();
    let turns: Vec<_> = (0..8)
        .map(|number| RelayCall {
            run_ms: 2_900,
            ..RelayCall::turn("bus", &format!("p{number}"), 100_000, 40)
        })
        .map(|turn| relays.call(0, turn))
        .collect();
    relays.run_ms(10);
    let mut confined = turns.clone();
    confined.retain(|turn| relays.upstreams_of(*turn) == ["engine-2"]);
    assert!(!confined.is_empty());
    relays.store.set_evacuations(domains);
    relays.run_ms(1_600);
    relays.reset_connections(0, Some("engine-2"), 100);
    relays.run_ms(300);
    for turn in confined {
        assert_eq!(relays.upstreams_of(turn), ["engine-2"]);
        assert_eq!(relays.refusal(turn), Some(expected));
    }
    relays.run_ms(1_200);
    let others = turns
        .into_iter()
        .filter(|turn| relays.refusal(*turn).is_none());
    for turn in others {
        assert!(relays.is_answered(turn), "{turn}");
    }
}
