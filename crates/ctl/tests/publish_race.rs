//! Guards against lost updates when two operators publish at once or a response of the store
//! is lost, and against publishing invalid files.

use std::path::{Path, PathBuf};

use knapweeddale_ctl::{Command, CtlError, ExitStatus, Options, OutputFormat, Report, run};
use knapweeddale_testing::platform::{Fault, Platform};

fn create_folder(name: &str, rate: u32) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("folder can be created");
    let text = format!("account: aller\nrate_calls_per_s: {rate}\nburst_calls: 5\n");
    std::fs::write(folder.join("aller.account.yaml"), text).expect("file can be written");
    folder
}

async fn publish(
    platform: &Platform,
    folder: &Path,
    expect: Option<u64>,
) -> Result<Report, CtlError> {
    let command = Command::Publish {
        store: platform.url(),
        expect,
        folder: folder.to_owned(),
    };
    run(Options {
        output: OutputFormat::Text,
        command,
    })
    .await
}

#[tokio::test]
async fn second_operator_conflicts() {
    let platform = Platform::start(0).await;
    let first = publish(&platform, &create_folder("race-1", 10), None)
        .await
        .expect("first publication succeeds");
    assert!(matches!(first, Report::Published { revision: 1, .. }));
    let error = publish(&platform, &create_folder("race-2", 20), Some(0)).await;
    let error = error.expect_err("expected revision is stale");
    assert_eq!(error.exit_status(), ExitStatus::Conflict);
    let second = publish(&platform, &create_folder("race-2", 20), Some(1))
        .await
        .expect("second publication succeeds");
    insta::assert_snapshot!(second.format(OutputFormat::Text));
}

#[tokio::test]
async fn lost_response_resolved() {
    let platform = Platform::start(0).await;
    platform.objects.set_fault(Fault::DropResponses);
    let report = publish(&platform, &create_folder("lost", 10), None)
        .await
        .expect("write is confirmed by reading it back");
    assert!(matches!(report, Report::Published { revision: 1, .. }));
}

#[tokio::test]
async fn outage_is_reported() {
    let platform = Platform::start(0).await;
    platform.objects.set_fault(Fault::Down);
    let error = publish(&platform, &create_folder("outage", 10), None).await;
    assert_eq!(
        error.expect_err("store is down").exit_status(),
        ExitStatus::Unavailable
    );
}

#[tokio::test]
async fn findings_block_publishing() {
    let platform = Platform::start(0).await;
    let report = publish(&platform, &create_folder("bad", 0), None)
        .await
        .expect("findings are reported");
    assert_eq!(report.exit_status(), ExitStatus::Findings);
    assert!(platform.objects.with_prefix("fleet/").is_empty());
}
