//! The control thread of a relay: the messages to it and the dispatch of its outputs.

mod dispatcher;
mod message;
mod tunnel_target;

use knapweeddale_core::AccountName;

pub(crate) use dispatcher::{OutputDispatcher, OutputQueues};
pub(crate) use message::{CallOutput, InputSender, Message, SnapshotRequest, Status};

/// Returns the label of an account, or `-` if there is none.
pub(crate) fn account_label(account: Option<&AccountName>) -> &str {
    account.map_or("-", |name| name.as_str())
}
