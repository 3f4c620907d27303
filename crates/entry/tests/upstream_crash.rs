//! Guards against lost or doubled calls when an upstream crashes.

mod support;

use knapweeddale_testing::http::EngineFault;
use serde_json::Value;
use support::{KEY, Rig, ask, bearer, events};

#[tokio::test]
async fn completion_runs_again() {
    let rig = Rig::start().await;
    let key = bearer(KEY);
    rig.engine.handler().plan(EngineFault::CrashAfter(2));
    let headers = [("authorization", key.as_str()), ("x-request-id", "draft")];
    let body = ask(&[("user", "oslo")], false);
    let crash = async {
        rig.engine.handler().crash_due().await;
        rig.engine.restart().await.expect("the port is free");
    };
    let (response, ()) = tokio::join!(rig.complete(&headers, &body), crash);
    let status = response.status();
    let answer: Value = response.json().await.expect("JSON");
    assert_eq!(status, 200, "{answer}");
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        "oslo-0 oslo-1 oslo-2 oslo-3 "
    );
    assert_eq!(rig.engine.handler().executions("draft"), 2);
}

#[tokio::test]
async fn stream_is_not_repeated() {
    let rig = Rig::start().await;
    let key = bearer(KEY);
    rig.engine.handler().plan(EngineFault::CrashAfter(2));
    let headers = [("authorization", key.as_str()), ("x-request-id", "draft")];
    let body = ask(&[("user", "oslo")], true);
    let response = rig.complete(&headers, &body).await;
    rig.engine.handler().crash_due().await;
    rig.engine.restart().await.expect("the port is free");
    let text = response.text().await.expect("the stream ends");
    let events = events(&text);
    let error = &events.last().expect("events")["error"];
    assert_eq!(
        (&error["kind"], &error["ran"]),
        (&"upstream_failed".into(), &"may_have_run".into())
    );
    assert_eq!(rig.engine.handler().executions("draft"), 1);
}

#[tokio::test]
async fn dead_upstream_runs_nothing() {
    let rig = Rig::with(|settings, _| settings.queue_ms = 100).await;
    let key = bearer(KEY);
    rig.engine.crash().await;
    let headers = [("authorization", key.as_str())];
    let response = rig
        .complete(&headers, &ask(&[("user", "oslo")], false))
        .await;
    assert!(response.status().is_server_error());
    assert_eq!(response.headers()["kwd-ran"], "not_run");
}
