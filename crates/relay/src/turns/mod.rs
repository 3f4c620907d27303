//! Turns that the system keeps: their transfer to the VMs with a disk, and back.
//!
//! The decisions are in [`knapweeddale_core::turns`]. An entry VM sends each complete turn to a few
//! VMs with a disk before the response ends ([`TurnClient`]); such a VM syncs it to its log
//! ([`TurnStore`]). After one of them was lost, left or joined, those that are to hold a turn copy
//! it from the others ([`TurnReplicator`]).

mod cache;
mod client;
mod content;
mod errors;
mod list;
mod lookup;
mod memory;
mod replication;
mod rpc;
mod server;
mod source;
mod store;

pub(crate) use client::TurnClient;
pub(crate) use content::{OutputError, TurnContent, expected_output_bytes};
pub(crate) use errors::HistoryError;
pub use list::{TurnList, list_turns};
pub(crate) use lookup::TurnSize;
pub use replication::CopyCounts;
pub(crate) use replication::{Pace, TurnReplicator};
pub(crate) use rpc::{OfferCursor, TurnRpcServer};
pub(crate) use server::TurnServer;
pub(crate) use source::Source;
pub(crate) use store::TurnStore;
