//! The loop of the control thread.

use std::io;
use std::sync::mpsc::RecvTimeoutError;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use knapweeddale_core::{Control, Input, Output};

use super::input::{Envelope, InputQueue, Message};
use super::outlets::Outlets;
use crate::clock::Clock;

/// Messages handled in one tick. A larger batch delays the first call in it;
/// at 10 us for a call this many take 2.5 ms.
const MAX_BATCH: usize = 256;

/// Starts the control thread.
pub(crate) fn spawn<C: Clock>(
    control: Control,
    queue: InputQueue,
    outlets: Outlets,
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
struct ControlLoop<C> {
    control: Control,
    queue: InputQueue,
    outlets: Outlets,
    clock: C,
    inputs: Vec<Input>,
    outputs: Vec<Output>,
}

impl<C: Clock> ControlLoop<C> {
    /// Handles messages and deadlines until the process ends.
    fn run(mut self) {
        loop {
            match self.wait() {
                Ok(envelope) => {
                    if !self.accept(envelope) {
                        return;
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
                    return;
                }
            }
            self.tick();
        }
    }

    /// Blocks until the next message or deadline.
    fn wait(&self) -> Result<Envelope, RecvTimeoutError> {
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
    fn accept(&mut self, envelope: Envelope) -> bool {
        match envelope.message {
            Message::Input(input) => self.inputs.push(input),
            Message::Open {
                call,
                input,
                outputs,
            } => {
                self.outlets.open(call, outputs);
                self.inputs.push(input);
            }
            Message::Delivery(delivery) => {
                self.outlets
                    .learn_address(&delivery.from, &delivery.address);
                let (from, incarnation) = (delivery.from, delivery.incarnation);
                let inputs = delivery.messages.into_iter().map(|message| Input::Peer {
                    from: from.clone(),
                    incarnation,
                    message,
                });
                self.inputs.extend(inputs);
            }
            Message::Stop => return false,
        }
        true
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
