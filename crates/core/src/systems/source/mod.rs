//! Schedules the reads of this VM from the platform's store.
//!
//! VMs share what they have read. Each VM reads for itself only when its data is older than a
//! limit that grows with its rank among the reachable VMs. Normally only the first VM reads, and
//! the next one takes over when the first cannot.

use std::sync::Arc;

use super::{Tick, budgets, config, confinement, peers};
use crate::input::{SourceEvent, SourceRequestKind};
use crate::output::{Decision, Output, SourceRequest};
use crate::tables::{ProgramKnowledge, ReadState, Timer};

/// Age of the data at which the first VM reads again.
const FIRST_READ_AGE_US: u64 = 450_000;

/// Age of the data at which the second VM reads.
const SECOND_READ_AGE_US: u64 = 900_000;

/// Added to the age for each further rank, so that VMs do not all read at once.
const READ_AGE_STEP_US: u64 = 80_000;

/// Number of ranks after the second whose age increases; all later ones read at the same age.
const READ_AGE_STEPS: u64 = 4;

/// Backoff after the first failure; it doubles with each further one.
const MIN_BACKOFF_US: u64 = 100_000;

/// Maximum backoff after a failure.
const MAX_BACKOFF_US: u64 = 400_000;

/// Age at which the registered VMs are read again.
const VM_READ_AGE_US: u64 = 60_000_000;

/// The same during startup.
const STARTUP_VM_READ_AGE_US: u64 = 3_000_000;

/// The same if the list is wanted as it is now, so that callers who ask for turns that do not exist
/// cause no more than five reads a second.
const WANTED_VM_READ_AGE_US: u64 = 200_000;

/// Duration of the startup phase.
const STARTUP_US: u64 = 10_000_000;

/// Time between two reads of the list that counts as a store outage.
const OUTAGE_US: u64 = 1_600_000;

/// Time that other VMs get to report programs before the store is asked for losses.
const PEER_ANSWER_WAIT_US: u64 = 450_000;

/// Timeout of a request.
const REQUEST_TIMEOUT_US: u64 = 2_000_000;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub events: Vec<SourceEvent>,
    /// Number of the last wish for the list of VMs with a disk.
    pub wanted_list: u64,
    /// Whether the timer of this system is due.
    pub is_due: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && !self.is_due && self.wanted_list == 0
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.source);
    if work.is_empty() {
        return;
    }
    let wishes = &mut tick.tables.source.list_wishes;
    wishes.wanted = wishes.wanted.max(work.wanted_list);
    for event in work.events {
        handle_event(tick, event);
    }
    send_due_reads(tick);
}

/// Handles an answer of the store.
fn handle_event(tick: &mut Tick<'_>, event: SourceEvent) {
    match event {
        SourceEvent::Config { sent_us, fleet } => {
            record_answer(tick, &SourceRequestKind::Config);
            if let Some(fleet) = fleet {
                config::adopt(tick, fleet);
            }
            tick.tables.source.config.record_read(sent_us);
        }
        SourceEvent::Upstreams {
            sent_us,
            list,
            evacuations,
        } => {
            record_answer(tick, &SourceRequestKind::Upstreams);
            record_outage_end(tick);
            confinement::record_answer(tick, evacuations);
            config::adopt_store_list(tick, &list);
            tick.tables.source.list.record_read(sent_us);
        }
        SourceEvent::Evacuations(evacuations) => {
            confinement::record_answer(tick, Some(evacuations));
            config::mark_list_again(tick);
        }
        SourceEvent::Vms { relays, keepers } => {
            record_answer(tick, &SourceRequestKind::Vms);
            let now_us = tick.now_us;
            tick.tables.source.vms.record_read(now_us);
            let wishes = &mut tick.tables.source.list_wishes;
            wishes.answered = wishes.requested;
            tick.tables.source.keepers = Arc::new(keepers);
            peers::add_vms(tick, relays);
            tick.work.peers.announce = true;
        }
        SourceEvent::Losses { losses, records } => {
            record_answer(tick, &SourceRequestKind::Losses);
            if tick.tables.source.knowledge == ProgramKnowledge::Pending {
                for record in &records {
                    budgets::restore_record(tick, record);
                }
                budgets::mark_programs_known(tick, losses, records.len());
            }
        }
        SourceEvent::Reserved { program, tokens } => {
            tick.work.budgets.reservations.push((program, Some(tokens)));
        }
        SourceEvent::Failed(SourceRequestKind::Budget(program)) => {
            tick.work.budgets.reservations.push((program, None));
        }
        SourceEvent::Failed(part) => record_failure(tick, &part),
    }
}

/// Returns the read state of a part; budgets have none.
fn read_state<'a>(tick: &'a mut Tick<'_>, part: &SourceRequestKind) -> Option<&'a mut ReadState> {
    let source = &mut tick.tables.source;
    match part {
        SourceRequestKind::Config => Some(&mut source.config),
        SourceRequestKind::Upstreams => Some(&mut source.list),
        SourceRequestKind::Vms => Some(&mut source.vms),
        SourceRequestKind::Losses => Some(&mut source.losses),
        SourceRequestKind::Budget(_) => None,
    }
}

