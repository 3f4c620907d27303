//! Decides which tunnels of other VMs are opened.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use knapweeddale_core::{Control, UpstreamName};

/// Returns the address of an upstream for a tunnel of another VM, if both are known.
pub(super) fn tunnel_target(
    control: &Control,
    ip: IpAddr,
    upstream: &UpstreamName,
) -> Option<Arc<str>> {
    let tables = control.tables();
    let mut peers = tables.peering.peers.iter();
    let is_known = peers.any(|(_, peer)| {
        let address = peer.address.parse::<SocketAddr>();
        address.is_ok_and(|address| address.ip() == ip)
    });
    let row = tables.upstreams.get(upstream).filter(|_| is_known)?;
    Some(Arc::clone(&row.address))
}
