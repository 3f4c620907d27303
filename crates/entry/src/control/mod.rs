//! The control thread: the only owner of the core's state.

mod input;
mod outlets;
mod status;

pub(crate) use input::{CallOutput, InputSender, Message};
pub(crate) use outlets::Outlets;
pub(crate) use status::{Status, StatusReader};
