//! Connections to upstreams through another VM, for a VM that has lost its own links to them.

mod frame;
mod server;
mod stream;

pub(crate) use server::{TunnelServer, serve_tunnels};
pub use stream::{OpenError, OpenReply, TunnelStream};
