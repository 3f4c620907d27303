//! Support: one VM with a fake platform, a fake engine and a fake plain service.

#![allow(dead_code, reason = "each test file uses a part of the support")]

use std::collections::BTreeMap;
use std::path::PathBuf;

use knapweeddale_config::{AccountFile, Document, KeyFile, ServiceFile, Settings};
use knapweeddale_entry::{Clock, Daemon, MonotonicClock};
use knapweeddale_store::{CONFIG_KEY, HttpObjectApi, ObjectApi};
use knapweeddale_testing::http::{EngineOptions, FakeEngine, FakePlain, FakeServer};
use knapweeddale_testing::platform::Platform;
use knapweeddale_token::CallerKey;
use reqwest::{Client, Response};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const KEY: &str = "kwd_desk_0123456789abcdefghijABCDEFGHIJ01";
pub const WITHDRAWN_KEY: &str = "kwd_old_0123456789abcdefghijABCDEFGHIJ02";
pub const UNPUBLISHED_KEY: &str = "kwd_new_0123456789abcdefghijABCDEFGHIJ03";
pub const LOW_RATE_KEY: &str = "kwd_slow_0123456789abcdefghijABCDEFGHIJ04";
pub const SMALL_BUDGET_KEY: &str = "kwd_small_0123456789abcdefghijABCDEFGHIJ05";
pub const SECRET: &[u8] = b"a secret that all VMs of the fleet share";

/// One VM with the fakes that it talks to.
pub struct EntryUnderTest<C = MonotonicClock> {
    pub daemon: Daemon<C>,
    pub platform: Platform,
    pub engine: FakeServer<FakeEngine>,
    pub plain: FakeServer<FakePlain>,
    pub client: Client,
}

impl EntryUnderTest {
    /// Starts the VM and the fakes, and waits until the VM is ready.
    pub async fn start() -> Self {
        Self::start_with(|_, _| {}).await
    }

    /// Like `start`; `change` adjusts the settings, the accounts and the services first.
    pub async fn start_with(change: impl FnOnce(&mut Settings, &mut Document)) -> Self {
        Self::start_with_clock(MonotonicClock::start(), change).await
    }
}

impl<C: Clock> EntryUnderTest<C> {
    /// Like `start_with`, with a clock.
    pub async fn start_with_clock(
        clock: C,
        change: impl FnOnce(&mut Settings, &mut Document),
    ) -> Self {
        let platform = Platform::start(0).await;
        let engine = FakeEngine::start(EngineOptions::default()).await;
        let engine = engine.expect("engine starts");
        let plain = FakePlain::start().await.expect("plain service starts");
        let mut settings = settings(&platform.url());
        let mut document = Document {
            accounts: accounts(),
            services: services(&engine.address().to_string(), &plain.address().to_string()),
        };
        change(&mut settings, &mut document);
        assert_eq!(document.check(), []);
        publish(&platform, &document, 0).await;
        let api = HttpObjectApi::builder().base_url(&platform.url()).build();
        let api = api.expect("client of the platform");
        let daemon = Daemon::start(settings, SECRET, api, clock).await;
        let daemon = daemon.expect("daemon starts");
        daemon.wait_until_ready().await;
        Self {
            daemon,
            platform,
            engine,
            plain,
            client: Client::builder().no_proxy().build().expect("client"),
        }
    }

    /// Returns the URL of a path at the VM.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.daemon.address())
    }

    /// Sends a completion request.
    pub async fn complete(&self, headers: &[(&str, &str)], body: &Value) -> Response {
        self.post("/v1/chat/completions", headers, &body.to_string())
            .await
    }

    /// Sends a `POST` request.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
        let mut request = self.client.post(self.url(path)).body(body.to_owned());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.send().await.expect("the VM answers")
    }

    /// Sends a `GET` request and returns the body as text.
    pub async fn get(&self, path: &str) -> String {
        let response = self.client.get(self.url(path)).send().await;
        response
            .expect("the VM answers")
            .text()
            .await
            .expect("text")
    }

    /// Returns all stored charge records.
    pub fn charges(&self) -> Vec<Value> {
        let objects = self.platform.objects.with_prefix("charges/");
        let lines = objects
            .iter()
            .flat_map(|(_, _, value)| value.split(|b| *b == b'\n'));
        lines
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).expect("a record is JSON"))
            .collect()
    }
}

/// Returns the `authorization` header value for a key.
pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Adds an engine to the service of the first one.
pub fn add_engine(document: &mut Document, engine: &FakeServer<FakeEngine>) {
    let chat = &mut document.services[0];
    let mut upstream = chat.upstreams[0].clone();
    upstream.name = "engine-2".to_owned();
    upstream.address = engine.address().to_string();
    chat.upstreams.push(upstream);
}

