//! Invariants of calls and charges.

use std::collections::{BTreeMap, BTreeSet};

use knapweeddale_core::{CallId, Execution};

use crate::mesh::{Trace, TraceEvent};

/// A request that may not be repeated runs at most once.
///
/// Resends of a request are recognised by account, program and turn.
///
/// # Errors
///
/// Returns the turn that ran twice.
pub fn at_most_once(trace: &Trace) -> Result<(), String> {
    let mut runs = BTreeSet::new();
    for (at_us, event) in &trace.events {
        let TraceEvent::Executed { dispatch, call, .. } = event else {
            continue;
        };
        if call.permit.is_none() {
            continue;
        }
        let turn = call.program.as_ref().map_or(0, |program| program.turn);
        if !runs.insert((dispatch.program.clone(), turn)) {
            let program = &dispatch.program;
            return Err(format!("{program:?} turn {turn} ran again at {at_us} us"));
        }
    }
    Ok(())
}

/// A refusal that says "not run" is true.
///
/// # Errors
///
/// Returns the call that ran although its refusal denied it.
pub fn refusal_is_true(trace: &Trace) -> Result<(), String> {
    let executed = executions(trace);
    for (at_us, event) in &trace.events {
        let TraceEvent::Refused(refusal) = event else {
            continue;
        };
        if refusal.ran == Execution::NotRun && executed.contains_key(&refusal.call) {
            let call = refusal.call;
            return Err(format!(
                "call {call} ran but was refused as not run at {at_us} us"
            ));
        }
    }
    Ok(())
}

/// One charge record for each call that ran, none for one that did not.
///
/// Only calls that were answered must have a record; any call has at most one.
///
/// # Errors
///
/// Returns the call whose records are wrong.
pub fn charges_reconcile(trace: &Trace) -> Result<(), String> {
    let executed = executions(trace);
    let mut charged = BTreeSet::new();
    for (_, event) in &trace.events {
        let TraceEvent::Charged(charge) = event else {
            continue;
        };
        let call = charge.attempt.call;
        if !executed.contains_key(&call) {
            return Err(format!("call {call} was charged but did not run"));
        }
        if !charged.insert(call) {
            return Err(format!("call {call} was charged twice"));
        }
    }
    for (_, event) in &trace.events {
        if let TraceEvent::Answered(answered) = event
            && !charged.contains(&answered.call)
        {
            return Err(format!(
                "call {} was answered but not charged",
                answered.call
            ));
        }
    }
    Ok(())
}

/// Counts the executions of each call.
fn executions(trace: &Trace) -> BTreeMap<CallId, u64> {
    let mut executed = BTreeMap::new();
    for (_, event) in &trace.events {
        if let TraceEvent::Executed { call, .. } = event {
            *executed.entry(call.id).or_default() += 1;
        }
    }
    executed
}
