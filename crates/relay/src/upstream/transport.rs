//! The byte stream under a connection to an upstream: direct, or through another VM.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::tunnel::TunnelStream;

/// The byte stream under a connection to an upstream.
#[derive(Debug)]
pub(crate) enum Transport {
    /// A connection of this VM.
    Direct(TcpStream),
    /// A connection of another VM, which passes the bytes on.
    Tunnel(TunnelStream),
}

impl Transport {
    /// Returns whether the stream is open and has received nothing.
    pub fn is_idle_and_open(&self) -> bool {
        match self {
            Self::Direct(stream) => {
                let mut byte = [0; 1];
                let read = stream.try_read(&mut byte);
                read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
            }
            Self::Tunnel(tunnel) => tunnel.is_idle_and_open(),
        }
    }

    /// Tells the proxy VM, if there is one, which request follows.
    pub fn announce_request(&mut self, request_id: &str) {
        if let Self::Tunnel(tunnel) = self {
            tunnel.announce_request(request_id);
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tunnel(tunnel) => Pin::new(tunnel).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Tunnel(tunnel) => Pin::new(tunnel).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Tunnel(tunnel) => Pin::new(tunnel).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Tunnel(tunnel) => Pin::new(tunnel).poll_shutdown(context),
        }
    }
}
