//! A fake of a model engine.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::Semaphore;

use super::connection::{Connection, Request};
use super::server::{FakeServer, Handler};

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Requests that run at once; further ones are refused with 429.
    pub batch_limit: usize,
    /// Pause before each token.
    pub token_time: Duration,
    /// Age of the numbers in a load report.
    pub load_lag: Duration,
    /// Programs whose prefix is kept.
    pub cache_entries: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            batch_limit: 8,
            token_time: Duration::ZERO,
            load_lag: Duration::from_millis(500),
            cache_entries: 64,
        }
    }
}

/// A fault of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// The engine crashes after this many tokens: all its connections break.
    CrashAfter(u64),
    /// The connection stays open and carries nothing after this many tokens.
    SilentAfter(u64),
    /// After this many tokens, the engine waits for [`FakeEngine::open_gate`].
    GateAfter(u64),
    /// The engine refuses the request with this status.
    Refuse(u16),
}

/// A model engine with a batch limit and a prefix cache.
#[derive(Debug)]
pub struct FakeEngine {
    options: EngineOptions,
    gate: Semaphore,
    crashed: Semaphore,
    state: Mutex<State>,
}

/// What changes while the engine runs.
#[derive(Debug, Default)]
struct State {
    running: usize,
    loads: VecDeque<(Instant, usize)>,
    heads: Vec<u8>,
    executions: BTreeMap<String, u64>,
    faults: VecDeque<EngineFault>,
    cancelled: u64,
    /// Prefix and generation by program; the front was used longest ago.
    cache: VecDeque<(String, u64, Vec<String>)>,
}

/// # Steering
impl FakeEngine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(options: EngineOptions) -> io::Result<FakeServer<Self>> {
        FakeServer::start(Self {
            options,
            gate: Semaphore::new(0),
            crashed: Semaphore::new(0),
            state: Mutex::default(),
        })
        .await
    }

    /// Plans a fault for the next request that has none.
    pub fn plan(&self, fault: EngineFault) {
        self.state().faults.push_back(fault);
    }

    /// Lets one request pass its gate.
    pub fn open_gate(&self) {
        self.gate.add_permits(1);
    }

    /// Waits until a planned crash is due; the caller then crashes the server.
    pub async fn crash_due(&self) {
        if let Ok(permit) = self.crashed.acquire().await {
            permit.forget();
        }
    }
}

/// # Observation
impl FakeEngine {
    /// Returns how often requests with this `x-request-id` ran.
    pub fn executions(&self, request: &str) -> u64 {
        self.state().executions.get(request).copied().unwrap_or(0)
    }

    /// Returns how many requests ran.
    pub fn total_executions(&self) -> u64 {
        self.state().executions.values().sum()
    }

    /// Returns how many requests were cancelled by their client.
    pub fn cancelled(&self) -> u64 {
        self.state().cancelled
    }

    /// Returns the programs in the cache with their generation.
    pub fn cached_programs(&self) -> Vec<(String, u64)> {
        let state = self.state();
        let entries = state.cache.iter();
        entries
            .map(|(name, gen_, _)| (name.clone(), *gen_))
            .collect()
    }

    /// Returns all bytes of heads received so far.
    pub fn heads(&self) -> Vec<u8> {
        self.state().heads.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One completion in progress.
struct Completion {
    model: String,
    stream: bool,
    tag: String,
    tokens: u64,
    prompt_tokens: usize,
    cached_tokens: usize,
}

impl Completion {
    fn text(&self, token: u64) -> String {
        format!("{}-{token} ", self.tag)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }

    fn chunk(&self, token: u64) -> String {
        let delta = json!({"role": "assistant", "content": self.text(token)});
        json!({
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": null}],
        })
        .to_string()
    }

    fn last_chunk(&self) -> String {
        json!({
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": self.usage(),
        })
        .to_string()
    }

    fn whole(&self) -> String {
        let content: String = (0..self.tokens).map(|token| self.text(token)).collect();
        let message = json!({"role": "assistant", "content": content});
        json!({
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(),
        })
        .to_string()
    }
}

/// # Requests
impl FakeEngine {
    /// Admits a request to the batch, or returns the status of its refusal.
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
        let words = words_of(&body);
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
            self.pass_fault(fault, token, connection).await?;
            if !self.options.token_time.is_zero() {
                tokio::time::sleep(self.options.token_time).await;
            }
            if completion.stream {
                connection.event(&completion.chunk(token)).await?;
            }
        }
        self.pass_fault(fault, completion.tokens, connection)
            .await?;
        if !completion.stream {
            let body = completion.whole();
            return connection
                .respond(200, "application/json", body.as_bytes())
                .await;
        }
        connection.event(&completion.last_chunk()).await?;
        connection.event("[DONE]").await?;
        connection.end_events().await
    }

