//! Command-line options and the dispatch of commands.

mod files;
mod fleet;
mod keys;
mod publish;

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::{CtlError, OutputFormat, Report};

/// Checks, publishes and shows the files of a knapweeddale fleet.
///
/// Files end in `.service.yaml`, `.account.yaml` or `.keys.yaml` and may lie
/// anywhere below a folder.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Output format: `text` or `json`
    #[bpaf(long, short, argument("FORM"), fallback(OutputFormat::Text))]
    pub output: OutputFormat,
    /// The command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// A command with its arguments.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Validates all files below a folder; exits with code 1 if there are findings
    #[bpaf(command)]
    Check {
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Shows how a folder differs from the published configuration
    #[bpaf(command)]
    Diff {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Publishes a folder; exits with code 3 if another operator has published in the meantime
    #[bpaf(command)]
    Publish {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
        /// Publish only if the store is at this revision
        #[bpaf(long, argument("REVISION"))]
        expect: Option<u64>,
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Shows the published configuration
    #[bpaf(command)]
    Show {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
    },
    /// Shows the state of the VMs and which of them run an older revision
    #[bpaf(command)]
    Status {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
        /// Query this VM instead of those that the platform lists; may be repeated
        #[bpaf(long, argument("IP:PORT"))]
        vm: Vec<String>,
    },
    /// Grants, lists and withdraws keys in the files of a folder
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_command))] KeysCommand),
    /// Prints the JSON schema of the files
    #[bpaf(command)]
    Schema,
}

/// A subcommand of `keys`.
#[derive(Debug, Clone, Bpaf)]
pub enum KeysCommand {
    /// Generates a key, prints it once and stores its digest in the account's keys file
    #[bpaf(command)]
    Grant {
        /// Client account that the key belongs to
        #[bpaf(long, argument("ACCOUNT"))]
        account: String,
        /// ID of the key: its public part, which lists and logs show
        #[bpaf(long, argument("ID"))]
        id: String,
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Lists the keys by ID
    #[bpaf(command)]
    List {
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Marks a key as withdrawn in its keys file
    #[bpaf(command)]
    Withdraw {
        /// ID of the key
        #[bpaf(long, argument("ID"))]
        id: String,
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
}

/// Runs a command.
///
/// # Errors
///
/// Returns an error if the files are invalid, the store fails, the configuration was
/// changed concurrently or a key cannot be created or found; see [`CtlError::exit_status`].
pub async fn run(options: Options) -> Result<Report, CtlError> {
    match options.command {
        Command::Check { folder } => files::check(&folder),
        Command::Diff { store, folder } => publish::diff(&store, &folder).await,
        Command::Publish {
            store,
            expect,
            folder,
        } => publish::publish(&store, expect, &folder).await,
        Command::Show { store } => fleet::show(&store).await,
        Command::Status { store, vm } => fleet::status(&store, vm).await,
        Command::Keys(command) => keys::run(command),
        Command::Schema => Ok(files::schema()),
    }
}
