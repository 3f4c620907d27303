//! Guards against a daemon that a signal ends before it handles signals, or that forgets a signal
//! which arrived while it was starting.

mod support;

use std::fs;
use std::process::Command;
use std::time::Duration;

use knapweeddale_testing::platform::Platform;
use knapweeddale_testing::process::{SignalNumber, StartingProcess, send_signal, survives_signal};
use rstest::rstest;
use support::{SECRET, scratch_file, settings};
use tokio::time::sleep;

/// Time in which a process that a signal ends has exited.
const DEFAULT_ACTION_TIME: Duration = Duration::from_millis(200);

/// Starts an entry VM that waits for its settings.
async fn start_entry(platform: &Platform) -> StartingProcess {
    let mut settings = settings(&platform.url());
    settings.secret_file = scratch_file("early-signals.secret");
    fs::write(&settings.secret_file, SECRET).expect("secret is written");
    StartingProcess::start(settings.to_yaml(), |file| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_knapweeddale-entry"));
        command.arg("--settings").arg(file);
        command
    })
    .await
}

/// Guards against handlers that are installed only after the settings were read.
#[rstest]
#[case(SignalNumber::Hup)]
#[case(SignalNumber::Int)]
#[case(SignalNumber::Pipe)]
#[case(SignalNumber::Term)]
#[tokio::test]
async fn handlers_before_settings(#[case] signal: SignalNumber) {
    let platform = Platform::start(0).await;
    let process = start_entry(&platform).await;
    assert!(survives_signal(process.id(), signal));
}

/// Guards against signals that are forgotten because they arrived before the settings were read.
#[tokio::test]
async fn signals_are_remembered() {
    let platform = Platform::start(0).await;
    let mut process = start_entry(&platform).await;
    send_signal(process.id(), SignalNumber::Hup);
    sleep(DEFAULT_ACTION_TIME).await;
    process.write_settings();
    process.wait_for_log("reload: ").await;
    send_signal(process.id(), SignalNumber::Term);
    let status = process.wait_for_exit().await;
    assert!(status.success(), "{status}");
}
