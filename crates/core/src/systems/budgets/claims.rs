//! Claims on the free parts of budgets, which storage VMs record.

use std::sync::Arc;

use smallvec::SmallVec;

use super::{cover_turn, deny_turn, reserve, start_turn, take_waiting};
use crate::ids::{CallId, Incarnation, ProgramKey, VmName};
use crate::origins::choose_holders;
use crate::output::{ClaimDecision, Output};
use crate::systems::Tick;
use crate::tables::{Call, Coverage, PendingClaim, Stage};
use crate::usage::{ClaimAnswer, ClaimResult, ProcessClaim, TurnClaim, UsageClaim};

/// VMs that are asked to pass a claim on.
const MAX_PROXIES: usize = 2;

/// Has storage VMs record a turn that would use the free part of its program's budget.
pub(super) fn claim_turn(
    tick: &mut Tick<'_>,
    program: &ProgramKey,
    call: CallId,
    turn_tokens: u64,
) {
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    row.pending_claim = Some(PendingClaim::Turn { call, turn_tokens });
    let turn = row.turn_claim(turn_tokens);
    send(tick, program, Request::Turn(turn));
}

/// Has storage VMs end the use of the free part, so that what was used of it is known.
pub(super) fn close(
    tick: &mut Tick<'_>,
    program: &ProgramKey,
    turn_tokens: u64,
    needed_tokens: u64,
) {
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    row.pending_claim = Some(PendingClaim::Close {
        turn_tokens,
        needed_tokens,
    });
    send(tick, program, Request::Close);
}

/// Reports what an ended turn has used of its claim, or that a turn does not run, so that the rest is
/// free again.
///
/// All storage VMs that may have recorded the claim get the report: the next turn may come through a
/// VM for which another one of them decides.
pub(super) fn report(tick: &mut Tick<'_>, program: &ProgramKey) {
    if let Some(row) = tick.tables.budgets.get_mut(program) {
        row.must_report = true;
        send_report(tick, program);
    }
}

/// Sends a report that is due, unless a claim in flight may count a turn that this VM does not count
/// yet.
fn send_report(tick: &mut Tick<'_>, program: &ProgramKey) {
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    if row.pending_claim.is_none() && std::mem::take(&mut row.must_report) && !row.has_record {
        send(tick, program, Request::Report);
    }
}

/// What storage VMs are asked for.
enum Request {
    /// To let a turn use the free part.
    Turn(TurnClaim),
    /// To let no more turns use it.
    Close,
    /// To count what this process has used.
    Report,
}

/// Sends a claim of this process, with what it knows of others.
fn send(tick: &mut Tick<'_>, program: &ProgramKey, request: Request) {
    let (vm, incarnation) = (tick.settings.vm.clone(), tick.settings.incarnation);
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    let own = row.own_claim(&vm, incarnation);
    let others = row.spent.iter();
    let others = others
        .filter(|usage| usage.vm != vm || usage.incarnation != incarnation)
        .map(|usage| ProcessClaim {
            vm: usage.vm.clone(),
            incarnation: usage.incarnation,
            version: usage.claim_version,
            tokens: usage.most_tokens(),
        })
        .collect();
    let (turn, closes) = match request {
        Request::Turn(turn) => (Some(turn), false),
        Request::Close => (None, true),
        Request::Report => (None, false),
    };
    let claim = Box::new(UsageClaim {
        program: program.clone(),
        own,
        others,
        turn,
        closes,
    });
    let proxies = choose_proxies(tick, program);
    tick.outputs.push(Output::Claim { claim, proxies });
}

/// Chooses VMs that may pass a claim on: this VM may be cut off from the storage VMs only.
fn choose_proxies(tick: &Tick<'_>, program: &ProgramKey) -> SmallVec<[Arc<str>; 2]> {
    let peers = tick.tables.peering.peers.iter();
    let heard = peers.filter(|(_, peer)| peer.is_reachable && !peer.is_leaving);
    let addresses: Vec<Arc<str>> = heard.map(|(_, peer)| Arc::clone(&peer.address)).collect();
    let chosen = choose_holders(program.name.as_str(), &addresses, MAX_PROXIES);
    chosen.into_iter().collect()
}

