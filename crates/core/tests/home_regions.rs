//! Guards against calls that leave the regions which their route or account allows, directly or
//! through another VM, and against calls without such regions that are held back by others.

use knapweeddale_core::{FleetConfig, RefusalKind, RegionName, Revision};
use knapweeddale_testing::relays::{
    LinkFault, RelayCall, RelayFleet, account, fleet, spread_upstreams,
};
use rstest::rstest;

/// Calls that are sent to see which upstreams a VM uses.
const CALLS: usize = 8;

/// Returns region names.
fn regions<T: FromIterator<RegionName>>(names: &[&str]) -> T {
    names.iter().map(|name| RegionName::from(*name)).collect()
}

/// Returns a configuration whose route `/tool/` and account `bus` have these homes; the account
/// `car` has none.
fn homes(route: &[&str], bus: &[&str]) -> FleetConfig {
    let mut accounts = vec![account("bus", 1_000, 1_000), account("car", 1_000, 1_000)];
    accounts[0].allowed_regions = regions(bus);
    let mut config = fleet(1, accounts);
    for row in &mut config.host_routes {
        if &*row.path_prefix == "/tool/" {
            row.allowed_regions = regions(route);
        }
    }
    config
}

/// Starts VMs in north with upstreams `tool-1` in north (region norte) and `tool-2` in another
/// failure domain.
fn start(config: FleetConfig, domain: &str) -> RelayFleet {
    let list = spread_upstreams(1, &["north", domain]);
    let mut relays = RelayFleet::with_evacuations(3, config, list, 1);
    relays.run_ms(2_000);
    relays
}

/// Guards against a list of homes that binds too little or too much.
#[rstest]
#[case::none(&[], &[], "south", &["tool-1", "tool-2"])]
#[case::route(&["sur"], &[], "south", &["tool-2"])]
#[case::account(&[], &["norte"], "south", &["tool-1"])]
#[case::both(&["sur", "norte"], &["norte", "este"], "south", &["tool-1"])]
#[case::one_region(&["norte"], &[], "east", &["tool-1", "tool-2"])]
#[case::no_region(&["norte", "west"], &[], "west", &["tool-1"])]
fn bound(
    #[case] route: &[&str],
    #[case] bus: &[&str],
    #[case] domain: &str,
    #[case] expected: &[&str],
) {
    let mut relays = start(homes(route, bus), domain);
    assert_eq!(relays.run_tool_calls(0, "bus", CALLS), expected);
}

/// Guards against an upstream without a failure domain that counts as at home.
#[rstest]
fn no_domain() {
    let mut list = spread_upstreams(1, &["north", "south"]);
    list.upstreams[2].config.failure_domain = None;
    let mut relays = RelayFleet::new(3, homes(&["norte", "sur"], &[]), list, 1);
    relays.run_ms(2_000);
    assert_eq!(relays.run_tool_calls(0, "bus", CALLS), ["tool-2"]);
}

/// Guards against a call that waits although no listed upstream may run it.
#[rstest]
#[case::nowhere(&["este"], &[])]
#[case::disjoint(&["sur"], &["norte"])]
fn refused(#[case] route: &[&str], #[case] bus: &[&str]) {
    let mut relays = start(homes(route, bus), "south");
    let call = relays.call(0, RelayCall::tool("bus"));
    assert_eq!(relays.refusal(call), Some(RefusalKind::NoAllowedRegion));
    assert!(!relays.has_run(call));
}

/// Guards against a call that runs elsewhere, or waits, while its home is evacuated.
#[rstest]
fn evacuated_home() {
    let mut relays = start(homes(&[], &["sur"]), "south");
    relays.store.set_evacuations(&["south"]);
    relays.run_ms(2_500);
    let call = relays.call(0, RelayCall::tool("bus"));
    assert_eq!(relays.refusal(call), Some(RefusalKind::Evacuated));
    assert_eq!(relays.run_tool_calls(0, "car", CALLS), ["tool-1"]);
}

