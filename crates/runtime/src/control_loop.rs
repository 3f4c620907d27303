//! The loop of the control thread.

use std::io;
use std::sync::mpsc::RecvTimeoutError;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use knapweeddale_core::{Control, Input, Output};

use crate::clock::Clock;
use crate::queue::{Envelope, InputQueue};

/// Messages handled in one tick. A larger batch delays the first call in it;
/// at 10 us for a call this many take 2.5 ms.
const MAX_BATCH: usize = 256;

/// Hands the outputs of the core to those who carry them out.
///
/// The control thread owns it; nothing in it may block.
pub trait Outlets: Send + 'static {
    /// What the traffic side sends to the control thread.
    type Message: From<Input> + Send + 'static;

    /// Takes a message, adding the inputs that it holds; returns whether the thread goes on.
    fn accept(
        &mut self,
        message: Self::Message,
        control: &Control,
        now_us: u64,
        inputs: &mut Vec<Input>,
    ) -> bool;

    /// Carries one output to its receiver.
    fn carry(&mut self, output: Output, control: &Control, now_us: u64);

    /// Publishes what traffic threads may know, after each tick.
    fn refresh(&mut self, control: &Control, now_us: u64);

    /// Returns whether inputs follow from outputs that could not be handed over.
    fn has_echo(&self) -> bool;

    /// Takes these inputs.
    fn take_echo(&mut self) -> Vec<Input>;

    /// Counts a tick.
    fn count_tick(&self, inputs: usize, took: Duration);
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the system has no room for another thread.
pub fn spawn<C: Clock, O: Outlets>(
    control: Control,
    queue: InputQueue<O::Message>,
    outlets: O,
    clock: C,
) -> io::Result<JoinHandle<()>> {
    let control_loop = ControlLoop {
        control,
        queue,
        outlets,
        clock,
        inputs: Vec::new(),
        outputs: Vec::new(),
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control_loop.run())
}

/// What the control thread owns.
struct ControlLoop<C, O: Outlets> {
    control: Control,
    queue: InputQueue<O::Message>,
    outlets: O,
    clock: C,
    inputs: Vec<Input>,
    outputs: Vec<Output>,
}

impl<C: Clock, O: Outlets> ControlLoop<C, O> {
    /// Handles messages and deadlines until the process ends, the inputs before its end included.
    fn run(mut self) {
        loop {
            match self.wait() {
                Ok(envelope) => {
                    if !self.accept(envelope) {
                        return self.tick();
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for _ in 1..MAX_BATCH {
                let Ok(envelope) = self.queue.try_recv() else {
                    break;
                };
                if !self.accept(envelope) {
                    return self.tick();
                }
            }
            self.tick();
        }
    }

    /// Blocks until the next message or deadline.
    fn wait(&self) -> Result<Envelope<O::Message>, RecvTimeoutError> {
        let has_echo = self.outlets.has_echo();
        let due_us = if has_echo {
            Some(0)
        } else {
            self.control.next_deadline_us()
        };
        let Some(due_us) = due_us else {
            return self
                .queue
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected);
        };
        let wait_us = due_us.saturating_sub(self.clock.now_us());
        self.queue.recv_timeout(Duration::from_micros(wait_us))
    }

    /// Takes a message; returns whether the thread goes on.
    fn accept(&mut self, envelope: Envelope<O::Message>) -> bool {
        let now_us = self.clock.now_us();
        let message = envelope.message;
        self.outlets
            .accept(message, &self.control, now_us, &mut self.inputs)
    }

    /// Runs the systems and hands out what they put out.
    fn tick(&mut self) {
        let started = Instant::now();
        self.inputs.append(&mut self.outlets.take_echo());
        let inputs = self.inputs.len();
        let now_us = self.clock.now_us();
        self.control
            .tick(now_us, self.inputs.drain(..), &mut self.outputs);
        for output in self.outputs.drain(..) {
            self.outlets.carry(output, &self.control, now_us);
        }
        self.outlets.refresh(&self.control, now_us);
        self.outlets.count_tick(inputs, started.elapsed());
    }
}
