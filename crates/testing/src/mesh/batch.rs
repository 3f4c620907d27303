//! An engine with continuous batching and a prefix cache of limited size.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use knapweeddale_core::input::{AttemptOutcome, AttemptProgress};
use knapweeddale_core::{AttemptId, HistoryDigest, ProgramKey};

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct BatchModel {
    /// Time to read one prompt token while nothing is generated.
    pub prefill_us_per_token: f64,
    /// Time of a step, which generates one token for each call, with one call.
    pub step_us: f64,
    /// Growth of the step with each further call up to the knee.
    pub step_us_per_call: f64,
    /// Calls at which the step starts to grow faster.
    pub knee_calls: usize,
    /// Growth of the step with each call over the knee.
    pub step_us_over_knee: f64,
    /// Speed of generation while a prompt is read, and of reading while
    /// tokens are generated.
    pub mixed_speed: f64,
    /// Calls that run at once; more wait in the order of arrival.
    pub max_calls: usize,
    /// Tokens in memory, of running calls and cached prefixes.
    pub memory_tokens: u64,
    /// Interval between load reports, which is also their lag.
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
            mixed_speed: 0.7,
            max_calls: 48,
            memory_tokens: 1_000_000,
            report_us: 500_000,
        }
    }
}

impl BatchModel {
    /// Returns the time of a step with this many calls.
    pub fn step_us(&self, calls: usize) -> f64 {
        let below = calls.min(self.knee_calls).saturating_sub(1) as f64;
        let above = calls.saturating_sub(self.knee_calls) as f64;
        self.step_us + below * self.step_us_per_call + above * self.step_us_over_knee
    }
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// The program whose prefix it extends.
    pub program: Option<ProgramKey>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that it will generate.
    pub answer_tokens: u64,
    cached_tokens: u64,
    left_tokens: f64,
}

impl Job {
    /// Makes a request.
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
            left_tokens: 0.0,
        }
    }

    /// Returns the memory that it takes in the end.
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// An engine with continuous batching and a prefix cache of limited size.
#[derive(Debug)]
pub struct BatchEngine {
    model: BatchModel,
    now_us: f64,
    arrived: VecDeque<Job>,
    reading: VecDeque<Job>,
    /// Generating calls, by the progress at which they end, in thousandths of a token.
    generating: BTreeMap<(u64, AttemptId), Job>,
    /// Tokens that a call generating since the start would have.
    progress: f64,
    used_tokens: u64,
    cache: BTreeMap<ProgramKey, (u64, u64)>,
    by_use: BTreeSet<(u64, ProgramKey)>,
    cached_tokens: u64,
    uses: u64,
    generated_tokens: f64,
    reported_tokens: f64,
}

/// Something that an engine tells about an attempt.
pub type BatchEvent = (u64, AttemptId, AttemptProgress);

