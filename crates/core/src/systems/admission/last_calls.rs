//! Calls of a process that was asked to stop.
//!
//! The load balancer may send calls to a stopping VM until its process ends. A call that may last
//! longer than the process is refused before it runs, since its caller can send it to another VM
//! at once; cut off later, it would be lost. What counts is the time limit of the call, not how
//! long such calls usually last: the slowest ones are those that would be cut off.

use super::super::Tick;
use super::{refuse, withdraw};
use crate::ids::CallId;
use crate::output::{Execution, RefusalKind};
use crate::tables::{Call, RelayState, Stage};

/// Returns whether a call may still run when the process ends all calls.
pub(super) fn may_outlast_process(tick: &Tick<'_>, relay: Option<&RelayState>) -> bool {
    let calls_end_us = tick.tables.membership.departure.calls_end_us;
    let deadline_us = relay.map(|relay| relay.deadline_us.max(relay.stream_deadline_us));
    calls_end_us
        .zip(deadline_us)
        .is_some_and(|(end_us, deadline_us)| deadline_us > end_us)
}

/// Sets when all open calls end, and refuses those that wait and may last longer.
pub(super) fn end_calls_at(tick: &mut Tick<'_>, time_us: u64) {
    tick.tables.membership.departure.calls_end_us = Some(time_us);
    let is_late = |call: &Call| {
        let is_waiting = matches!(call.stage, Stage::Rate | Stage::Budget | Stage::Place);
        is_waiting && !call.may_have_run && may_outlast_process(tick, call.relay.as_deref())
    };
    let calls = tick.tables.calls.iter();
    let late: Vec<CallId> = calls
        .filter_map(|(id, call)| is_late(call).then_some(*id))
        .collect();
    for id in late {
        if tick
            .tables
            .calls
            .get(&id)
            .is_some_and(|call| call.stage == Stage::Place)
        {
            withdraw(tick, id);
        }
        refuse(tick, id, RefusalKind::Draining, Execution::NotRun, None);
    }
}
