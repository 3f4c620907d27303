//! Guards against a model that a service file lists but no engine loads.

mod support;

use knapweeddale_testing::http::{EngineOptions, FakeEngine};
use support::{EntryUnderTest, KEY, bearer, completion_body, wait_until};

#[tokio::test]
async fn missing_model_is_loaded() {
    let options = EngineOptions {
        models: Some(vec!["old".to_owned()]),
        ..EngineOptions::default()
    };
    let engine = FakeEngine::start(options).await.expect("engine starts");
    let entry = EntryUnderTest::start_with(|_, document| {
        let upstream = &mut document.services[0].upstreams[0];
        upstream.address = engine.address().to_string();
        upstream.checks_fencing = true;
    })
    .await;
    let key = bearer(KEY);
    wait_until(|| engine.handler().models() == ["small"]).await;
    let headers = [("authorization", key.as_str())];
    let response = entry
        .complete(&headers, &completion_body(&[("user", "plan")], false))
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(entry.engine.handler().total_executions(), 0);
}
