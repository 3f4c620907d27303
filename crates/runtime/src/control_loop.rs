//! The loop of the control thread.

use std::io;
use std::sync::mpsc::RecvTimeoutError;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use knapweeddale_core::{Control, Input, Output};

use crate::clock::Clock;
use crate::queue::{Envelope, InputQueue};

/// Maximum number of messages handled in one tick. A larger batch delays the first call in it;
/// at 10 us per call this many take 2.5 ms.
const MAX_MESSAGES_PER_TICK: usize = 256;

/// Connects the control loop to a daemon: unpacks messages and dispatches outputs.
///
/// Runs on the control thread, so no method may block.
pub trait OutputHandler: Send + 'static {
    /// The messages that traffic threads send to the control thread.
    type Message: From<Input> + Send + 'static;

    /// Handles a message and adds its inputs to `inputs`; returns `false` if the thread has to end.
    fn accept_message(
        &mut self,
        message: Self::Message,
        control: &Control,
        now_us: u64,
        inputs: &mut Vec<Input>,
    ) -> bool;

    /// Dispatches one output to its receiver.
    fn handle_output(&mut self, output: Output, control: &Control, now_us: u64);

    /// Publishes the state that traffic threads read; called after each tick.
    fn publish_status(&mut self, control: &Control, now_us: u64);

    /// Returns whether outputs that could not be delivered have led to new inputs.
    fn has_pending_inputs(&self) -> bool;

    /// Removes and returns these inputs.
    fn take_pending_inputs(&mut self) -> Vec<Input>;

    /// Records the number of inputs and the duration of a tick in metrics.
    fn count_tick(&self, inputs: usize, took: Duration);
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn spawn_control_loop<C: Clock, O: OutputHandler>(
    control: Control,
    queue: InputQueue<O::Message>,
    handler: O,
    clock: C,
) -> io::Result<JoinHandle<()>> {
    let control_loop = ControlLoop {
        control,
        queue,
        handler,
        clock,
        inputs: Vec::new(),
        outputs: Vec::new(),
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control_loop.run())
}

/// The state of the control thread.
struct ControlLoop<C, O: OutputHandler> {
    control: Control,
    queue: InputQueue<O::Message>,
    handler: O,
    clock: C,
    inputs: Vec<Input>,
    outputs: Vec<Output>,
}

impl<C: Clock, O: OutputHandler> ControlLoop<C, O> {
    /// Handles messages and deadlines until a message ends the thread, after a tick over the inputs
    /// received before it.
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
            for _ in 1..MAX_MESSAGES_PER_TICK {
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
        let has_pending = self.handler.has_pending_inputs();
        let due_us = if has_pending {
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

    /// Handles a message; returns `false` if the thread has to end.
    fn accept(&mut self, envelope: Envelope<O::Message>) -> bool {
        let now_us = self.clock.now_us();
        let message = envelope.message;
        self.handler
            .accept_message(message, &self.control, now_us, &mut self.inputs)
    }

    /// Runs the systems on the collected inputs and dispatches their outputs.
    fn tick(&mut self) {
        let started = Instant::now();
        self.inputs.append(&mut self.handler.take_pending_inputs());
        let inputs = self.inputs.len();
        let now_us = self.clock.now_us();
        self.control
            .tick(now_us, self.inputs.drain(..), &mut self.outputs);
        for output in self.outputs.drain(..) {
            self.handler.handle_output(output, &self.control, now_us);
        }
        self.handler.publish_status(&self.control, now_us);
        self.handler.count_tick(inputs, started.elapsed());
    }
}
