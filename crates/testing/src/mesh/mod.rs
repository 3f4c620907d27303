//! Several VMs in one process that exchange messages in virtual time.
//!
//! The mesh carries the outputs of each `Control` to their receivers, with
//! seeded delay, loss, duplication and reordering, and lets tests pause,
//! crash, restart and partition VMs and stop the store. Every event that an
//! invariant needs is kept in a trace.

mod engine;
mod faults;
mod store;
mod trace;

pub use engine::{EngineModel, Engines};
pub use faults::Faults;
pub use store::ViewStore;
pub use trace::{Trace, TraceEvent};

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use knapweeddale_core::tables::Member;
use knapweeddale_core::{
    AttemptEvent, CallId, Control, CoreSettings, Dispatch, DomainName, FleetConfig, Incarnation,
    Input, NewCall, Output, PeerMessage, StoreEvent, StoreRequest, VmName,
};

use crate::Random;

/// Something that happens at a virtual time.
#[derive(Debug)]
enum Event {
    /// An input reaches a VM, unless it has restarted since.
    Input {
        vm: usize,
        incarnation: Incarnation,
        input: Box<Input>,
    },
    /// A VM has to run its systems.
    Wake { vm: usize },
    /// A request reaches the store.
    Store {
        vm: usize,
        incarnation: Incarnation,
        sent_us: u64,
        request: StoreRequest,
    },
}

/// A VM of the mesh.
#[derive(Debug)]
struct Vm {
    name: VmName,
    /// `None` while the VM is crashed.
    control: Option<Control>,
    incarnation: Incarnation,
    paused_until_us: u64,
    /// The VM's clock starts here; clocks of VMs are not comparable.
    clock_offset_us: u64,
    next_wake_us: Option<u64>,
    next_call: u64,
}

/// Several VMs in one process.
pub struct Mesh {
    vms: Vec<Vm>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    now_us: u64,
    random: Random,
    fleet: Arc<FleetConfig>,
    settings: Box<dyn Fn(VmName, Incarnation) -> CoreSettings>,
    blocked: HashSet<(usize, usize)>,
    /// Faults of the links between VMs.
    pub faults: Faults,
    /// The store that holds the view.
    pub store: ViewStore,
    /// The upstreams.
    pub engines: Engines,
    /// Messages sent between VMs.
    pub messages: u64,
    /// What happened so far.
    pub trace: Trace,
}

impl std::fmt::Debug for Mesh {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Mesh")
            .field("now_us", &self.now_us)
            .field("vms", &self.vms)
            .finish_non_exhaustive()
    }
}

/// # Construction
impl Mesh {
    /// Makes a mesh with default settings for each VM and starts all VMs.
    pub fn new(vms: usize, fleet: FleetConfig, seed: u64) -> Self {
        Self::with_settings(vms, fleet, seed, |vm, incarnation| {
            CoreSettings::builder()
                .address(vm.to_string())
                .vm(vm)
                .incarnation(incarnation)
                .build()
        })
    }

    /// Makes a mesh with settings chosen for each start of a VM.
    pub fn with_settings(
        vms: usize,
        fleet: FleetConfig,
        seed: u64,
        settings: impl Fn(VmName, Incarnation) -> CoreSettings + 'static,
    ) -> Self {
        let mut mesh = Self {
            vms: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now_us: 0,
            random: Random::new(seed),
            fleet: Arc::new(fleet),
            settings: Box::new(settings),
            blocked: HashSet::new(),
            faults: Faults::default(),
            store: ViewStore::default(),
            engines: Engines::default(),
            messages: 0,
            trace: Trace::default(),
        };
        for number in 0..vms {
            let clock_offset_us = mesh.random.below(1_000_000_000);
            mesh.vms.push(Vm {
                name: VmName::from(format!("vm-{number}")),
                control: None,
                incarnation: Incarnation(0),
                paused_until_us: 0,
                clock_offset_us,
                next_wake_us: None,
                next_call: 0,
            });
            mesh.restart(number);
        }
        mesh
    }

