//! The input queue of the control thread.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use derive_more::{Display, Error};
use knapweeddale_core::Input;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A message with the permit for its place in the queue.
#[derive(Debug)]
pub struct Envelope<M> {
    pub(crate) message: M,
    _permit: OwnedSemaphorePermit,
}

/// The sending side of the input queue.
///
/// The semaphore has as many permits as the channel has places, and each message holds a permit
/// until it has been received. So a send never blocks a traffic thread, calls are refused at once
/// when the queue is full, and events of running attempts wait for a permit without polling.
#[derive(Debug)]
pub struct InputSender<M> {
    channel: SyncSender<Envelope<M>>,
    permits: Arc<Semaphore>,
}

/// The receiving side of the input queue.
pub type InputQueue<M> = Receiver<Envelope<M>>;

impl<M> Clone for InputSender<M> {
    fn clone(&self) -> Self {
        Self {
            channel: self.channel.clone(),
            permits: Arc::clone(&self.permits),
        }
    }
}

/// Creates an input queue with a capacity of `len` messages.
pub fn input_queue<M>(len: usize) -> (InputSender<M>, InputQueue<M>) {
    let (channel, queue) = sync_channel(len);
    let permits = Arc::new(Semaphore::new(len));
    (InputSender { channel, permits }, queue)
}

/// The queue is full, or the control thread has ended.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("the control thread has no room for another input; try again later")]
pub struct QueueFull;

impl<M: From<Input>> InputSender<M> {
    /// Enqueues a message without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the control thread has ended.
    pub fn try_send(&self, message: M) -> Result<(), QueueFull> {
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        let permit = permit.map_err(|_| QueueFull)?;
        self.enqueue(message, permit)
    }

    /// Enqueues a message, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has ended.
    pub async fn send(&self, message: M) -> Result<(), QueueFull> {
        let permit = Arc::clone(&self.permits).acquire_owned().await;
        let permit = permit.map_err(|_| QueueFull)?;
        self.enqueue(message, permit)
    }

    /// Enqueues an input, waiting while the queue is full.
    pub async fn send_input(&self, input: Input) {
        // Fails only if the control thread has ended, and then the input is not needed.
        let _ = self.send(input.into()).await;
    }

    fn enqueue(&self, message: M, permit: OwnedSemaphorePermit) -> Result<(), QueueFull> {
        let envelope = Envelope {
            message,
            _permit: permit,
        };
        self.channel.try_send(envelope).map_err(|_| QueueFull)
    }
}
