//! Communication between VMs: summaries as datagrams, snapshots on request.
//!
//! `encoding` and `decoding` define the format of datagrams: `layouts` that earlier builds
//! send, and `sections` with the rows of `columns`. `assembly` puts summaries together that
//! have several datagrams.

mod assembly;
mod columns;
mod datagrams;
mod decoding;
mod encoding;
mod layouts;
mod sections;
mod snapshots;

pub use assembly::{AssembledSummary, INCOMPLETE_RETENTION, MAX_INCOMPLETE, SummaryAssembler};
pub(crate) use datagrams::{MemoryPermits, SummaryReceiver};
pub use decoding::{SummaryLayout, UnreadableDatagram};
pub use encoding::{
    EncodeError, EncodedSummary, MAX_DATAGRAM_BYTES, MAX_DATAGRAMS, encode_summary,
};
pub(crate) use snapshots::{SnapshotServer, StateRpcServer, fetch_snapshots};
