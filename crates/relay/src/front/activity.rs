//! What happens on a caller's connection, from which its time limits are decided.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::limits::{CloseReason, ConnectionLimits};
use crate::call::{BrokenStream, RelayBody};

/// Interval at which the limits of a connection with an open request are looked at.
const OPEN_REQUEST_INTERVAL: Duration = Duration::from_secs(30);

/// The state of a caller's connection.
#[derive(Debug, Clone)]
pub(super) struct Activity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Requests whose response has not been handed to the connection as a whole.
    open_requests: usize,
    /// When the connection was opened, or its last response ended.
    idle_since: Instant,
    /// Longest idle time that was in force since then: the caller may know any of them.
    longest_idle: Duration,
    /// When the head of the next request began to arrive.
    head_since: Option<Instant>,
    /// Since when the caller has accepted no byte of what is to be written.
    blocked_since: Option<Instant>,
    /// Woken when the caller accepts bytes again.
    unblocked_waker: Option<Waker>,
}

impl Activity {
    /// Starts with a connection that was opened just now.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            open_requests: 0,
            idle_since: Instant::now(),
            longest_idle: Duration::ZERO,
            head_since: None,
            blocked_since: None,
            unblocked_waker: None,
        })))
    }

    /// Counts a request until the returned guard is dropped.
    pub fn open_request(&self) -> OpenRequest {
        let mut state = self.state();
        state.open_requests += 1;
        state.head_since = None;
        OpenRequest(self.clone())
    }

    /// Returns whether a request is waiting for the end of its response.
    pub fn has_open_request(&self) -> bool {
        self.state().open_requests > 0
    }

    /// Returns when the connection is to be closed and why, unless something happens on it.
    ///
    /// A connection with an open request has no limit as long as its caller reads: the call has
    /// its own deadline.
    fn close_at(&self, limits: &ConnectionLimits) -> Option<(Instant, CloseReason)> {
        let mut state = self.state();
        if let Some(since) = state.blocked_since {
            return Some((since + limits.write_stall, CloseReason::Stalled));
        }
        if state.open_requests > 0 {
            return None;
        }
        if let Some(since) = state.head_since {
            return Some((since + limits.head, CloseReason::SlowHead));
        }
        let idle = match limits.is_closing {
            true => limits.idle,
            false => limits.idle.max(state.longest_idle),
        };
        state.longest_idle = idle;
        Some((state.idle_since + idle, CloseReason::Idle))
    }

    /// Resolves when the connection is to be closed; `timer` wakes the task for that.
    ///
    /// The timer is set again only when it has fired or is too late, not for each request.
    pub fn poll_expired(
        &self,
        limits: &ConnectionLimits,
        mut timer: Pin<&mut Sleep>,
        context: &mut Context<'_>,
    ) -> Poll<CloseReason> {
        loop {
            let close_at = self.close_at(limits);
            if let Some((at, _)) = close_at
                && at < timer.deadline()
            {
                timer.as_mut().reset(at);
            }
            ready!(timer.as_mut().poll(context));
            let now = Instant::now();
            match close_at {
                Some((at, reason)) if at <= now => return Poll::Ready(reason),
                Some((at, _)) => timer.as_mut().reset(at),
                None => timer.as_mut().reset(now + OPEN_REQUEST_INTERVAL),
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_read(&self) {
        let mut state = self.state();
        if state.open_requests == 0 && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
        }
    }

    fn record_write(&self, is_blocked: bool) {
        let mut state = self.state();
        if is_blocked {
            state.blocked_since.get_or_insert_with(Instant::now);
            return;
        }
        state.blocked_since = None;
        if let Some(waker) = state.unblocked_waker.take() {
            waker.wake();
        }
    }

    /// Waits until the caller accepts bytes.
    fn poll_unblocked(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.state();
        if state.blocked_since.is_none() {
            return Poll::Ready(());
        }
        state.unblocked_waker = Some(context.waker().clone());
        Poll::Pending
    }
}

/// A request whose response is not complete.
#[derive(Debug)]
pub(super) struct OpenRequest(Activity);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.open_requests -= 1;
        state.idle_since = Instant::now();
        state.longest_idle = Duration::ZERO;
    }
}

/// The body of a response, which holds its request open until it is sent.
#[derive(Debug)]
pub(super) struct ResponseBody {
    body: RelayBody,
    request: OpenRequest,
    /// Whether the body has failed, which the connection is told once it has written all before.
    is_broken: bool,
}

impl ResponseBody {
    /// Creates the body of the response to a request.
    pub fn new(body: RelayBody, request: OpenRequest) -> Self {
        Self {
            body,
            request,
            is_broken: false,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let this = self.get_mut();
        if !this.is_broken {
            let frame = ready!(Pin::new(&mut this.body).poll_frame(context));
            if !matches!(frame, Some(Err(BrokenStream))) {
                return Poll::Ready(frame);
            }
            // When a body fails, the HTTP library discards the frames that it has not written. While
            // the body is pending, it writes them; they are charged, and the caller resumes after
            // the last one.
            this.is_broken = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        ready!(this.request.0.poll_unblocked(context));
        Poll::Ready(Some(Err(BrokenStream)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's connection whose reads and writes are recorded.
#[derive(Debug)]
pub(super) struct RecordedStream {
    pub stream: TcpStream,
    pub activity: Activity,
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        if polled.is_ready() && buffer.filled().len() > filled {
            this.activity.record_read();
        }
        polled
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.activity.record_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(context, bytes);
        this.activity.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
