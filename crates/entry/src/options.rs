//! Command-line options.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs the entry daemon, which serves callers of agent programs.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Path of this VM's settings file
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
    /// Print the settings with all defaults and exit
    pub print_settings: bool,
}

impl Options {
    /// Parses the command line; prints help or an error and exits if there is nothing to run.
    pub fn from_command_line() -> Self {
        options().run()
    }
}
