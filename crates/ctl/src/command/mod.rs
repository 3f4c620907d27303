//! The commands and their options.

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
    /// Form of the output: `text` or `json`
    #[bpaf(long, short, argument("FORM"), fallback(OutputFormat::Text))]
    pub output: OutputFormat,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// What the operator wants done.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Checks all files below a folder together; exit code 1 if something is wrong
    #[bpaf(command)]
    Check {
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Shows what publishing a folder would change
    #[bpaf(command)]
    Diff {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Publishes a folder; exit code 3 if another operator published in between
    #[bpaf(command)]
    Publish {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
        /// Publish only if this is the revision in the store
        #[bpaf(long, argument("REVISION"))]
        expect: Option<u64>,
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Shows what is published
    #[bpaf(command)]
    Show {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
    },
    /// Shows the state of the VMs and which of them lag
    #[bpaf(command)]
    Status {
        /// URL of the platform's object API
        #[bpaf(long, argument("URL"))]
        store: String,
        /// Ask this VM instead of those in the platform's list; may be repeated
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

/// What to do with keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeysCommand {
    /// Makes a key, shows it once and keeps its digest in the account's keys file
    #[bpaf(command)]
    Grant {
        /// Account that the key belongs to
        #[bpaf(long, argument("ACCOUNT"))]
        account: String,
        /// Public part of the key, shown in lists and logs
        #[bpaf(long, argument("ID"))]
        id: String,
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Lists the keys by their public part
    #[bpaf(command)]
    List {
        /// Folder with the files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Withdraws a key in its keys file
    #[bpaf(command)]
    Withdraw {
        /// Public part of the key
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
/// Returns an error with its exit code if the command could not do its work.
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
