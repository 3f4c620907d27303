//! Simulation, in virtual time, of VMs that each schedule their own calls.
//!
//! A [`RelayFleet`] runs the core of several VMs under `Coordination::Peers` and simulates the
//! summaries between them, their requests to the store and their attempts. VMs can be killed and
//! isolated, the store can be unavailable to all or some of them, and upstreams can crash or lose
//! their connections.

mod attempts;
mod builds;
mod calls;
mod capacity;
mod fixtures;
mod outputs;
mod store;
mod usage;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use knapweeddale_core::config::{Coordination, PolicyFeatures};
use knapweeddale_core::{
    AttemptId, CallId, Control, CoreSettings, DomainName, FleetConfig, Incarnation, Input, Output,
    Refusal, RefusalKind, UpstreamList, UpstreamName, VmName,
};

pub use attempts::{LinkFault, UpstreamState};
pub use builds::OtherBuild;
pub use capacity::{Capacities, UpstreamCapacity};
pub use fixtures::{
    ForwardedTokens, RelayCall, Run, account, add_other_models, fleet, listed_engine,
    listed_upstream, spread_upstreams, upstreams,
};
pub use store::StoreState;
pub use usage::UsageState;

use self::attempts::RunningEvent;
use crate::Random;

/// A simulated VM.
#[derive(Debug)]
struct Vm {
    name: VmName,
    /// Its failure domain from its next start on.
    domain: DomainName,
    /// `None` while the process is down.
    control: Option<Control>,
    incarnation: u64,
    /// Calls sent to this VM so far; numbers its call ids.
    calls: u64,
}

/// An input in flight to a VM; dropped if the VM is down or has restarted since it was sent.
#[derive(Debug)]
struct Event {
    vm: usize,
    incarnation: u64,
    input: Input,
}

/// Delivery time of an event in microseconds, and its number in the order of sending.
type EventKey = (u64, u64);

/// A fleet of VMs that each schedule their own calls, run in virtual time.
#[derive(Debug)]
pub struct RelayFleet {
    now_us: u64,
    vms: Vec<Vm>,
    /// Inputs in flight, by delivery time and then in the order in which they were sent.
    events: BTreeMap<EventKey, Event>,
    next_event: u64,
    random: Random,
    /// The simulated store of the platform.
    pub store: StoreState,
    /// The simulated storage VMs.
    pub usage: UsageState,
    /// Bound for evacuations in the settings of the VMs.
    evacuate_ms: Option<u64>,
    /// Whether VMs share the places of upstreams.
    shares_places: bool,
    /// VMs whose snapshots are those of a build that knows neither evacuations nor homes.
    older_builds: BTreeSet<usize>,
    /// Links (sender, receiver) that are interrupted.
    interrupted_links: BTreeSet<(usize, usize)>,
    /// VMs whose builds differ from that of the others.
    builds: BTreeMap<usize, OtherBuild>,
    /// All calls but the refused ones, with their behaviour on the upstream; finished calls stay.
    open: BTreeMap<CallId, RelayCall>,
    /// Attempts that are running, with the key of the event that ends them.
    running: BTreeMap<AttemptId, RunningEvent>,
    /// Upstreams that do not run normally.
    upstream_states: BTreeMap<String, UpstreamState>,
    /// VMs whose links to upstreams are lost, and how; `None` stands for all upstreams.
    lost_links: BTreeMap<(usize, Option<String>), LinkFault>,
    /// Rates that upstreams state in their responses, in thousandths of a call per second.
    stated_rates: BTreeMap<String, u64>,
    /// Upstreams of limited capacity; the others run any number of calls at once.
    pub capacities: Capacities,
    /// How long calls run on upstreams, in percent of their normal time.
    run_percents: BTreeMap<String, u64>,
    /// Cold times that upstreams state in their responses.
    cold_ms: BTreeMap<String, u64>,
    /// Every attempt sent to an upstream, in order of time.
    pub runs: Vec<Run>,
    /// Number of attempts that went through another VM.
    pub proxied_runs: u64,
    /// Tokens forwarded to callers, one entry per turn.
    pub forwarded: Vec<ForwardedTokens>,
    /// Calls that were answered completely.
    answered: BTreeSet<CallId>,
    /// Refused calls, with the time of each refusal in microseconds.
    pub refusals: Vec<(u64, Refusal)>,
}

/// # Construction
impl RelayFleet {
    /// Creates a fleet whose store holds the configuration and upstream list, and starts its VMs.
    pub fn new(vms: usize, config: FleetConfig, list: UpstreamList, seed: u64) -> Self {
        Self::start_all((vms, None, false), config, list, seed)
    }

