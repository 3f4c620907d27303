//! The front end for callers, over HTTP.

mod canonical;
mod completions;
mod headers;
mod health;
mod models;
mod open;
mod programs;
mod refuse;
mod respond;
mod routes;
mod services;
mod shared;

pub(crate) use canonical::canonical_message;
pub(crate) use routes::build;
pub(crate) use shared::Shared;
