//! The control thread: the only owner of the core's state.

mod input;
mod outlets;
mod status;
mod thread;

pub(crate) use input::{CallOutput, InputSender, Message, input_queue};
pub(crate) use outlets::Outlets;
pub(crate) use status::{Status, StatusReader};
pub(crate) use thread::spawn;
