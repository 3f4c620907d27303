//! Turns that the system keeps: their transfer to the VMs with a disk, and back.
//!
//! The decisions are in [`knapweeddale_core::turns`]. An entry VM sends each complete turn to a few
//! VMs with a disk before the response ends ([`TurnClient`]); such a VM syncs it to its log
//! ([`TurnStore`]) and, after it has lost its disk, gets its copies back from the others
//! ([`recover`]).

mod cache;
mod client;
mod list;
mod recovery;
mod rpc;
mod server;
mod store;

pub(crate) use client::{HistoryError, TurnClient};
pub use list::{TurnList, list_turns};
pub(crate) use recovery::{hand_over, recover};
pub(crate) use rpc::TurnRpcServer;
pub(crate) use server::TurnServer;
pub(crate) use store::TurnStore;
