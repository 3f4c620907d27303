//! VMs that decide for their own calls, in virtual time.
//!
//! A [`RelayFleet`] runs the core of several VMs under `Coordination::Peers` and carries their
//! summaries, their requests to the store and their attempts. VMs can be killed and cut off, and
//! the store can be away for all or for some.

mod carry;
mod parts;
mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use knapweeddale_core::config::{Coordination, PolicyFeatures};
use knapweeddale_core::{
    CallId, Control, CoreSettings, DomainName, FleetConfig, Incarnation, Input, Output, Refusal,
    RefusalKind, UpstreamList, VmName,
};

pub use parts::{Passed, RelayCall, Run, account, fleet, listed, upstreams};
pub use store::StoreState;

use crate::Random;

/// One VM.
#[derive(Debug)]
struct Vm {
    name: VmName,
    /// Absent while the process is down.
    control: Option<Control>,
    incarnation: u64,
    /// When the control has to run at the latest.
    calls: u64,
}

/// Something that happens at a time.
#[derive(Debug)]
struct Event {
    vm: usize,
    incarnation: u64,
    input: Input,
}

/// VMs that decide for their own calls, in virtual time.
#[derive(Debug)]
pub struct RelayFleet {
    now_us: u64,
    vms: Vec<Vm>,
    /// Inputs by time, in the order in which they were sent.
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    random: Random,
    /// The platform's store.
    pub store: StoreState,
    /// Pairs of VMs that do not reach each other.
    cut: BTreeSet<(usize, usize)>,
    /// What each open call does on its upstream.
    open: BTreeMap<CallId, RelayCall>,
    /// Calls that were sent to an upstream.
    pub runs: Vec<Run>,
    /// Tokens that were passed to callers.
    pub passed: Vec<Passed>,
    /// Refusals with their time.
    pub refusals: Vec<(u64, Refusal)>,
}

/// # Construction
impl RelayFleet {
    /// Starts VMs for the first time, with a configuration and upstreams in the store.
    pub fn new(vms: usize, config: FleetConfig, list: UpstreamList, seed: u64) -> Self {
        let mut fleet = Self {
            now_us: 3_600_000_000,
            vms: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            random: Random::new(seed),
            store: StoreState::new(config, list),
            cut: BTreeSet::new(),
            open: BTreeMap::new(),
            runs: Vec::new(),
            passed: Vec::new(),
            refusals: Vec::new(),
        };
        for number in 0..vms {
            fleet.vms.push(Vm {
                name: VmName::from(format!("vm-{number}")),
                control: None,
                incarnation: 0,
                calls: 0,
            });
            fleet.start(number, true);
        }
        fleet
    }

    /// Starts the process of a VM.
    fn start(&mut self, vm: usize, is_first_start: bool) {
        let row = &mut self.vms[vm];
        row.incarnation += 1;
        let settings = CoreSettings::builder()
            .vm(row.name.clone())
            .incarnation(Incarnation(row.incarnation))
            .failure_domain(DomainName::from("north"))
            .address(row.name.to_string())
            .coordination(Coordination::Peers)
            .policy(PolicyFeatures {
                learned_limit: false,
                ..PolicyFeatures::default()
            })
            .is_first_start(is_first_start)
            .rate_wait_ms(400)
            .rate_window_ms(5_000)
            .build();
        row.control = Some(Control::new(settings));
        self.tick(vm, Vec::new());
    }
}

/// # Faults
impl RelayFleet {
    /// Kills the process of a VM.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].control = None;
    }

    /// Starts the process of a VM again.
    pub fn restart(&mut self, vm: usize) {
        self.start(vm, false);
    }

    /// Cuts a VM off from all others and from the store, or connects it again.
    pub fn cut_off(&mut self, vm: usize, is_cut: bool) {
        for other in 0..self.vms.len() {
            for pair in [(vm, other), (other, vm)] {
                if is_cut {
                    self.cut.insert(pair);
                } else {
                    self.cut.remove(&pair);
                }
            }
        }
        self.store.set_reachable(vm, !is_cut);
    }
}

/// # Running
impl RelayFleet {
    /// Returns the present time.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Returns the control of a VM that is up.
    ///
    /// # Panics
    ///
    /// Panics if the VM is down.
    pub fn control(&self, vm: usize) -> &Control {
        self.vms[vm].control.as_ref().expect("the VM is up")
    }