/// Returns whether a process is not known to run: it is neither this one nor one that is heard.
fn is_unheard(tick: &Tick<'_>, vm: &VmName, incarnation: Incarnation) -> bool {
    if *vm == tick.settings.vm {
        return incarnation != tick.settings.incarnation;
    }
    let peer = tick.tables.peering.peers.get(vm);
    !peer.is_some_and(|peer| peer.is_reachable && peer.incarnation == Some(incarnation))
}

/// Returns whether a process has certainly ended, since a later one of its VM is known.
fn has_ended(tick: &Tick<'_>, vm: &VmName, incarnation: Incarnation) -> bool {
    if *vm == tick.settings.vm {
        return incarnation < tick.settings.incarnation;
    }
    let peer = tick.tables.peering.peers.get(vm);
    peer.is_some_and(|peer| peer.incarnation > Some(incarnation))
}

/// Continues with the result of the claim in flight.
pub(super) fn handle_result(tick: &mut Tick<'_>, program: &ProgramKey, result: &ClaimResult) {
    let row = tick.tables.budgets.get_mut(program);
    let Some(pending) = row.and_then(|row| row.pending_claim.take()) else {
        return;
    };
    let claimed_tokens = match result {
        ClaimResult::Recorded(answer) => Some(adopt(tick, program, answer)),
        ClaimResult::Uncounted | ClaimResult::Unanswered => None,
    };
    match pending {
        PendingClaim::Turn { call, turn_tokens } => {
            log_result(tick, program, call, result);
            finish_turn(tick, program, (call, turn_tokens), (result, claimed_tokens));
        }
        PendingClaim::Close {
            turn_tokens,
            needed_tokens,
        } => {
            let unrecorded = tick.tables.budgets.get(program);
            let unrecorded = unrecorded.map_or(0, |row| match result {
                ClaimResult::Uncounted => row.uncounted_tokens(turn_tokens),
                _ => row.unrecorded_tokens(turn_tokens),
            });
            let used = UsedTokens {
                claimed: claimed_tokens,
                at_most: unrecorded,
            };
            finish_close(tick, program, needed_tokens, used);
        }
    }
    send_report(tick, program);
}

/// Logs the result of a claim whose turn may not start.
fn log_result(tick: &mut Tick<'_>, program: &ProgramKey, call: CallId, result: &ClaimResult) {
    let row = tick.tables.budgets.get(program);
    let budget_tokens = row.map_or(0, |row| row.budget_tokens);
    let program = program.clone();
    let decision = match result {
        ClaimResult::Recorded(answer) if !answer.is_granted => {
            let claims = answer.rows();
            ClaimDecision::NotGranted {
                call,
                program,
                claimed_tokens: claims.iter().map(|claim| claim.tokens).sum(),
                budget_tokens,
                claims,
            }
        }
        ClaimResult::Unanswered => ClaimDecision::Unanswered { call, program },
        ClaimResult::Recorded(_) | ClaimResult::Uncounted => return,
    };
    tick.log(decision);
}

/// Takes over what storage VMs know of processes that this VM does not hear; returns the tokens
/// that all processes have claimed.
///
/// Processes that it hears report their use themselves. What only storage VMs that keep copies know
/// of such a process may be a claim that is not decided.
fn adopt(tick: &mut Tick<'_>, program: &ProgramKey, answer: &ClaimAnswer) -> u64 {
    let is_unheard = |claim: &&ProcessClaim| is_unheard(tick, &claim.vm, claim.incarnation);
    let hidden: SmallVec<[&ProcessClaim; 2]> = answer.others.iter().filter(is_unheard).collect();
    let decided = answer.claims.rows.iter().filter(is_unheard);
    let unheard: SmallVec<[&ProcessClaim; 2]> = decided.chain(hidden.iter().copied()).collect();
    let unheard: SmallVec<[(&ProcessClaim, bool); 2]> = unheard
        .into_iter()
        .map(|claim| (claim, has_ended(tick, &claim.vm, claim.incarnation)))
        .collect();
    let hidden_tokens: u64 = hidden.iter().map(|claim| claim.tokens).sum();
    let claimed_tokens = answer.claims.tokens().saturating_add(hidden_tokens);
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return claimed_tokens;
    };
    for (claim, has_ended) in unheard {
        row.set_claimed(claim, has_ended);
    }
    row.is_closed |= answer.claims.is_closed;
    claimed_tokens.max(row.known_tokens())
}

