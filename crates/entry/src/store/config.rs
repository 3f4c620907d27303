//! Watch of the published configuration.

use std::sync::Arc;
use std::time::Duration;

use knapweeddale_config::Document;
use knapweeddale_core::{Input, Revision};
use knapweeddale_store::{Backoff, CONFIG_KEY, Object, ObjectApi, StoreError};

use crate::control::InputSender;

/// Time after which a watch without a change is reopened. Bounds how late a change is noticed if
/// the watch has silently failed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Watches the configuration until the process ends.
pub(crate) async fn watch_config<A: ObjectApi>(api: Arc<A>, vm: String, inputs: InputSender) {
    let mut backoff = Backoff::new(&vm);
    let mut known_version = None;
    loop {
        match read_or_watch(&*api, known_version).await {
            Ok(Some(object)) => {
                backoff.reset();
                known_version = Some(object.version);
                submit_config(&object, &inputs).await;
            }
            Ok(None) => {
                backoff.reset();
                known_version.get_or_insert(0);
            }
            Err(error) => {
                tracing::warn!("config: {error}");
                // Read the object next time, since the watch may have missed a change.
                known_version = None;
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Reads the configuration, or waits for a newer one than the known version.
async fn read_or_watch<A: ObjectApi>(
    api: &A,
    known_version: Option<u64>,
) -> Result<Option<Object>, StoreError> {
    match known_version {
        None => api.get(CONFIG_KEY).await,
        Some(version) => api.watch(CONFIG_KEY, version, WATCH_TIMEOUT).await,
    }
}

/// Sends a configuration to the core if it passes all checks.
async fn submit_config(object: &Object, inputs: &InputSender) {
    let revision = object.version;
    let document = match Document::from_bytes(&object.value) {
        Ok(document) => document,
        Err(error) => {
            tracing::error!("config: ignored revision {revision}, {error}");
            return;
        }
    };
    let findings = document.check();
    if let Some(first) = findings.first() {
        tracing::error!("config: ignored revision {revision}, {first}");
        return;
    }
    let fleet = document.to_fleet(Revision(revision));
    inputs.send_input(Input::Config(fleet.into())).await;
}
