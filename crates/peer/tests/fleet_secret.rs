//! Guards against accepting requests with a wrong, shortened or empty secret.

mod support;

use knapweeddale_core::{CallId, ContentDigest, Incarnation};
use knapweeddale_peer::Peers;
use rstest::rstest;
use support::{SECRET, message, options, peers, send, serve};

#[rstest]
#[case::wrong("another secret of some other fleet")]
#[case::shorter("a secret")]
#[case::empty("")]
#[tokio::test]
async fn delivery_refused(#[case] secret: &str) {
    let (server, mut received) = serve("127.0.0.1:0").await;
    let (mut untrusted, counts) = peers(secret);
    while counts.snapshot().dropped_failed == 0 {
        send(&mut untrusted, server.address(), 1);
        tokio::task::yield_now().await;
    }
    let (mut trusted, _) = peers(SECRET);
    send(&mut trusted, server.address(), 2);
    let delivery = received.recv().await.expect("server runs");
    assert_eq!(delivery.messages, [message(2)]);
    assert!(server.counts().snapshot().refused_secret > 0);
}

#[tokio::test]
async fn fetch_refused() {
    let (server, _received) = serve("127.0.0.1:0").await;
    let address = server.address().to_string();
    let incarnation = Incarnation(1);
    let call = CallId {
        incarnation,
        seq: 7,
    };
    let options = options("another secret of some other fleet");
    let digest = ContentDigest::default();
    let response = Peers::fetch_response(&options, &address, call, digest).await;
    assert!(response.is_err());
}
