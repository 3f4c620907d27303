//! Invariants of calls and their charges.

use std::collections::{BTreeMap, BTreeSet};

use knapweeddale_core::{CallId, Execution, NewCall};

use crate::mesh::{Trace, TraceEvent};

/// Checks that a non-idempotent request runs at most once.
///
/// Repeated requests are identified by account, program, turn and content.
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
        let program = dispatch.program.as_ref().map(|(key, _)| key.clone());
        if !runs.insert((program.clone(), turn, call.digest)) {
            return Err(format!("{program:?} turn {turn} ran again at {at_us} us"));
        }
    }
    Ok(())
}

/// Checks that no call ran whose refusal says that it did not.
///
/// # Errors
///
/// Returns the call that ran despite its refusal.
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

/// Checks that each call that ran has one charge record and each other call has none.
///
/// A record whose outcome is unknown may belong to a call that did not run. Calls that got
/// neither a response nor a refusal, because their VM crashed, need no record. No call has more
/// than one.
///
/// # Errors
///
/// Returns the call with a missing, extra or duplicate record.
pub fn charges_reconcile(trace: &Trace) -> Result<(), String> {
    let executed = executions(trace);
    let mut charged = BTreeSet::new();
    for (_, event) in &trace.events {
        let TraceEvent::Charged(charge) = event else {
            continue;
        };
        let call = charge.attempt.call;
        if charge.outcome.is_certain() && !executed.contains_key(&call) {
            return Err(format!("call {call} was charged but did not run"));
        }
        if !charged.insert(call) {
            return Err(format!("call {call} was charged twice"));
        }
    }
    for (_, event) in &trace.events {
        let ended = match event {
            TraceEvent::Answered(answered) => answered.call,
            TraceEvent::Refused(refusal) if executed.contains_key(&refusal.call) => refusal.call,
            _ => continue,
        };
        if !charged.contains(&ended) {
            return Err(format!("call {ended} ran and ended but was not charged"));
        }
    }
    Ok(())
}

/// Checks that a caller gets the response to its own request.
///
/// A call with a response of its own has run. A replayed response belongs to a call of the same
/// program, turn, target and content that ran on the VM that stores the response. No call gets two
/// responses.
///
/// # Errors
///
/// Returns the call that got a wrong or second response.
pub fn answer_matches_request(trace: &Trace) -> Result<(), String> {
    let mut arrived = BTreeMap::new();
    let mut ran_on = BTreeMap::new();
    let mut closed = BTreeSet::new();
    for (at_us, event) in &trace.events {
        let call = match event {
            TraceEvent::Arrived { call, .. } => {
                arrived.insert(call.id, call);
                continue;
            }
            TraceEvent::Executed { vm, call, .. } => {
                ran_on.insert(call.id, vm);
                continue;
            }
            TraceEvent::Answered(answered) if !ran_on.contains_key(&answered.call) => {
                return Err(format!(
                    "call {} got a response but did not run",
                    answered.call
                ));
            }
            TraceEvent::Answered(answered) => answered.call,
            TraceEvent::Refused(refusal) => refusal.call,
            TraceEvent::Replayed {
                call, vm, original, ..
            } => {
                let pair = arrived.get(call).zip(arrived.get(original));
                let is_same = pair.is_some_and(|(a, b)| {
                    let program_turn = |call: &NewCall| {
                        let program = call.program.clone();
                        program.map(|program| (program.name, program.turn))
                    };
                    a.digest == b.digest
                        && a.target == b.target
                        && program_turn(a) == program_turn(b)
                });
                if !is_same || ran_on.get(original) != Some(&vm) {
                    return Err(format!("call {call} got the response to {original}"));
                }
                *call
            }
            _ => continue,
        };
        if !closed.insert(call) {
            return Err(format!("call {call} was closed twice, again at {at_us} us"));
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
