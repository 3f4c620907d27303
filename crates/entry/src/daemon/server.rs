//! The HTTP server for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::fairing::AdHoc;
use rocket::{Ignite, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::StartError;
use crate::front::{self, SharedState};
use knapweeddale_runtime::Clock;

/// Timeout for the server to close its connections.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A running HTTP server.
#[derive(Debug)]
pub(super) struct Server {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// Handle that starts the shutdown.
    shutdown: Shutdown,
    task: JoinHandle<Result<Rocket<Ignite>, rocket::Error>>,
}

impl Server {
    /// Starts the shutdown and waits until the connections are closed.
    pub async fn stop(self) {
        self.shutdown.notify();
        if timeout(STOP_TIMEOUT, self.task).await.is_err() {
            tracing::warn!(
                "membership: connections of callers are still open after {STOP_TIMEOUT:?}"
            );
        }
    }
}

/// Starts the HTTP server and waits until it listens.
pub(super) async fn start<C: Clock>(
    listen: SocketAddr,
    shared: &Arc<SharedState<C>>,
) -> Result<Server, StartError> {
    let (sender, receiver) = oneshot::channel();
    let liftoff = AdHoc::on_liftoff("address", move |rocket| {
        Box::pin(async move {
            let config = rocket.config();
            // Cannot fail: the receiver is awaited below.
            let _ = sender.send(SocketAddr::new(config.address, config.port));
        })
    });
    let rocket = front::build(listen, shared).attach(liftoff);
    let rocket = rocket.ignite().await.map_err(Box::new)?;
    let shutdown = rocket.shutdown();
    let task = tokio::spawn(rocket.launch());
    match receiver.await {
        Ok(address) => Ok(Server {
            address,
            shutdown,
            task,
        }),
        Err(_) => match task.await {
            Ok(Err(error)) => Err(StartError::Server(Box::new(error))),
            _ => Err(StartError::Io(std::io::ErrorKind::Other.into())),
        },
    }
}
