//! The operator command of knapweeddale.
//!
//! Operators edit service and account files and publish them; this crate
//! checks the files, shows what would change, and writes them to the
//! platform's store by conditional update.

mod command;
mod error;
mod report;

pub use command::{Command, Options, options, run};
pub use error::{CtlError, ExitStatus};
pub use report::{OutputFormat, Report};
