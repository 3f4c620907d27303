//! Leaving the fleet: announcing it, handing over and stopping.

use super::super::{Sender, Tick};
use super::{rounds, views};
use crate::ids::{Epoch, VmName};
use crate::message::MembershipMessage;
use crate::output::MembershipDecision;
use crate::tables::View;

/// Starts draining this VM.
pub(super) fn start_drain(tick: &mut Tick<'_>) {
    if tick.tables.membership.departure.is_draining {
        return;
    }
    tick.tables.membership.departure.is_draining = true;
    let settings = tick.settings;
    let view = &tick.tables.view;
    let is_member = view
        .member_with_incarnation(&settings.vm, settings.incarnation)
        .is_some();
    if !is_member {
        // A VM that is no member has nothing to hand over.
        tick.tables.membership.departure.has_left = true;
        return;
    }
    let vm = settings.vm.clone();
    let leaving = &mut tick.tables.membership.leaving;
    leaving.insert(vm, settings.incarnation);
    rounds::announce_leaving(tick);
}

/// Records that a member is leaving.
pub(super) fn record_leaving(tick: &mut Tick<'_>, sender: &Sender) {
    let view = &tick.tables.view;
    if view
        .member_with_incarnation(&sender.vm, sender.incarnation)
        .is_some()
    {
        let leaving = &mut tick.tables.membership.leaving;
        leaving.insert(sender.vm.clone(), sender.incarnation);
    }
}

/// Returns whether a VM is the only member.
///
/// The last member leaves without a new view, since nobody could write the
/// view that follows an empty one.
fn is_only_member(view: &View, vm: &VmName) -> bool {
    view.members.len() == 1 && view.member(vm).is_some()
}

/// Announces that this VM has stopped, once every hand-over is confirmed.
///
/// Unconfirmed hand-overs are abandoned after the takeover wait, when the new
/// owners take over without them.
pub(super) fn finish_drain(tick: &mut Tick<'_>) {
    let wait_us = tick.settings.takeover_wait_us();
    let departure = &mut tick.tables.membership.departure;
    if departure.is_draining && is_only_member(&tick.tables.view, &tick.settings.vm) {
        departure.has_left = true;
        return;
    }
    let Some(removed_us) = departure.removed_us else {
        return;
    };
    let is_handed_over = departure.open_hand_overs == 0 && tick.now_us > removed_us;
    let has_timed_out = tick.now_us > removed_us + wait_us;
    if departure.has_left || !(is_handed_over || has_timed_out) {
        return;
    }
    departure.has_left = true;
    let view = &tick.tables.view;
    let epoch = view.epoch;
    let members: Vec<VmName> = view.members.iter().map(|row| row.vm.clone()).collect();
    for vm in members {
        tick.send(&vm, MembershipMessage::Left { epoch });
    }
    tick.log(MembershipDecision::Left { epoch });
}

/// Records that a removed member has stopped.
pub(super) fn record_left(tick: &mut Tick<'_>, sender: &Sender, epoch: Epoch) {
    let now_us = tick.now_us;
    let membership = &mut tick.tables.membership;
    membership
        .left
        .insert(sender.vm.clone(), sender.incarnation);
    if let Some(row) = membership.departed.get_mut(&sender.vm)
        && row.incarnation == sender.incarnation
        && row.handed_over_us.is_none()
    {
        row.handed_over_us = Some(now_us);
    }
    views::request_newer(tick, &sender.vm, epoch);
}
