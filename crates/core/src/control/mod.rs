//! The control value: all tables and the systems that run over them.

use crate::config::{Coordination, CoreSettings};
use crate::ids::Epoch;
use crate::input::Input;
use crate::message::Snapshot;
use crate::output::Output;
use crate::systems::{self, Tick, Work};
use crate::tables::{Member, ProgramKnowledge, Tables, Timer, View};

/// How often the systems run over the work lists in one tick.
///
/// Messages of a VM to itself make further work; a chain through all parts of
/// a call takes fewer passes than this.
const MAX_PASSES: usize = 16;

/// The decisions of one VM.
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
    /// Makes the control value of a VM that has just started.
    pub fn new(settings: CoreSettings) -> Self {
        let mut tables = Tables::default();
        match settings.coordination {
            Coordination::Owners => tables.timers.set(0, Timer::Heartbeat),
            Coordination::Peers => start_alone(&settings, &mut tables),
        }
        Self {
            settings,
            tables,
            work: Work::default(),
        }
    }

    /// Handles inputs and everything that is due.
    ///
    /// `now_us` is monotonic time in microseconds; its start is of no
    /// importance. Outputs are appended in the order in which they have to be
    /// carried out.
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

    /// Returns when [`Control::tick`] has to be called at the latest.
    pub fn next_deadline_us(&self) -> Option<u64> {
        if !self.work.is_empty() {
            return Some(0);
        }
        self.tables.timers.next_due_us()
    }

    /// Returns whether the load balancer may send calls to this VM.
    ///
    /// That is the case once the VM is connected to the fleet and has the
    /// newest configuration that it has heard of, until it is asked to stop.
    pub fn is_ready(&self, now_us: u64) -> bool {
        let tables = &self.tables;
        tables.fleet.revision.0 > 0
            && tables.fleet.revision >= tables.newest_revision
            && !tables.is_isolated(&self.settings, now_us)
            && !tables.membership.departure.is_draining
    }

    /// Returns whether a VM that was asked to stop has handed everything over.
    ///
    /// Calls that still run are not counted here.
    pub fn has_left(&self) -> bool {
        self.tables.membership.departure.has_left
    }

    /// Returns the state of this VM for another one that lacks a part of it.
    pub fn snapshot(&self, now_us: u64, with_programs: bool) -> Snapshot {
        systems::peers::snapshot(&self.tables, now_us, with_programs)
    }

    /// Returns the tables for reading.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the settings.
    pub fn settings(&self) -> &CoreSettings {
        &self.settings
    }
}

/// Prepares the tables of a VM that decides for its own calls.
///
/// It is the only member of its view and so owns the pools of its own calls.
fn start_alone(settings: &CoreSettings, tables: &mut Tables) {
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