/// # Time
impl BatchEngine {
    /// Makes an engine without calls.
    pub fn new(model: BatchModel) -> Self {
        Self {
            model,
            now_us: 0.0,
            arrived: VecDeque::new(),
            reading: VecDeque::new(),
            generating: BTreeMap::new(),
            progress: 0.0,
            used_tokens: 0,
            cache: BTreeMap::new(),
            by_use: BTreeSet::new(),
            cached_tokens: 0,
            uses: 0,
            generated_tokens: 0.0,
            reported_tokens: 0.0,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, job: Job) {
        self.arrived.push_back(job);
        self.admit();
    }

    /// Runs up to a time and returns what happened.
    pub fn advance(&mut self, to_us: u64) -> Vec<BatchEvent> {
        let mut events = Vec::new();
        while let Some(next_us) = self.next_change_us()
            && next_us <= to_us as f64
        {
            self.pass_time(next_us);
            self.finish_reading(&mut events);
            self.finish_generating(&mut events);
            self.admit();
        }
        self.pass_time(to_us as f64);
        events
    }

    /// Returns when something happens next.
    pub fn next_us(&self) -> Option<u64> {
        self.next_change_us().map(|at_us| at_us.ceil() as u64)
    }

    /// Returns the calls at the engine and the token rate since the last report.
    pub fn load(&mut self) -> (u32, u64) {
        let tokens = self.generated_tokens - self.reported_tokens;
        self.reported_tokens = self.generated_tokens;
        let calls = self.arrived.len() + self.reading.len() + self.generating.len();
        let rate = tokens * 1e6 / self.model.report_us as f64;
        (calls as u32, rate as u64)
    }

    /// Returns the tokens that each generating call gains in a microsecond.
    fn token_speed(&self) -> f64 {
        let calls = self.generating.len();
        let factor = if self.reading.is_empty() {
            1.0
        } else {
            self.model.mixed_speed
        };
        factor / self.model.step_us(calls)
    }

    /// Returns the prompt tokens that are read in a microsecond.
    fn read_speed(&self) -> f64 {
        let factor = if self.generating.is_empty() {
            1.0
        } else {
            self.model.mixed_speed
        };
        factor / self.model.prefill_us_per_token
    }

    /// Returns when a call starts or ends generating.
    fn next_change_us(&self) -> Option<f64> {
        let read_us = self
            .reading
            .front()
            .map(|job| job.left_tokens / self.read_speed());
        let generate_us = self.generating.first_key_value().map(|((end, _), _)| {
            (*end as f64 / 1_000.0 - self.progress).max(0.0) / self.token_speed()
        });
        let wait_us = match (read_us, generate_us) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(self.now_us + wait_us)
    }

    /// Lets time pass in which no call starts or ends generating.
    fn pass_time(&mut self, to_us: f64) {
        let elapsed_us = (to_us - self.now_us).max(0.0);
        let gained = elapsed_us * self.token_speed();
        let read = elapsed_us * self.read_speed();
        if !self.generating.is_empty() {
            self.progress += gained;
            self.generated_tokens += gained * self.generating.len() as f64;
        }
        if let Some(job) = self.reading.front_mut() {
            job.left_tokens -= read;
        }
        self.now_us = self.now_us.max(to_us);
    }

    /// Moves prompts that are read on to generation.
    fn finish_reading(&mut self, events: &mut Vec<BatchEvent>) {
        while let Some(job) = self.reading.front()
            && job.left_tokens <= 1e-3
        {
            let Some(job) = self.reading.pop_front() else {
                return;
            };
            let at_us = self.now_us.ceil() as u64;
            events.push((at_us, job.attempt, AttemptProgress::FirstToken));
            let end = (self.progress + job.answer_tokens as f64) * 1_000.0;
            self.generating
                .insert((end.ceil() as u64, job.attempt), job);
        }
    }

    /// Ends calls that have generated all tokens.
    fn finish_generating(&mut self, events: &mut Vec<BatchEvent>) {
        while let Some(entry) = self.generating.first_entry() {
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
            self.store(job);
        }
    }
}

/// # Memory
impl BatchEngine {
    /// Admits calls in the order of arrival while there is room.
    fn admit(&mut self) {
        while let Some(job) = self.arrived.front() {
            let calls = self.reading.len() + self.generating.len();
            let needed = self.used_tokens + job.memory_tokens();
            let has_room = needed <= self.model.memory_tokens || calls == 0;
            if calls >= self.model.max_calls || !has_room {
                return;
            }
            let Some(mut job) = self.arrived.pop_front() else {
                return;
            };
            job.cached_tokens = self.take(&job);
            job.left_tokens = (job.prompt_tokens - job.cached_tokens).max(1) as f64;
            self.used_tokens += job.memory_tokens();
            self.evict();
            self.reading.push_back(job);
        }
    }

    /// Takes the cached prefix of a request out of the cache.
    fn take(&mut self, job: &Job) -> u64 {
        let Some(program) = &job.program else {
            return 0;
        };
        let Some((tokens, used)) = self.cache.remove(program) else {
            return 0;
        };
        self.by_use.remove(&(used, program.clone()));
        self.cached_tokens -= tokens;
        tokens.min(job.prompt_tokens)
    }

    /// Keeps the prefix of a finished request.
    fn store(&mut self, job: Job) {
        let tokens = job.memory_tokens();
        let Some(program) = job.program else {
            return;
        };
        self.uses += 1;
        if let Some((old, used)) = self.cache.insert(program.clone(), (tokens, self.uses)) {
            self.by_use.remove(&(used, program.clone()));
            self.cached_tokens -= old;
        }
        self.by_use.insert((self.uses, program));
        self.cached_tokens += tokens;
        self.evict();
    }

    /// Drops the prefixes that were not used for the longest time.
    fn evict(&mut self) {
        while self.used_tokens + self.cached_tokens > self.model.memory_tokens {
            let Some((_, program)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.cache.remove(&program) {
                self.cached_tokens -= tokens;
            }
        }
    }
}
