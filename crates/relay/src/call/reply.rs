//! The response to a caller: one whole body or a stream of events.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::Response;
use http::response::Parts;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

/// Parts of a body queued for a slow caller before the call stops reading from its upstream.
const MAX_QUEUED_PARTS: usize = 32;

/// Longest part that is queued together with others; a longer one waits until the queue is empty,
/// which limits the bytes that a slow caller keeps in memory.
const MAX_SHARED_PART_BYTES: usize = 1_024;

/// A stream ended before it was complete; the connection to the caller is aborted.
#[derive(Debug, Display, Error)]
#[display("the stream ended before it was complete; resume it after the last event")]
pub(crate) struct BrokenStream;

/// The receiving end of the parts of a body, which are sent to the caller as they arrive.
#[derive(Debug)]
pub(crate) struct PartReceiver {
    parts: mpsc::Receiver<Bytes>,
    /// Whether the body was complete when its sender closed the queue. A queue that closes without
    /// it, also because the task of the call ended unexpectedly, is a broken stream.
    is_complete: Arc<AtomicBool>,
}

impl PartReceiver {
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        match ready!(self.parts.poll_recv(context)) {
            Some(part) => Poll::Ready(Some(Ok(part))),
            None if self.is_complete.load(Ordering::Acquire) => Poll::Ready(None),
            None => Poll::Ready(Some(Err(BrokenStream))),
        }
    }
}

/// The sending end of the parts of a body.
#[derive(Debug)]
struct PartSender {
    parts: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl PartSender {
    /// Creates the two ends of a queue.
    fn new() -> (Self, PartReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
        let is_complete = Arc::new(AtomicBool::new(false));
        let sender = Self {
            parts: sender,
            is_complete: Arc::clone(&is_complete),
        };
        let receiver = PartReceiver {
            parts: receiver,
            is_complete,
        };
        (sender, receiver)
    }

    /// Queues a part; waits while the queue is full.
    async fn send(&self, part: Bytes) {
        let slots = match part.len() {
            0..=MAX_SHARED_PART_BYTES => 1,
            _ => MAX_QUEUED_PARTS,
        };
        // Fails if the caller has disconnected, which its guard reports.
        if let Ok(mut permits) = self.parts.reserve_many(slots).await
            && let Some(permit) = permits.next()
        {
            permit.send(part);
        }
    }

    /// Closes the queue after a complete body.
    fn finish(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum RelayBody {
    /// The whole body, until it is sent; `None` if it is empty.
    Whole(Option<Bytes>),
    /// Parts that are sent as they arrive, such as the events of a stream.
    Parts {
        /// Parts that the task of the call queues.
        parts: PartReceiver,
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
            Self::Parts { parts, .. } => parts
                .poll_part(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Parts { .. } => SizeHint::default(),
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
    /// The head of a response whose body follows in parts.
    Stream(Box<Parts>, PartReceiver),
}

/// The sending side of a response, used by the task of the call.
#[derive(Debug)]
pub(crate) struct Reply {
    response_sender: Option<oneshot::Sender<CallerResponse>>,
    parts: Option<PartSender>,
}

impl Reply {
    /// Creates a reply and the receiver on which the front end waits for it.
    pub fn new() -> (Self, oneshot::Receiver<CallerResponse>) {
        let (response_sender, waiter) = oneshot::channel();
        let reply = Self {
            response_sender: Some(response_sender),
            parts: None,
        };
        (reply, waiter)
    }

    /// Sends a whole response; if a body has started, breaks it off instead.
    pub fn send_whole(&mut self, response: Response<RelayBody>) {
        if self.parts.take().is_some() {
            return;
        }
        if let Some(response_sender) = self.response_sender.take() {
            // Fails if the caller has disconnected.
            let _ = response_sender.send(CallerResponse::Whole(response));
        }
    }

    /// Sends a part of the body, and before the first one the head; waits for a slow caller.
    pub async fn send_part(&mut self, head: impl FnOnce() -> Parts, part: Bytes) {
        if let Some(response_sender) = self.response_sender.take() {
            let (sender, receiver) = PartSender::new();
            self.parts = Some(sender);
            // A disconnect of the caller is reported by its guard.
            let _ = response_sender.send(CallerResponse::Stream(Box::new(head()), receiver));
        }
        if let Some(parts) = &self.parts {
            parts.send(part).await;
        }
    }

    /// Ends a body that is complete.
    pub fn finish(&mut self) {
        if let Some(parts) = self.parts.take() {
            parts.finish();
        }
    }
}
