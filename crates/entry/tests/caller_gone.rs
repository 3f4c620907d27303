//! Guards against engines that keep generating after the caller has disconnected.

mod support;

use knapweeddale_testing::http::EngineFault;
use support::{EntryUnderTest, KEY, bearer, completion_body, wait_until};

#[tokio::test]
async fn attempt_is_cancelled() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    entry.engine.handler().inject(EngineFault::GateAfter(2));
    let headers = [("authorization", key.as_str())];
    let mut response = entry
        .complete(&headers, &completion_body(&[("user", "oslo")], true))
        .await;
    response.chunk().await.expect("the stream starts");
    drop(response);
    wait_until(|| entry.engine.handler().cancelled() == 1).await;
    let EntryUnderTest {
        daemon, platform, ..
    } = entry;
    daemon.stop().await;
    let stored = platform.objects.with_prefix("charges/");
    let records: String = stored
        .iter()
        .map(|(_, _, v)| String::from_utf8_lossy(v))
        .collect();
    assert!(records.contains(r#""outcome":"abandoned""#), "{records}");
    assert!(records.contains(r#""answer_tokens":2"#), "{records}");
}
