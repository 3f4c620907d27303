//! Fake of a plain service, which is not a model engine.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::json;

use super::connection::{Connection, Request};
use super::server::{FakeServer, Handler};

/// Plain service that echoes requests and counts their executions.
#[derive(Debug, Default)]
pub struct FakePlain(Mutex<State>);

/// Recorded requests and pending faults.
#[derive(Debug, Default)]
struct State {
    heads: Vec<u8>,
    executions: BTreeMap<String, u64>,
    drop_next: bool,
    hang_next: bool,
}

/// What happens to the connection after a request was executed.
enum Ending {
    Respond,
    Drop,
    Hang,
}

impl FakePlain {
    /// Starts the service on loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<FakeServer<Self>> {
        FakeServer::start(Self::default()).await
    }

    /// Returns how often a request with this `x-request-id` was executed.
    pub fn executions(&self, request: &str) -> u64 {
        self.state().executions.get(request).copied().unwrap_or(0)
    }

    /// Returns the number of requests executed.
    pub fn total_executions(&self) -> u64 {
        self.state().executions.values().sum()
    }

    /// Returns the concatenated heads of all requests received, without load probes.
    pub fn heads(&self) -> Vec<u8> {
        self.state().heads.clone()
    }

    /// Executes the next request, then closes its connection without a response.
    pub fn drop_next(&self) {
        self.state().drop_next = true;
    }

    /// Executes the next request, then keeps its connection open without a response.
    pub fn hang_next(&self) {
        self.state().hang_next = true;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request; returns how often its id was executed and how the request ends.
    fn record_request(&self, request: &Request) -> (u64, Ending) {
        let id = request.header("x-request-id").unwrap_or_default();
        let mut state = self.state();
        state.heads.extend(&request.head);
        let count = state.executions.entry(id).or_default();
        *count += 1;
        let count = *count;
        let ending = if std::mem::take(&mut state.drop_next) {
            Ending::Drop
        } else if std::mem::take(&mut state.hang_next) {
            Ending::Hang
        } else {
            Ending::Respond
        };
        (count, ending)
    }
}

impl Handler for FakePlain {
    async fn handle(&self, request: Request, connection: &mut Connection) -> io::Result<()> {
        if request.path == "/load" {
            return connection.respond(404, "text/plain", b"").await;
        }
        let (count, ending) = self.record_request(&request);
        match ending {
            Ending::Respond => {}
            Ending::Drop => return Err(io::ErrorKind::ConnectionAborted.into()),
            Ending::Hang => {
                connection.wait_closed().await;
                return Err(io::ErrorKind::TimedOut.into());
            }
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
