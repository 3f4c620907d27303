//! Idle timeout for server connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::counts::PeerCounts;

/// A TCP stream whose reads fail with `TimedOut` once no data arrives for `idle_timeout`.
#[derive(Debug)]
pub(crate) struct IdleStream {
    stream: TcpStream,
    idle_timeout: Duration,
    deadline: Pin<Box<Sleep>>,
    counts: Arc<PeerCounts>,
}

impl IdleStream {
    pub fn new(stream: TcpStream, idle_timeout: Duration, counts: Arc<PeerCounts>) -> Self {
        Self {
            stream,
            idle_timeout,
            deadline: Box::pin(tokio::time::sleep(idle_timeout)),
            counts,
        }
    }
}

impl AsyncRead for IdleStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            let deadline = Instant::now() + self.idle_timeout;
            self.deadline.as_mut().reset(deadline);
            return Poll::Ready(result);
        }
        ready!(self.deadline.as_mut().poll(context));
        self.counts.closed_idle(1);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for IdleStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
