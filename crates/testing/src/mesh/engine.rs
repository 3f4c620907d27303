//! Simulates the upstreams of the mesh.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::batch::{BatchEngine, BatchEvent, BatchModel, Job};
use knapweeddale_core::input::{AttemptOutcome, AttemptProgress, Failure, ProbeState};
use knapweeddale_core::tables::Call;
use knapweeddale_core::{AttemptId, ContentDigest, Dispatch, HistoryDigest, NewCall, UpstreamName};

/// Timing of a simulated upstream.
#[derive(Debug, Clone)]
pub struct EngineModel {
    /// Prefill time of one prompt token.
    pub prefill_us_per_token: u64,
    /// Decode time of one token for a call that runs alone.
    pub decode_us_per_token: u64,
    /// Increase of the decode time for each further running call, in percent.
    pub batch_percent: u64,
    /// Time after a crash until the upstream accepts requests again.
    pub restart_us: u64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 20,
            decode_us_per_token: 5_000,
            batch_percent: 5,
            restart_us: 2_000_000,
        }
    }
}

/// All simulated upstreams and the faults injected into them.
#[derive(Debug, Default)]
pub struct Engines {
    /// Timing of all upstreams, unless batching engines replace them.
    pub model: EngineModel,
    /// Digests of requests that crash any upstream that runs them.
    pub poison: HashSet<ContentDigest>,
    /// Upstreams that ignore requests to release memory.
    pub ignoring_releases: HashSet<UpstreamName>,
    /// Upstreams that answer every request with status 500.
    pub failing: BTreeSet<UpstreamName>,
    /// Number of crashes of each upstream.
    pub crashes: BTreeMap<UpstreamName, u64>,
    running: BTreeMap<UpstreamName, BTreeMap<AttemptId, u64>>,
    down_until_us: BTreeMap<UpstreamName, u64>,
    cancelled: HashSet<AttemptId>,
    batch_model: Option<BatchModel>,
    cached_prompt_tokens: u64,
    batches: BTreeMap<UpstreamName, Batch>,
}

/// A batching engine and its scheduled event.
#[derive(Debug)]
struct Batch {
    engine: BatchEngine,
    /// Time of the scheduled `Event::Engine`, if any.
    scheduled_us: Option<u64>,
}

/// Returns the digest of the conversation history after a call.
pub fn history_after(call: &NewCall) -> HistoryDigest {
    let program = call.program.as_ref();
    let before = program.and_then(|program| program.continuation.as_ref());
    let mut digest = before.map_or([0; 32], |before| before.history.0);
    for (at, byte) in digest.iter_mut().enumerate() {
        let added = call.digest.0[at % 16];
        *byte = byte.wrapping_mul(31).wrapping_add(added).wrapping_add(7);
    }
    HistoryDigest(digest)
}

/// The result of running an attempt.
#[derive(Debug)]
pub(super) struct RunResult {
    /// Whether the upstream ran the request.
    pub executed: bool,
    /// Progress events with their virtual times in microseconds.
    pub events: Vec<(u64, AttemptId, AttemptProgress)>,
}

impl Engines {
    /// Runs an attempt and returns its progress events, future ones included.
    pub(super) fn run(
        &mut self,
        now_us: u64,
        local_us: u64,
        dispatch: &Dispatch,
        call: &Call,
    ) -> RunResult {
        let attempt = dispatch.attempt;
        let down_until_us = self.down_until_us.get(&dispatch.upstream);
        let is_down = down_until_us.is_some_and(|&until_us| now_us < until_us);
        if is_down || local_us >= dispatch.valid_until_us {
            let failure = match is_down {
                true => Failure::ConnectionRefused,
                false => Failure::NotSent,
            };
            let progress = AttemptProgress::Failed(failure);
            return RunResult {
                executed: false,
                events: vec![(now_us + 200, attempt, progress)],
            };
        }
        if self.failing.contains(&dispatch.upstream) {
            let failure = Failure::UpstreamError { status: 500 };
            return RunResult {
                executed: true,
                events: vec![
                    (now_us, attempt, AttemptProgress::Sent),
                    (now_us + 500, attempt, AttemptProgress::Failed(failure)),
                ],
            };
        }
        if self.has_batches() {
            return self.run_in_batch(now_us, dispatch, call);
        }
        let batch = self.running.entry(dispatch.upstream.clone()).or_default();
        batch.retain(|_, ends_us| *ends_us > now_us);
        if self.poison.contains(&call.request.digest) {
            return self.crash(now_us, dispatch);
        }
        let model = &self.model;
        let slowdown_percent = 100 + model.batch_percent * batch.len() as u64;
        let prefill_us = call.request.prompt_tokens * model.prefill_us_per_token;
        let decode_us =
            call.request.max_tokens * model.decode_us_per_token * slowdown_percent / 100;
        let ends_us = now_us + 1_000 + prefill_us + decode_us;
        batch.insert(attempt, ends_us);
        let outcome = AttemptOutcome {
            prompt_tokens: call.request.prompt_tokens,
            cached_tokens: 0,
            answer_tokens: call.request.max_tokens,
            history: history_after(&call.request),
        };
        RunResult {
            executed: true,
            events: vec![
                (now_us, attempt, AttemptProgress::Sent),
                (
                    now_us + 1_000 + prefill_us,
                    attempt,
                    AttemptProgress::FirstToken,
                ),
                (ends_us, attempt, AttemptProgress::Finished(outcome)),
            ],
        }
    }

