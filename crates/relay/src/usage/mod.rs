//! Claims on the free parts of budgets: from entry VMs to storage VMs, and on the disks of these.
//!
//! The decisions are in [`knapweeddale_core::usage`]. An entry VM sends each claim to one storage VM
//! more than may be lost ([`UsageClient`]); these sync it to their logs ([`UsageStore`]). An entry VM
//! that reaches no storage VM has another one pass its claims on ([`ClaimProxyServer`]).

mod asked;
mod client;
mod proxy;
mod rpc;
mod server;
mod store;

pub(crate) use asked::AskedVms;
pub(crate) use client::{ClaimRequest, UsageClient};
pub(crate) use proxy::{ClaimProxyRpcServer, ClaimProxyServer};
pub(crate) use rpc::UsageRpcServer;
pub(crate) use server::UsageServer;
pub(crate) use store::UsageStore;
