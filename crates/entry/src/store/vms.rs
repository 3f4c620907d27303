//! Polling of the platform's list of VMs.

use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::input::ListedVm;
use knapweeddale_core::{Input, VmName};
use knapweeddale_store::ObjectApi;

use crate::control::{InputSender, StatusReader};

/// Polling interval of a writer of the view, which acts on the list.
const WRITER_INTERVAL: Duration = Duration::from_secs(2);

/// Polling interval of other VMs per member of the view, so that the fleet makes four reads per
/// second at any size.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(250);

/// Polls the list of VMs until the process ends.
pub(crate) async fn poll_vms<A: ObjectApi>(
    api: Arc<A>,
    vm: VmName,
    status: StatusReader,
    inputs: InputSender,
) {
    loop {
        match api.list_vms().await {
            Ok(entries) => {
                let vms = entries.into_iter().map(|entry| ListedVm {
                    vm: VmName::from(entry.vm),
                    address: entry.address,
                    leaving: entry.leaving,
                });
                inputs.send_input(Input::VmList(vms.collect())).await;
            }
            Err(error) => tracing::debug!("membership: cannot read the list of VMs, {error}"),
        }
        let wait = {
            let status = status.borrow();
            let members = u32::try_from(status.view.members.len()).unwrap_or(u32::MAX);
            if status.view.is_writer(&vm) {
                WRITER_INTERVAL
            } else {
                WRITER_INTERVAL.max(INTERVAL_PER_MEMBER.saturating_mul(members))
            }
        };
        tokio::time::sleep(wait).await;
    }
}