    /// Returns whether a VM is up and ready.
    pub fn is_ready(&self, vm: usize) -> bool {
        let control = self.vms[vm].control.as_ref();
        control.is_some_and(|control| control.is_ready(self.now_us))
    }

    /// Runs for a time.
    pub fn run_ms(&mut self, ms: u64) {
        let until_us = self.now_us + ms * 1_000;
        while let Some(at_us) = self.next_us().filter(|at_us| *at_us <= until_us) {
            self.now_us = at_us.max(self.now_us);
            self.step();
        }
        self.now_us = until_us;
    }

    /// Returns when something happens next.
    fn next_us(&self) -> Option<u64> {
        let event = self.events.keys().next().map(|(at_us, _)| *at_us);
        let timers = self.vms.iter().filter_map(|vm| {
            let control = vm.control.as_ref()?;
            control.next_deadline_us()
        });
        timers.chain(event).min()
    }

    /// Handles everything that is due.
    fn step(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now_us {
                break;
            }
            let event = entry.remove();
            let row = &self.vms[event.vm];
            if row.control.is_some() && row.incarnation == event.incarnation {
                self.tick(event.vm, vec![event.input]);
            }
        }
        for vm in 0..self.vms.len() {
            let control = self.vms[vm].control.as_ref();
            let due_us = control.and_then(Control::next_deadline_us);
            if due_us.is_some_and(|due_us| due_us <= self.now_us) {
                self.tick(vm, Vec::new());
            }
        }
    }

    /// Runs one tick of a VM and carries its outputs.
    fn tick(&mut self, vm: usize, inputs: Vec<Input>) {
        let mut outputs = Vec::new();
        let now_us = self.now_us;
        if let Some(control) = self.vms[vm].control.as_mut() {
            control.tick(now_us, inputs, &mut outputs);
        }
        for output in outputs {
            self.carry(vm, output);
        }
    }

    /// Sends an input to a VM.
    fn deliver(&mut self, vm: usize, delay_us: u64, input: Input) {
        let event = Event {
            vm,
            incarnation: self.vms[vm].incarnation,
            input,
        };
        self.next_event += 1;
        self.events
            .insert((self.now_us + delay_us, self.next_event), event);
    }

    /// Sends a call to a VM and returns its identity.
    pub fn call(&mut self, vm: usize, call: RelayCall) -> CallId {
        let row = &mut self.vms[vm];
        row.calls += 1;
        let id = CallId {
            incarnation: Incarnation(row.incarnation * 1_000 + vm as u64),
            seq: row.calls,
        };
        let new = call.describe(id, self.now_us);
        self.open.insert(id, call);
        self.tick(vm, vec![Input::CallArrived(Box::new(new))]);
        id
    }
}

/// # Results
impl RelayFleet {
    /// Returns whether a call was sent to an upstream.
    pub fn has_run(&self, call: CallId) -> bool {
        self.runs.iter().any(|run| run.call == call)
    }

    /// Returns why a call was refused.
    pub fn refusal(&self, call: CallId) -> Option<RefusalKind> {
        let refusals = self.refusals.iter();
        let mut kinds = refusals.filter(|(_, refusal)| refusal.call == call);
        kinds.next().map(|(_, refusal)| refusal.kind)
    }

    /// Returns the most calls of an account that ran within any window.
    pub fn most_in_window(&self, account: &str, window_ms: u64) -> usize {
        let runs = self.runs.iter().filter(|run| run.account == account);
        let times: Vec<u64> = runs.map(|run| run.at_us).collect();
        let within = |from: usize| {
            let until_us = times[from] + window_ms * 1_000;
            times[from..].partition_point(|at_us| *at_us < until_us)
        };
        (0..times.len()).map(within).max().unwrap_or(0)
    }

    /// Returns the tokens passed to the callers of a program.
    pub fn passed_tokens(&self, program: &str) -> u64 {
        let passed = self.passed.iter().filter(|row| row.program == program);
        passed.map(|row| row.tokens).sum()
    }

    /// Returns the configuration of the store.
    pub fn published(&self) -> Arc<FleetConfig> {
        self.store.config()
    }

    /// Draws a number below a bound from the seed of the fleet.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// Returns whether an output is one that only owners of something give.
    fn is_foreign(output: &Output) -> bool {
        matches!(
            output,
            Output::Store(_) | Output::Send { .. } | Output::Order(_)
        )
    }
}
