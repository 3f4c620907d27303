//! The side of a tunnel that connects to the upstream for another VM.
//!
//! It passes bytes on as they arrive and decides nothing about the requests: the VM that received
//! them checks keys, rates and budgets, and writes the charge records.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use knapweeddale_core::UpstreamName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::frame::{FrameKind, HEADER_BYTES, MAX_PAYLOAD_BYTES, decode_frame, encode_frame};
use super::stream::OpenReply;
use crate::control::{InputSender, Message};
use crate::front::ConnectionTracker;
use crate::metrics::Metrics;
use crate::upstream::{ConnectError, connect_stream};

/// Timeout for the request to open a tunnel, after its connection was accepted.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for connecting to the upstream; shorter than that of the VM that waits for the answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Limit for the open tunnels of a VM.
const MAX_TUNNELS: usize = 512;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// State of a VM's tunnels for other VMs.
#[derive(Debug, Clone)]
pub(crate) struct TunnelServer {
    pub inputs: InputSender,
    pub metrics: Arc<Metrics>,
    pub tracker: ConnectionTracker,
    pub open_tunnels: Arc<AtomicUsize>,
}

/// Accepts tunnels until the task is aborted.
pub(crate) async fn serve_tunnels(listener: TcpListener, server: TunnelServer) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(server.clone().serve(stream, peer));
            }
            Err(error) => {
                tracing::warn!("tunnel: cannot accept a connection ({error})");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// An open tunnel, for its log lines.
#[derive(Debug)]
struct Tunnel {
    peer: SocketAddr,
    upstream: UpstreamName,
}

impl TunnelServer {
    /// Serves one tunnel until one side closes it.
    async fn serve(self, stream: TcpStream, peer: SocketAddr) {
        let open_tunnels = 1 + self.open_tunnels.fetch_add(1, Ordering::Relaxed);
        let _open = self.tracker.open();
        let has_room = open_tunnels <= MAX_TUNNELS && !self.tracker.is_closing();
        if let Err(error) = self.run(stream, peer, has_room).await {
            tracing::debug!(%peer, "tunnel: ended ({error})");
        }
        self.open_tunnels.fetch_sub(1, Ordering::Relaxed);
    }

    /// Opens the tunnel that the other VM asks for and passes bytes on in both directions.
    async fn run(&self, mut stream: TcpStream, peer: SocketAddr, has_room: bool) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BytesMut::new();
        let upstream = timeout(OPEN_TIMEOUT, read_open(&mut stream, &mut input)).await??;
        let connected = match has_room {
            true => self.connect(peer.ip(), &upstream).await,
            false => Err(OpenReply::Rejected),
        };
        let reply = connected
            .as_ref()
            .map_or_else(|reply| *reply, |_| OpenReply::Connected);
        self.metrics.count_tunnel(reply);
        tracing::info!(%peer, %upstream, ?reply, "tunnel: opened for another VM");
        let mut answer = BytesMut::new();
        encode_frame(FrameKind::Opened, &[reply.code()], &mut answer);
        stream.write_all(&answer).await?;
        let Ok(connection) = connected else {
            return Ok(());
        };
        let tunnel = Tunnel { peer, upstream };
        let (from_vm, to_vm) = stream.into_split();
        let (from_upstream, to_upstream) = connection.into_split();
        // When one direction ends, both connections close.
        tokio::select! {
            ended = tunnel.pass_requests(from_vm, input, to_upstream) => ended,
            ended = pass_responses(from_upstream, to_vm) => ended,
        }
    }

    /// Connects to an upstream for a VM that is known.
    async fn connect(&self, ip: IpAddr, upstream: &UpstreamName) -> Result<TcpStream, OpenReply> {
        let (answer, address) = oneshot::channel();
        let message = Message::ResolveTunnel {
            ip,
            upstream: upstream.clone(),
            answer,
        };
        self.inputs
            .try_send(message)
            .map_err(|_| OpenReply::Rejected)?;
        let address = address.await.ok().flatten().ok_or(OpenReply::Rejected)?;
        self.metrics.count_connection(true);
        connect_stream(&address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| match error {
                ConnectError::Refused => OpenReply::Refused,
                ConnectError::TimedOut => OpenReply::TimedOut,
                _ => OpenReply::Rejected,
            })
    }
}

/// Reads the name of the upstream to which a tunnel is asked for.
async fn read_open(stream: &mut TcpStream, input: &mut BytesMut) -> io::Result<UpstreamName> {
    loop {
        if let Some((kind, name)) = decode_frame(input)? {
            let name = std::str::from_utf8(&name).ok();
            let name = name.filter(|name| kind == FrameKind::Open && !name.is_empty());
            return name
                .map(UpstreamName::from)
                .ok_or(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

impl Tunnel {
    /// Passes the bytes of requests on to the upstream until the other VM closes the tunnel.
    async fn pass_requests(
        &self,
        mut from_vm: OwnedReadHalf,
        mut input: BytesMut,
        mut to_upstream: OwnedWriteHalf,
    ) -> io::Result<()> {
        loop {
            while let Some((kind, payload)) = decode_frame(&mut input)? {
                match kind {
                    FrameKind::Data => to_upstream.write_all(&payload).await?,
                    FrameKind::Request => self.log_request(&payload),
                    _ => return Err(io::ErrorKind::InvalidData.into()),
                }
            }
            if from_vm.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Logs a request that is passed on.
    fn log_request(&self, id: &[u8]) {
        let request = String::from_utf8_lossy(id);
        let (peer, upstream) = (self.peer, &self.upstream);
        tracing::info!(%request, %peer, %upstream, "tunnel: passes a request of another VM on");
    }
}

/// Passes the bytes of responses on to the other VM until the upstream closes its connection.
///
/// A connection that breaks ends the tunnel without the frame that marks a clean end.
async fn pass_responses(
    mut from_upstream: OwnedReadHalf,
    mut to_vm: OwnedWriteHalf,
) -> io::Result<()> {
    let mut chunk = vec![0; MAX_PAYLOAD_BYTES];
    let mut output = BytesMut::with_capacity(HEADER_BYTES + MAX_PAYLOAD_BYTES);
    loop {
        let length = from_upstream.read(&mut chunk).await?;
        let kind = match length {
            0 => FrameKind::End,
            _ => FrameKind::Data,
        };
        output.clear();
        encode_frame(kind, &chunk[..length], &mut output);
        to_vm.write_all(&output).await?;
        if length == 0 {
            return Ok(());
        }
    }
}
