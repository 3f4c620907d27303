//! Guards against callers that wait for a connection which has gone silent.

mod support;

use knapweeddale_config::{Document, Settings};
use knapweeddale_testing::http::{EngineFault, EngineOptions, FakeEngine};
use serde_json::Value;
use support::{KEY, Rig, add_engine, ask, bearer, events};

/// Short limits; the fakes stay silent for ever, so that the length does not matter.
fn short(settings: &mut Settings, _: &mut Document) {
    settings.first_token_ms = 100;
    settings.token_gap_ms = 100;
}

#[tokio::test]
async fn stream_ends_with_error() {
    let rig = Rig::with(short).await;
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    rig.engine.handler().plan(EngineFault::SilentAfter(2));
    let response = rig
        .complete(&headers, &ask(&[("user", "oslo")], true))
        .await;
    let text = response.text().await.expect("the stream ends");
    assert!(!text.contains("[DONE]"), "{text}");
    let events = events(&text);
    let error = &events.last().expect("events")["error"];
    assert_eq!(
        (&error["kind"], &error["ran"]),
        (&"upstream_silent".into(), &"may_have_run".into())
    );
    let parts = events.iter().filter(|event| event["choices"].is_array());
    assert_eq!(parts.count(), 2);
    let again = rig
        .complete(&headers, &ask(&[("user", "oslo")], true))
        .await;
    let text = again.text().await.expect("text");
    assert!(
        text.ends_with("data: [DONE]\n\n"),
        "a new connection works: {text}"
    );
}

#[tokio::test]
async fn unseen_answer_is_retried() {
    let second = FakeEngine::start(EngineOptions::default())
        .await
        .expect("engine starts");
    let rig = Rig::with(|settings, document| {
        short(settings, document);
        add_engine(document, &second);
    })
    .await;
    let key = bearer(KEY);
    for engine in [&rig.engine, &second] {
        engine.handler().plan(EngineFault::SilentAfter(2));
    }
    let headers = [("authorization", key.as_str()), ("x-request-id", "draft")];
    // Each engine is silent for its first request only, so that the third
    // attempt is the first one to get an answer.
    let response = rig
        .complete(&headers, &ask(&[("user", "oslo")], false))
        .await;
    assert_eq!(response.status(), 200);
    let answer: Value = response.json().await.expect("JSON");
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(
        content, "oslo-0 oslo-1 oslo-2 oslo-3 ",
        "no part of another attempt is mixed in"
    );
    let runs = rig.engine.handler().executions("draft") + second.handler().executions("draft");
    assert_eq!(runs, 3);
}

#[tokio::test]
async fn payment_is_not_retried() {
    let rig = Rig::with(short).await;
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    let issued = rig
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
    rig.plain.handler().hang_next();
    for _ in 0..2 {
        let response = rig.post("/services/booking/pay", &pay, "50 EUR").await;
        assert_eq!(response.headers()["kwd-ran"], "may_have_run");
        assert!(!response.status().is_success());
    }
    assert_eq!(rig.plain.handler().executions("deposit"), 1);
}
