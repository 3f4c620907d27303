//! Guards against calls that are lost or run twice when an upstream crashes.

mod support;

use knapweeddale_testing::http::EngineFault;
use serde_json::Value;
use support::{EntryUnderTest, KEY, bearer, completion_body, parse_events};

#[tokio::test]
async fn completion_runs_again() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    entry.engine.handler().inject(EngineFault::CrashAfter(2));
    let headers = [("authorization", key.as_str()), ("x-request-id", "draft")];
    let body = completion_body(&[("user", "oslo")], false);
    let crash = async {
        entry.engine.handler().wait_for_crash().await;
        entry.engine.restart().await.expect("the port is free");
    };
    let (response, ()) = tokio::join!(entry.complete(&headers, &body), crash);
    let status = response.status();
    let answer: Value = response.json().await.expect("JSON");
    assert_eq!(status, 200, "{answer}");
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        "oslo-0 oslo-1 oslo-2 oslo-3 "
    );
    assert_eq!(entry.engine.handler().executions("draft"), 2);
}

#[tokio::test]
async fn stream_is_not_repeated() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    entry.engine.handler().inject(EngineFault::CrashAfter(2));
    let headers = [("authorization", key.as_str()), ("x-request-id", "draft")];
    let body = completion_body(&[("user", "oslo")], true);
    let response = entry.complete(&headers, &body).await;
    entry.engine.handler().wait_for_crash().await;
    entry.engine.restart().await.expect("the port is free");
    let text = response.text().await.expect("the stream ends");
    let events = parse_events(&text);
    let error = &events.last().expect("events")["error"];
    assert_eq!(
        (&error["kind"], &error["ran"]),
        (&"upstream_failed".into(), &"may_have_run".into())
    );
    assert_eq!(entry.engine.handler().executions("draft"), 1);
}

#[tokio::test]
async fn dead_upstream_runs_nothing() {
    let entry = EntryUnderTest::start_with(|settings, _| settings.queue_ms = 100).await;
    let key = bearer(KEY);
    entry.engine.crash().await;
    let headers = [("authorization", key.as_str())];
    let response = entry
        .complete(&headers, &completion_body(&[("user", "oslo")], false))
        .await;
    assert!(response.status().is_server_error());
    assert_eq!(response.headers()["kwd-ran"], "not_run");
}
