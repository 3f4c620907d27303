//! Fake model engine with a batch limit, a prefix cache and injected faults.

mod completion;
mod state;

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::Semaphore;

use self::completion::{Completion, split_words};
use self::state::State;
use super::connection::{Connection, Request};
use super::server::{FakeServer, Handler};

/// Configuration of a [`FakeEngine`].
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Maximum number of concurrent requests; further ones are refused with 429.
    pub batch_limit: usize,
    /// Delay before each token.
    pub token_time: Duration,
    /// Minimum age of the running count in a load report.
    pub load_lag: Duration,
    /// Maximum number of programs in the prefix cache.
    pub cache_entries: usize,
    /// Models loaded at startup; `None` leaves `models` null in load reports until an order
    /// arrives.
    pub models: Option<Vec<String>>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            batch_limit: 8,
            token_time: Duration::ZERO,
            load_lag: Duration::from_millis(500),
            cache_entries: 64,
            models: None,
        }
    }
}

/// Fault injected into one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// After this many tokens, [`FakeEngine::wait_for_crash`] returns and the request stalls until
    /// the test crashes the server.
    CrashAfter(u64),
    /// After this many tokens, the engine sends nothing more and keeps the connection open.
    SilentAfter(u64),
    /// After this many tokens, the engine waits for [`FakeEngine::open_gate`].
    GateAfter(u64),
    /// The engine refuses the request with this HTTP status.
    Refuse(u16),
}

/// Fake model engine that counts executions and generates predictable text.
#[derive(Debug)]
pub struct FakeEngine {
    options: EngineOptions,
    gate: Semaphore,
    crash_signal: Semaphore,
    started: Instant,
    state: Mutex<State>,
}

/// # Control by tests
impl FakeEngine {
    /// Starts an engine on loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(options: EngineOptions) -> io::Result<FakeServer<Self>> {
        let state = State {
            models: options.models.clone(),
            ..State::default()
        };
        FakeServer::start(Self {
            options,
            gate: Semaphore::new(0),
            crash_signal: Semaphore::new(0),
            started: Instant::now(),
            state: Mutex::new(state),
        })
        .await
    }

    /// Queues a fault; each completion request consumes one, in order.
    pub fn inject(&self, fault: EngineFault) {
        self.state().faults.push_back(fault);
    }

    /// Returns the models that are loaded.
    pub fn models(&self) -> Vec<String> {
        self.state().models.clone().unwrap_or_default()
    }

    /// Lets one request continue past [`EngineFault::GateAfter`].
    pub fn open_gate(&self) {
        self.gate.add_permits(1);
    }

    /// Waits until a request reaches [`EngineFault::CrashAfter`]; the caller then crashes the
    /// server.
    pub async fn wait_for_crash(&self) {
        if let Ok(permit) = self.crash_signal.acquire().await {
            permit.forget();
        }
    }
}

/// # Observation
impl FakeEngine {
    /// Returns how often a request with this `x-request-id` was executed.
    pub fn executions(&self, request: &str) -> u64 {
        self.state().executions.get(request).copied().unwrap_or(0)
    }

    /// Returns the number of requests executed.
    pub fn total_executions(&self) -> u64 {
        self.state().executions.values().sum()
    }

    /// Returns the number of requests that ended because their connection closed.
    pub fn cancelled(&self) -> u64 {
        self.state().cancelled
    }

    /// Returns the name and generation of each program in the prefix cache.
    pub fn cached_programs(&self) -> Vec<(String, u64)> {
        let state = self.state();
        let entries = state.cache.iter();
        entries
            .map(|(name, gen_, _)| (name.clone(), *gen_))
            .collect()
    }

