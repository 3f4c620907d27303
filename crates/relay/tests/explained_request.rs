//! Explanation of a request from the logs of several VMs.

use knapweeddale_relay::explain_logs;
use rstest::rstest;

const ENTRY: &str = r#"
  4.08 vm-1 {"timestamp":"2026-05-31T13:34:37.06Z","level":"INFO","message":"rates: admitted call 6a-184 of bus after 0 us","request":"8045","call":"6a-184"}
{"timestamp":"2026-05-31T13:34:37.07Z","level":"INFO","message":"placement: attempt 6a-184.1 of bus/tour for bus to i-3c, lowest cost 8000 us","request":"8045","call":"6a-184"}
{"timestamp":"2026-05-31T13:34:37.08Z","level":"INFO","message":"upstream: response lost (the connection broke)","attempt":"6a-184.1"}
{"timestamp":"2026-05-31T13:34:37.09Z","level":"INFO","message":"retry: call 6a-184 ends after i-3c failed, may not be repeated","request":"8045","call":"6a-184"}
{"timestamp":"2026-05-31T13:34:37.10Z","level":"INFO","message":"admission: refused call 6a-184 as upstream_failed, may_have_run","request":"8045","call":"6a-184"}
{"timestamp":"2026-05-31T13:34:37.11Z","level":"INFO","message":"rates: admitted call 6a-185 of bus after 0 us","request":"9000","call":"6a-185"}
half a li"#;

/// Guards against lines of other requests that are included, and lines that name only an attempt
/// of the request and are missed.
#[rstest]
fn lost_answer() {
    let explanation = explain_logs("8045", [ENTRY, ""]);
    assert_eq!(explanation.lines.len(), 5);
    assert_eq!(
        explanation.summary,
        "Request 8045 was refused as upstream_failed, may_have_run after 1 attempts. \
         Last cause: retry: call 6a-184 ends after i-3c failed, may not be repeated."
    );
}

/// Guards against an explanation of a request that no log names.
#[rstest]
fn unknown_request() {
    let explanation = explain_logs("7777", [ENTRY]);
    assert!(explanation.lines.is_empty());
    assert!(explanation.summary.contains("reached none of these VMs"));
}
