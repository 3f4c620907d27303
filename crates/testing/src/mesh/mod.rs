//! Simulates several VMs in one process that exchange messages in virtual time.
//!
//! The mesh delivers the outputs of each `Control` to their receivers with
//! seeded delay, loss, duplication and reordering, and lets tests pause,
//! crash, restart and partition VMs and stop the store. Every event that
//! invariant checks need is recorded in a trace.

mod accessors;
mod batch;
mod batch_events;
mod engine;
mod faults;
mod orders;
mod outputs;
mod platform;
mod store;
mod store_requests;
mod trace;
mod traffic;

pub use batch::{BatchEngine, BatchEvent, BatchModel, Job};
pub use engine::{EngineModel, Engines, history_after};
pub use faults::Faults;
pub use orders::ModelOrders;
pub use platform::Platform;
pub use store::ViewStore;
pub use trace::{Trace, TraceEvent};
pub use traffic::{Traffic, estimated_bytes};

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use knapweeddale_core::input::ListedVm;
use knapweeddale_core::{
    CallId, Control, CoreSettings, DomainName, FleetConfig, Incarnation, Input, NewCall,
    PeerMessage, ProgramKey, ProgramRequest, StoreRequest, UpstreamName, VmName,
};

use crate::Random;

/// An event scheduled at a virtual time.
#[derive(Debug)]
enum Event {
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
        order: Box<knapweeddale_core::output::Order>,
    },
}

/// A simulated VM.
#[derive(Debug)]
struct Vm {
    name: VmName,
    /// `None` while the VM is crashed.
    control: Option<Control>,
    incarnation: Incarnation,
    paused_until_us: u64,
    /// Initial value of the VM's clock; the clocks of VMs are not comparable.
    clock_offset_us: u64,
    /// How far the VM's clock advances in a million microseconds of virtual time.
    clock_rate_ppm: u64,
    traffic: Traffic,
    next_wake_us: Option<u64>,
    next_call: u64,
}

/// A predicate and how many more of the messages that match it are dropped.
pub type DropRule = (fn(&PeerMessage) -> bool, u32);

/// A simulated network of VMs with their store, platform and upstreams.
pub struct Mesh {
    vms: Vec<Vm>,
    vm_indices: HashMap<VmName, usize>,
    events: BTreeMap<(u64, u64), Event>,
    next_event_seq: u64,
    now_us: u64,
    random: Random,
    fleet: Arc<FleetConfig>,
    settings: Box<dyn Fn(VmName, Incarnation) -> CoreSettings>,
    blocked: HashSet<(usize, usize)>,
    /// Faults of the links between VMs.
    pub faults: Faults,
    /// Rules that drop the next matching messages between VMs.
    pub drop_rules: Vec<DropRule>,
    /// The platform's store, which holds the view.
    pub store: ViewStore,
    /// The platform's list of VMs.
    pub platform: Platform,
    /// The models loaded on engines and the orders that changed them.
    pub orders: ModelOrders,
    /// The simulated upstreams.
    pub engines: Engines,
    /// The events recorded so far.
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
    /// Creates a mesh with default settings for each VM and starts all VMs.
    pub fn new(vms: usize, fleet: FleetConfig, seed: u64) -> Self {
        Self::with_settings(vms, fleet, seed, |vm, incarnation| {
            CoreSettings::builder()
                .address(vm.to_string())
                .vm(vm)
                .incarnation(incarnation)
                .build()
        })
    }

    /// Creates a mesh whose VMs are spread over failure domains and know each other's names.
    pub fn with_domains(vms: usize, domains: usize, fleet: FleetConfig, seed: u64) -> Self {
        let peers: Vec<_> = (0..vms)
            .map(|number| VmName::from(format!("vm-{number}")))
            .collect();
        Self::with_settings(vms, fleet, seed, move |vm, incarnation| {
            let number = peers.iter().position(|peer| *peer == vm).unwrap_or(0);
            CoreSettings::builder()
                .address(vm.to_string())
                .vm(vm)
                .incarnation(incarnation)
                .failure_domain(DomainName::from(format!("domain-{}", number % domains)))
                .peers(peers.clone())
                .build()
        })
    }

