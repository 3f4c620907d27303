//! Guards against a model that the service file asks for and no engine loads.

mod support;

use knapweeddale_testing::http::{EngineOptions, FakeEngine};
use support::{KEY, Rig, ask, bearer, until};

#[tokio::test]
async fn missing_model_is_loaded() {
    let options = EngineOptions {
        models: Some(vec!["old".to_owned()]),
        ..EngineOptions::default()
    };
    let engine = FakeEngine::start(options).await.expect("engine starts");
    let rig = Rig::with(|_, document| {
        let upstream = &mut document.services[0].upstreams[0];
        upstream.address = engine.address().to_string();
        upstream.checks_fencing = true;
    })
    .await;
    let key = bearer(KEY);
    until(|| engine.handler().models() == ["small"]).await;
    let headers = [("authorization", key.as_str())];
    let response = rig
        .complete(&headers, &ask(&[("user", "plan")], false))
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(rig.engine.handler().total_executions(), 0);
}
