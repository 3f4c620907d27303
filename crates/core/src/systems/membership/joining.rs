//! Joining the fleet: requests of this VM and of others to become members.

use super::super::{Sender, Tick};
use super::views;
use crate::ids::{Epoch, VmName};
use crate::message::MembershipMessage;
use crate::tables::Member;

/// Time after which a join request that was not repeated expires.
const JOIN_RETENTION_US: u64 = 5_000_000;

/// Builds the member entry of this VM.
pub(super) fn own_member(tick: &Tick<'_>, joined: Epoch) -> Member {
    let settings = tick.settings;
    Member {
        vm: settings.vm.clone(),
        incarnation: settings.incarnation,
        failure_domain: settings.failure_domain.clone(),
        address: settings.address.clone(),
        leaving: false,
        joined,
    }
}

/// Sends a join request to the writers, at most once per touch interval.
///
/// Does nothing if this VM is a member or draining.
pub(super) fn request_join(tick: &mut Tick<'_>) {
    let (now_us, settings) = (tick.now_us, tick.settings);
    let tables = &mut *tick.tables;
    let view = &tables.view;
    let is_member = view
        .member_with_incarnation(&settings.vm, settings.incarnation)
        .is_some();
    if is_member || tables.membership.departure.is_draining {
        return;
    }
    let sent_us = tables.membership.join_sent_us;
    if sent_us.is_some_and(|sent_us| now_us < sent_us + settings.touch_ms * 1_000) {
        return;
    }
    tables.membership.join_sent_us = Some(now_us);
    let writers: Vec<VmName> = view.writers.to_vec();
    let member = own_member(tick, Epoch::default());
    for writer in writers {
        tick.send(&writer, MembershipMessage::Join(Box::new(member.clone())));
    }
}

/// Records the join request of a VM.
pub(super) fn record_join(tick: &mut Tick<'_>, sender: &Sender, member: Member) {
    if member.vm != sender.vm || member.incarnation != sender.incarnation {
        return;
    }
    let view = &tick.tables.view;
    if view
        .member_with_incarnation(&member.vm, member.incarnation)
        .is_some()
    {
        // The sender is a member already: it missed the view that added it.
        views::handle_request(tick, &sender.vm, Epoch::default());
        return;
    }
    let requests = &mut tick.tables.membership.join_requests;
    requests.insert(member.vm.clone(), (member, tick.now_us));
}

/// Returns the VMs whose join requests have not expired.
pub(super) fn pending_joins(tick: &Tick<'_>) -> Vec<Member> {
    let oldest_us = tick.now_us.saturating_sub(JOIN_RETENTION_US);
    let requests = tick.tables.membership.join_requests.values();
    requests
        .filter(|(_, received_us)| *received_us >= oldest_us)
        .map(|(member, _)| member.clone())
        .collect()
}
