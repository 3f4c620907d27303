//! Guards against a proxy VM whose bytes are taken for more than they are.

use knapweeddale_relay::{OpenError, TunnelStream};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The frame that answers that the proxy VM has connected.
const OPENED: &[u8] = &[2, 0, 0, 0, 1, 0];

/// Length of the frame that asks for a tunnel to the upstream `u`.
const OPEN_BYTES: usize = 6;

/// Opens a tunnel through a fake proxy VM that sends these bytes, then closes the connection.
async fn open(bytes: &'static [u8]) -> Result<TunnelStream, OpenError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut open = [0; OPEN_BYTES];
        stream.read_exact(&mut open).await.expect("an open frame");
        stream.write_all(bytes).await.expect("an open connection");
    });
    let stream = TcpStream::connect(address).await.expect("a listener");
    TunnelStream::open(stream, "u").await
}

/// Guards against a broken tunnel that looks like the end of a response.
#[rstest]
#[case::broken(&[2, 0, 0, 0, 1, 0, 4, 0, 0, 0, 2, b'h', b'i'], false)]
#[case::within_frame(&[2, 0, 0, 0, 1, 0, 4, 0, 0, 0, 2, b'h'], false)]
#[case::ended(&[2, 0, 0, 0, 1, 0, 4, 0, 0, 0, 2, b'h', b'i', 5, 0, 0, 0, 0], true)]
#[case::other_frame(&[2, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0], false)]
#[case::no_frame(&[2, 0, 0, 0, 1, 0, 9, 9, 9, 9, 9, 9], false)]
#[case::too_long(&[2, 0, 0, 0, 1, 0, 4, 0xff, 0xff, 0xff, 0xff], false)]
#[tokio::test]
async fn end_of_tunnel(#[case] bytes: &'static [u8], #[case] is_whole: bool) {
    let mut tunnel = open(bytes).await.expect("a tunnel");
    let mut text = String::new();
    let read = tunnel.read_to_string(&mut text).await;
    assert_eq!(read.is_ok(), is_whole, "{read:?} {text}");
}

/// Guards against a tunnel that counts as open although the proxy VM has no connection.
#[rstest]
#[case::refused(&[2, 0, 0, 0, 1, 1])]
#[case::timed_out(&[2, 0, 0, 0, 1, 2])]
#[case::rejected(&[2, 0, 0, 0, 1, 3])]
#[case::unknown(&[2, 0, 0, 0, 1, 9])]
#[case::empty(&[2, 0, 0, 0, 0])]
#[case::other_frame(&[4, 0, 0, 0, 1, 0])]
#[case::closed(&[])]
#[tokio::test]
async fn not_opened(#[case] bytes: &'static [u8]) {
    assert!(open(bytes).await.is_err());
}

/// Guards against late bytes of one request that are read as the response to the next.
#[rstest]
#[tokio::test]
async fn late_bytes() {
    let tunnel = open(&[2, 0, 0, 0, 1, 0, 4, 0, 0, 0, 1, b'x']).await;
    let tunnel = tunnel.expect("a tunnel");
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    assert!(!tunnel.is_idle_and_open());
}

/// Guards against a long request that loses bytes when it is split into frames.
#[rstest]
#[tokio::test]
async fn long_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let proxy = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut open = [0; OPEN_BYTES];
        stream.read_exact(&mut open).await.expect("an open frame");
        stream.write_all(OPENED).await.expect("an open connection");
        let mut data = Vec::new();
        stream.read_to_end(&mut data).await.expect("the frames");
        let mut payload = Vec::new();
        let mut rest = data.as_slice();
        while let [4, a, b, c, d, tail @ ..] = rest {
            let length = u32::from_be_bytes([*a, *b, *c, *d]) as usize;
            payload.extend_from_slice(&tail[..length]);
            rest = &tail[length..];
        }
        assert!(rest.is_empty());
        payload
    });
    let stream = TcpStream::connect(address).await.expect("a listener");
    let mut tunnel = TunnelStream::open(stream, "u").await.expect("a tunnel");
    let sent: Vec<u8> = (0..300_000_u32).map(|number| number as u8).collect();
    tunnel.write_all(&sent).await.expect("an open tunnel");
    tunnel.shutdown().await.expect("an open tunnel");
    drop(tunnel);
    assert_eq!(proxy.await.expect("the payload"), sent);
}
