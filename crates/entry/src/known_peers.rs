//! What a VM asks other VMs at its start.

use std::net::SocketAddr;
use std::time::Duration;

use knapweeddale_core::message::{ConfigMessage, MembershipMessage};
use knapweeddale_core::{Epoch, PeerMessage, Revision};
use knapweeddale_peer::{PeerOptions, Peers};

use crate::control::StatusReader;

/// Time between two rounds of requests.
const INTERVAL: Duration = Duration::from_secs(1);

/// Asks the VMs named in the settings for view and configuration until both
/// are known. The store answers first unless it is down.
pub(crate) async fn query_known_peers(
    options: PeerOptions,
    peers: Vec<SocketAddr>,
    status: StatusReader,
) {
    let requests: [PeerMessage; 2] = [
        MembershipMessage::ViewRequest { known: Epoch(0) }.into(),
        ConfigMessage::ConfigRequest {
            in_force: Revision(0),
        }
        .into(),
    ];
    loop {
        tokio::time::sleep(INTERVAL).await;
        if has_view_and_config(&status) {
            return;
        }
        for peer in &peers {
            let address = peer.to_string();
            let delivered = Peers::deliver_once(&options, &address, &requests).await;
            if let Err(error) = delivered {
                tracing::debug!("membership: {error}");
            }
        }
    }
}

/// Returns whether view and configuration are known.
fn has_view_and_config(status: &StatusReader) -> bool {
    let status = status.borrow();
    status.view.epoch.0 > 0 && status.fleet.revision.0 > 0
}
