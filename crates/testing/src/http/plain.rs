//! Fake of a plain service, which is not a model engine.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use super::connection::{Connection, Request};
use super::server::{FakeServer, Handler};

/// Time between a response that is sent once more and the response to the request.
const REPEAT_LEAD: Duration = Duration::from_millis(20);

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
    refuse_next: bool,
    repeats: bool,
    /// The last response on each connection, as status and body.
    last_responses: BTreeMap<SocketAddr, (u16, String)>,
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

    /// Refuses the next request with 503 and states that it was not run.
    pub fn refuse_next(&self) {
        self.state().refuse_next = true;
    }

    /// Sends the last response on a connection once more before each further one there.
    pub fn repeat_responses(&self) {
        self.state().repeats = true;
    }

    /// Sends the last response on this connection once more, if there is one and
    /// [`Self::repeat_responses`] was called.
    async fn repeat_last(&self, connection: &mut Connection) -> io::Result<()> {
        let peer = connection.peer_address()?;
        let last = {
            let state = self.state();
            let last = state.last_responses.get(&peer).cloned();
            last.filter(|_| state.repeats)
        };
        let Some((status, body)) = last else {
            return Ok(());
        };
        send_response(connection, status, &body).await?;
        sleep(REPEAT_LEAD).await;
        Ok(())
    }

    /// Sends a response and remembers it.
    async fn respond(
        &self,
        connection: &mut Connection,
        status: u16,
        body: String,
    ) -> io::Result<()> {
        send_response(connection, status, &body).await?;
        let peer = connection.peer_address()?;
        self.state().last_responses.insert(peer, (status, body));
        Ok(())
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
        if std::mem::take(&mut self.state().refuse_next) {
            return self.respond(connection, 503, String::new()).await;
        }
        let (count, ending) = self.record_request(&request);
        self.repeat_last(connection).await?;
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
        self.respond(connection, 200, echo.to_string()).await
    }
}

/// Sends a response; one with status 503 states that the request was not run.
async fn send_response(connection: &mut Connection, status: u16, body: &str) -> io::Result<()> {
    let ran = if status == 503 { "not_run" } else { "ran" };
    let len = body.len();
    let text = format!(
        "HTTP/1.1 {status} fake\r\ncontent-type: application/json\r\nkwd-ran: {ran}\r\n\
         content-length: {len}\r\n\r\n{body}"
    );
    connection.send(text.as_bytes()).await
}
