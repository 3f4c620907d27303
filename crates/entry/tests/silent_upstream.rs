//! Guards against callers that wait for an upstream which has stopped sending.

mod support;

use knapweeddale_config::{Document, Settings};
use knapweeddale_testing::http::{EngineFault, EngineOptions, FakeEngine};
use serde_json::Value;
use support::{EntryUnderTest, KEY, add_engine, bearer, completion_body, parse_events};

/// Sets short timeouts. Their length does not matter, since the fakes stay silent forever.
fn set_short_timeouts(settings: &mut Settings, _: &mut Document) {
    settings.first_token_ms = 100;
    settings.token_gap_ms = 100;
}

#[tokio::test]
async fn stream_ends_with_error() {
    let entry = EntryUnderTest::start_with(set_short_timeouts).await;
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    entry.engine.handler().inject(EngineFault::SilentAfter(2));
    let response = entry
        .complete(&headers, &completion_body(&[("user", "oslo")], true))
        .await;
    let text = response.text().await.expect("the stream ends");
    assert!(!text.contains("[DONE]"), "{text}");
    let events = parse_events(&text);
    let error = &events.last().expect("events")["error"];
    assert_eq!(
        (&error["kind"], &error["ran"]),
        (&"upstream_silent".into(), &"may_have_run".into())
    );
    let parts = events.iter().filter(|event| event["choices"].is_array());
    assert_eq!(parts.count(), 2);
    let again = entry
        .complete(&headers, &completion_body(&[("user", "oslo")], true))
        .await;
    let text = again.text().await.expect("text");
    assert!(
        text.ends_with("data: [DONE]\n\n"),
        "a new connection works: {text}"
    );
}

#[tokio::test]
async fn unsent_response_is_retried() {
    let second = FakeEngine::start(EngineOptions::default())
        .await
        .expect("engine starts");
    let entry = EntryUnderTest::start_with(|settings, document| {
        set_short_timeouts(settings, document);
        add_engine(document, &second);
    })
    .await;
    let key = bearer(KEY);
    for engine in [&entry.engine, &second] {
        engine.handler().inject(EngineFault::SilentAfter(2));
    }
    let headers = [("authorization", key.as_str()), ("x-request-id", "draft")];
    // Each engine is silent only for its first request, so the third attempt is the first one to
    // get a complete response.
    let response = entry
        .complete(&headers, &completion_body(&[("user", "oslo")], false))
        .await;
    assert_eq!(response.status(), 200);
    let answer: Value = response.json().await.expect("JSON");
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(
        content, "oslo-0 oslo-1 oslo-2 oslo-3 ",
        "the response contains no part of another attempt"
    );
    let runs = entry.engine.handler().executions("draft") + second.handler().executions("draft");
    assert_eq!(runs, 3);
}

#[tokio::test]
async fn payment_is_not_retried() {
    let entry = EntryUnderTest::start_with(set_short_timeouts).await;
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    let issued = entry
        .post("/v1/programs/tour/permits", &headers, r#"{"turn": 1}"#)
        .await;
    let permit = issued.headers()["kwd-permit"]
        .to_str()
        .expect("text")
        .to_owned();
    let pay = [
        ("authorization", key.as_str()),
        ("kwd-program", "tour"),
        ("kwd-turn", "1"),
        ("kwd-permit", &permit),
        ("x-request-id", "deposit"),
    ];
    entry.plain.handler().hang_next();
    for _ in 0..2 {
        let response = entry.post("/services/booking/pay", &pay, "50 EUR").await;
        assert_eq!(response.headers()["kwd-ran"], "may_have_run");
        assert!(!response.status().is_success());
    }
    assert_eq!(entry.plain.handler().executions("deposit"), 1);
}