    /// Starts a VM, or starts it again after a crash.
    pub fn restart(&mut self, vm: usize) {
        let incarnation = Incarnation(((vm as u64 + 1) << 48) | (self.now_us + 1));
        let row = &mut self.vms[vm];
        row.incarnation = incarnation;
        row.next_wake_us = None;
        row.control = Some(Control::new((self.settings)(row.name.clone(), incarnation)));
        let fleet = self.fleet.clone();
        self.deliver(vm, self.now_us, Input::Config(fleet));
        let request = StoreRequest::Read;
        self.ask_store(vm, request);
    }
}

/// # Faults
impl Mesh {
    /// Kills a VM; what it has not sent is lost.
    pub fn crash(&mut self, vm: usize) {
        self.vms[vm].control = None;
        let name = self.vms[vm].name.clone();
        self.trace
            .push(self.now_us, TraceEvent::Crashed { vm: name });
    }

    /// Stops a VM for a time; its inputs wait.
    pub fn pause(&mut self, vm: usize, for_us: u64) {
        self.vms[vm].paused_until_us = self.now_us + for_us;
    }

    /// Blocks messages between two groups of VMs, in both directions.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.blocked.insert((a, b));
                self.blocked.insert((b, a));
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }
}

/// # Inputs
impl Mesh {
    /// Sends a call to a VM and returns its identity.
    ///
    /// The identity in `call` is replaced.
    pub fn call(&mut self, vm: usize, mut call: NewCall) -> CallId {
        let row = &mut self.vms[vm];
        row.next_call += 1;
        call.id = CallId {
            incarnation: row.incarnation,
            seq: row.next_call,
        };
        let id = call.id;
        let arrived = TraceEvent::Arrived {
            vm: row.name.clone(),
            call: Box::new(call.clone()),
        };
        self.trace.push(self.now_us, arrived);
        self.deliver(vm, self.now_us, Input::CallArrived(Box::new(call)));
        id
    }

    /// Hands an input to a VM at once.
    pub fn input(&mut self, vm: usize, input: Input) {
        self.deliver(vm, self.now_us, input);
    }

    /// Publishes a configuration to one VM, as its watch would.
    pub fn publish(&mut self, vm: usize, fleet: FleetConfig) {
        self.fleet = Arc::new(fleet);
        self.deliver(vm, self.now_us, Input::Config(self.fleet.clone()));
    }
}

/// # Time
impl Mesh {
    /// Returns the virtual time.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Runs everything that happens in the next `ms` milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        self.run_until(self.now_us + ms * 1_000);
    }

    /// Runs everything that happens up to a time.
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
            } => self.answer_store(vm, incarnation, sent_us, request),
        }
    }

    /// Runs the systems of a VM and carries its outputs.
    fn tick(&mut self, vm: usize, input: Option<Input>) {
        let local_us = self.now_us + self.vms[vm].clock_offset_us;
        let mut outputs = Vec::new();
        let Some(control) = self.vms[vm].control.as_mut() else {
            return;
        };
        control.tick(local_us, input, &mut outputs);
        for output in outputs {
            self.carry(vm, output);
        }
        self.plan_wake(vm);
    }

    /// Plans the next wake of a VM.
    fn plan_wake(&mut self, vm: usize) {
        let row = &self.vms[vm];
        let Some(control) = &row.control else {
            return;
        };
        let Some(due_us) = control.next_deadline_us() else {
            return;
        };
        let due_us = due_us.saturating_sub(row.clock_offset_us).max(self.now_us);
        if row.next_wake_us.is_none_or(|at| due_us < at) {
            self.vms[vm].next_wake_us = Some(due_us);
            self.schedule(due_us, Event::Wake { vm });
        }
    }
}

/// # Outputs
impl Mesh {
    /// Carries an output of a VM to its receiver.
    fn carry(&mut self, vm: usize, output: Output) {
        let name = self.vms[vm].name.clone();
        self.trace.output(self.now_us, &name, &output);
        match output {
            Output::Send { to, message } => self.send(vm, &to, message),
            Output::Dispatch(dispatch) => self.dispatch(vm, dispatch),
            Output::CancelAttempt(attempt) => self.engines.cancel(attempt),
            Output::Store(request) => self.ask_store(vm, request),
            _ => {}
        }
    }

