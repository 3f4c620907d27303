//! The HTTP front end for callers.

mod canonical;
mod completions;
mod headers;
mod health;
mod models;
mod programs;
mod refuse;
mod respond;
mod routes;
mod services;
mod shared;
mod start_call;

pub(crate) use canonical::canonical_message;
pub(crate) use routes::build;
pub(crate) use shared::SharedState;
