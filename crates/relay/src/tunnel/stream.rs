//! The side of a tunnel that sends requests through another VM.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use super::frame::{FrameKind, MAX_PAYLOAD_BYTES, decode_frame, encode_frame};

/// What a proxy VM answers to a request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenReply {
    /// It has connected to the upstream.
    Connected,
    /// The upstream refused the connection.
    Refused,
    /// The upstream did not accept the connection in time.
    TimedOut,
    /// It does not know the upstream or the VM that asks, or has no room for another tunnel.
    Rejected,
}

impl OpenReply {
    /// Returns the byte that stands for the reply.
    pub(super) fn code(self) -> u8 {
        match self {
            Self::Connected => 0,
            Self::Refused => 1,
            Self::TimedOut => 2,
            Self::Rejected => 3,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        let replies = [
            Self::Connected,
            Self::Refused,
            Self::TimedOut,
            Self::Rejected,
        ];
        replies.into_iter().find(|reply| reply.code() == code)
    }
}

/// Why a tunnel cannot be opened.
#[derive(Debug, Display, Error, From)]
pub enum OpenError {
    /// The connection to the proxy VM failed.
    #[display("the proxy VM cannot be reached ({source})")]
    Io {
        /// The I/O error.
        source: io::Error,
    },
    /// The proxy VM has no connection to the upstream.
    #[display("the proxy VM answered {reply:?}")]
    #[from(skip)]
    NotConnected {
        /// The answer of the proxy VM.
        reply: OpenReply,
    },
}

/// A connection to an upstream through another VM.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    /// Bytes that were received and not decoded yet.
    input: BytesMut,
    /// Bytes of the upstream that were decoded and not read yet.
    payload: Bytes,
    /// Frames that were not sent yet.
    output: BytesMut,
    /// Whether the upstream has closed the connection.
    has_ended: bool,
}

/// # Opening
impl TunnelStream {
    /// Opens a tunnel to an upstream over a connection to the proxy VM.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the proxy VM has no connection to the upstream.
    pub async fn open(stream: TcpStream, upstream: &str) -> Result<Self, OpenError> {
        let mut tunnel = Self {
            stream,
            input: BytesMut::new(),
            payload: Bytes::new(),
            output: BytesMut::new(),
            has_ended: false,
        };
        encode_frame(FrameKind::Open, upstream.as_bytes(), &mut tunnel.output);
        tunnel.flush().await?;
        let reply = loop {
            match decode_frame(&mut tunnel.input)? {
                Some((FrameKind::Opened, code)) => break code.first().copied(),
                Some(_) => break None,
                None => {}
            }
            if tunnel.stream.read_buf(&mut tunnel.input).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        };
        match reply.and_then(OpenReply::from_code) {
            Some(OpenReply::Connected) => Ok(tunnel),
            Some(reply) => Err(OpenError::NotConnected { reply }),
            None => Err(io::Error::from(io::ErrorKind::InvalidData).into()),
        }
    }

    /// Tells the proxy VM which request follows, with the next bytes that are written.
    pub fn announce_request(&mut self, request_id: &str) {
        let id = request_id.as_bytes();
        let id = &id[..id.len().min(MAX_PAYLOAD_BYTES)];
        encode_frame(FrameKind::Request, id, &mut self.output);
    }

    /// Returns whether the tunnel is open and nothing was received.
    pub fn is_idle_and_open(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        let is_empty = self.input.is_empty() && self.payload.is_empty() && !self.has_ended;
        is_empty && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends the frames that were not sent yet.
    fn poll_output(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.output.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &self.output))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.output.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    /// Reads bytes of the upstream. A tunnel that breaks is an error, not the end of the bytes.
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if !this.payload.is_empty() {
                let length = this.payload.len().min(buffer.remaining());
                buffer.put_slice(&this.payload.split_to(length));
                return Poll::Ready(Ok(()));
            }
            if this.has_ended {
                return Poll::Ready(Ok(()));
            }
            match decode_frame(&mut this.input)? {
                Some((FrameKind::Data, payload)) => this.payload = payload,
                Some((FrameKind::End, _)) => this.has_ended = true,
                Some(_) => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
                None => {
                    let mut chunk = [0; MAX_PAYLOAD_BYTES];
                    let mut received = ReadBuf::new(&mut chunk);
                    ready!(Pin::new(&mut this.stream).poll_read(context, &mut received))?;
                    if received.filled().is_empty() {
                        return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                    }
                    this.input.extend_from_slice(received.filled());
                }
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        // What is queued is limited to one frame and the ID of a request.
        if this.output.len() > MAX_PAYLOAD_BYTES {
            ready!(this.poll_output(context))?;
        }
        let length = bytes.len().min(MAX_PAYLOAD_BYTES);
        encode_frame(FrameKind::Data, &bytes[..length], &mut this.output);
        match this.poll_output(context) {
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(length)),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().poll_output(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_output(context))?;
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}
