//! Decisions about turns that the system keeps, free of input and output.
//!
//! On some routes a turn brings only its new input and names the turn before it. The system keeps
//! each turn for a while after its end, and gives an upstream the whole chain of turns. Turns are
//! immutable and named by their callers, so that their copies need no agreement: a turn has to be
//! on the disks of enough VMs before its response ends, and to be found again later.
//!
//! - [`StoredTurns`] is the table of a VM with a disk: its turns, their chains and their expiry.
//! - [`CopyPlan`] decides which VMs get a copy of a turn and when it has enough.
//! - [`HolderSet`] decides which VMs are to hold a turn after one of them was lost, left or joined.
//! - [`Offers`] holds what one VM offers another one, which decides what it lacks of that.
//! - [`TurnLookup`] decides which VMs are asked for a turn and when it certainly does not exist.

#[cfg(feature = "serde")]
mod content;
mod copies;
mod holders;
mod lookup;
mod names;
mod offers;
mod segments;
mod stored;

pub use copies::{CopyPlan, CopyStep};
pub use holders::{HolderSet, HolderVm, Holders};
pub use lookup::{LookupStep, TurnAnswer, TurnLookup};
pub use offers::{OfferedChain, Offers};
pub use stored::{RejectedTurn, StoredTurn, StoredTurns, TurnKey};
