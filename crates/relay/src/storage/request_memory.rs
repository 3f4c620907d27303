//! Limits the memory of long requests to a storage VM, and of its long answers.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use http::{HeaderMap, Request, header};
use knapweeddale_runtime::{MemoryQueue, MemoryReservation, PendingReservation};
use tower::{Layer, Service};

/// Longest request for which the limit for the number of requests makes up.
const ORDINARY_REQUEST_BYTES: usize = 64 * 1024;

/// Memory of a long request for each byte of its text: the text itself, and the contents in it as
/// they were received, as they are kept and as they are encoded for the disk.
const REQUEST_FACTOR: usize = 3;

/// Memory of a long answer for each byte of its content: the content, and twice its Base64 text.
const ANSWER_FACTOR: usize = 4;

/// Memory for one long answer, which is given back when the answer has been encoded.
#[derive(Debug, Clone)]
pub(crate) struct AnswerMemory {
    queue: MemoryQueue,
    reservation: Arc<Mutex<Option<MemoryReservation>>>,
}

impl AnswerMemory {
    /// Waits for the memory of an answer with a content of this size, if that is a long one.
    pub async fn reserve(&self, content_bytes: usize) {
        if content_bytes <= ORDINARY_REQUEST_BYTES {
            return;
        }
        let reservation = self.queue.reserve(content_bytes * ANSWER_FACTOR).await;
        let mut held = self
            .reservation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *held = Some(reservation);
    }
}

/// Makes the long requests to an RPC server, and its long answers, wait for memory.
#[derive(Debug, Clone)]
pub(super) struct RequestMemoryLayer {
    /// Memory for long requests.
    pub requests: MemoryQueue,
    /// Memory for long answers.
    pub answers: MemoryQueue,
}

impl<S> Layer<S> for RequestMemoryLayer {
    type Service = RequestMemory<S>;

    fn layer(&self, service: S) -> RequestMemory<S> {
        RequestMemory {
            service,
            layer: self.clone(),
        }
    }
}

/// A service whose long requests and answers wait for memory.
#[derive(Debug, Clone)]
pub(super) struct RequestMemory<S> {
    service: S,
    layer: RequestMemoryLayer,
}

impl<S, B> Service<Request<B>> for RequestMemory<S>
where
    S: Service<Request<B>> + Clone,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = LimitedRequest<S, B>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.service.poll_ready(context)
    }

    fn call(&mut self, mut request: Request<B>) -> LimitedRequest<S, B> {
        request.extensions_mut().insert(AnswerMemory {
            queue: self.layer.answers.clone(),
            reservation: Arc::default(),
        });
        let bytes = stated_bytes(request.headers());
        if bytes <= ORDINARY_REQUEST_BYTES {
            return LimitedRequest::Running {
                response: Box::pin(self.service.call(request)),
                _memory: None,
            };
        }
        // The clone has not been polled to readiness; this one has.
        let service = self.service.clone();
        let service = std::mem::replace(&mut self.service, service);
        LimitedRequest::Waiting {
            memory: self.layer.requests.pending(bytes * REQUEST_FACTOR),
            call: Some(Box::new((service, request))),
        }
    }
}

/// Returns the length that a request states; the longest one if it states none.
fn stated_bytes(headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    length.unwrap_or(usize::MAX / REQUEST_FACTOR)
}

/// A request that waits for memory or is being answered.
pub(super) enum LimitedRequest<S: Service<Request<B>>, B> {
    /// It waits for memory; its body is not read.
    Waiting {
        /// The memory.
        memory: PendingReservation,
        /// What to do then; `None` once it has begun.
        call: Option<Box<(S, Request<B>)>>,
    },
    /// It is being answered.
    Running {
        /// The response.
        response: Pin<Box<S::Future>>,
        /// The memory for the request.
        _memory: Option<MemoryReservation>,
    },
}

impl<S: Service<Request<B>>, B> Unpin for LimitedRequest<S, B> {}

impl<S: Service<Request<B>>, B> Future for LimitedRequest<S, B> {
    type Output = Result<S::Response, S::Error>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        if let Self::Waiting { memory, call } = &mut *self {
            let memory = ready!(memory.poll(context));
            let Some(call) = call.take() else {
                return Poll::Pending;
            };
            let (mut service, request) = *call;
            *self = Self::Running {
                response: Box::pin(service.call(request)),
                _memory: Some(memory),
            };
        }
        match &mut *self {
            Self::Running { response, .. } => response.as_mut().poll(context),
            Self::Waiting { .. } => Poll::Pending,
        }
    }
}
