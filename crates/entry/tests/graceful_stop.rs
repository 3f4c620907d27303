//! Guards against calls that are interrupted when a VM stops.

mod support;

use knapweeddale_testing::http::EngineFault;
use support::{EntryUnderTest, KEY, bearer, completion_body};

#[tokio::test]
async fn stream_finishes() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    entry.engine.handler().inject(EngineFault::GateAfter(2));
    let headers = [("authorization", key.as_str())];
    let body = completion_body(&[("user", "oslo")], true);
    let mut response = entry.complete(&headers, &body).await;
    let first = response
        .chunk()
        .await
        .expect("the stream starts")
        .expect("a chunk");
    let mut text = String::from_utf8(first.to_vec()).expect("text");
    let ready = entry.url("/readyz");
    let complete = entry.url("/v1/chat/completions");
    let EntryUnderTest {
        daemon,
        engine,
        client,
        ..
    } = entry;
    let stop = tokio::spawn(daemon.stop());
    loop {
        let response = client.get(&ready).send().await.expect("the VM answers");
        if response.status() == 503 {
            let text = response.text().await.expect("text");
            assert!(text.contains("stopping"), "{text}");
            break;
        }
    }
    let new = client.post(complete).header("authorization", &key);
    let new = new.header("kwd-program", "tour").header("kwd-turn", "1");
    let refused = new
        .body(body.to_string())
        .send()
        .await
        .expect("the VM answers");
    assert_eq!(
        (refused.status().as_u16(), &refused.headers()["kwd-ran"]),
        (503, &"not_run".parse().expect("value"))
    );
    assert!(!stop.is_finished(), "the VM must wait for the stream");
    engine.handler().open_gate();
    while let Some(chunk) = response
        .chunk()
        .await
        .expect("the stream is not interrupted")
    {
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    stop.await.expect("the VM stops");
}
