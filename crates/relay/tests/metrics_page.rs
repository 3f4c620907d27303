//! The page of metrics and the code that makes them.

use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/metrics.md");
const CODE: &str = include_str!("../src/metrics.rs");

/// Returns the names of metrics in a text.
fn names(text: &str) -> BTreeSet<&str> {
    text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .filter(|word| word.starts_with("kwd_"))
        .collect()
}

/// Guards against a metric that the page leaves out, or names although it is gone.
#[test]
fn all_named() {
    assert_eq!(names(PAGE), names(CODE));
}

/// Guards against a row whose meaning is no longer that of the code.
#[test]
fn same_meaning() {
    for row in PAGE.lines().filter(|line| line.starts_with("| `kwd_")) {
        let meaning = row.trim_end_matches('|').rsplit('|').next();
        let meaning = meaning.unwrap_or_default().trim();
        assert!(CODE.contains(&format!("\"{meaning}\"")), "{row}");
    }
}
