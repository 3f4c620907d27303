//! The queue into the control thread.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::output::Answered;
use knapweeddale_core::{AttemptId, CallId, Dispatch, Input, Refusal};
use knapweeddale_peer::Delivery;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// An input of the core.
    Input(Input),
    /// An input that opens a call, with the receiver of its outputs.
    Open {
        /// The call or request.
        call: CallId,
        /// The input.
        input: Input,
        /// Where the outputs for the call go.
        outputs: mpsc::Sender<CallOutput>,
    },
    /// Messages of another VM.
    Delivery(Delivery),
    /// The process ends.
    Stop,
}

/// An output of the core for one call.
#[derive(Debug)]
pub(crate) enum CallOutput {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel(AttemptId),
    /// The call ran.
    Answered(Box<Answered>),
    /// The call is refused.
    Refused(Refusal),
    /// Answer with a kept response.
    Replay {
        /// The peer that keeps it; `None` if it is this VM.
        peer: Option<String>,
        /// The call that ran.
        original: CallId,
        /// The state that the caller carries to the next turn.
        continuation: Box<Continuation>,
        /// The permit for a next turn that may not be repeated.
        permit: Option<Box<Permit>>,
    },
    /// A permit that was asked for.
    Permit(Box<Permit>),
    /// The program has ended.
    Ended,
}

/// A message with its place in the queue.
#[derive(Debug)]
pub(crate) struct Envelope {
    pub message: Message,
    _room: OwnedSemaphorePermit,
}

/// The traffic side of the queue.
///
/// The semaphore has as many permits as the channel has places, and a permit
/// travels with each message. So a send never blocks a traffic thread, calls
/// are refused at once when the queue is full, and events of running attempts
/// wait for room without polling.
#[derive(Debug, Clone)]
pub(crate) struct InputSender {
    channel: SyncSender<Envelope>,
    room: Arc<Semaphore>,
}

/// The control thread's side of the queue.
pub(crate) type InputQueue = Receiver<Envelope>;

/// Makes a queue with this many places.
pub(crate) fn input_queue(len: usize) -> (InputSender, InputQueue) {
    let (channel, queue) = sync_channel(len);
    let room = Arc::new(Semaphore::new(len));
    (InputSender { channel, room }, queue)
}

/// The queue is full, or the control thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueueFull;

impl InputSender {
    /// Queues a message if there is room.
    pub fn try_send(&self, message: Message) -> Result<(), QueueFull> {
        let room = Arc::clone(&self.room).try_acquire_owned();
        let room = room.map_err(|_| QueueFull)?;
        self.push(message, room)
    }

    /// Queues a message, waiting for room.
    pub async fn send(&self, message: Message) -> Result<(), QueueFull> {
        let room = Arc::clone(&self.room).acquire_owned().await;
        let room = room.map_err(|_| QueueFull)?;
        self.push(message, room)
    }

    /// Queues an input, waiting for room.
    pub async fn input(&self, input: Input) {
        // Fails only when the control thread has ended, and then nobody needs the input.
        let _ = self.send(Message::Input(input)).await;
    }

    fn push(&self, message: Message, room: OwnedSemaphorePermit) -> Result<(), QueueFull> {
        let envelope = Envelope {
            message,
            _room: room,
        };
        self.channel.try_send(envelope).map_err(|_| QueueFull)
    }
}
