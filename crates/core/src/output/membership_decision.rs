//! Decisions about the members of a fleet with owners.

use derive_more::Display;

use crate::ids::{Epoch, VmName};

/// A decision about the members of the fleet, the view or the store.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum MembershipDecision {
    /// A view took effect.
    #[display("view {epoch} with {members} members")]
    ViewChanged {
        /// The epoch of the view.
        epoch: Epoch,
        /// The number of members.
        members: usize,
    },
    /// A view was ignored because a newer one is in force.
    #[display("ignored view {offered}, {in_force} is in force")]
    ViewIgnored {
        /// The epoch of the ignored view.
        offered: Epoch,
        /// The epoch of the view in force.
        in_force: Epoch,
    },
    /// A member was reported as silent.
    #[display("{vm} is silent, says {by}")]
    Suspected {
        /// The silent member.
        vm: VmName,
        /// The member that reported it first.
        by: VmName,
    },
    /// A message from a previous incarnation of a VM was ignored.
    #[display("ignored a message of {vm} from before its restart")]
    PreviousIncarnation {
        /// The sender of the message.
        vm: VmName,
    },
    /// The store stopped answering requests for the view.
    #[display("the store does not answer")]
    StoreUnavailable,
    /// The store answers requests for the view again.
    #[display("the store answers again")]
    StoreAvailable,
    /// This VM, a writer, promised to write no view for the duration of a lease.
    #[display("promised to write no view while the store does not answer")]
    PromiseMade,
    /// This VM is no longer a member and has stopped acting for the fleet.
    #[display("left the fleet at view {epoch}")]
    Left {
        /// The epoch of the view without this VM.
        epoch: Epoch,
    },
}
