//! Startup requests to the VMs named in the settings.

use std::net::SocketAddr;
use std::time::Duration;

use knapweeddale_core::message::{ConfigMessage, MembershipMessage};
use knapweeddale_core::{Epoch, PeerMessage, Revision};
use knapweeddale_peer::{PeerOptions, Peers};

use crate::control::StatusReader;

/// Interval between two rounds of requests.
const INTERVAL: Duration = Duration::from_secs(1);

/// Requests the view and the configuration from the VMs named in the settings until both are
/// known. Normally the store provides them first; this covers a store that is unavailable.
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

/// Returns whether both the view and the configuration are known.
fn has_view_and_config(status: &StatusReader) -> bool {
    let status = status.borrow();
    status.view.epoch.0 > 0 && status.fleet.revision.0 > 0
}