    /// Like [`Self::new`], with the bound for evacuations in the settings of all VMs.
    pub fn with_evacuations(
        vms: usize,
        config: FleetConfig,
        list: UpstreamList,
        seed: u64,
    ) -> Self {
        Self::start_all((vms, Some(5_000), false), config, list, seed)
    }

    /// Like [`Self::new`], with VMs that share the places of upstreams.
    pub fn with_shared_places(
        vms: usize,
        config: FleetConfig,
        list: UpstreamList,
        seed: u64,
    ) -> Self {
        Self::start_all((vms, None, true), config, list, seed)
    }

    /// Creates a fleet and starts its VMs.
    fn start_all(
        (vms, evacuate_ms, shares_places): (usize, Option<u64>, bool),
        config: FleetConfig,
        list: UpstreamList,
        seed: u64,
    ) -> Self {
        let mut fleet = Self {
            evacuate_ms,
            shares_places,
            now_us: 3_600_000_000,
            vms: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            random: Random::new(seed),
            store: StoreState::new(config, list),
            usage: UsageState::default(),
            older_builds: BTreeSet::new(),
            interrupted_links: BTreeSet::new(),
            builds: BTreeMap::new(),
            open: BTreeMap::new(),
            running: BTreeMap::new(),
            upstream_states: BTreeMap::new(),
            lost_links: BTreeMap::new(),
            stated_rates: BTreeMap::new(),
            capacities: Capacities::default(),
            run_percents: BTreeMap::new(),
            cold_ms: BTreeMap::new(),
            runs: Vec::new(),
            proxied_runs: 0,
            forwarded: Vec::new(),
            answered: BTreeSet::new(),
            refusals: Vec::new(),
        };
        for number in 0..vms {
            fleet.vms.push(Vm {
                name: VmName::from(format!("vm-{number}")),
                domain: DomainName::from("north"),
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
            .failure_domain(row.domain.clone())
            .address(row.name.to_string())
            .tunnel_address(row.name.to_string())
            .coordination(Coordination::Peers)
            .policy(PolicyFeatures {
                learned_limit: false,
                share_places: self.shares_places,
                ..PolicyFeatures::default()
            })
            .is_first_start(is_first_start)
            .rate_wait_ms(400)
            .rate_window_ms(5_000)
            .maybe_evacuate_ms(self.evacuate_ms)
            .regions(fixtures::regions())
            .build();
        row.control = Some(Control::new(settings));
        self.tick(vm, Vec::new());
    }
}

/// # Faults
impl RelayFleet {
    /// Kills the process of a VM; its in-memory state is lost.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].control = None;
    }

    /// Restarts the process of a VM with a new incarnation.
    pub fn restart(&mut self, vm: usize) {
        self.start(vm, false);
    }

    /// Restarts the process of a VM in another failure domain.
    pub fn move_to(&mut self, vm: usize, domain: &str) {
        self.vms[vm].domain = DomainName::from(domain);
        self.restart(vm);
    }

    /// Makes a VM send the snapshots of a build that knows neither evacuations nor homes.
    pub fn set_older_build(&mut self, vm: usize) {
        self.older_builds.insert(vm);
    }

    /// Asks a VM to stop, which ends all calls after a time.
    pub fn stop(&mut self, vm: usize, calls_end_ms: u64) {
        let time_us = self.now_us + calls_end_ms * 1_000;
        self.tick(vm, vec![Input::EndCallsAt { time_us }, Input::Drain]);
    }

    /// Lets a VM receive the notice of an upstream's process that it is leaving.
    pub fn give_notice(&mut self, vm: usize, upstream: &str, started_unix_ms: u64) {
        let notice = Input::UpstreamLeaving {
            upstream: UpstreamName::from(upstream),
            started_unix_ms,
        };
        self.tick(vm, vec![notice]);
    }

    /// Lets a VM receive an input.
    pub fn give_input(&mut self, vm: usize, input: Input) {
        self.tick(vm, vec![input]);
    }

    /// Isolates a VM from all others and from the store, or reconnects it.
    pub fn set_isolated(&mut self, vm: usize, is_isolated: bool) {
        for other in 0..self.vms.len() {
            for pair in [(vm, other), (other, vm)] {
                if is_isolated {
                    self.interrupted_links.insert(pair);
                } else {
                    self.interrupted_links.remove(&pair);
                }
            }
        }
        self.store.set_reachable(vm, !is_isolated);
        self.usage.set_reachable(vm, !is_isolated);
    }
}

/// # Running
impl RelayFleet {
    /// Returns the current virtual time.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Returns the control of a VM that is up.
    ///
    /// # Panics
    ///
    /// Panics if the VM is down.
    pub fn control(&self, vm: usize) -> &Control {
        self.vms[vm].control.as_ref().expect("VM is down")
    }

    /// Returns whether a VM is up and ready.
    pub fn is_ready(&self, vm: usize) -> bool {
        let control = self.vms[vm].control.as_ref();
        control.is_some_and(|control| control.is_ready(self.now_us))
    }

    /// Advances the virtual time by `ms` and handles everything that falls due.
    pub fn run_ms(&mut self, ms: u64) {
        let until_us = self.now_us + ms * 1_000;
        while let Some(at_us) = self.next_due_us().filter(|at_us| *at_us <= until_us) {
            self.now_us = at_us.max(self.now_us);
            self.step();
        }
        self.now_us = until_us;
    }

    /// Returns the time of the next event or timer.
    fn next_due_us(&self) -> Option<u64> {
        let event = self.events.keys().next().map(|(at_us, _)| *at_us);
        let timers = self.vms.iter().filter_map(|vm| {
            let control = vm.control.as_ref()?;
            control.next_deadline_us()
        });
        timers.chain(event).min()
    }

    /// Delivers all due events, then runs the VMs whose timers are due.
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

    /// Runs one tick of a VM and delivers its outputs.
    fn tick(&mut self, vm: usize, inputs: Vec<Input>) {
        let mut outputs = Vec::new();
        let now_us = self.now_us;
        if let Some(control) = self.vms[vm].control.as_mut() {
            control.tick(now_us, inputs, &mut outputs);
        }
        for output in outputs {
            self.handle_output(vm, output);
        }
    }

    /// Schedules an input for the current incarnation of a VM; returns the key of the event.
    fn deliver(&mut self, vm: usize, delay_us: u64, input: Input) -> EventKey {
        let event = Event {
            vm,
            incarnation: self.vms[vm].incarnation,
            input,
        };
        self.next_event += 1;
        let key = (self.now_us + delay_us, self.next_event);
        self.events.insert(key, event);
        key
    }

    /// Sends a call to a VM and returns its id.
    pub fn call(&mut self, vm: usize, call: RelayCall) -> CallId {
        let row = &mut self.vms[vm];
        row.calls += 1;
        let id = CallId {
            incarnation: Incarnation(row.incarnation * 1_000 + vm as u64),
            seq: row.calls,
        };
        let new = call.to_new_call(id, self.now_us);
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

    /// Returns the upstreams to which a call was sent, in order of time.
    pub fn upstreams_of(&self, call: CallId) -> Vec<&str> {
        let runs = self.runs.iter().filter(|run| run.call == call);
        runs.map(|run| run.upstream.as_str()).collect()
    }

    /// Returns the number of calls that were answered completely.
    pub fn answered_calls(&self) -> usize {
        self.answered.len()
    }

    /// Returns whether a call was answered completely.
    pub fn is_answered(&self, call: CallId) -> bool {
        self.answered.contains(&call)
    }

    /// Returns why a call was refused; `None` if it was not.
    pub fn refusal(&self, call: CallId) -> Option<RefusalKind> {
        let refusals = self.refusals.iter();
        let mut kinds = refusals.filter(|(_, refusal)| refusal.call == call);
        kinds.next().map(|(_, refusal)| refusal.kind)
    }

    /// Returns the maximum number of an account's calls that ran within any window of this length.
    pub fn max_runs_in_window(&self, account: &str, window_ms: u64) -> usize {
        let runs = self.runs.iter().filter(|run| run.account == account);
        let times: Vec<u64> = runs.map(|run| run.at_us).collect();
        let within = |from: usize| {
            let until_us = times[from] + window_ms * 1_000;
            times[from..].partition_point(|at_us| *at_us < until_us)
        };
        (0..times.len()).map(within).max().unwrap_or(0)
    }

    /// Returns the tokens forwarded to the callers of a program.
    pub fn forwarded_tokens(&self, program: &str) -> u64 {
        let forwarded = self.forwarded.iter().filter(|row| row.program == program);
        forwarded.map(|row| row.tokens).sum()
    }

    /// Returns the configuration that the store serves.
    pub fn published_config(&self) -> Arc<FleetConfig> {
        self.store.config()
    }

    /// Draws a random number below `bound` from the fleet's seeded generator.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// Returns whether only owners produce this output.
    fn is_owner_output(output: &Output) -> bool {
        matches!(
            output,
            Output::Store(_) | Output::Send { .. } | Output::Order(_)
        )
    }
}