    /// Acts out a fault that is due before a token.
    async fn pass_fault(
        &self,
        fault: Option<EngineFault>,
        token: u64,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let opened = match fault {
            Some(EngineFault::GateAfter(after)) if after == token => {
                tokio::select! {
                    permit = self.gate.acquire() => permit.is_ok_and(|p| { p.forget(); true }),
                    () = connection.closed() => false,
                }
            }
            Some(EngineFault::SilentAfter(after)) if after == token => {
                connection.closed().await;
                false
            }
            Some(EngineFault::CrashAfter(after)) if after == token => {
                self.crashed.add_permits(1);
                connection.closed().await;
                false
            }
            _ => true,
        };
        if opened {
            return Ok(());
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Answers a load report with numbers that are `load_lag` old.
    fn load(&self) -> String {
        let state = self.state();
        let now = Instant::now();
        let lagged = state.loads.iter().rev();
        let lagged = lagged
            .clone()
            .find(|(at, _)| now.duration_since(*at) >= self.options.load_lag);
        json!({"running_calls": lagged.map_or(0, |(_, running)| *running), "tokens_per_s": 0})
            .to_string()
    }

    /// Releases the cache of a program unless a newer program has its name.
    fn release(&self, body: &[u8]) -> String {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let name = body["program"].as_str().unwrap_or_default();
        let generation = body["generation"].as_u64().unwrap_or(0);
        self.state()
            .cache
            .retain(|(program, gen_, _)| program != name || *gen_ != generation);
        json!({"released": true}).to_string()
    }
}

impl State {
    /// Counts running requests and remembers when the number changed.
    fn change_running(&mut self, by: isize) {
        self.running = self.running.saturating_add_signed(by);
        self.loads.push_back((Instant::now(), self.running));
        if self.loads.len() > 1_000 {
            self.loads.pop_front();
        }
    }

    /// Returns how many words of the prompt are cached, and caches the prompt.
    fn use_cache(&mut self, request: &Request, words: Vec<String>, entries: usize) -> usize {
        let Some(program) = request.header("kwd-program") else {
            return 0;
        };
        let generation = request.header("kwd-generation");
        let generation = generation.and_then(|text| text.parse().ok()).unwrap_or(0);
        let position = self.cache.iter().position(|(name, _, _)| *name == program);
        let old = position.and_then(|at| self.cache.remove(at));
        let cached = old.map_or(0, |(_, _, old)| {
            old.iter().zip(&words).take_while(|(a, b)| a == b).count()
        });
        self.cache.push_back((program, generation, words));
        if self.cache.len() > entries {
            self.cache.pop_front();
        }
        cached
    }
}

/// Returns the words of all messages; a word counts as a token.
fn words_of(body: &Value) -> Vec<String> {
    let messages = body["messages"].as_array().into_iter().flatten();
    messages
        .filter_map(|message| message["content"].as_str())
        .flat_map(|text| text.split_whitespace().map(str::to_owned))
        .collect()
}

impl Handler for FakeEngine {
    async fn handle(&self, request: Request, connection: &mut Connection) -> io::Result<()> {
        self.state().heads.extend(&request.head);
        let kind = "application/json";
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/load") => {
                let body = self.load();
                connection.respond(200, kind, body.as_bytes()).await
            }
            ("POST", "/cache/release") => {
                let body = self.release(&request.body);
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

/// Takes a request out of the batch when it ends, even if its task is aborted.
struct Running<'a>(&'a FakeEngine);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.state().change_running(-1);
    }
}
