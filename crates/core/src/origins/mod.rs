//! Decisions about the copies of origins of streams, free of input and output.
//!
//! The VM that forwards the first event of a stream records its origin; other VMs hold copies, so
//! that a stream which its caller resumes at any VM goes on at its own software version.

mod placement;

pub use placement::{ASKED_VMS, ORIGIN_COPIES, choose_holders};
