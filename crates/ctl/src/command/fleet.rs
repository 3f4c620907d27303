//! Commands that show what is published and how the VMs are.

use std::time::Duration;

use knapweeddale_store::{HttpObjectApi, ObjectApi};
use serde_json::Value;

use super::publish::read_published;
use crate::{CtlError, Report};

/// Longest wait for a VM's state.
const VM_TIMEOUT: Duration = Duration::from_secs(2);

/// Shows what is published.
pub(super) async fn show(store: &str) -> Result<Report, CtlError> {
    let api = HttpObjectApi::builder().base_url(store).build()?;
    let (revision, document) = read_published(&api).await?;
    Ok(Report::Current { revision, document })
}

/// Shows the state of the VMs.
pub(super) async fn status(store: &str, vms: Vec<String>) -> Result<Report, CtlError> {
    let api = HttpObjectApi::builder().base_url(store).build()?;
    let (revision, _) = read_published(&api).await?;
    let addresses = if vms.is_empty() {
        let entries = api.vms().await?;
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

/// Asks a VM for its state.
async fn fetch_vm_state(address: &str) -> Result<Value, reqwest::Error> {
    let url = format!("http://{address}/status");
    let client = reqwest::Client::builder().timeout(VM_TIMEOUT).build()?;
    let response = client.get(url).send().await?.error_for_status()?;
    response.json().await
}
