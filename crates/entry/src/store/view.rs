//! Reads and writes of the view in the store.

use std::sync::Arc;

use knapweeddale_core::input::StoredView;
use knapweeddale_core::tables::View;
use knapweeddale_core::{Input, StoreEvent, StoreRequest};
use knapweeddale_store::{ObjectApi, StoreError, VIEW_KEY};
use tokio::sync::mpsc;

use crate::control::InputSender;

/// A request of the core about the view.
#[derive(Debug)]
pub(crate) struct ViewRequest {
    /// The operation: read, write or touch.
    pub request: StoreRequest,
    /// Time of the tick in which the core made the request.
    pub now_us: u64,
}

/// Executes requests about the view until the process ends.
///
/// Each request runs in its own task, so that a touch waiting for a slow store does not delay the
/// read that follows it.
pub(crate) async fn serve_views<A: ObjectApi>(
    api: Arc<A>,
    mut requests: mpsc::Receiver<ViewRequest>,
    inputs: InputSender,
) {
    while let Some(view_request) = requests.recv().await {
        let (api, inputs) = (Arc::clone(&api), inputs.clone());
        tokio::spawn(async move {
            let event = handle_request(&*api, view_request).await;
            inputs.send_input(Input::Store(event)).await;
        });
    }
}

/// Executes one request and returns its result.
async fn handle_request<A: ObjectApi>(api: &A, view_request: ViewRequest) -> StoreEvent {
    let result = match view_request.request {
        StoreRequest::Read => read_view(api).await,
        StoreRequest::Write {
            view,
            expected_version,
        } => write_view(api, &view, expected_version)
            .await
            .map(|version| {
                let stored = StoredView { view, version };
                StoreEvent::ViewWritten(stored)
            }),
        StoreRequest::Touch {
            view,
            expected_version,
        } => {
            let sent_us = view_request.now_us;
            let written = write_view(api, &view, expected_version).await;
            written.map(|version| StoreEvent::ViewTouched { version, sent_us })
        }
    };
    result.unwrap_or_else(|error| error_event(&error))
}

/// Reads the view; an invalid one counts as unavailable.
async fn read_view<A: ObjectApi>(api: &A) -> Result<StoreEvent, StoreError> {
    let Some(object) = api.get(VIEW_KEY).await? else {
        return Ok(StoreEvent::ViewRead(None));
    };
    match serde_json::from_slice::<View>(&object.value) {
        Ok(view) => Ok(StoreEvent::ViewRead(Some(StoredView {
            view,
            version: object.version,
        }))),
        Err(error) => {
            tracing::error!("membership: cannot read {VIEW_KEY} ({error}); restore or delete it");
            Ok(StoreEvent::Unavailable)
        }
    }
}

/// Writes the view if the stored version is `version`; returns the new version.
async fn write_view<A: ObjectApi>(api: &A, view: &View, version: u64) -> Result<u64, StoreError> {
    let value = serde_json::to_vec(view).map_err(|error| StoreError::Unavailable {
        reason: error.to_string(),
    })?;
    api.put(VIEW_KEY, value, version).await
}

/// Converts a store error to an event for the core.
fn error_event(error: &StoreError) -> StoreEvent {
    tracing::debug!("membership: {error}");
    match error {
        StoreError::Conflict { .. } => StoreEvent::Conflict,
        StoreError::Unavailable { .. } | StoreError::Refused { .. } => StoreEvent::Unavailable,
    }
}
