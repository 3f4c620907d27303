//! The entry daemon's side of the control thread, which alone owns the core's state.

mod input;
mod output_dispatcher;
mod status;

pub(crate) use input::{CallOutput, InputSender, Message};
pub(crate) use output_dispatcher::OutputDispatcher;
pub(crate) use status::{Status, StatusReader};
