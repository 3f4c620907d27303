//! Guards against storing keys in clear text and against withdrawals that are not saved.

use std::path::{Path, PathBuf};

use knapweeddale_ctl::{ExitStatus, OutputFormat, Report, options, run};

fn create_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // The folder may still exist from an earlier run.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("folder can be created");
    let text = "account: aller\nrate_calls_per_s: 1\nburst_calls: 5\n";
    std::fs::write(folder.join("aller.account.yaml"), text).expect("file can be written");
    folder
}

async fn run_keys(arguments: &[&str], folder: &Path) -> Result<Report, ExitStatus> {
    let folder = folder.to_str().expect("path is text");
    let arguments: Vec<&str> = ["keys"]
        .iter()
        .chain(arguments)
        .chain([&folder])
        .copied()
        .collect();
    let options = options()
        .run_inner(arguments.as_slice())
        .expect("options parse");
    run(options).await.map_err(|error| error.exit_status())
}

#[tokio::test]
async fn only_digest_stored() {
    let folder = create_folder("key-digest");
    let report = run_keys(&["grant", "--account", "aller", "--id", "desk"], &folder).await;
    let Ok(Report::KeyGranted { key, file }) = report else {
        panic!("no key was granted: {report:?}");
    };
    let text = std::fs::read_to_string(file).expect("keys file can be read");
    let secret = key.rsplit('_').next().expect("key has a secret part");
    assert!(!text.contains(secret) && text.contains("desk"));
    let again = run_keys(&["grant", "--account", "aller", "--id", "desk"], &folder).await;
    assert_eq!(
        again.expect_err("ID is already in use"),
        ExitStatus::Findings
    );
}

#[tokio::test]
async fn withdrawal_persists() {
    let folder = create_folder("key-withdrawal");
    run_keys(&["grant", "--account", "aller", "--id", "desk"], &folder)
        .await
        .expect("key is granted");
    run_keys(&["withdraw", "--id", "desk"], &folder)
        .await
        .expect("key is withdrawn");
    let list = run_keys(&["list"], &folder).await.expect("keys are listed");
    assert_eq!(list.format(OutputFormat::Text), "aller\tdesk\twithdrawn");
    let unknown = run_keys(&["withdraw", "--id", "none"], &folder).await;
    assert_eq!(
        unknown.expect_err("key does not exist"),
        ExitStatus::Findings
    );
}
