//! A fake of a plain service.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::json;

use super::connection::{Connection, Request};
use super::server::{FakeServer, Handler};

/// A plain service that echoes requests and counts its executions.
#[derive(Debug, Default)]
pub struct FakePlain(Mutex<Seen>);

/// What the service has received.
#[derive(Debug, Default)]
struct Seen {
    heads: Vec<u8>,
    executions: BTreeMap<String, u64>,
    drop_next: bool,
}

impl FakePlain {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<FakeServer<Self>> {
        FakeServer::start(Self::default()).await
    }

    /// Returns how often requests with this `x-request-id` ran.
    pub fn executions(&self, request: &str) -> u64 {
        self.seen().executions.get(request).copied().unwrap_or(0)
    }

    /// Returns how many requests ran.
    pub fn total_executions(&self) -> u64 {
        self.seen().executions.values().sum()
    }

    /// Returns all bytes of heads received so far.
    pub fn heads(&self) -> Vec<u8> {
        self.seen().heads.clone()
    }

    /// Runs the next request and closes the connection without a response.
    pub fn drop_next(&self) {
        self.seen().drop_next = true;
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request; returns its count and whether to drop it.
    fn count(&self, request: &Request) -> (u64, bool) {
        let id = request.header("x-request-id").unwrap_or_default();
        let mut seen = self.seen();
        seen.heads.extend(&request.head);
        let count = seen.executions.entry(id).or_default();
        *count += 1;
        (*count, std::mem::take(&mut seen.drop_next))
    }
}

impl Handler for FakePlain {
    async fn handle(&self, request: Request, connection: &mut Connection) -> io::Result<()> {
        let (count, is_dropped) = self.count(&request);
        if is_dropped {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let echo = json!({
            "method": request.method,
            "path": request.path,
            "body": String::from_utf8_lossy(&request.body),
            "executions": count,
        });
        let body = echo.to_string();
        connection
            .respond(200, "application/json", body.as_bytes())
            .await
    }
}