    /// Creates a mesh; `settings` is called for each incarnation of a VM.
    pub fn with_settings(
        vms: usize,
        fleet: FleetConfig,
        seed: u64,
        settings: impl Fn(VmName, Incarnation) -> CoreSettings + 'static,
    ) -> Self {
        let mut mesh = Self {
            vms: Vec::new(),
            vm_indices: HashMap::new(),
            events: BTreeMap::new(),
            next_event_seq: 0,
            now_us: 0,
            random: Random::new(seed),
            fleet: Arc::new(fleet),
            settings: Box::new(settings),
            blocked: HashSet::new(),
            faults: Faults::default(),
            drop_rules: Vec::new(),
            store: ViewStore::default(),
            platform: Platform::default(),
            orders: ModelOrders::default(),
            engines: Engines::default(),
            trace: Trace::default(),
        };
        for number in 0..vms {
            let clock_offset_us = mesh.random.below(1_000_000_000);
            let name = VmName::from(format!("vm-{number}"));
            mesh.platform.published.push(platform::listed_vm(&name));
            mesh.vm_indices.insert(name.clone(), number);
            mesh.vms.push(Vm {
                name,
                control: None,
                incarnation: Incarnation(0),
                paused_until_us: 0,
                clock_offset_us,
                clock_rate_ppm: 1_000_000,
                traffic: Traffic::default(),
                next_wake_us: None,
                next_call: 0,
            });
        }
        for number in 0..vms {
            mesh.start(number);
        }
        mesh
    }

    /// Restarts a VM after a crash.
    pub fn restart(&mut self, vm: usize) {
        self.start(vm);
        self.publish_list();
    }

    /// Starts a new incarnation of a VM.
    fn start(&mut self, vm: usize) {
        let incarnation = Incarnation(((vm as u64 + 1) << 48) | (self.now_us + 1));
        let row = &mut self.vms[vm];
        row.incarnation = incarnation;
        row.next_wake_us = None;
        row.control = Some(Control::new((self.settings)(row.name.clone(), incarnation)));
        self.vms[vm].paused_until_us = 0;
        let list = Input::VmList(self.platform.published.clone());
        self.deliver(vm, self.now_us, list);
        if !self.store.is_down {
            let fleet = self.fleet.clone();
            self.deliver(vm, self.now_us, Input::Config(fleet));
        }
    }

    /// Sets the rate of a VM's clock in parts per million; 1,000,000 is exact.
    ///
    /// Must be called before the mesh first runs.
    pub fn set_clock_rate(&mut self, vm: usize, ppm: u64) {
        self.vms[vm].clock_rate_ppm = ppm;
    }
}

/// # Faults
impl Mesh {
    /// Crashes a VM; its state and all inputs in flight to it are lost.
    pub fn crash(&mut self, vm: usize) {
        self.vms[vm].control = None;
        let name = self.vms[vm].name.clone();
        self.trace
            .push(self.now_us, TraceEvent::Crashed { vm: name });
        self.publish_list();
    }

    /// Pauses a VM for `for_us`; its inputs are deferred until it resumes.
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

    /// Removes all partitions.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }
}

/// # Inputs
impl Mesh {
    /// Sends a call to a VM and returns the ID assigned to it.
    ///
    /// The ID in `call` is replaced.
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

    /// Sends a program request to a VM and returns the ID assigned to it.
    ///
    /// The ID in `request` is replaced.
    pub fn program(&mut self, vm: usize, mut request: ProgramRequest) -> CallId {
        let row = &mut self.vms[vm];
        row.next_call += 1;
        request.id = CallId {
            incarnation: row.incarnation,
            seq: row.next_call,
        };
        let id = request.id;
        self.deliver(vm, self.now_us, Input::Program(Box::new(request)));
        id
    }

    /// Delivers an input to a VM without delay.
    pub fn input(&mut self, vm: usize, input: Input) {
        self.deliver(vm, self.now_us, input);
    }

    /// Delivers a configuration to one VM, as its watch would; VMs that start later read it too.
    pub fn publish(&mut self, vm: usize, fleet: FleetConfig) {
        self.fleet = Arc::new(fleet);
        self.deliver(vm, self.now_us, Input::Config(self.fleet.clone()));
    }
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
    fn deliver(&mut self, vm: usize, at_us: u64, input: Input) {
        let event = Event::Input {
            vm,
            incarnation: self.vms[vm].incarnation,
            input: Box::new(input),
        };
        self.schedule(at_us, event);
    }

    /// Schedules an event; events at the same time run in the order of scheduling.
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event_seq += 1;
        self.events.insert((at_us, self.next_event_seq), event);
    }

    /// Returns the control state of a VM; `None` while it is crashed.
    pub fn control(&self, vm: usize) -> Option<&Control> {
        self.vms[vm].control.as_ref()
    }

    /// Returns the current incarnation of a VM.
    pub fn incarnation(&self, vm: usize) -> Incarnation {
        self.vms[vm].incarnation
    }

    /// Returns the index of a program's home in the view of a VM.
    pub fn home_of(&self, vm: usize, program: &ProgramKey) -> Option<usize> {
        let view = &self.control(vm)?.tables().view;
        self.index(view.program_home(program)?)
    }

    /// Returns the index of a VM.
    pub fn index(&self, vm: &VmName) -> Option<usize> {
        self.vm_indices.get(vm).copied()
    }

    /// Returns the current time on the clock of a VM.
    pub fn local_us(&self, vm: usize) -> u64 {
        let row = &self.vms[vm];
        self.now_us * row.clock_rate_ppm / 1_000_000 + row.clock_offset_us
    }
}
