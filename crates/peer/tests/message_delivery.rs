//! Guards against reordered messages, unbounded queues and peers that are not reconnected.

mod support;

use knapweeddale_core::config::{AccountConfig, FleetConfig, KeyConfig};
use knapweeddale_core::message::ConfigMessage;
use knapweeddale_core::{CallId, ContentDigest, Incarnation, PeerMessage, Secret256, VmName};
use knapweeddale_peer::Peers;
use support::{SECRET, message, options, peers, send, serve};

#[tokio::test]
async fn keeps_order() {
    let (server, mut received) = serve("127.0.0.1:0").await;
    let (mut peers, _) = peers(SECRET);
    for revision in 0..500 {
        send(&mut peers, server.address(), revision);
    }
    let mut messages = Vec::new();
    while messages.len() < 500 {
        let delivery = received.recv().await.expect("server runs");
        assert_eq!(
            (delivery.from.as_str(), delivery.incarnation.0),
            ("vm-1", 5)
        );
        messages.extend(delivery.messages);
    }
    assert_eq!(messages, (0..500).map(message).collect::<Vec<_>>());
}

#[tokio::test]
async fn digests_round_trip() {
    let (server, mut received) = serve("127.0.0.1:0").await;
    let (mut peers, _) = peers(SECRET);
    let key = KeyConfig {
        id: "desk".into(),
        sha256: Secret256([0xa5; 32]),
        withdrawn: true,
    };
    let account = AccountConfig::builder()
        .name("aller".into())
        .rate_mcalls_per_s(1_500)
        .burst_calls(2)
        .keys(vec![key])
        .build();
    let fleet = FleetConfig {
        accounts: vec![account],
        ..FleetConfig::default()
    };
    let sent: PeerMessage = ConfigMessage::ConfigIs(fleet.into()).into();
    let address = server.address().to_string();
    peers.send(&VmName::from("vm-2"), &address, sent.clone());
    let delivery = received.recv().await.expect("server runs");
    assert_eq!(delivery.messages, [sent]);
}

#[tokio::test]
async fn full_queue_drops() {
    let (mut peers, counts) = peers(SECRET);
    let address = "127.0.0.1:9".parse().expect("address");
    // The send task can't run between the sends, so the queue accepts exactly its 1,024 messages.
    for revision in 0..1_030 {
        send(&mut peers, address, revision);
    }
    assert_eq!(counts.snapshot().dropped_full, 6);
}

#[tokio::test]
async fn large_message_drops() {
    let (server, mut received) = serve("127.0.0.1:0").await;
    let (mut peers, counts) = peers(SECRET);
    let account = AccountConfig::builder()
        .name("a".repeat(300_000).into())
        .rate_mcalls_per_s(1)
        .burst_calls(1)
        .build();
    let fleet = FleetConfig {
        accounts: vec![account],
        ..FleetConfig::default()
    };
    let address = server.address().to_string();
    let large = ConfigMessage::ConfigIs(fleet.into()).into();
    peers.send(&VmName::from("vm-2"), &address, large);
    send(&mut peers, server.address(), 3);
    let delivery = received.recv().await.expect("server runs");
    assert_eq!(delivery.messages, [message(3)]);
    assert_eq!(counts.snapshot().dropped_large, 1);
}

#[tokio::test]
async fn reconnects_after_failure() {
    let (server, mut received) = serve("127.0.0.1:0").await;
    let address = server.address();
    let (mut peers, counts) = peers(SECRET);
    send(&mut peers, address, 1);
    received.recv().await.expect("server runs");
    drop(server);
    while counts.snapshot().dropped_failed == 0 {
        send(&mut peers, address, 2);
        tokio::task::yield_now().await;
    }
    let (_server, mut received) = serve(&address.to_string()).await;
    send(&mut peers, address, 3);
    loop {
        let delivery = received.recv().await.expect("server runs");
        if delivery.messages.contains(&message(3)) {
            return;
        }
    }
}

#[tokio::test]
async fn response_is_fetched() {
    let (server, _received) = serve("127.0.0.1:0").await;
    let address = server.address().to_string();
    for (seq, body) in [(7, Some(vec![0, 159, 255])), (8, None)] {
        let incarnation = Incarnation(1);
        let call = CallId { incarnation, seq };
        let digest = ContentDigest::default();
        let response = Peers::fetch_response(&options(SECRET), &address, call, digest).await;
        assert_eq!(response.expect("peer responds").map(|r| r.body), body);
    }
}
