//! Commands that show the published configuration and the state of the VMs.

use std::time::Duration;

use knapweeddale_store::{HttpObjectApi, ObjectApi};
use serde_json::Value;

use super::publish::read_published;
use crate::{CtlError, Report};

/// Timeout of a status request to one VM.
const VM_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the published configuration and its revision.
pub(super) async fn show(store: &str) -> Result<Report, CtlError> {
    let api = HttpObjectApi::builder().base_url(store).build()?;
    let (revision, document) = read_published(&api).await?;
    Ok(Report::Current { revision, document })
}

/// Requests the status of the given VMs, or of all VMs that the platform lists.
///
/// A VM that fails to answer is reported with its error; the others are still queried.
pub(super) async fn status(store: &str, vms: Vec<String>) -> Result<Report, CtlError> {
    let api = HttpObjectApi::builder().base_url(store).build()?;
    let (revision, _) = read_published(&api).await?;
    let addresses = if vms.is_empty() {
        let entries = api.list_vms().await?;
        entries.into_iter().map(|entry| entry.address).collect()
    } else {
        vms
    };
    let mut states = Vec::new();
    for address in addresses {
        let state = fetch_vm_state(&address)
            .await
            .map_err(|error| error.to_string());
        states.push((address, state));
    }
    Ok(Report::VmStates {
        revision,
        vms: states,
    })
}

/// Requests `/status` from one VM.
async fn fetch_vm_state(address: &str) -> Result<Value, reqwest::Error> {
    let url = format!("http://{address}/status");
    let client = reqwest::Client::builder().timeout(VM_TIMEOUT).build()?;
    let response = client.get(url).send().await?.error_for_status()?;
    response.json().await
}