/// Waits until a condition holds.
pub async fn wait_until(happened: impl Fn() -> bool) {
    while !happened() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Returns the body of a completion request for 4 tokens.
pub fn completion_body(messages: &[(&str, &str)], stream: bool) -> Value {
    let messages: Vec<Value> = messages
        .iter()
        .map(|(role, content)| json!({"role": role, "content": content}))
        .collect();
    json!({"model": "small", "messages": messages, "max_tokens": 4, "stream": stream})
}

/// Parses the data of all events of a stream except `[DONE]`.
pub fn parse_events(text: &str) -> Vec<Value> {
    text.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("an event is JSON"))
        .collect()
}

/// Formats a request and its response for a snapshot: status, content type, `kwd-ran` and body,
/// with varying values replaced.
pub async fn format_session(request: &str, response: Response) -> String {
    let status = response.status();
    let names = ["content-type", "kwd-ran"];
    let headers: BTreeMap<_, _> = response
        .headers()
        .iter()
        .filter(|(name, _)| names.contains(&name.as_str()))
        .map(|(name, value)| {
            (
                name.to_string(),
                value.to_str().unwrap_or_default().to_owned(),
            )
        })
        .collect();
    let headers: String = headers.iter().map(|(k, v)| format!("{k}: {v}\n")).collect();
    let has_retry_after = response.headers().contains_key("retry-after");
    let body = response.text().await.expect("body");
    let body = match serde_json::from_str::<Value>(&body) {
        Ok(mut value) => {
            if value["error"]["retry_after_ms"].is_u64() {
                value["error"]["retry_after_ms"] = "[time]".into();
            }
            serde_json::to_string_pretty(&value).expect("JSON")
        }
        Err(_) => body,
    };
    let retry = if has_retry_after {
        "retry-after: [time]\n"
    } else {
        ""
    };
    format!("> {request}\n< {status}\n{headers}{retry}\n{body}\n")
}

/// Sends bytes over a new connection and returns the response as text.
pub async fn send_raw(address: std::net::SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the VM listens");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the VM reads");
    let mut response = Vec::new();
    // A server that refuses a request may reset the connection after its response.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8(response).expect("text")
}

/// Publishes a document in place of the one with this version; returns the new version.
pub async fn publish(platform: &Platform, document: &Document, version: u64) -> u64 {
    let api = HttpObjectApi::builder().base_url(&platform.url()).build();
    let api = api.expect("client of the platform");
    let bytes = document.to_bytes().expect("document fits");
    let written = api.put(CONFIG_KEY, bytes, version).await;
    written.expect("platform accepts the document")
}

/// Returns settings with ports that the operating system chooses.
pub fn settings(store: &str) -> Settings {
    let text = format!(
        "vm: vm-1\nfailure_domain: north\nlisten: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\n\
         store: {store}\nsecret_file: unused\ndrain_notice_ms: 0\nrate_wait_ms: 50\nturn_wait_ms: 50\n"
    );
    Settings::parse("vm.yaml", &text).expect("settings")
}

/// Returns three accounts: one with high limits, one with a low rate, one with a small budget.
pub fn accounts() -> Vec<AccountFile> {
    let account = |name: &str, rate: f64, burst: u64, tokens: u64, keys: Vec<KeyFile>| {
        let text = format!(
            "account: {name}\nrate_calls_per_s: {rate}\nburst_calls: {burst}\nprogram_tokens: {tokens}\n"
        );
        let mut file = AccountFile::parse("test.account.yaml", &text).expect("account");
        file.keys = keys;
        file
    };
    vec![
        account(
            "aller",
            1_000.0,
            100,
            1_000_000,
            vec![key_file(KEY), withdrawn_key_file()],
        ),
        account("berg", 0.001, 1, 1_000_000, vec![key_file(LOW_RATE_KEY)]),
        account("clyde", 1_000.0, 100, 20, vec![key_file(SMALL_BUDGET_KEY)]),
    ]
}

/// Returns an engine service and a plain service.
pub fn services(engine: &str, plain: &str) -> Vec<ServiceFile> {
    let chat = format!(
        "service: chat\nkind: engine\nmodels: [small]\nupstreams:\n  - {{name: engine-1, address: '{engine}', models: [small]}}\n"
    );
    let booking = format!(
        "service: booking\nkind: plain\nupstreams:\n  - {{name: booking-1, address: '{plain}'}}\n\
         routes:\n  - {{path: /search, methods: [GET, POST], idempotent: true}}\n  - {{path: /open, idempotent: true, open: true}}\n  - {{path: /pay, methods: [POST], idempotent: false}}\n"
    );
    [chat, booking]
        .iter()
        .map(|text| ServiceFile::parse("test.service.yaml", text).expect("service"))
        .collect()
}

fn key_file(text: &str) -> KeyFile {
    let key: CallerKey = text.parse().expect("key");
    let digest = key.digest().0;
    KeyFile {
        id: key.id().to_string(),
        sha256: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        withdrawn: false,
    }
}

fn withdrawn_key_file() -> KeyFile {
    KeyFile {
        withdrawn: true,
        ..key_file(WITHDRAWN_KEY)
    }
}

/// Returns the path of a file or folder that a test may create.
pub fn scratch_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}
