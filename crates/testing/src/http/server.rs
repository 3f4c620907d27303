//! HTTP server on which the fake upstreams are built.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::connection::{Connection, Request};

/// Request handling of a fake.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; an error closes the connection.
    fn handle(
        &self,
        request: Request,
        connection: &mut Connection,
    ) -> impl Future<Output = io::Result<()>> + Send;

    /// Clears the state that is lost in a crash; called before the server listens again.
    fn on_restart(&self) {}
}

/// Server on loopback that a test can crash and restart.
#[derive(Debug)]
pub struct FakeServer<H> {
    handler: Arc<H>,
    address: SocketAddr,
    listener: Mutex<Option<JoinHandle<()>>>,
}

impl<H: Handler> FakeServer<H> {
    /// Starts a server on a port that the operating system assigns.
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

    /// Closes all connections and the listening port.
    pub async fn crash(&self) {
        let listener = self.lock_listener().take();
        if let Some(listener) = listener {
            listener.abort();
            // The port is released only when the task has ended.
            let _ = listener.await;
        }
    }

    /// Crashes the server if it is running and listens again on the same port.
    ///
    /// # Errors
    ///
    /// Fails if another process has bound the port in the meantime.
    pub async fn restart(&self) -> io::Result<()> {
        self.crash().await;
        self.handler.on_restart();
        self.listen(TcpListener::bind(self.address).await?);
        Ok(())
    }

    /// Returns the address the server listens on, also after a crash.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the fake behind the server.
    pub fn handler(&self) -> &H {
        &self.handler
    }

    /// Spawns the task that accepts connections; aborting it closes all of them.
    fn listen(&self, listener: TcpListener) {
        let handler = Arc::clone(&self.handler);
        *self.lock_listener() = Some(tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                // With Nagle's algorithm, small writes would wait 40 ms for the peer's delayed ACK.
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                connections.spawn(serve(handler, Connection::new(stream)));
                while connections.try_join_next().is_some() {}
            }
        }));
    }

    fn lock_listener(&self) -> std::sync::MutexGuard<'_, Option<JoinHandle<()>>> {
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

/// Handles the requests of one connection in order, until it closes or one fails.
async fn serve<H: Handler>(handler: Arc<H>, mut connection: Connection) -> io::Result<()> {
    while let Some(request) = connection.read_request().await? {
        handler.handle(request, &mut connection).await?;
    }
    Ok(())
}
