//! Guards against lost updates, watches that miss a change, and outages reported as other results.

use std::time::Duration;

use knapweeddale_store::{CountingApi, HttpObjectApi, ObjectApi, StoreError};
use knapweeddale_testing::platform::{Fault, Platform};

async fn start() -> (Platform, CountingApi<HttpObjectApi>) {
    let platform = Platform::start(0).await;
    let api = HttpObjectApi::builder()
        .base_url(&platform.url())
        .timeout(Duration::from_millis(500))
        .build()
        .expect("client");
    (platform, CountingApi::new(api))
}

#[tokio::test]
async fn race_is_conflict() {
    let (_platform, api) = start().await;
    assert_eq!(api.put("fleet/config", b"one".to_vec(), 0).await, Ok(1));
    let lost = api.put("fleet/config", b"two".to_vec(), 0).await;
    assert!(matches!(lost, Err(StoreError::Conflict { current: 1, .. })));
    let object = api
        .get("fleet/config")
        .await
        .expect("response")
        .expect("object");
    assert_eq!((object.version, object.value), (1, b"one".to_vec()));
    assert_eq!(api.get("fleet/none").await, Ok(None));
}

#[tokio::test]
async fn lost_response_took_effect() {
    let (platform, api) = start().await;
    platform.objects.set_fault(Fault::DropResponses);
    let written = api.put("a", b"x".to_vec(), 0).await;
    assert!(matches!(written, Err(StoreError::Unavailable { .. })));
    platform.objects.set_fault(Fault::None);
    assert_eq!(
        api.get("a").await.expect("response").map(|o| o.version),
        Some(1)
    );
}

#[tokio::test]
async fn watch_sees_write() {
    let (_platform, api) = start().await;
    let (seen, written) = tokio::join!(
        api.watch("a", 0, Duration::from_secs(20)),
        api.put("a", b"x".to_vec(), 0)
    );
    assert_eq!(written, Ok(1));
    assert_eq!(seen.expect("response").map(|o| o.version), Some(1));
    let unchanged = api.watch("a", 1, Duration::from_millis(1)).await;
    assert_eq!(unchanged, Ok(None));
}

#[tokio::test]
async fn silent_watch_is_failure() {
    let (platform, api) = start().await;
    platform.objects.set_fault(Fault::UnansweredWatch);
    let seen = api.watch("a", 0, Duration::from_millis(1)).await;
    assert!(matches!(seen, Err(StoreError::Unavailable { .. })));
    assert_eq!(api.counts().failures, 1);
}

#[tokio::test]
async fn outage_is_unavailable() {
    let (platform, api) = start().await;
    platform.objects.set_fault(Fault::Down);
    assert!(matches!(
        api.list_vms().await,
        Err(StoreError::Unavailable { .. })
    ));
    assert!(matches!(
        api.list("x").await,
        Err(StoreError::Unavailable { .. })
    ));
}