    /// Enqueues an attempt at its batching engine.
    ///
    /// The second half of the content digest encodes the length of the
    /// response, which the scheduler does not know. If it is 0, the response
    /// has the maximum length that the request allows.
    fn run_in_batch(&mut self, now_us: u64, dispatch: &Dispatch, call: &Call) -> RunResult {
        let mut tail = [0; 8];
        tail.copy_from_slice(&call.request.digest.0[8..]);
        let answer_tokens = match u64::from_le_bytes(tail) {
            0 => call.request.max_tokens,
            tokens => tokens.min(call.request.max_tokens),
        };
        let program = dispatch
            .program
            .as_ref()
            .map(|(program, _)| program.clone());
        let prompt_tokens = call.request.prompt_tokens;
        let job = Job::new(dispatch.attempt, program, prompt_tokens, answer_tokens);
        let batch = self.batch(&dispatch.upstream);
        batch.engine.push(job);
        RunResult {
            executed: true,
            events: vec![(now_us, dispatch.attempt, AttemptProgress::Sent)],
        }
    }

    /// Returns the batching engine of an upstream, creating it on first use.
    fn batch(&mut self, upstream: &UpstreamName) -> &mut Batch {
        let model = self.batch_model.clone().unwrap_or_default();
        let batches = &mut self.batches;
        batches.entry(upstream.clone()).or_insert_with(|| Batch {
            engine: BatchEngine::new(model),
            scheduled_us: None,
        })
    }

    /// Replaces the simple engines by batching engines.
    pub(super) fn use_batches(&mut self, model: BatchModel) {
        self.batch_model = Some(model);
    }

    /// Returns whether batching engines are used.
    pub(super) fn has_batches(&self) -> bool {
        self.batch_model.is_some()
    }

    /// Returns the interval between load reports; `None` without batching engines.
    pub(super) fn report_us(&self) -> Option<u64> {
        self.batch_model.as_ref().map(|model| model.report_us)
    }

    /// Advances a batching engine to `now_us`. Returns its events, and the time of
    /// the next one if it isn't scheduled yet.
    pub(super) fn advance(
        &mut self,
        now_us: u64,
        upstream: &UpstreamName,
    ) -> (Vec<BatchEvent>, Option<u64>) {
        let batch = self.batch(upstream);
        let events = batch.engine.advance(now_us);
        for (.., progress) in &events {
            if let AttemptProgress::Finished(outcome) = progress {
                self.cached_prompt_tokens += outcome.cached_tokens;
            }
        }
        let batch = self.batch(upstream);
        let next_us = batch.engine.next_us();
        let is_scheduled = batch.scheduled_us.is_some_and(|scheduled_us| {
            scheduled_us > now_us && next_us.is_none_or(|at| scheduled_us <= at)
        });
        if is_scheduled {
            return (events, None);
        }
        batch.scheduled_us = next_us;
        (events, next_us)
    }

    /// Returns the prompt tokens that batching engines served from their prefix caches.
    pub fn cached_prompt_tokens(&self) -> u64 {
        self.cached_prompt_tokens
    }

    /// Returns the upstreams whose batching engine has been created.
    pub(super) fn batch_upstreams(&self) -> Vec<UpstreamName> {
        self.batches.keys().cloned().collect()
    }

    /// Returns the running calls and tokens per second of each batching engine.
    pub(super) fn take_loads(&mut self) -> Vec<(UpstreamName, u32, u64)> {
        let rows = self.batches.iter_mut().map(|(upstream, batch)| {
            let (running_calls, tokens_per_s) = batch.engine.take_load();
            (upstream.clone(), running_calls, tokens_per_s)
        });
        rows.collect()
    }

    /// Crashes an upstream: all attempts on it fail and it is down for `restart_us`.
    fn crash(&mut self, now_us: u64, dispatch: &Dispatch) -> RunResult {
        let upstream = &dispatch.upstream;
        let batch = self.running.remove(upstream).unwrap_or_default();
        *self.crashes.entry(upstream.clone()).or_default() += 1;
        let up_us = now_us + self.model.restart_us;
        self.down_until_us.insert(upstream.clone(), up_us);
        let lost = AttemptProgress::Failed(Failure::ConnectionLost {
            answer_tokens: 0,
            forwarded: false,
        });
        let mut events = vec![(now_us, dispatch.attempt, AttemptProgress::Sent)];
        let others = batch.into_keys().filter(|a| !self.cancelled.contains(a));
        events.extend(others.map(|attempt| (now_us + 1_000, attempt, lost.clone())));
        events.push((now_us + 1_000, dispatch.attempt, lost));
        RunResult {
            executed: true,
            events,
        }
    }

    /// Returns the state that a probe sees; a restart stays visible for 5 s.
    pub(super) fn probe(&self, now_us: u64, upstream: &UpstreamName) -> ProbeState {
        match self.down_until_us.get(upstream) {
            Some(&until_us) if now_us < until_us => ProbeState::Down,
            Some(&until_us) if now_us < until_us + 5_000_000 => ProbeState::Restarted,
            _ => ProbeState::Up,
        }
    }

    /// Returns the number of calls running on a simple upstream.
    pub(super) fn running_calls(&self, now_us: u64, upstream: &UpstreamName) -> u32 {
        let batch = self.running.get(upstream);
        let running = batch.map_or(0, |batch| {
            batch.values().filter(|end| **end > now_us).count()
        });
        running as u32
    }

    /// Cancels an attempt, so that a crash no longer reports it as lost.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.cancelled.insert(attempt);
    }
}
