//! The control state of a VM: its tables and the systems that run over them each tick.

use crate::config::{Coordination, CoreSettings};
use crate::ids::Epoch;
use crate::input::Input;
use crate::message::Snapshot;
use crate::output::Output;
use crate::systems::{self, Tick, Work};
use crate::tables::{Member, ProgramKnowledge, Tables, Timer, View};

/// Maximum number of passes of the systems over their inputs in one tick.
///
/// Messages that a VM sends to itself need further passes; the longest chain of
/// them, through all parts of a call, needs fewer passes than this.
const MAX_PASSES: usize = 16;

/// The control state of one VM, which makes all its decisions.
///
/// One thread owns the value and calls [`Control::tick`] when inputs arrive
/// or [`Control::next_deadline_us`] is reached.
#[derive(Debug)]
pub struct Control {
    settings: CoreSettings,
    tables: Tables,
    work: Work,
}

impl Control {
    /// Creates the control state of a VM that has just started.
    pub fn new(settings: CoreSettings) -> Self {
        let mut tables = Tables::default();
        match settings.coordination {
            Coordination::Owners => tables.timers.set(0, Timer::Heartbeat),
            Coordination::Peers => init_own_view(&settings, &mut tables),
        }
        Self {
            settings,
            tables,
            work: Work::default(),
        }
    }

    /// Handles inputs and due timers.
    ///
    /// `now_us` is monotonic time in microseconds from an arbitrary start. Outputs
    /// are appended in the order in which they have to be executed.
    pub fn tick(
        &mut self,
        now_us: u64,
        inputs: impl IntoIterator<Item = Input>,
        outputs: &mut Vec<Output>,
    ) {
        let mut tick = Tick {
            now_us,
            settings: &self.settings,
            tables: &mut self.tables,
            work: &mut self.work,
            outputs,
        };
        if tick.tables.source.started_us == 0 {
            tick.tables.source.started_us = now_us;
        }
        systems::intake::run(&mut tick, inputs);
        systems::timers::run(&mut tick);
        for _ in 0..MAX_PASSES {
            if tick.work.is_empty() {
                break;
            }
            systems::run_pass(&mut tick);
        }
    }

    /// Returns the latest time for the next [`Control::tick`]; `None` if no timer is set.
    pub fn next_deadline_us(&self) -> Option<u64> {
        if !self.work.is_empty() {
            return Some(0);
        }
        self.tables.timers.next_due_us()
    }

    /// Returns whether the load balancer may send calls to this VM.
    ///
    /// It may while the VM is not isolated and has the newest configuration that
    /// it knows of, until it is asked to stop.
    pub fn is_ready(&self, now_us: u64) -> bool {
        let tables = &self.tables;
        tables.fleet.revision.0 > 0
            && tables.fleet.revision >= tables.newest_revision
            && !tables.is_isolated(&self.settings, now_us)
            && !tables.membership.departure.is_draining
    }

    /// Returns whether this VM was asked to stop and has handed everything over.
    ///
    /// Calls may still be running.
    pub fn has_left(&self) -> bool {
        self.tables.membership.departure.has_left
    }

    /// Returns the state of this VM, for a VM that lacks part of it.
    pub fn snapshot(&self, now_us: u64, with_programs: bool) -> Snapshot {
        systems::peers::snapshot(&self.tables, now_us, with_programs)
    }

    /// Returns the number of upstreams that are far slower than their pools at present.
    pub fn slow_upstreams(&self, now_us: u64) -> usize {
        systems::placement::count_slow(&self.tables, now_us)
    }

    /// Returns the tables, read-only.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the settings that the VM was started with.
    pub fn settings(&self) -> &CoreSettings {
        &self.settings
    }
}

/// Initializes the tables of a VM that decides for its own calls only.
///
/// Its view has this VM as the only member, so it owns the pools of its calls.
fn init_own_view(settings: &CoreSettings, tables: &mut Tables) {
    let mut view = View {
        epoch: Epoch(1),
        ..View::default()
    };
    view.insert_member(Member {
        vm: settings.vm.clone(),
        incarnation: settings.incarnation,
        failure_domain: settings.failure_domain.clone(),
        address: settings.address.clone(),
        leaving: false,
        joined: view.epoch,
    });
    tables.placement_epoch = view.epoch;
    tables.view = view;
    if settings.is_first_start {
        tables.source.knowledge = ProgramKnowledge::Known {
            losses: 0,
            counted_us: 0,
        };
    }
    tables.timers.set(0, Timer::Source);
    tables.timers.set(0, Timer::Summary);
}
