//! The response to a caller, whole or as a stream.

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

/// Events that may wait for a slow caller.
const MAX_QUEUED_EVENTS: usize = 32;

/// A stream ended before it was complete; the connection to the caller has to break.
#[derive(Debug, Display, Error)]
#[display("the stream broke off; resume it after the last event")]
pub(crate) struct BrokenStream;

/// Events for a caller.
type EventSender = mpsc::Sender<Result<Bytes, BrokenStream>>;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum RelayBody {
    /// The whole body.
    Whole(Option<Bytes>),
    /// A stream of events.
    Events {
        /// The events.
        events: mpsc::Receiver<Result<Bytes, BrokenStream>>,
        /// Tells the task of the call, by its end, that the caller has left.
        _guard: CallerGuard,
    },
}

impl RelayBody {
    /// Makes a whole body.
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

/// Held for as long as the caller waits.
#[derive(Debug, Clone)]
pub(crate) struct CallerGuard {
    _sender: Arc<oneshot::Sender<Infallible>>,
}

/// Fails when the caller has left, and never resolves otherwise.
pub(crate) type CallerDisconnected = oneshot::Receiver<Infallible>;

/// Makes the guard of a caller.
pub(crate) fn caller_guard() -> (CallerGuard, CallerDisconnected) {
    let (sender, disconnected) = oneshot::channel();
    let guard = CallerGuard {
        _sender: Arc::new(sender),
    };
    (guard, disconnected)
}

/// What the front end has to send to a caller.
#[derive(Debug)]
pub(crate) enum CallerResponse {
    /// A whole response.
    Whole(Response<RelayBody>),
    /// The head of a stream, with its events.
    Stream(Box<Parts>, mpsc::Receiver<Result<Bytes, BrokenStream>>),
}

/// The response of a call, as its task gives it.
#[derive(Debug)]
pub(crate) struct Reply {
    response_sender: Option<oneshot::Sender<CallerResponse>>,
    events: Option<EventSender>,
}

impl Reply {
    /// Makes a reply and the end at which the front end waits for it.
    pub fn new() -> (Self, oneshot::Receiver<CallerResponse>) {
        let (response_sender, waiter) = oneshot::channel();
        let reply = Self {
            response_sender: Some(response_sender),
            events: None,
        };
        (reply, waiter)
    }

    /// Gives a whole response; one that comes after the start of a stream breaks it off.
    pub async fn send_whole(&mut self, response: Response<RelayBody>) {
        if let Some(events) = self.events.take() {
            // A caller that has left needs no sign.
            let _ = events.send(Err(BrokenStream)).await;
            return;
        }
        if let Some(response_sender) = self.response_sender.take() {
            let _ = response_sender.send(CallerResponse::Whole(response));
        }
    }

    /// Passes an event on, after the head if it is the first one.
    pub async fn send_event(&mut self, head: impl FnOnce() -> Parts, event: Bytes) {
        if let Some(response_sender) = self.response_sender.take() {
            let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
            self.events = Some(events);
            // A caller that has left is noticed by its guard.
            let _ = response_sender.send(CallerResponse::Stream(Box::new(head()), receiver));
        }
        if let Some(events) = &self.events {
            let _ = events.send(Ok(event)).await;
        }
    }

    /// Ends a stream that is complete.
    pub fn finish(&mut self) {
        self.events = None;
    }
}
