//! Guards against charge records that are lost or stored twice while the store fails.

mod support;

use std::fs;

use knapweeddale_entry::{Daemon, MonotonicClock};
use knapweeddale_store::HttpObjectApi;
use knapweeddale_testing::platform::Fault;
use support::{EntryUnderTest, KEY, SECRET, bearer, completion_body, scratch_file, settings};

/// Runs calls, stops the VM while the store has a fault, starts it again without the fault, and
/// returns the number of stored records.
async fn count_records_after(fault: Fault, folder: &str, calls: usize) -> usize {
    let folder = scratch_file(folder);
    // The folder exists if this test ran before.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("folder");
    let data_folder = Some(folder.clone());
    let entry = EntryUnderTest::start_with(|settings, _| settings.data_folder = data_folder).await;
    let key = bearer(KEY);
    for _ in 0..calls {
        let headers = [("authorization", key.as_str())];
        let response = entry
            .complete(&headers, &completion_body(&[("user", "oslo")], false))
            .await;
        assert_eq!(response.status(), 200);
    }
    let EntryUnderTest {
        daemon, platform, ..
    } = entry;
    platform.objects.set_fault(fault);
    daemon.stop().await;
    platform.objects.set_fault(Fault::None);
    let mut settings = settings(&platform.url());
    settings.data_folder = Some(folder);
    let api = HttpObjectApi::builder().base_url(&platform.url()).build();
    let api = api.expect("client of the platform");
    let again = Daemon::start(settings, SECRET, api, MonotonicClock::start()).await;
    again.expect("daemon starts").stop().await;
    let stored = platform.objects.with_prefix("charges/");
    let lines = stored
        .iter()
        .flat_map(|(_, _, value)| value.split(|byte| *byte == b'\n'));
    lines.filter(|line| !line.is_empty()).count()
}

#[tokio::test]
async fn store_down() {
    assert_eq!(count_records_after(Fault::Down, "charges-down", 3).await, 3);
}

#[tokio::test]
async fn store_response_lost() {
    assert_eq!(
        count_records_after(Fault::DropResponses, "charges-lost", 3).await,
        3
    );
}
