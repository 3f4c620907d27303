//! Tasks that read from and write to the platform's object API.

mod charges;
mod config;
mod view;
mod vms;

pub(crate) use charges::ChargeWriter;
pub(crate) use config::watch_config;
pub(crate) use view::{ViewRequest, serve_views};
pub(crate) use vms::poll_vms;
