//! Guards against a binary that starts, checks its settings or stops differently from the library.

mod support;

use std::fs;
use std::process::{Command, Stdio};

use knapweeddale_testing::http::{EngineOptions, FakeEngine, FakePlain};
use knapweeddale_testing::platform::Platform;
use support::{SECRET, accounts, publish, scratch_file, services, settings};

const BINARY: &str = env!("CARGO_BIN_EXE_knapweeddale-entry");

#[tokio::test]
async fn serves_until_sigterm() {
    let platform = Platform::start(0).await;
    let engine = FakeEngine::start(EngineOptions::default())
        .await
        .expect("engine starts");
    let plain = FakePlain::start().await.expect("plain service starts");
    let document = knapweeddale_config::Document {
        accounts: accounts(),
        services: services(&engine.address().to_string(), &plain.address().to_string()),
    };
    publish(&platform, &document, 0).await;
    let secret = scratch_file("fleet.secret");
    fs::write(&secret, SECRET).expect("secret is written");
    let mut settings = settings(&platform.url());
    settings.secret_file = secret;
    let file = scratch_file("vm.yaml");
    fs::write(&file, settings.to_yaml()).expect("settings are written");
    let child = Command::new(BINARY)
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn();
    let mut child = child.expect("binary starts");
    let mut log = std::io::BufReader::new(child.stderr.take().expect("stderr is piped"));
    let address = tokio::task::spawn_blocking(move || {
        let lines = std::io::BufRead::lines(&mut log).map(|line| line.expect("text"));
        let line = lines
            .into_iter()
            .find(|line| line.contains("serves callers at"));
        (line.expect("the binary logs its address"), log)
    });
    let (line, mut log) = address.await.expect("log is read");
    let address = line.rsplit(' ').next().expect("an address");
    let health = reqwest::get(format!("http://{address}/healthz")).await;
    assert_eq!(health.expect("the VM answers").status(), 200);
    let pid = child.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(killed.expect("signal is sent").success());
    let rest = tokio::task::spawn_blocking(move || {
        let mut rest = String::new();
        std::io::Read::read_to_string(&mut log, &mut rest).expect("text");
        (child.wait().expect("the binary ends"), rest)
    });
    let (status, rest) = rest.await.expect("log is read");
    assert!(status.success(), "{rest}");
    assert!(rest.contains("vm-1 has stopped"), "{rest}");
}

#[test]
fn short_secret_is_refused() {
    let secret = scratch_file("short.secret");
    fs::write(&secret, "short").expect("secret is written");
    let mut settings = settings("http://127.0.0.1:9");
    settings.secret_file = secret;
    let file = scratch_file("short.yaml");
    fs::write(&file, settings.to_yaml()).expect("settings are written");
    let output = Command::new(BINARY)
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output();
    let output = output.expect("binary runs");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("use at least 32 random bytes"), "{text}");
}

#[test]
fn printed_settings_can_be_used() {
    let file = scratch_file("printed.yaml");
    fs::write(&file, settings("http://127.0.0.1:9").to_yaml()).expect("settings are written");
    let output = Command::new(BINARY)
        .arg("--print-settings")
        .arg("--settings")
        .arg(&file)
        .output();
    let printed = String::from_utf8(output.expect("binary runs").stdout).expect("text");
    let parsed = knapweeddale_config::Settings::parse("printed.yaml", &printed);
    assert_eq!(parsed.expect("settings"), settings("http://127.0.0.1:9"));
}
