//! Communication between VMs: summaries as datagrams, snapshots on request.

mod datagrams;
mod snapshots;

pub(crate) use datagrams::receive_summaries;
pub(crate) use snapshots::{SnapshotServer, StateRpcServer, fetch_snapshots};