/// Guards against calls that are held back by those which wait for a full upstream at home, and
/// against a call that leaves its home because that is full.
#[rstest]
fn full_home() {
    let mut list = spread_upstreams(1, &["north", "south"]);
    list.upstreams[3].config.max_running_calls = 1;
    let mut relays = RelayFleet::new(1, homes(&[], &["sur"]), list, 1);
    relays.run_ms(2_000);
    let slow = RelayCall {
        run_ms: 500,
        ..RelayCall::tool("bus")
    };
    relays.call(0, slow.clone());
    let waiting = relays.call(0, slow);
    assert_eq!(relays.run_tool_calls(0, "car", CALLS), ["tool-1"]);
    assert!(!relays.has_run(waiting));
    relays.run_ms(600);
    assert_eq!(relays.upstreams_of(waiting), ["tool-2"]);
}

/// Guards against a retry that leaves the homes of its call.
#[rstest]
fn failed_home() {
    let mut relays = start(homes(&[], &["sur"]), "south");
    relays.crash_upstream("tool-2");
    let calls: Vec<_> = (0..10)
        .map(|_| {
            relays.run_ms(50);
            relays.call(0, RelayCall::tool("bus"))
        })
        .collect();
    relays.run_ms(1_300);
    assert!(calls.iter().all(|call| !relays.is_answered(*call)));
    assert!(relays.runs.iter().all(|run| run.upstream == "tool-2"));
}

/// Guards against a large pool in which only upstreams drawn by hash are compared.
#[rstest]
fn large_pool() {
    let mut list = spread_upstreams(1, &["north"]);
    for number in 0..100 {
        let mut row = list.upstreams[3].clone();
        row.config.name = format!("tool-n{number}").as_str().into();
        list.upstreams.push(row);
    }
    list.upstreams[2].config.failure_domain = Some("south".into());
    let mut relays = RelayFleet::new(1, homes(&[], &["sur"]), list, 1);
    relays.run_ms(2_000);
    assert_eq!(relays.run_tool_calls(0, "bus", CALLS), ["tool-1"]);
}

/// Guards against a body that is passed on through a VM outside the homes of its call, and against
/// a call that waits while no VM may pass it on.
#[rstest]
#[case::at_home("south", true)]
#[case::elsewhere("east", false)]
fn proxies(#[case] domain: &str, #[case] may_pass: bool) {
    let mut relays = start(homes(&[], &["sur"]), "south");
    relays.move_to(1, domain);
    relays.kill(2);
    relays.run_ms(3_000);
    relays.set_link_fault(0, None, Some(LinkFault::Silent));
    // The losses are noticed by calls that fail to connect.
    for _ in 0..8 {
        relays.call(0, RelayCall::tool("car"));
        relays.run_ms(300);
    }
    let call = relays.call(0, RelayCall::tool("bus"));
    let other = relays.call(0, RelayCall::tool("car"));
    relays.run_ms(50);
    assert!(relays.is_answered(other));
    assert_eq!(relays.is_answered(call), may_pass);
    let expected = (!may_pass).then_some(RefusalKind::NoUpstream);
    assert_eq!(relays.refusal(call), expected);
}

/// Guards against a VM that learns the configuration from one of an earlier build, which drops the
/// homes, and takes it for complete.
#[rstest]
fn older_build() {
    let mut relays = start(homes(&[], &[]), "south");
    relays.set_older_build(0);
    let config = homes(&[], &["sur"]);
    relays.store.publish(FleetConfig {
        revision: Revision(2),
        ..config
    });
    relays.run_ms(1_500);
    let before = relays.store.requests["config"];
    for vm in [1, 2] {
        for _ in 0..8 {
            let call = relays.call(vm, RelayCall::tool("bus"));
            assert_eq!(relays.upstreams_of(call), ["tool-2"], "vm-{vm}");
        }
    }
    relays.run_ms(10_000);
    let reads = relays.store.requests["config"] - before;
    assert!(reads < 25, "{reads} reads of the configuration in 10 s");
}
