//! Guards against programs that work only through their home VM, and against a VM that cannot
//! learn the configuration while the store is down.

mod support;

use knapweeddale_entry::{Daemon, MonotonicClock};
use knapweeddale_store::HttpObjectApi;
use knapweeddale_testing::platform::{Fault, VmRow};
use serde_json::Value;
use support::{EntryUnderTest, KEY, SECRET, bearer, completion_body, settings};

/// Starts a second VM next to the first and waits until both are members of the view.
async fn start_second(entry: &EntryUnderTest) -> Daemon<MonotonicClock> {
    let mut settings = settings(&entry.platform.url());
    settings.vm = "vm-2".to_owned();
    settings.failure_domain = "south".to_owned();
    let api = HttpObjectApi::builder()
        .base_url(&entry.platform.url())
        .build();
    let api = api.expect("client of the platform");
    let second = Daemon::start(settings, SECRET, api, MonotonicClock::start()).await;
    let second = second.expect("daemon starts");
    let row = |vm: &str, daemon: &Daemon<MonotonicClock>| VmRow {
        vm: vm.to_owned(),
        address: daemon.peer_address().to_string(),
        leaving: false,
    };
    let rows = vec![row("vm-1", &entry.daemon), row("vm-2", &second)];
    entry.platform.objects.set_vms(rows);
    second.wait_until_ready().await;
    while !entry.get("/metrics").await.contains("kwd_epoch 2") {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    second
}

#[tokio::test]
async fn start_without_store() {
    let entry = EntryUnderTest::start().await;
    entry.platform.objects.set_fault(Fault::Down);
    let mut settings = settings(&entry.platform.url());
    settings.vm = "vm-2".to_owned();
    settings.known_peers = vec![entry.daemon.peer_address()];
    let api = HttpObjectApi::builder()
        .base_url(&entry.platform.url())
        .build();
    let api = api.expect("client of the platform");
    let second = Daemon::start(settings, SECRET, api, MonotonicClock::start()).await;
    let second = second.expect("daemon starts");
    let address = second.address();
    loop {
        let models = reqwest::get(format!("http://{address}/v1/models")).await;
        let models = models.expect("the VM answers").text().await.expect("text");
        if models.contains("small") {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let ready = reqwest::get(format!("http://{address}/readyz")).await;
    assert_eq!(
        ready.expect("the VM answers").status(),
        503,
        "it is not a member yet"
    );
}

#[tokio::test]
async fn turns_move_between_vms() {
    let entry = EntryUnderTest::start().await;
    let second = start_second(&entry).await;
    let url = format!("http://{}/v1/chat/completions", second.address());
    let key = bearer(KEY);
    // Homes are assigned by hash, so each VM is the home of some programs.
    for number in 0..12 {
        let program = format!("tour-{number}");
        let request = format!("first-{number}");
        let headers = |turn| {
            vec![
                ("authorization", key.as_str()),
                ("kwd-program", program.as_str()),
                ("kwd-turn", turn),
                ("x-request-id", request.as_str()),
            ]
        };
        let send = |headers: Vec<(&'static str, &str)>, body: &Value| {
            let mut request = entry.client.post(&url).body(body.to_string());
            for (name, value) in headers {
                request = request.header(name, value);
            }
            request.send()
        };
        let body = completion_body(&[("user", "oslo")], false);
        let first = entry.complete(&headers("1"), &body).await;
        assert_eq!(first.status(), 200, "{program}");
        let continuation = first.headers()["kwd-continuation"].clone();
        let continuation = continuation.to_str().expect("text");
        let first = first.text().await.expect("text");
        let again = send(headers("1"), &body).await.expect("the VM answers");
        assert_eq!(again.status(), 200, "{program}");
        assert!(again.headers().contains_key("kwd-continuation"));
        assert_eq!(
            again.text().await.expect("text"),
            first,
            "the response is fetched from the other VM"
        );
        assert_eq!(entry.engine.handler().executions(&request), 1);
        let answer: Value = serde_json::from_str(&first).expect("JSON");
        let answer = answer["choices"][0]["message"]["content"]
            .as_str()
            .expect("text");
        let body = completion_body(
            &[("user", "oslo"), ("assistant", answer), ("user", "bergen")],
            false,
        );
        let mut second_headers = headers("2");
        second_headers.push(("kwd-continuation", continuation));
        let next = send(second_headers, &body).await.expect("the VM answers");
        assert_eq!(next.status(), 200, "{program}");
    }
}
