//! Guards against a caller's key in requests to upstreams, in logs and in metrics.

mod support;

use std::io::Write;
use std::sync::{Arc, Mutex};

use knapweeddale_config::LogFormat;
use knapweeddale_entry::logs;
use support::{EntryUnderTest, KEY, bearer, completion_body};

/// A log writer whose output the test can read.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lock").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn key_is_not_leaked() {
    let log = LogBuffer::default();
    let writer = log.clone();
    let log_init = logs::init_with(LogFormat::Text, "trace", move || writer.clone());
    log_init.expect("logging is not initialized yet");
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let cookie = format!("session={KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("proxy-authorization", &key),
        ("x-api-key", KEY),
        ("cookie", &cookie),
        ("x-note", &cookie),
        ("x-request-id", KEY),
        ("traceparent", KEY),
        ("x-kept", "plain text"),
    ];
    entry
        .complete(&headers, &completion_body(&[("user", "oslo")], true))
        .await
        .text()
        .await
        .expect("text");
    entry
        .post("/services/booking/search", &headers, "hall")
        .await;
    entry
        .post(
            &format!("/services/booking/search?key={KEY}"),
            &headers,
            "hall",
        )
        .await;
    entry.post("/services/booking/search", &headers, KEY).await;
    entry
        .post(&format!("/services/{KEY}/search"), &[], "hall")
        .await;
    entry
        .post(
            &format!("/v1/programs/{KEY}/permits"),
            &headers[..1],
            r#"{"turn": 1}"#,
        )
        .await;
    entry
        .complete(
            &headers[1..],
            &completion_body(&[("user", "no key")], false),
        )
        .await;
    let metrics = entry.get("/metrics").await;
    let engine = String::from_utf8(entry.engine.handler().heads()).expect("text");
    let plain = String::from_utf8(entry.plain.handler().heads()).expect("text");
    assert!(
        plain.contains("x-kept: plain text"),
        "other headers are forwarded: {plain}"
    );
    assert_eq!(entry.plain.handler().total_executions(), 1);
    let EntryUnderTest { daemon, .. } = entry;
    daemon.stop().await;
    let log = String::from_utf8(log.0.lock().expect("lock").clone()).expect("text");
    assert!(log.contains("placement: "), "decisions are logged: {log}");
    let secret = KEY.rsplit('_').next().expect("a secret");
    for (place, text) in [
        ("engine", engine),
        ("plain", plain),
        ("metrics", metrics),
        ("log", log),
    ] {
        let line = text.lines().find(|line| line.contains(secret));
        assert_eq!(line, None, "{place} contains the key");
    }
}
