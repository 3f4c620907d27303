//! The response to a caller: one whole body or a stream of events.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::Response;
use http::response::Parts;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

/// Events queued for a slow caller before the call stops reading from its upstream.
const MAX_QUEUED_EVENTS: usize = 32;

/// A stream ended before it was complete; the connection to the caller is aborted.
#[derive(Debug, Display, Error)]
#[display("the stream ended before it was complete; resume it after the last event")]
pub(crate) struct BrokenStream;

/// Sends events, or an abort of the stream, to the body of a response.
type EventSender = mpsc::Sender<Result<Bytes, BrokenStream>>;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum RelayBody {
    /// The whole body, until it is sent; `None` if it is empty.
    Whole(Option<Bytes>),
    /// A stream of events, sent as they arrive.
    Events {
        /// Events that the task of the call queues.
        events: mpsc::Receiver<Result<Bytes, BrokenStream>>,
        /// Tells the task of the call, when dropped, that the caller disconnected.
        _guard: CallerGuard,
    },
}

impl RelayBody {
    /// Creates a body from all its bytes.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events { events, .. } => events
                .poll_recv(context)
                .map(|event| event.map(|event| event.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events { .. } => SizeHint::default(),
        }
    }
}

/// Held as long as the caller is connected; dropping the last clone signals the disconnect.
#[derive(Debug, Clone)]
pub(crate) struct CallerGuard {
    _sender: Arc<oneshot::Sender<Infallible>>,
}

/// Resolves with an error when the caller disconnects, and never with a value.
pub(crate) type CallerDisconnected = oneshot::Receiver<Infallible>;

/// Creates the guard of a caller and the receiver that reports its disconnect.
pub(crate) fn caller_guard() -> (CallerGuard, CallerDisconnected) {
    let (sender, disconnected) = oneshot::channel();
    let guard = CallerGuard {
        _sender: Arc::new(sender),
    };
    (guard, disconnected)
}

/// The response that the front end sends to a caller.
#[derive(Debug)]
pub(crate) enum CallerResponse {
    /// A response whose body is complete.
    Whole(Response<RelayBody>),
    /// The head of a stream and the receiver of its events.
    Stream(Box<Parts>, mpsc::Receiver<Result<Bytes, BrokenStream>>),
}

/// The sending side of a response, used by the task of the call.
#[derive(Debug)]
pub(crate) struct Reply {
    response_sender: Option<oneshot::Sender<CallerResponse>>,
    events: Option<EventSender>,
}

impl Reply {
    /// Creates a reply and the receiver on which the front end waits for it.
    pub fn new() -> (Self, oneshot::Receiver<CallerResponse>) {
        let (response_sender, waiter) = oneshot::channel();
        let reply = Self {
            response_sender: Some(response_sender),
            events: None,
        };
        (reply, waiter)
    }

    /// Sends a whole response; if a stream has started, aborts the stream instead.
    pub async fn send_whole(&mut self, response: Response<RelayBody>) {
        if let Some(events) = self.events.take() {
            // Fails if the caller has disconnected; there is nothing to abort then.
            let _ = events.send(Err(BrokenStream)).await;
            return;
        }
        if let Some(response_sender) = self.response_sender.take() {
            let _ = response_sender.send(CallerResponse::Whole(response));
        }
    }

    /// Sends an event, and before the first one the head.
    pub async fn send_event(&mut self, head: impl FnOnce() -> Parts, event: Bytes) {
        if let Some(response_sender) = self.response_sender.take() {
            let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
            self.events = Some(events);
            // A disconnect of the caller is reported by its guard.
            let _ = response_sender.send(CallerResponse::Stream(Box::new(head()), receiver));
        }
        if let Some(events) = &self.events {
            let _ = events.send(Ok(event)).await;
        }
    }

    /// Closes a stream that is complete.
    pub fn finish(&mut self) {
        self.events = None;
    }
}
