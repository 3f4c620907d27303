//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serves callers of agent programs.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// File with the settings of this VM
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
    /// Print the settings with all defaults and exit
    pub print_settings: bool,
}

impl Options {
    /// Reads the command line, or prints help and ends the process.
    pub fn from_command_line() -> Self {
        options().run()
    }
}
