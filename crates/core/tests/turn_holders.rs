//! Guards against turns that stand on too few disks, or in a region that their account does not
//! allow, after VMs with a disk were lost or replaced.

use std::sync::Arc;

use knapweeddale_core::turns::{HolderSet, HolderVm, StoredTurn, StoredTurns, TurnKey};
use knapweeddale_core::{AccountName, TurnId};
use rstest::rstest;

/// Memory for the turns of one VM.
const MAX_BYTES: usize = 1_000_000;

fn turn(id: &str, previous: Option<&str>, copies: &[&str]) -> StoredTurn {
    StoredTurn {
        key: TurnKey {
            account: Some(AccountName::from("bus")),
            id: TurnId::from(id),
        },
        previous: previous.map(TurnId::from),
        content: Arc::from(id.as_bytes()),
        retention_ms: 60_000,
        copies: copies.iter().map(|copy| Arc::from(*copy)).collect(),
    }
}

/// Builds the set of VMs given as address, region and whether they are lost.
fn holder_set(vms: &[(&str, &str, bool)], tolerated_losses: usize) -> HolderSet {
    let vms = vms.iter().map(|(address, region, is_lost)| HolderVm {
        address: Arc::from(*address),
        region: Arc::from(*region),
        is_lost: *is_lost,
    });
    HolderSet::new(vms.collect(), tolerated_losses)
}

/// Guards against copies that are made although enough of them live, and against too few.
#[rstest]
#[case::all_live(&[("a", false), ("b", false), ("c", false), ("d", false)], 1, 3)]
#[case::spare_lost(&[("a", true), ("b", false), ("c", false), ("d", false)], 1, 2)]
#[case::two_lost(&[("a", true), ("b", true), ("c", false), ("d", false)], 1, 2)]
#[case::three_needed(&[("a", true), ("b", false), ("c", false), ("d", false)], 2, 3)]
#[case::too_few_vms(&[("a", true), ("b", true), ("c", false)], 2, 1)]
fn enough_copies(
    #[case] vms: &[(&str, bool)],
    #[case] tolerated_losses: usize,
    #[case] expected: usize,
) {
    let vms: Vec<_> = vms
        .iter()
        .map(|(address, is_lost)| (*address, "r", *is_lost))
        .collect();
    let holders = holder_set(&vms, tolerated_losses);
    let chosen = holders.holders_of(&turn("t", None, &["a", "b", "c"]), "c");
    assert_eq!(chosen.len(), expected, "{chosen:?}");
    let is_lost = |address: &str| vms.iter().any(|row| row.0 == address && row.2);
    assert!(!chosen.iter().any(|holder| is_lost(holder)), "{chosen:?}");
}

/// Guards against a VM that counts as two holders, since it was started again under another name
/// at its address.
#[rstest]
fn same_address() {
    let vms = [
        ("a", "r", false),
        ("a", "r", false),
        ("b", "r", true),
        ("c", "r", false),
    ];
    let chosen = holder_set(&vms, 1).holders_of(&turn("t", None, &["a", "b"]), "a");
    assert_eq!(chosen.as_slice(), [Arc::from("a"), Arc::from("c")]);
}

/// Guards against a copy in a region that holds the turn nowhere else.
#[rstest]
fn same_regions() {
    let vms = [
        ("a", "north", true),
        ("b", "north", false),
        ("c", "south", false),
    ];
    let holders = holder_set(&vms, 1);
    let chosen = holders.holders_of(&turn("t", None, &["a", "b"]), "b");
    assert_eq!(chosen.as_slice(), [Arc::from("b")]);
    // The VM that has it counts as well, though the turn does not name it.
    let chosen = holders.holders_of(&turn("t", None, &["a", "b"]), "c");
    assert_eq!(chosen.len(), 2);
}

/// Guards against a VM that is offered a turn without the ones before it, and against old turns
/// that are copied before young ones.
#[rstest]
fn offered_chains() {
    let mut turns = StoredTurns::new(MAX_BYTES);
    for (id, previous, copies) in [
        ("a", None, &["x", "y"][..]),
        ("b", None, &["x", "y"]),
        ("c", Some("a"), &["x", "z"]),
    ] {
        turns.insert(turn(id, previous, copies), 1, 0);
    }
    let vms = [("x", "r", false), ("y", "r", false), ("z", "r", false)];
    let offers = turns.offers(&holder_set(&vms, 1), "z", "x");
    let digest = |id: &str| turn(id, None, &[]).key.digest();
    assert_eq!(offers, [digest("c")]);
    let chains = turns.chains_of(&offers.iter().copied().collect(), MAX_BYTES);
    let ids: Vec<&str> = chains.iter().map(|turn| turn.key.id.as_str()).collect();
    assert_eq!(ids, ["a", "c"]);
    // With room for one turn, the youngest goes first.
    let all = turns.digests();
    let chains = turns.chains_of(&all, 1);
    assert_eq!(chains.last().map(|turn| turn.key.id.as_str()), Some("c"));
    assert!(chains.iter().all(|turn| turn.key.id.as_str() != "b"));
}

/// Guards against a digest that differs between builds, which would copy every turn again.
#[rstest]
fn stable_digest() {
    assert_eq!(turn("t", None, &[]).key.digest(), DIGEST_OF_T);
}

/// Digest of the turn `t` of the account `bus`.
const DIGEST_OF_T: u64 = 16_454_550_968_330_079_702;