/// Starts a turn that was granted; otherwise its tokens have to be reserved.
///
/// Storage VMs that count a turn that does not start get a report.
fn finish_turn(
    tick: &mut Tick<'_>,
    program: &ProgramKey,
    (call, turn_tokens): (CallId, u64),
    (result, claimed_tokens): (&ClaimResult, Option<u64>),
) {
    let is_waiting = |row: &Call| row.stage == Stage::Budget;
    let is_waiting = tick.tables.calls.get(&call).is_some_and(is_waiting);
    let line = tick.tables.calls.get(&call).and_then(line_of);
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    let budget_tokens = row.budget_tokens;
    // Storage VMs that keep copies may know of more than the one that decides.
    let fits_claimed = claimed_tokens.is_none_or(|tokens| tokens <= budget_tokens);
    let is_granted = match result {
        ClaimResult::Recorded(answer) => answer.is_granted && fits_claimed,
        // The turns of one line run one after the other, so that few of them are not reported yet.
        ClaimResult::Uncounted => line == row.main_line && row.is_uncounted_free(turn_tokens),
        ClaimResult::Unanswered => false,
    };
    if is_waiting && is_granted && row.may_be_free(turn_tokens) {
        row.running_tokens += turn_tokens;
        start_turn(tick, program, call, Coverage::Free);
        cover_waiting(tick, program);
        return;
    }
    row.must_report |= *result != ClaimResult::Uncounted;
    if is_waiting && !row.has_record {
        row.waiting.insert(0, call);
        let unrecorded_tokens = row.unrecorded_tokens(turn_tokens);
        let exceeds_claimed = |tokens: u64| tokens.saturating_add(turn_tokens) > budget_tokens;
        let is_claimed_up = !is_granted && claimed_tokens.is_some_and(exceeds_claimed);
        if *result == ClaimResult::Unanswered || is_claimed_up {
            let used = UsedTokens {
                claimed: claimed_tokens,
                at_most: unrecorded_tokens,
            };
            finish_close(tick, program, turn_tokens, used);
        } else {
            close(tick, program, turn_tokens, turn_tokens);
        }
        return;
    }
    send_report(tick, program);
    if is_waiting {
        cover_turn(tick, call);
    }
    cover_waiting(tick, program);
}

/// Covers the turns that waited for a claim.
fn cover_waiting(tick: &mut Tick<'_>, program: &ProgramKey) {
    for call in take_waiting(tick, program) {
        cover_turn(tick, call);
    }
}

/// Returns the line of turns of a call.
fn line_of(call: &Call) -> Option<u64> {
    call.relay.as_ref()?.line
}

/// What was used of a budget without a record.
#[derive(Debug, Clone, Copy)]
struct UsedTokens {
    /// The tokens that all processes have claimed, if storage VMs have answered.
    claimed: Option<u64>,
    /// The most that can have been used.
    at_most: u64,
}

/// Reserves tokens in a record that counts what was claimed of the free part.
///
/// If that is not known, it counts the most that can have been used, but not for turns that the
/// system keeps: without storage VMs they do not run, and the record would keep the estimate. Turns
/// that do not fit are denied without a record: what is claimed may end up unused.
fn finish_close(tick: &mut Tick<'_>, program: &ProgramKey, needed_tokens: u64, used: UsedTokens) {
    let waiting = take_waiting(tick, program);
    let calls = &tick.tables.calls;
    let is_kept = |id: &CallId| calls.get(id).is_some_and(Call::is_kept_turn);
    let may_estimate = !waiting.iter().any(is_kept);
    let Some(row) = tick.tables.budgets.get_mut(program) else {
        return;
    };
    if waiting.is_empty() {
        return;
    }
    let taken_tokens = used.claimed.unwrap_or(used.at_most);
    let fits = taken_tokens.saturating_add(needed_tokens) <= row.budget_tokens;
    let is_known = used.claimed.is_some() || may_estimate;
    if row.has_record || (fits && is_known) {
        row.waiting = waiting;
        reserve(tick, program, needed_tokens, taken_tokens);
        return;
    }
    for call in waiting {
        deny_turn(tick, program, call);
    }
}