    /// Sends a message between two VMs through the faults of the link.
    fn send(&mut self, from: usize, to: &VmName, message: PeerMessage) {
        let Some(to) = self.vms.iter().position(|vm| vm.name == *to) else {
            return;
        };
        self.messages += 1;
        if self.blocked.contains(&(from, to)) {
            return;
        }
        for delay_us in self.faults.deliveries(&mut self.random) {
            let input = Input::Peer {
                from: self.vms[from].name.clone(),
                incarnation: self.vms[from].incarnation,
                message: message.clone(),
            };
            self.deliver(to, self.now_us + delay_us, input);
        }
    }

    /// Runs an attempt on its upstream.
    fn dispatch(&mut self, vm: usize, dispatch: Dispatch) {
        let local_us = self.now_us + self.vms[vm].clock_offset_us;
        let call = self.vms[vm]
            .control
            .as_ref()
            .and_then(|control| control.tables().calls.get(&dispatch.attempt.call))
            .cloned();
        let Some(call) = call else {
            return;
        };
        let run = self.engines.run(self.now_us, local_us, &dispatch, &call);
        if run.executed {
            let executed = TraceEvent::Executed {
                vm: self.vms[vm].name.clone(),
                dispatch: Box::new(dispatch.clone()),
                call: Box::new(call.new.clone()),
            };
            self.trace.push(self.now_us, executed);
        }
        for (at_us, attempt, progress) in run.events {
            let Some(owner) = self.vm_of(attempt.call) else {
                continue;
            };
            let event = AttemptEvent { attempt, progress };
            self.deliver(owner, at_us, Input::Attempt(event));
        }
    }

    /// Returns the VM that received a call.
    fn vm_of(&self, call: CallId) -> Option<usize> {
        self.vms
            .iter()
            .position(|vm| vm.incarnation == call.incarnation)
    }

    /// Sends a request to the store.
    fn ask_store(&mut self, vm: usize, request: StoreRequest) {
        let event = Event::Store {
            vm,
            incarnation: self.vms[vm].incarnation,
            sent_us: self.now_us + self.vms[vm].clock_offset_us,
            request,
        };
        let delay_us = self.random.between(1_000, 4_000);
        self.schedule(self.now_us + delay_us, event);
    }

    /// Lets the store handle a request and sends its answer back.
    fn answer_store(
        &mut self,
        vm: usize,
        incarnation: Incarnation,
        sent_us: u64,
        request: StoreRequest,
    ) {
        let answer = self.store.handle(vm, request, sent_us, &mut self.random);
        let delay_us = match answer {
            StoreEvent::Unavailable => self.store.timeout_us,
            _ => self.random.between(1_000, 4_000),
        };
        let event = Event::Input {
            vm,
            incarnation,
            input: Box::new(Input::Store(answer)),
        };
        self.schedule(self.now_us + delay_us, event);
    }
}

/// # Events
impl Mesh {
    /// Plans an input of a VM.
    fn deliver(&mut self, vm: usize, at_us: u64, input: Input) {
        let event = Event::Input {
            vm,
            incarnation: self.vms[vm].incarnation,
            input: Box::new(input),
        };
        self.schedule(at_us, event);
    }

    /// Plans an event.
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_us, self.next_event), event);
    }

    /// Returns the control value of a VM that is not crashed.
    pub fn control(&self, vm: usize) -> Option<&Control> {
        self.vms[vm].control.as_ref()
    }

    /// Returns the VMs that run, as members of a view.
    pub fn members(&self) -> Vec<Member> {
        let running = self.vms.iter().filter(|vm| vm.control.is_some());
        running
            .map(|vm| Member {
                vm: vm.name.clone(),
                incarnation: vm.incarnation,
                failure_domain: DomainName::from("local"),
                address: vm.name.to_string(),
            })
            .collect()
    }

    /// Writes a view of the VMs that run, in which each VM holds a lease by itself.
    pub fn write_view(&mut self) {
        self.store.every_vm_touches = true;
        self.store.write_members(self.members());
    }

    /// Returns the number of a VM.
    pub fn index(&self, vm: &VmName) -> Option<usize> {
        self.vms.iter().position(|row| row.name == *vm)
    }

    /// Returns the present time on the clock of a VM.
    pub fn local_us(&self, vm: usize) -> u64 {
        self.now_us + self.vms[vm].clock_offset_us
    }
}
