//! The documentation page of metrics matches the code.

use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/metrics.md");
const CODE: &str = include_str!("../src/metrics/mod.rs");

/// Returns the names of the metrics that a text mentions.
fn metric_names(text: &str) -> BTreeSet<&str> {
    text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .filter(|word| word.starts_with("kwd_"))
        .collect()
}

/// Guards against a metric that the page omits, or lists although it has been removed.
#[test]
fn all_named() {
    assert_eq!(metric_names(PAGE), metric_names(CODE));
}

/// Guards against a row whose description differs from the help text in the code.
#[test]
fn same_meaning() {
    for row in PAGE.lines().filter(|line| line.starts_with("| `kwd_")) {
        let meaning = row.trim_end_matches('|').rsplit('|').next();
        let meaning = meaning.unwrap_or_default().trim();
        assert!(CODE.contains(&format!("\"{meaning}\"")), "{row}");
    }
}
