//! Dispatches inputs and messages to the work lists of the systems.

use super::{Sender, Tick, Work};
use crate::config::Coordination;
use crate::input::Input;
use crate::message::PeerMessage;
use crate::output::MembershipDecision;
use crate::tables::{LeavingNotice, Release, Vm};

/// Dispatches the inputs of a tick; drops messages from before a restart of their sender.
pub(crate) fn run(tick: &mut Tick<'_>, inputs: impl IntoIterator<Item = Input>) {
    for input in inputs {
        if !is_from_previous_incarnation(tick, &input) {
            dispatch(tick.work, tick.settings.coordination, input);
        }
    }
}

/// Returns whether an input is a message from a previous incarnation of its sender.
///
/// Records the newest incarnation of each sender.
fn is_from_previous_incarnation(tick: &mut Tick<'_>, input: &Input) -> bool {
    let Input::Peer {
        from, incarnation, ..
    } = input
    else {
        return false;
    };
    let (now_us, incarnation) = (tick.now_us, *incarnation);
    let tables = &mut *tick.tables;
    let member = tables.view.member(from);
    let row = tables
        .vms
        .get_or_insert_with(from, || Vm::new(incarnation, now_us));
    let known = member.map_or(row.incarnation, |m| m.incarnation.max(row.incarnation));
    if incarnation < known {
        tick.log(MembershipDecision::PreviousIncarnation { vm: from.clone() });
        return true;
    }
    if row.incarnation < incarnation {
        *row = Vm::new(incarnation, now_us);
    }
    false
}

/// Adds an input to the work list of its system.
fn dispatch(work: &mut Work, coordination: Coordination, input: Input) {
    match input {
        Input::CallArrived(call) => work.admission.arrived.push(*call),
        Input::Program(request) => work.homes.requests.push(*request),
        Input::ReleaseConfirmed {
            upstream,
            program,
            generation,
        } => work.homes.confirmed_releases.push(Release {
            upstream,
            program,
            generation,
        }),
        Input::CallAbandoned(call) => work.admission.abandoned.push(call),
        Input::Attempt(event) => work.outcomes.events.push(event),
        Input::Peer {
            from,
            incarnation,
            message,
        } => route_message(
            work,
            Sender {
                vm: from,
                incarnation,
            },
            message,
        ),
        Input::Store(event) => work.membership.store.push(event),
        Input::VmList(vms) => work.membership.vm_list = Some(vms),
        Input::Config(fleet) => work.config.offered.push(fleet),
        Input::Load {
            upstream,
            running_calls,
            tokens_per_s,
        } => work
            .placement
            .load_reports
            .push((upstream, running_calls, tokens_per_s)),
        Input::Probed {
            upstream,
            proxy,
            state,
        } => work.outcomes.probe_results.push((upstream, proxy, state)),
        Input::ConnectionAccepted(upstream) => work.links.accepted.push(upstream),
        Input::UpstreamLeaving {
            upstream,
            started_unix_ms,
        } => work
            .outcomes
            .leaving_notices
            .push((upstream, LeavingNotice { started_unix_ms })),
        Input::UpstreamRate(statement) => work.rates.statements.push(statement),
        Input::Loaded {
            upstream,
            models,
            running_calls,
        } => work
            .orders
            .model_reports
            .push((upstream, models, running_calls)),
        Input::OrderResult {
            upstream,
            token,
            result,
        } => work.orders.results.push((upstream, token, result)),
        Input::Source(event) => work.source.events.push(event),
        Input::Claimed { program, result } => work.budgets.claims.push((program, result)),
        Input::ReadStorageVms { number } => {
            work.source.wanted_list = work.source.wanted_list.max(number);
        }
        Input::PeerEvent(news) => work.peers.news.push(news),
        Input::Drain => match coordination {
            Coordination::Owners => work.membership.drain = true,
            Coordination::Peers => work.peers.drain = true,
        },
        Input::EndCallsAt { time_us } => work.admission.calls_end_us = Some(time_us),
        Input::Halt => work.admission.halt = true,
    }
}

/// Adds a message to the work list of its system.
pub(crate) fn route_message(work: &mut Work, sender: Sender, message: PeerMessage) {
    match message {
        PeerMessage::Membership(message) => work.membership.messages.push((sender, message)),
        PeerMessage::Rates(message) => work.rates.messages.push((sender, message)),
        PeerMessage::Homes(message) => work.homes.messages.push((sender, message)),
        PeerMessage::Placement(message) => work.placement.messages.push((sender, message)),
        PeerMessage::Config(message) => work.config.messages.push((sender, message)),
    }
}
