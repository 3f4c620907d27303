//! Counts the messages between VMs and estimates their size.

use knapweeddale_core::PeerMessage;
use knapweeddale_core::message::{ConfigMessage, MembershipMessage};
use knapweeddale_core::tables::{Member, ViewDelta};

/// Bytes around each message: TCP and IP headers, and the frame of the call
/// and of its response, shared by the few messages of a batch.
const FRAME_BYTES: u64 = 60;

/// Traffic and tick counters of one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent, lost ones included.
    pub sent_messages: u64,
    /// Messages scheduled for delivery to the VM, duplicates included.
    pub received_messages: u64,
    /// Estimated bytes sent.
    pub sent_bytes: u64,
    /// Estimated bytes received.
    pub received_bytes: u64,
    /// Wall-clock time spent in ticks.
    pub tick_ns: u64,
    /// Number of ticks.
    pub ticks: u64,
}

impl Traffic {
    /// Returns the number of messages sent and received.
    pub fn messages(&self) -> u64 {
        self.sent_messages + self.received_messages
    }

    /// Returns the estimated bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.sent_bytes + self.received_bytes
    }
}

/// Estimates the size of a message as compact JSON plus its share of the framing.
pub fn estimated_bytes(message: &PeerMessage) -> u64 {
    let text = match message {
        PeerMessage::Membership(message) => membership_bytes(message),
        PeerMessage::Config(ConfigMessage::ConfigRequest { .. }) => 30,
        PeerMessage::Config(ConfigMessage::ConfigIs(fleet)) => {
            let keys = fleet.accounts.iter().map(|account| account.keys.len());
            let upstreams = fleet.services.iter().map(|service| service.upstreams.len());
            200 * fleet.accounts.len() as u64
                + 110 * keys.sum::<usize>() as u64
                + 120 * upstreams.sum::<usize>() as u64
        }
        _ => 200,
    };
    FRAME_BYTES + text
}

/// Estimates the JSON size of a membership message; times take up to 13 digits.
fn membership_bytes(message: &MembershipMessage) -> u64 {
    match message {
        // {"hb":[round,epoch,revision,1,0]}
        MembershipMessage::Heartbeat(_) => 46,
        // {"ha":[round,epoch,revision,age,age]}
        MembershipMessage::HeartbeatAnswer(_) => 58,
        MembershipMessage::Suspect { .. } => 50,
        MembershipMessage::Join(member) => member_bytes(member),
        MembershipMessage::ViewRequest { .. } | MembershipMessage::Left { .. } => 24,
        MembershipMessage::ViewIs(view) => 60 + view.members.iter().map(member_bytes).sum::<u64>(),
        MembershipMessage::ViewChanges(deltas) => deltas.iter().map(delta_bytes).sum(),
    }
}

/// Estimates the JSON size of a member: names, address, incarnation and epoch.
fn member_bytes(member: &Member) -> u64 {
    let names = member.vm.as_str().len() + member.failure_domain.as_str().len();
    40 + (names + member.address.len()) as u64
}

/// Estimates the JSON size of a difference between two views.
fn delta_bytes(delta: &ViewDelta) -> u64 {
    let removed = delta.removed.iter().map(|vm| vm.as_str().len() as u64 + 3);
    let changed = delta.changed.iter().map(member_bytes);
    60 + removed.sum::<u64>() + changed.sum::<u64>()
}
