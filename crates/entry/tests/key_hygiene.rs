//! Guards against a caller's key in what upstreams receive, in logs and in metrics.

mod support;

use std::io::Write;
use std::sync::{Arc, Mutex};

use knapweeddale_config::LogFormat;
use knapweeddale_entry::logs;
use support::{KEY, Rig, ask, bearer};

/// A log that the test can read.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lock").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn key_stays_here() {
    let log = Log::default();
    let writer = log.clone();
    let log_init = logs::init_with(LogFormat::Text, "trace", move || writer.clone());
    log_init.expect("the only log");
    let rig = Rig::start().await;
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
    rig.complete(&headers, &ask(&[("user", "oslo")], true))
        .await
        .text()
        .await
        .expect("text");
    rig.post("/services/booking/search", &headers, "hall").await;
    rig.post(
        &format!("/services/booking/search?key={KEY}"),
        &headers,
        "hall",
    )
    .await;
    rig.post("/services/booking/search", &headers, KEY).await;
    rig.post(&format!("/services/{KEY}/search"), &[], "hall")
        .await;
    rig.post(
        &format!("/v1/programs/{KEY}/permits"),
        &headers[..1],
        r#"{"turn": 1}"#,
    )
    .await;
    rig.complete(&headers[1..], &ask(&[("user", "no key")], false))
        .await;
    let metrics = rig.get("/metrics").await;
    let engine = String::from_utf8(rig.engine.handler().heads()).expect("text");
    let plain = String::from_utf8(rig.plain.handler().heads()).expect("text");
    assert!(
        plain.contains("x-kept: plain text"),
        "other headers are passed on: {plain}"
    );
    assert_eq!(rig.plain.handler().total_executions(), 1);
    let Rig { daemon, .. } = rig;
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
        assert_eq!(line, None, "{place} holds the key");
    }
}