/// Records an answer and resets the backoff.
fn record_answer(tick: &mut Tick<'_>, part: &SourceRequestKind) {
    if let Some(state) = read_state(tick, part) {
        state.requested_us = None;
        state.failures = 0;
        state.retry_us = 0;
    }
    if std::mem::take(&mut tick.tables.source.is_unreachable) {
        tick.log(Decision::SourceAvailable);
    }
}

/// Records a failed request and backs off.
fn record_failure(tick: &mut Tick<'_>, part: &SourceRequestKind) {
    let now_us = tick.now_us;
    if *part == SourceRequestKind::Vms {
        let wishes = &mut tick.tables.source.list_wishes;
        wishes.failed = wishes.requested;
    }
    if let Some(state) = read_state(tick, part) {
        let delay_us = (MIN_BACKOFF_US << state.failures.min(4)).min(MAX_BACKOFF_US);
        state.requested_us = None;
        state.failures += 1;
        state.retry_us = now_us + delay_us;
    }
    if !std::mem::replace(&mut tick.tables.source.is_unreachable, true) {
        let age_us = tick.tables.source.config.age_us(now_us);
        tick.log(Decision::SourceUnavailable {
            config_age_ms: age_us.map(|age_us| age_us / 1_000),
        });
    }
}

/// Records the end of a store outage in which list entries may have expired.
fn record_outage_end(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let source = &mut tick.tables.source;
    if source
        .list
        .age_us(now_us)
        .is_some_and(|age_us| age_us > OUTAGE_US)
    {
        source.list_resumed_us = Some(now_us);
    }
}

/// Sends the read requests that are due and schedules the next check.
fn send_due_reads(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let age_us = read_age_us(tick.tables.peering.rank);
    let config_age_us = match tick.tables.source.is_config_partial {
        true => 0,
        false => age_us,
    };
    let parts = [
        (
            SourceRequestKind::Config,
            SourceRequest::Config,
            config_age_us,
        ),
        (
            SourceRequestKind::Upstreams,
            SourceRequest::Upstreams {
                with_evacuations: confinement::must_read_evacuations(tick),
            },
            age_us,
        ),
        (
            SourceRequestKind::Vms,
            SourceRequest::Vms,
            vm_read_age_us(tick),
        ),
        (SourceRequestKind::Losses, SourceRequest::Losses, 0),
    ];
    let mut next_us = u64::MAX;
    for (part, request, age_us) in parts {
        let Some(state) = read_state(tick, &part) else {
            continue;
        };
        let due_us = due_us(state, age_us);
        if due_us > now_us {
            next_us = next_us.min(due_us);
            continue;
        }
        if part == SourceRequestKind::Losses && !should_read_losses(tick) {
            next_us = next_us.min(now_us + PEER_ANSWER_WAIT_US);
            continue;
        }
        let Some(state) = read_state(tick, &part) else {
            continue;
        };
        state.requested_us = Some(now_us);
        if part == SourceRequestKind::Vms {
            let wishes = &mut tick.tables.source.list_wishes;
            wishes.requested = wishes.wanted;
        }
        confinement::record_request(tick, &request);
        next_us = next_us.min(now_us + REQUEST_TIMEOUT_US);
        tick.outputs.push(Output::Source(request));
    }
    tick.tables.timers.set(next_us, Timer::Source);
}

/// Returns the age at which the registered VMs are read again.
///
/// It is shorter during startup: when all VMs start together, the first read shows only those VMs
/// with a disk that have registered by then. It is shortest if the list is wanted as it is now.
fn vm_read_age_us(tick: &Tick<'_>) -> u64 {
    let wishes = tick.tables.source.list_wishes;
    if wishes.wanted > wishes.answered {
        return WANTED_VM_READ_AGE_US;
    }
    let started_us = tick.tables.source.started_us;
    if tick.now_us < started_us + STARTUP_US {
        STARTUP_VM_READ_AGE_US
    } else {
        VM_READ_AGE_US
    }
}

/// Returns whether the store has to be asked for losses of memory.
///
/// That is the case when the other VMs had time to report the programs and none did.
fn should_read_losses(tick: &Tick<'_>) -> bool {
    let source = &tick.tables.source;
    let is_pending = source.knowledge == ProgramKnowledge::Pending;
    let has_waited = tick.now_us >= source.started_us + PEER_ANSWER_WAIT_US;
    let knows_vms = source.vms.read_us.is_some();
    is_pending && knows_vms && has_waited && tick.tables.peering.snapshot_requested_us.is_none()
}

/// Returns the age of the data at which a VM of this rank reads again.
fn read_age_us(rank: u64) -> u64 {
    match rank {
        0 => FIRST_READ_AGE_US,
        rank => SECOND_READ_AGE_US + READ_AGE_STEP_US * (rank - 1).min(READ_AGE_STEPS),
    }
}

/// Returns when a part has to be read, after any backoff or pending request.
fn due_us(state: &ReadState, age_us: u64) -> u64 {
    let stale_us = state.read_us.map_or(0, |read_us| read_us + age_us);
    let answer_us = state
        .requested_us
        .map_or(0, |sent_us| sent_us + REQUEST_TIMEOUT_US);
    stale_us.max(state.retry_us).max(answer_us)
}
