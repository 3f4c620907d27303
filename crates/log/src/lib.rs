//! An append-only log on disk.
//!
//! A [`Log`] is a folder of segments. Records are written in batches, and a batch is stored once
//! [`Log::append`] has returned, because it syncs the segment. After a power loss, recovery takes
//! the records of each segment up to the first one that is incomplete or damaged, which was never
//! confirmed. Segments are removed as a whole once none of their records is needed.
//!
//! # Examples
//!
//! ```
//! use knapweeddale_log::Log;
//!
//! let folder = tempfile::tempdir()?;
//! let (mut log, _) = Log::open(folder.path(), |_, _| {})?;
//! log.append(&[b"first".to_vec(), b"second".to_vec()])?;
//! drop(log);
//! let mut payloads = Vec::new();
//! Log::open(folder.path(), |_, payload| payloads.push(payload.to_vec()))?;
//! assert_eq!(payloads, [b"first".as_slice(), b"second"]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod error;
mod frame;
mod log;
mod segment;

pub use error::LogError;
pub use frame::MAX_RECORD_BYTES;
pub use log::{Log, Record, Recovered, SegmentId, TornSegment, read};
