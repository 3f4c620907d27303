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

const FIRST_TRY: &str = r#"
{"timestamp":"2026-05-31T13:34:40.01Z","message":"placement: attempt 6a-190.1 of bus/tour for bus to i-3c, lowest cost 8000 us","request":"8046","call":"6a-190"}
{"timestamp":"2026-05-31T13:34:40.02Z","message":"history: turn not begun (probe: 1 of 3 VMs with a disk accept connections, 2 needed)","request":"8046","call":"6a-190"}
{"timestamp":"2026-05-31T13:34:40.03Z","message":"retry: call 6a-190 ends after i-3c failed, may not be repeated","request":"8046","call":"6a-190"}
{"timestamp":"2026-05-31T13:34:40.04Z","message":"admission: refused call 6a-190 as history_unavailable, not_run","request":"8046","call":"6a-190"}"#;

const SECOND_TRY: &str = r#"
{"timestamp":"2026-05-31T13:34:41.01Z","message":"placement: attempt 7b-12.1 of bus/tour for bus to i-3c, lowest cost 8000 us","request":"8046","call":"7b-12"}
{"timestamp":"2026-05-31T13:34:41.02Z","message":"history: not read (lookup: no VM that answers has the turn, another one may have it; 10.2.0.1:7790 absent, 10.2.0.2:7790 no answer)","request":"8046","call":"7b-12"}
{"timestamp":"2026-05-31T13:34:41.03Z","message":"admission: refused call 7b-12 as history_unavailable, not_run","request":"8046","call":"7b-12"}"#;

/// Guards against an explanation that leaves out the step at which each try of a turn was refused.
#[rstest]
fn refused_tries() {
    let explanation = explain_logs("8046", [SECOND_TRY, FIRST_TRY]);
    assert_eq!(explanation.lines.len(), 7);
    let expected = [
        "Request 8046 was refused as history_unavailable, not_run after 2 attempts.",
        "Try 1 (call 6a-190) was refused as history_unavailable, not_run: history: turn not begun \
         (probe: 1 of 3 VMs with a disk accept connections, 2 needed).",
        "Try 2 (call 7b-12) was refused as history_unavailable, not_run: history: not read \
         (lookup: no VM that answers has the turn, another one may have it; \
         10.2.0.1:7790 absent, 10.2.0.2:7790 no answer).",
    ];
    assert_eq!(explanation.summary, expected.join("\n"));
}

/// Guards against an explanation of a request that no log names.
#[rstest]
fn unknown_request() {
    let explanation = explain_logs("7777", [ENTRY]);
    assert!(explanation.lines.is_empty());
    assert!(explanation.summary.contains("reached none of these VMs"));
}
