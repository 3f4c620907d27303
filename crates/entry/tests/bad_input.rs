//! Guards against changes in the form, status or `kwd-ran` value of refusals.
//!
//! Each case is a snapshot of a session: the request, the status, the headers that callers rely
//! on, and the body.

mod support;

use reqwest::Method;
use serde_json::json;
use support::{
    EntryUnderTest, KEY, LOW_RATE_KEY, SMALL_BUDGET_KEY, UNPUBLISHED_KEY, WITHDRAWN_KEY, bearer,
    completion_body, format_session, send_raw,
};

/// Sends a request and compares the session with its snapshot.
async fn assert_session(
    entry: &EntryUnderTest,
    name: &str,
    (method, path): (Method, &str),
    headers: &[(&str, &str)],
    body: &str,
) {
    let mut request = entry.client.request(method.clone(), entry.url(path));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = request.body(body.to_owned()).send().await;
    let response = response.expect("the VM answers");
    let text = format_session(&format!("{method} {path}"), response).await;
    insta::assert_snapshot!(name, text);
}

const COMPLETIONS: (Method, &str) = (Method::POST, "/v1/chat/completions");

/// Checks a completion with a valid body.
async fn assert_completion_session(entry: &EntryUnderTest, name: &str, headers: &[(&str, &str)]) {
    let body = completion_body(&[("user", "oslo")], false).to_string();
    assert_session(entry, name, COMPLETIONS, headers, &body).await;
}

#[tokio::test]
async fn keys() {
    let entry = EntryUnderTest::start().await;
    assert_completion_session(&entry, "key_missing", &[]).await;
    for (name, key) in [
        ("key_unpublished", bearer(UNPUBLISHED_KEY)),
        ("key_wrong_secret", bearer(&KEY.replace("01", "09"))),
        ("key_malformed", bearer("kwd_desk")),
        ("key_not_bearer", format!("Basic {KEY}")),
        ("key_withdrawn", bearer(WITHDRAWN_KEY)),
    ] {
        assert_completion_session(&entry, name, &[("authorization", &key)]).await;
    }
    assert_eq!(entry.engine.handler().total_executions(), 0);
}

#[tokio::test]
async fn bodies() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    for (name, body) in [
        ("body_empty", String::new()),
        ("body_not_json", "{\"model\": ".to_owned()),
        ("body_no_model", json!({"messages": []}).to_string()),
        ("body_no_messages", json!({"model": "small"}).to_string()),
        (
            "body_no_role",
            json!({"model": "small", "messages": [{"content": "x"}]}).to_string(),
        ),
        (
            "body_stream_text",
            json!({"model": "small", "messages": [{"role": "user"}], "stream": "yes"}).to_string(),
        ),
        (
            "body_negative_tokens",
            json!({"model": "small", "messages": [{"role": "user"}], "max_tokens": -1}).to_string(),
        ),
        (
            "body_unknown_model",
            json!({"model": "large", "messages": [{"role": "user"}]}).to_string(),
        ),
        ("body_too_large", "x".repeat(2_000_001)),
        (
            "body_holds_key",
            json!({"model": "small", "messages": [{"role": "user", "content": KEY}]}).to_string(),
        ),
    ] {
        assert_session(&entry, name, COMPLETIONS, &headers, &body).await;
    }
    assert_eq!(entry.engine.handler().total_executions(), 0);
}

