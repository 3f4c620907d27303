//! Guards against claims on budgets whose memory has no limit, and against log segments that are
//! taken for unused while they hold the last record of a program.

use knapweeddale_core::usage::{ProcessClaim, UsageClaim, UsageTable};
use knapweeddale_core::{AccountName, Incarnation, ProgramKey, ProgramName, VmName};
use rstest::rstest;

/// Time after which a program without claims is forgotten.
const RETENTION_US: u64 = 300_000_000;

fn program(name: &str) -> ProgramKey {
    ProgramKey {
        account: AccountName::from("bus"),
        name: ProgramName::from(name),
    }
}

/// Returns a claim of one process of a program.
fn claim(name: &str, vm: &str) -> UsageClaim {
    UsageClaim {
        program: program(name),
        own: ProcessClaim {
            vm: VmName::from(vm),
            incarnation: Incarnation(1),
            version: 1,
            tokens: 10,
        },
        others: Default::default(),
        turn: None,
        closes: false,
    }
}

/// Guards against a new program that takes the place of a known one, or memory beyond the limit.
#[rstest]
fn full_memory() {
    let mut table = UsageTable::default();
    table.record(&claim("a", "x"), true, 0);
    let row_bytes = table.bytes();
    assert!(row_bytes > 200, "rows and indexes count");
    let mut table = UsageTable::new(2 * row_bytes);
    table.record(&claim("a", "x"), true, 0);
    assert!(table.has_room(&program("b")));
    table.record(&claim("b", "x"), true, 1);
    assert!(!table.has_room(&program("c")) && table.has_room(&program("a")));
    // What many processes claim of a known budget counts, too.
    for number in 0..20 {
        let (_, claims) = table.record(&claim("a", &format!("vm-{number}")), true, 2);
        assert_eq!(claims.rows.len(), number + 2);
    }
    assert!(table.bytes() > 2 * row_bytes);
    table.expire(RETENTION_US + 3);
    assert!(table.is_empty() && table.has_room(&program("c")));
    assert_eq!(table.bytes(), 0);
}

/// Guards against a segment that is removed with the last record of a program, and against one that
/// is kept for replaced records.
#[rstest]
fn used_segments() {
    let mut table = UsageTable::default();
    for name in ["a", "b"] {
        table.record(&claim(name, "x"), true, 0);
        table.set_segment(&program(name), 1);
    }
    table.set_segment(&program("a"), 2);
    // The answer of an earlier write may come later.
    table.set_segment(&program("a"), 1);
    assert_eq!([1, 2].map(|segment| table.programs_in(segment)), [1, 1]);
    let rows = table.claims_in(1);
    assert_eq!(rows.len(), 1);
    assert_eq!((&rows[0].0, rows[0].1.tokens()), (&program("b"), 10));
    table.expire(RETENTION_US + 1);
    assert_eq!([1, 2].map(|segment| table.programs_in(segment)), [0, 0]);
}
