//! Simulates an engine with continuous batching and a bounded prefix cache.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use knapweeddale_core::input::{AttemptOutcome, AttemptProgress};
use knapweeddale_core::{AttemptId, HistoryDigest, ProgramKey};

/// Timing and capacity of a simulated engine.
#[derive(Debug, Clone)]
pub struct BatchModel {
    /// Prefill time of one prompt token while no call is decoding.
    pub prefill_us_per_token: f64,
    /// Duration of a decode step with one call; a step generates one token for each call.
    pub step_us: f64,
    /// Added to the step for each call after the first, up to `knee_calls`.
    pub step_us_per_call: f64,
    /// Batch size above which the step grows by `step_us_over_knee` for each call.
    pub knee_calls: usize,
    /// Added to the step for each call over `knee_calls`.
    pub step_us_over_knee: f64,
    /// Speed factor of decoding while a prompt is prefilled, and of prefill while
    /// calls are decoding.
    pub mixed_speed_factor: f64,
    /// Maximum number of running calls; further calls queue in order of arrival.
    pub max_calls: usize,
    /// Memory capacity in tokens, shared by running calls and cached prefixes.
    pub memory_tokens: u64,
    /// Interval between load reports, and the delay of each report.
    pub report_us: u64,
}

impl Default for BatchModel {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 20.0,
            step_us: 10_000.0,
            step_us_per_call: 250.0,
            knee_calls: 24,
            step_us_over_knee: 1_500.0,
            mixed_speed_factor: 0.7,
            max_calls: 48,
            memory_tokens: 1_000_000,
            report_us: 500_000,
        }
    }
}

impl BatchModel {
    /// Returns the duration of a decode step with this many calls.
    pub fn step_us(&self, calls: usize) -> f64 {
        let below = calls.min(self.knee_calls).saturating_sub(1) as f64;
        let above = calls.saturating_sub(self.knee_calls) as f64;
        self.step_us + below * self.step_us_per_call + above * self.step_us_over_knee
    }
}

/// A request that is queued or running at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// The attempt that this request serves.
    pub attempt: AttemptId,
    /// The program whose cached prefix the prompt extends; `None` disables caching.
    pub program: Option<ProgramKey>,
    /// Length of the prompt, cached prefix included.
    pub prompt_tokens: u64,
    /// Length of the response that the engine will generate.
    pub answer_tokens: u64,
    cached_tokens: u64,
    prefill_left: f64,
}

impl Job {
    /// Creates a request; a response has at least one token.
    pub fn new(
        attempt: AttemptId,
        program: Option<ProgramKey>,
        prompt_tokens: u64,
        answer_tokens: u64,
    ) -> Self {
        Self {
            attempt,
            program,
            prompt_tokens,
            answer_tokens: answer_tokens.max(1),
            cached_tokens: 0,
            prefill_left: 0.0,
        }
    }

    /// Returns the tokens reserved in memory: the prompt and the whole response.
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// A simulated engine with continuous batching and a bounded LRU prefix cache.
#[derive(Debug)]
pub struct BatchEngine {
    model: BatchModel,
    now_us: f64,
    queued: VecDeque<Job>,
    prefilling: VecDeque<Job>,
    /// Decoding calls, keyed by the `progress` at which they end, in thousandths of a token.
    decoding: BTreeMap<(u64, AttemptId), Job>,
    /// Tokens that a call decoding since the engine was created would have generated.
    progress: f64,
    used_tokens: u64,
    cache: BTreeMap<ProgramKey, (u64, u64)>,
    lru: BTreeSet<(u64, ProgramKey)>,
    cached_tokens: u64,
    last_use: u64,
    generated_tokens: f64,
    reported_tokens: f64,
}

/// Progress of an attempt at a virtual time in microseconds.
pub type BatchEvent = (u64, AttemptId, AttemptProgress);

/// # Time
impl BatchEngine {
    /// Creates an idle engine.
    pub fn new(model: BatchModel) -> Self {
        Self {
            model,
            now_us: 0.0,
            queued: VecDeque::new(),
            prefilling: VecDeque::new(),
            decoding: BTreeMap::new(),
            progress: 0.0,
            used_tokens: 0,
            cache: BTreeMap::new(),
            lru: BTreeSet::new(),
            cached_tokens: 0,
            last_use: 0,
            generated_tokens: 0.0,
            reported_tokens: 0.0,
        }
    }

    /// Enqueues a request.
    pub fn push(&mut self, job: Job) {
        self.queued.push_back(job);
        self.admit();
    }

    /// Advances the simulation to `to_us` and returns the progress events up to then.
    pub fn advance(&mut self, to_us: u64) -> Vec<BatchEvent> {
        let mut events = Vec::new();
        while let Some(next_us) = self.next_change_us()
            && next_us <= to_us as f64
        {
            self.advance_clock(next_us);
            self.finish_prefill(&mut events);
            self.finish_decode(&mut events);
            self.admit();
        }
        self.advance_clock(to_us as f64);
        events
    }

    /// Returns the time of the next event, rounded up; `None` if the engine is idle.
    pub fn next_us(&self) -> Option<u64> {
        self.next_change_us().map(|at_us| at_us.ceil() as u64)
    }

