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
mod events;
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

use knapweeddale_core::{
    CallId, Control, CoreSettings, DomainName, FleetConfig, Incarnation, Input, NewCall,
    PeerMessage, ProgramRequest, VmName,
};

use self::events::Event;
use crate::Random;

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