    /// Returns the concatenated heads of all requests received.
    pub fn heads(&self) -> Vec<u8> {
        self.state().heads.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// # Requests
impl FakeEngine {
    /// Admits a request to the batch, or returns the HTTP status of its refusal.
    fn admit(&self, request: &Request) -> Result<(Completion, Option<EngineFault>), u16> {
        let body: Value = serde_json::from_slice(&request.body).map_err(|_| 400u16)?;
        let mut state = self.state();
        let fault = state.faults.pop_front();
        if let Some(EngineFault::Refuse(status)) = fault {
            return Err(status);
        }
        if state.running >= self.options.batch_limit {
            return Err(429);
        }
        let words = split_words(&body);
        let tag = body["messages"].as_array().and_then(|list| list.last());
        let tag = tag.and_then(|message| message["content"].as_str());
        let tag = tag.and_then(|text| text.split_whitespace().last());
        let completion = Completion {
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            stream: body["stream"].as_bool().unwrap_or(false),
            tag: tag.unwrap_or("empty").to_owned(),
            tokens: body["max_tokens"].as_u64().unwrap_or(4),
            prompt_tokens: words.len(),
            cached_tokens: state.use_cache(request, words, self.options.cache_entries),
        };
        let id = request.header("x-request-id").unwrap_or_default();
        *state.executions.entry(id).or_default() += 1;
        state.change_running(1);
        Ok((completion, fault))
    }

    /// Generates the tokens of a completion and sends them.
    async fn generate(
        &self,
        completion: &Completion,
        fault: Option<EngineFault>,
        connection: &mut Connection,
    ) -> io::Result<()> {
        if completion.stream {
            connection.start_events().await?;
        }
        for token in 0..completion.tokens {
            self.apply_fault(fault, token, connection).await?;
            if !self.options.token_time.is_zero() {
                tokio::time::sleep(self.options.token_time).await;
            }
            if completion.stream {
                connection
                    .send_event(&completion.build_chunk(token))
                    .await?;
            }
        }
        self.apply_fault(fault, completion.tokens, connection)
            .await?;
        if !completion.stream {
            let body = completion.build_response();
            return connection
                .respond(200, "application/json", body.as_bytes())
                .await;
        }
        connection
            .send_event(&completion.build_last_chunk())
            .await?;
        connection.send_event("[DONE]").await?;
        connection.end_events().await
    }

    /// Applies the fault if it is due before this token.
    ///
    /// Fails if the client closes the connection while the fault blocks the request.
    async fn apply_fault(
        &self,
        fault: Option<EngineFault>,
        token: u64,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let opened = match fault {
            Some(EngineFault::GateAfter(after)) if after == token => {
                tokio::select! {
                    permit = self.gate.acquire() => permit.is_ok_and(|p| { p.forget(); true }),
                    () = connection.wait_closed() => false,
                }
            }
            Some(EngineFault::SilentAfter(after)) if after == token => {
                connection.wait_closed().await;
                false
            }
            Some(EngineFault::CrashAfter(after)) if after == token => {
                self.crash_signal.add_permits(1);
                connection.wait_closed().await;
                false
            }
            _ => true,
        };
        if opened {
            return Ok(());
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Returns the load report as JSON; its running count is at least `load_lag` old.
    fn build_load_report(&self) -> String {
        let state = self.state();
        let now = Instant::now();
        let lagged = state.running_history.iter().rev();
        let lagged = lagged
            .clone()
            .find(|(at, _)| now.duration_since(*at) >= self.options.load_lag);
        let started = state.restarted_at.unwrap_or(self.started);
        json!({
            "running_calls": lagged.map_or(0, |(_, running)| *running),
            "tokens_per_s": 0,
            "models": state.models,
            "uptime_ms": now.duration_since(started).as_millis() as u64,
        })
        .to_string()
    }

    /// Loads or unloads a model and returns the HTTP status; 409 if the fencing token is older
    /// than the highest one received.
    fn apply_order(&self, body: &[u8]) -> u16 {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let number = |field: &str| body["token"][field].as_u64().unwrap_or(0);
        let token = (number("epoch"), number("seq"));
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let mut state = self.state();
        if token < state.token {
            return 409;
        }
        state.token = token;
        let models = state.models.get_or_insert_default();
        models.retain(|other| *other != model);
        if body["action"] == "load" {
            models.push(model);
        }
        200
    }

    /// Evicts the cache entry of a program if its generation matches, so that a newer program of
    /// the same name keeps its entry.
    fn evict_program(&self, body: &[u8]) -> String {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let name = body["program"].as_str().unwrap_or_default();
        let generation = body["generation"].as_u64().unwrap_or(0);
        self.state()
            .cache
            .retain(|(program, gen_, _)| program != name || *gen_ != generation);
        json!({"released": true}).to_string()
    }
}

impl Handler for FakeEngine {
    fn on_restart(&self) {
        let mut state = self.state();
        state.restarted_at = Some(Instant::now());
        state.cache.clear();
    }

    async fn handle(&self, request: Request, connection: &mut Connection) -> io::Result<()> {
        self.state().heads.extend(&request.head);
        let kind = "application/json";
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/load") => {
                let body = self.build_load_report();
                connection.respond(200, kind, body.as_bytes()).await
            }
            ("POST", "/orders") => {
                let status = self.apply_order(&request.body);
                connection.respond(status, kind, b"{}").await
            }
            ("POST", "/cache/release") => {
                let body = self.evict_program(&request.body);
                connection.respond(200, kind, body.as_bytes()).await
            }
            ("POST", "/v1/chat/completions") => match self.admit(&request) {
                Err(status) => connection.respond(status, kind, b"{}").await,
                Ok((completion, fault)) => {
                    let running = Running(self);
                    let result = self.generate(&completion, fault, connection).await;
                    if result.is_err() {
                        self.state().cancelled += 1;
                    }
                    drop(running);
                    result
                }
            },
            _ => connection.respond(404, kind, b"{}").await,
        }
    }
}

/// Guard that removes a request from the batch on drop, even if its task is aborted.
struct Running<'a>(&'a FakeEngine);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.state().change_running(-1);
    }
}