#[tokio::test]
async fn headers() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let large = "x".repeat(20_000);
    let program = ("kwd-program", "tour");
    let own = ("authorization", key.as_str());
    let cases: [(&str, &[(&str, &str)]); 8] = [
        ("header_too_large", &[own, ("kwd-continuation", &large)]),
        ("header_no_turn", &[own, program]),
        ("header_turn_zero", &[own, program, ("kwd-turn", "0")]),
        (
            "header_bad_program",
            &[own, ("kwd-program", "a b"), ("kwd-turn", "1")],
        ),
        (
            "header_other_parent",
            &[own, program, ("kwd-turn", "1"), ("kwd-parent", "trip")],
        ),
        (
            "header_forged_continuation",
            &[
                own,
                program,
                ("kwd-turn", "2"),
                ("kwd-continuation", "AQEAAA"),
            ],
        ),
        (
            "header_forged_permit",
            &[
                own,
                program,
                ("kwd-turn", "2"),
                ("kwd-permit", "not base64!"),
            ],
        ),
        (
            "header_program_holds_key",
            &[own, ("kwd-program", KEY), ("kwd-turn", "1")],
        ),
    ];
    for (name, headers) in cases {
        assert_completion_session(&entry, name, headers).await;
    }
    assert_eq!(entry.engine.handler().total_executions(), 0);
}

#[tokio::test]
async fn routes() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    for (name, method, path) in [
        (
            "route_unknown_service",
            Method::POST,
            "/services/flights/search",
        ),
        (
            "route_unknown_path",
            Method::POST,
            "/services/booking/admin",
        ),
        (
            "route_other_method",
            Method::DELETE,
            "/services/booking/search",
        ),
        (
            "route_encoded_slash",
            Method::POST,
            "/services/booking/open%2Fadmin",
        ),
        ("route_none", Method::GET, "/v2/models"),
        ("route_needs_permit", Method::POST, "/services/booking/pay"),
    ] {
        assert_session(&entry, name, (method, path), &headers, "").await;
    }
    for dots in ["..", "%2e%2e", "%2E.", "."] {
        let path = format!("/services/booking/open/{dots}/pay");
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: vm\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        );
        let response = send_raw(entry.daemon.address(), &request).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{path}: {response}");
    }
    let permits = (Method::POST, "/v1/programs/tour/permits");
    assert_session(&entry, "permit_malformed", permits, &headers, "{}").await;
    assert_eq!(entry.plain.handler().total_executions(), 0);
}

#[tokio::test]
async fn turns() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let turn = |turn| {
        [
            ("authorization", key.as_str()),
            ("kwd-program", "tour"),
            ("kwd-turn", turn),
        ]
    };
    assert_completion_session(&entry, "turn_out_of_order", &turn("3")).await;
    let first = entry
        .complete(&turn("1"), &completion_body(&[("user", "oslo")], false))
        .await;
    let continuation = first.headers()["kwd-continuation"].to_str().expect("text");
    assert_completion_session(&entry, "turn_no_continuation", &turn("2")).await;
    let own = ("kwd-continuation", continuation);
    let [a, b, c] = turn("2");
    assert_completion_session(&entry, "turn_other_history", &[a, b, c, own]).await;
    let other = [a, ("kwd-program", "trip"), c, own];
    assert_completion_session(&entry, "turn_other_program", &other).await;
    let slow = bearer(LOW_RATE_KEY);
    let foreign = [("authorization", slow.as_str()), b, c, own];
    assert_completion_session(&entry, "turn_other_account", &foreign).await;
    let body = completion_body(&[("user", "bergen")], false).to_string();
    assert_session(&entry, "turn_duplicate", COMPLETIONS, &turn("1"), &body).await;
    assert_eq!(entry.engine.handler().total_executions(), 1);
}

#[tokio::test]
async fn limits() {
    let entry = EntryUnderTest::start().await;
    let slow = bearer(LOW_RATE_KEY);
    let headers = [("authorization", slow.as_str())];
    entry
        .complete(&headers, &completion_body(&[("user", "oslo")], false))
        .await;
    assert_completion_session(&entry, "over_rate", &headers).await;
    let small = bearer(SMALL_BUDGET_KEY);
    let headers = [
        ("authorization", small.as_str()),
        ("kwd-program", "tour"),
        ("kwd-turn", "1"),
    ];
    assert_completion_session(&entry, "over_budget", &headers).await;
    assert_eq!(entry.engine.handler().total_executions(), 1);
}
