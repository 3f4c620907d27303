//! Reliable delivery of program state to new homes.

use super::super::Tick;
use super::backoff_us;
use crate::ids::VmName;
use crate::message::HomesMessage;
use crate::tables::{Timer, Transfer};

/// Longest delay between two sends of a transfer.
const MAX_TRANSFER_BACKOFF_MS: u64 = 1_000;

/// Number of sends before a transfer is abandoned; by then the takeover wait has long passed.
const MAX_TRIES: u32 = 30;

/// Sends a message repeatedly until the receiver confirms it.
///
/// `message` builds it from the number that identifies the transfer.
pub(super) fn start(tick: &mut Tick<'_>, to: VmName, message: impl FnOnce(u64) -> HomesMessage) {
    let homes = &mut tick.tables.homes;
    let number = homes.next_transfer;
    homes.next_transfer += 1;
    let transfer = Transfer {
        to,
        message: message(number),
        tries: 0,
    };
    homes.transfers.insert(number, transfer);
    send(tick, number);
}

/// Sends a transfer and schedules the next attempt; drops it after the last one or if the
/// receiver is not a member.
pub(super) fn send(tick: &mut Tick<'_>, number: u64) {
    let now_us = tick.now_us;
    let homes = &mut tick.tables.homes;
    let Some(transfer) = homes.transfers.get_mut(&number) else {
        return;
    };
    transfer.tries += 1;
    let is_member = tick.tables.view.member(&transfer.to).is_some();
    if transfer.tries > MAX_TRIES || !is_member {
        homes.transfers.remove(&number);
        return;
    }
    let (to, message) = (transfer.to.clone(), transfer.message.clone());
    let due_us = now_us + backoff_us(transfer.tries, MAX_TRANSFER_BACKOFF_MS);
    tick.tables.timers.set(due_us, Timer::TransferRetry(number));
    tick.send(&to, message);
}