    /// Returns the queued and running calls, and the tokens per second since the last report.
    pub fn take_load(&mut self) -> (u32, u64) {
        let tokens = self.generated_tokens - self.reported_tokens;
        self.reported_tokens = self.generated_tokens;
        let calls = self.queued.len() + self.prefilling.len() + self.decoding.len();
        let rate = tokens * 1e6 / self.model.report_us as f64;
        (calls as u32, rate as u64)
    }

    /// Returns the tokens that each decoding call generates per microsecond.
    fn token_speed(&self) -> f64 {
        let calls = self.decoding.len();
        let factor = if self.prefilling.is_empty() {
            1.0
        } else {
            self.model.mixed_speed_factor
        };
        factor / self.model.step_us(calls)
    }

    /// Returns the prompt tokens that are prefilled per microsecond.
    fn prefill_speed(&self) -> f64 {
        let factor = if self.decoding.is_empty() {
            1.0
        } else {
            self.model.mixed_speed_factor
        };
        factor / self.model.prefill_us_per_token
    }

    /// Returns the next time at which a call finishes prefill or decoding.
    fn next_change_us(&self) -> Option<f64> {
        let read_us = self
            .prefilling
            .front()
            .map(|job| job.prefill_left / self.prefill_speed());
        let generate_us = self.decoding.first_key_value().map(|((end, _), _)| {
            (*end as f64 / 1_000.0 - self.progress).max(0.0) / self.token_speed()
        });
        let wait_us = match (read_us, generate_us) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(self.now_us + wait_us)
    }

    /// Advances the clock over an interval in which no call finishes prefill or decoding.
    fn advance_clock(&mut self, to_us: f64) {
        let elapsed_us = (to_us - self.now_us).max(0.0);
        let gained = elapsed_us * self.token_speed();
        let read = elapsed_us * self.prefill_speed();
        if !self.decoding.is_empty() {
            self.progress += gained;
            self.generated_tokens += gained * self.decoding.len() as f64;
        }
        if let Some(job) = self.prefilling.front_mut() {
            job.prefill_left -= read;
        }
        self.now_us = self.now_us.max(to_us);
    }

    /// Moves calls whose prompt is fully prefilled to decoding.
    fn finish_prefill(&mut self, events: &mut Vec<BatchEvent>) {
        while let Some(job) = self.prefilling.front()
            && job.prefill_left <= 1e-3
        {
            let Some(job) = self.prefilling.pop_front() else {
                return;
            };
            let at_us = self.now_us.ceil() as u64;
            events.push((at_us, job.attempt, AttemptProgress::FirstToken));
            let end = (self.progress + job.answer_tokens as f64) * 1_000.0;
            self.decoding.insert((end.ceil() as u64, job.attempt), job);
        }
    }

    /// Completes calls that have generated their whole response and caches their prefixes.
    fn finish_decode(&mut self, events: &mut Vec<BatchEvent>) {
        while let Some(entry) = self.decoding.first_entry() {
            if entry.key().0 as f64 / 1_000.0 > self.progress + 1e-3 {
                return;
            }
            let job = entry.remove();
            let at_us = self.now_us.ceil() as u64;
            let outcome = AttemptOutcome {
                prompt_tokens: job.prompt_tokens,
                cached_tokens: job.cached_tokens,
                answer_tokens: job.answer_tokens,
                history: HistoryDigest::default(),
            };
            events.push((at_us, job.attempt, AttemptProgress::Finished(outcome)));
            self.used_tokens -= job.memory_tokens();
            self.cache_prefix(job);
        }
    }
}

/// # Memory
impl BatchEngine {
    /// Admits queued calls in order of arrival while the call and memory limits allow.
    fn admit(&mut self) {
        while let Some(job) = self.queued.front() {
            let calls = self.prefilling.len() + self.decoding.len();
            let needed = self.used_tokens + job.memory_tokens();
            let has_room = needed <= self.model.memory_tokens || calls == 0;
            if calls >= self.model.max_calls || !has_room {
                return;
            }
            let Some(mut job) = self.queued.pop_front() else {
                return;
            };
            job.cached_tokens = self.take_prefix(&job);
            job.prefill_left = (job.prompt_tokens - job.cached_tokens).max(1) as f64;
            self.used_tokens += job.memory_tokens();
            self.evict();
            self.prefilling.push_back(job);
        }
    }

    /// Removes the cached prefix of a request and returns how many prompt tokens it covers.
    fn take_prefix(&mut self, job: &Job) -> u64 {
        let Some(program) = &job.program else {
            return 0;
        };
        let Some((tokens, used)) = self.cache.remove(program) else {
            return 0;
        };
        self.lru.remove(&(used, program.clone()));
        self.cached_tokens -= tokens;
        tokens.min(job.prompt_tokens)
    }

    /// Caches the prefix of a finished request.
    fn cache_prefix(&mut self, job: Job) {
        let tokens = job.memory_tokens();
        let Some(program) = job.program else {
            return;
        };
        self.last_use += 1;
        if let Some((old, used)) = self.cache.insert(program.clone(), (tokens, self.last_use)) {
            self.lru.remove(&(used, program.clone()));
            self.cached_tokens -= old;
        }
        self.lru.insert((self.last_use, program));
        self.cached_tokens += tokens;
        self.evict();
    }

    /// Evicts the least recently used prefixes until the memory limit holds.
    fn evict(&mut self) {
        while self.used_tokens + self.cached_tokens > self.model.memory_tokens {
            let Some((_, program)) = self.lru.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.cache.remove(&program) {
                self.cached_tokens -= tokens;
            }
        }
    }
}
