//! The events of a mesh and the virtual time at which they run.

use std::time::Instant;

use knapweeddale_core::input::ListedVm;
use knapweeddale_core::output::Order;
use knapweeddale_core::{Incarnation, Input, StoreRequest, UpstreamName};

use super::Mesh;

/// An event scheduled at a virtual time.
#[derive(Debug)]
pub(super) enum Event {
    /// An input reaches a VM; dropped if the VM has restarted since.
    Input {
        vm: usize,
        incarnation: Incarnation,
        input: Box<Input>,
    },
    /// A deadline of a VM expires and its systems run.
    Wake { vm: usize },
    /// A request reaches the store.
    Store {
        vm: usize,
        incarnation: Incarnation,
        sent_us: u64,
        request: StoreRequest,
        /// Whether the VM's request has timed out; the response is then dropped.
        is_late: bool,
    },
    /// The platform publishes a list of VMs.
    VmList(Vec<ListedVm>),
    /// A batching engine has events due.
    Engine { upstream: UpstreamName },
    /// The batching engines report their load.
    Load,
    /// A model order reaches an engine.
    Order {
        vm: usize,
        incarnation: Incarnation,
        order: Box<Order>,
    },
}

/// # Time
impl Mesh {
    /// Returns the current virtual time.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Runs all events of the next `ms` milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        self.run_until(self.now_us + ms * 1_000);
    }

    /// Runs all events up to `until_us`, inclusive.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(entry) = self.events.first_entry() {
            let (at_us, _) = *entry.key();
            if at_us > until_us {
                break;
            }
            let event = entry.remove();
            self.now_us = self.now_us.max(at_us);
            self.step(event);
        }
        self.now_us = until_us;
    }

    /// Handles one event.
    fn step(&mut self, event: Event) {
        match event {
            Event::Input {
                vm,
                incarnation,
                input,
            } => {
                if self.vms[vm].paused_until_us > self.now_us {
                    let resume_us = self.vms[vm].paused_until_us;
                    let event = Event::Input {
                        vm,
                        incarnation,
                        input,
                    };
                    self.schedule(resume_us, event);
                } else if self.vms[vm].incarnation == incarnation {
                    self.tick(vm, Some(*input));
                }
            }
            Event::Wake { vm } => {
                if self.vms[vm].paused_until_us > self.now_us {
                    let resume_us = self.vms[vm].paused_until_us;
                    self.schedule(resume_us, Event::Wake { vm });
                } else if self.vms[vm].next_wake_us == Some(self.now_us)
                    || self.vms[vm].next_wake_us.is_some_and(|at| at < self.now_us)
                {
                    self.vms[vm].next_wake_us = None;
                    self.tick(vm, None);
                }
            }
            Event::Store {
                vm,
                incarnation,
                sent_us,
                request,
                is_late,
            } => self.handle_store_request(vm, incarnation, sent_us, request, is_late),
            Event::VmList(list) => {
                for vm in 0..self.vms.len() {
                    self.deliver(vm, self.now_us, Input::VmList(list.clone()));
                }
                self.platform.published = list;
            }
            Event::Engine { upstream } => self.run_engine(&upstream),
            Event::Order {
                vm,
                incarnation,
                order,
            } => self.handle_order(vm, incarnation, &order),
            Event::Load => self.report_load(),
        }
    }

    /// Runs the systems of a VM and dispatches its outputs.
    fn tick(&mut self, vm: usize, input: Option<Input>) {
        let local_us = self.local_us(vm);
        let mut outputs = Vec::new();
        let Some(control) = self.vms[vm].control.as_mut() else {
            return;
        };
        let started = Instant::now();
        control.tick(local_us, input, &mut outputs);
        let traffic = &mut self.vms[vm].traffic;
        traffic.tick_ns += started.elapsed().as_nanos() as u64;
        traffic.ticks += 1;
        for output in outputs {
            self.handle_output(vm, output);
        }
        self.schedule_wake(vm);
    }

    /// Schedules a wake at the next deadline of a VM, converted to virtual time.
    fn schedule_wake(&mut self, vm: usize) {
        let row = &self.vms[vm];
        let Some(control) = &row.control else {
            return;
        };
        let Some(due_us) = control.next_deadline_us() else {
            return;
        };
        let elapsed_us = due_us.saturating_sub(row.clock_offset_us);
        let due_us = (elapsed_us * 1_000_000).div_ceil(row.clock_rate_ppm);
        let due_us = due_us.max(self.now_us);
        if row.next_wake_us.is_none_or(|at| due_us < at) {
            self.vms[vm].next_wake_us = Some(due_us);
            self.schedule(due_us, Event::Wake { vm });
        }
    }
}

/// # Events
impl Mesh {
    /// Schedules an input for the current incarnation of a VM.
    pub(super) fn deliver(&mut self, vm: usize, at_us: u64, input: Input) {
        let event = Event::Input {
            vm,
            incarnation: self.vms[vm].incarnation,
            input: Box::new(input),
        };
        self.schedule(at_us, event);
    }

    /// Schedules an event; events at the same time run in the order of scheduling.
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event_seq += 1;
        self.events.insert((at_us, self.next_event_seq), event);
    }
}
