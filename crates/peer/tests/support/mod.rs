//! A peer server that forwards received messages to the test, and helpers to send messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::message::ConfigMessage;
use knapweeddale_core::{CallId, ContentDigest, Incarnation, PeerMessage, Revision, VmName};
use knapweeddale_peer::{
    CachedResponse, Delivery, PeerCounts, PeerHandler, PeerOptions, PeerServer, Peers,
};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

pub const SECRET: &str = "a secret that all VMs of the fleet share";

#[derive(Debug)]
pub struct ChannelHandler(mpsc::UnboundedSender<Delivery>);

impl PeerHandler for ChannelHandler {
    fn handle_delivery(&self, delivery: Delivery) {
        let _ = self.0.send(delivery);
    }

    fn fetch_response(&self, call: CallId, _: ContentDigest) -> Option<CachedResponse> {
        (call.seq == 7).then(|| CachedResponse {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![0, 159, 255],
        })
    }
}

pub fn options(secret: &str) -> PeerOptions {
    PeerOptions::builder()
        .vm(VmName::from("vm-1"))
        .incarnation(Incarnation(5))
        .address("127.0.0.1:9")
        .secret(secret)
        .backoff_min(Duration::from_millis(1))
        .build()
}

pub async fn serve(address: &str) -> (PeerServer, mpsc::UnboundedReceiver<Delivery>) {
    let listener = TcpListener::bind(address).await.expect("port is free");
    let (sender, receiver) = mpsc::unbounded_channel();
    let handler = Arc::new(ChannelHandler(sender));
    let counts = Arc::new(PeerCounts::default());
    let server = PeerServer::start(listener, options(SECRET), handler, counts).expect("starts");
    (server, receiver)
}

pub fn peers(secret: &str) -> (Peers, Arc<PeerCounts>) {
    let counts = Arc::new(PeerCounts::default());
    let peers = Peers::new(options(secret), Arc::clone(&counts), Handle::current());
    (peers, counts)
}

pub fn message(revision: u64) -> PeerMessage {
    let in_force = Revision(revision);
    ConfigMessage::ConfigRequest { in_force }.into()
}

pub fn send(peers: &mut Peers, address: SocketAddr, revision: u64) {
    let to = VmName::from("vm-2");
    peers.send(&to, &address.to_string(), message(revision));
}
