//! The operator command of knapweeddale.
//!
//! Operators edit service, account and keys files and publish them. This crate
//! validates the files, shows what would change, and writes them to the
//! platform's store by a conditional write.

mod command;
mod error;
mod report;

pub use command::{Command, Options, options, run};
pub use error::{CtlError, ExitStatus};
pub use report::{OutputFormat, Report};
