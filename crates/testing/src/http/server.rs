//! The listener that all fakes share.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::connection::{Connection, Request};

/// What a fake does with a request.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; an error closes the connection.
    fn handle(
        &self,
        request: Request,
        connection: &mut Connection,
    ) -> impl Future<Output = io::Result<()>> + Send;
}

/// A server on loopback that can crash and come back.
#[derive(Debug)]
pub struct FakeServer<H> {
    handler: Arc<H>,
    address: SocketAddr,
    listener: Mutex<Option<JoinHandle<()>>>,
}

impl<H: Handler> FakeServer<H> {
    /// Starts a server on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(handler: H) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            handler: Arc::new(handler),
            address: listener.local_addr()?,
            listener: Mutex::new(None),
        };
        server.listen(listener);
        Ok(server)
    }

    /// Breaks all connections and refuses new ones.
    pub fn crash(&self) {
        if let Some(listener) = self.slot().take() {
            listener.abort();
        }
    }

    /// Listens again on the same port after a crash.
    ///
    /// # Errors
    ///
    /// Fails if the port has been taken meanwhile.
    pub async fn restart(&self) -> io::Result<()> {
        self.crash();
        self.listen(TcpListener::bind(self.address).await?);
        Ok(())
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handler.
    pub fn handler(&self) -> &H {
        &self.handler
    }

    /// Accepts connections in a task that owns them all.
    fn listen(&self, listener: TcpListener) {
        let handler = Arc::clone(&self.handler);
        *self.slot() = Some(tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let handler = Arc::clone(&handler);
                connections.spawn(serve(handler, Connection::new(stream)));
                while connections.try_join_next().is_some() {}
            }
        }));
    }

    fn slot(&self) -> std::sync::MutexGuard<'_, Option<JoinHandle<()>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<H> Drop for FakeServer<H> {
    fn drop(&mut self) {
        let slot = self.listener.get_mut();
        if let Some(listener) = slot.unwrap_or_else(PoisonError::into_inner).take() {
            listener.abort();
        }
    }
}

/// Handles the requests of one connection.
async fn serve<H: Handler>(handler: Arc<H>, mut connection: Connection) -> io::Result<()> {
    while let Some(request) = connection.read().await? {
        handler.handle(request, &mut connection).await?;
    }
    Ok(())
}
