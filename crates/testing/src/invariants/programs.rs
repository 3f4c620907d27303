//! Invariants of the order, history and budget of programs.

use std::collections::{BTreeMap, BTreeSet};

use knapweeddale_core::input::Continuation;
use knapweeddale_core::{CallId, FleetConfig, NewCall, ProgramKey, Target, VmName};

use crate::mesh::{Trace, TraceEvent, history_after};

/// Checks that the turns of a program run in order.
///
/// Turn *n+1* runs only after an attempt at turn *n* has ended. A lower turn
/// runs again only if every VM that ran a higher one has crashed since.
///
/// # Errors
///
/// Returns the turn that ran out of order.
pub fn program_order(trace: &Trace) -> Result<(), String> {
    let mut runs: BTreeMap<(&ProgramKey, u64), Vec<(u32, &VmName)>> = BTreeMap::new();
    let mut ended: BTreeSet<(&ProgramKey, u32)> = BTreeSet::new();
    let mut crashed: BTreeSet<&VmName> = BTreeSet::new();
    for (at_us, event) in &trace.events {
        match event {
            TraceEvent::Crashed { vm } => {
                crashed.insert(vm);
            }
            TraceEvent::Charged(charge) => {
                ended.extend(charge.program.as_ref().map(|(key, turn)| (key, *turn)));
            }
            TraceEvent::Executed { vm, dispatch, call } => {
                let (Some((key, generation)), Some(place)) = (&dispatch.program, &call.program)
                else {
                    continue;
                };
                let turn = place.turn;
                let before = runs.entry((key, *generation)).or_default();
                let later = before
                    .iter()
                    .find(|(n, vm)| *n > turn && !crashed.contains(vm));
                if let Some((later, vm)) = later {
                    return Err(format!(
                        "{key} turn {turn} ran at {at_us} us after turn {later} on {vm}"
                    ));
                }
                if turn > 1 && !ended.contains(&(key, turn - 1)) {
                    return Err(format!(
                        "{key} turn {turn} ran at {at_us} us before the previous turn ended"
                    ));
                }
                before.push((turn, vm));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Checks that a program's history is never lost or mixed with another's.
///
/// Each continuation names the program and turn of its call and holds the digest of the request's
/// history with this call added; with a replayed response, these are those of the call that ran. A
/// call to a model runs only on the history of the previous turn.
///
/// # Errors
///
/// Returns the call that ran on, or returned, a wrong history.
pub fn history_intact(trace: &Trace) -> Result<(), String> {
    let mut calls = ExecutedCalls::new();
    let mut issued: Vec<&Continuation> = Vec::new();
    for (at_us, event) in &trace.events {
        match event {
            TraceEvent::Executed { dispatch, call, .. } => {
                let key = dispatch.program.as_ref().map(|(key, _)| key);
                calls.insert(call.id, (call, key));
                let Some(place) = &call.program else {
                    continue;
                };
                let is_model = matches!(call.target, Target::Model(_));
                let is_first = place.turn == 1 && place.continuation.is_none();
                let carried = place.continuation.as_ref();
                let follows =
                    carried.is_some_and(|c| c.turn + 1 == place.turn && issued.contains(&c));
                if is_model && !is_first && !follows {
                    return Err(format!(
                        "call {} ran on a wrong history at {at_us} us",
                        call.id
                    ));
                }
            }
            TraceEvent::Answered(answered) => {
                if let Some(continuation) = &answered.continuation {
                    check_continuation(&calls, answered.call, continuation, *at_us)?;
                    issued.push(continuation);
                }
            }
            TraceEvent::Replayed {
                original,
                continuation,
                ..
            } => {
                check_continuation(&calls, *original, continuation, *at_us)?;
                issued.push(continuation);
            }
            _ => {}
        }
    }
    Ok(())
}

/// Calls that ran, with the program of each.
type ExecutedCalls<'a> = BTreeMap<CallId, (&'a NewCall, Option<&'a ProgramKey>)>;

/// Checks the continuation that the caller of a call received.
fn check_continuation(
    calls: &ExecutedCalls<'_>,
    id: CallId,
    continuation: &Continuation,
    at_us: u64,
) -> Result<(), String> {
    let Some((call, key)) = calls.get(&id) else {
        return Err(format!("call {id} has a continuation but did not run"));
    };
    let place = call.program.as_ref();
    let carried = place.and_then(|place| place.continuation.as_ref());
    let expected = match call.target {
        Target::Model(_) => Some(history_after(call)),
        Target::Plain { .. } | Target::Host { .. } => carried.map(|carried| carried.history),
    };
    let is_correct = Some(&continuation.program) == *key
        && Some(continuation.turn) == place.map(|place| place.turn)
        && expected.is_none_or(|expected| expected == continuation.history);
    if !is_correct {
        return Err(format!("call {id} got a wrong continuation at {at_us} us"));
    }
    Ok(())
}

/// Checks that no program exceeds its budget.
///
/// Sums the charges of each root program and its sub-agents. A turn that ran again, because the VMs
/// that knew of its end crashed, counts once, with its highest charge. Traces in which a program is
/// started a second time are not supported.
///
/// # Errors
///
/// Returns the root program and its used tokens and turns.
pub fn budget_holds(trace: &Trace, fleet: &FleetConfig) -> Result<(), String> {
    let mut turns: BTreeMap<(ProgramKey, &ProgramKey, u32), u64> = BTreeMap::new();
    for (_, event) in &trace.events {
        let TraceEvent::Charged(charge) = event else {
            continue;
        };
        if let Some((key, turn)) = &charge.program {
            let used_tokens = turns.entry((key.root(), key, *turn)).or_default();
            *used_tokens = (*used_tokens).max(charge.prompt_tokens + charge.answer_tokens);
        }
    }
    let mut used: BTreeMap<&ProgramKey, (u64, u32)> = BTreeMap::new();
    for ((root, ..), used_tokens) in &turns {
        let row = used.entry(root).or_default();
        row.0 += used_tokens;
        row.1 += 1;
    }
    for (root, (used_tokens, turns)) in used {
        let account = fleet.accounts.iter().find(|row| row.name == root.account);
        let is_over = account.is_none_or(|account| {
            used_tokens > account.program_tokens || turns > account.program_turns
        });
        if is_over {
            return Err(format!("{root} used {used_tokens} tokens in {turns} turns"));
        }
    }
    Ok(())
}
