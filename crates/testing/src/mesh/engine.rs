//! Upstreams of the mesh.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::batch::{BatchEngine, BatchEvent, BatchModel, Job};
use knapweeddale_core::input::{AttemptOutcome, AttemptProgress, Failure, ProbeState};
use knapweeddale_core::tables::Call;
use knapweeddale_core::{AttemptId, ContentDigest, Dispatch, HistoryDigest, NewCall, UpstreamName};

/// How an upstream behaves.
#[derive(Debug, Clone)]
pub struct EngineModel {
    /// Time to read one prompt token.
    pub prefill_us_per_token: u64,
    /// Time to generate one token while nothing else runs.
    pub decode_us_per_token: u64,
    /// Growth of the time for each further call in the batch, in percent.
    pub batch_percent: u64,
    /// Time after a crash until the upstream takes requests again.
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

/// The upstreams of the mesh.
#[derive(Debug, Default)]
pub struct Engines {
    /// How all upstreams behave.
    pub model: EngineModel,
    /// Contents that crash each upstream that runs them.
    pub poison: HashSet<ContentDigest>,
    /// Upstreams that answer no releases of memory.
    pub silent: HashSet<UpstreamName>,
    /// Upstreams that answer every request with an error.
    pub failing: BTreeSet<UpstreamName>,
    /// Crashes so far, by upstream.
    pub crashes: BTreeMap<UpstreamName, u64>,
    running: BTreeMap<UpstreamName, BTreeMap<AttemptId, u64>>,
    down_until_us: BTreeMap<UpstreamName, u64>,
    cancelled: HashSet<AttemptId>,
    batch_model: Option<BatchModel>,
    found_tokens: u64,
    batches: BTreeMap<UpstreamName, Batch>,
}

/// An engine with a batch.
#[derive(Debug)]
struct Batch {
    engine: BatchEngine,
    /// The next event that is planned.
    planned_us: Option<u64>,
}

/// Returns the digest of the history that a call to a model leads to.
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

/// What running an attempt leads to.
#[derive(Debug)]
pub(super) struct Run {
    /// Whether the upstream ran the request.
    pub executed: bool,
    /// Events with the time at which they happen.
    pub events: Vec<(u64, AttemptId, AttemptProgress)>,
}

impl Engines {
    /// Runs an attempt.
    pub(super) fn run(
        &mut self,
        now_us: u64,
        local_us: u64,
        dispatch: &Dispatch,
        call: &Call,
    ) -> Run {
        let attempt = dispatch.attempt;
        let down_until_us = self.down_until_us.get(&dispatch.upstream);
        let is_down = down_until_us.is_some_and(|&until_us| now_us < until_us);
        if is_down || local_us >= dispatch.valid_until_us {
            let progress = AttemptProgress::Failed(Failure::NotSent);
            return Run {
                executed: false,
                events: vec![(now_us + 200, attempt, progress)],
            };
        }
        if self.failing.contains(&dispatch.upstream) {
            let failure = Failure::UpstreamError { status: 500 };
            return Run {
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
        Run {
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

    /// Adds an attempt to the batch of its engine.
    ///
    /// The second half of the content digest tells the length of the
    /// response, which the scheduler does not know; if it is 0, the response
    /// has the highest allowed length.
    fn run_in_batch(&mut self, now_us: u64, dispatch: &Dispatch, call: &Call) -> Run {
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
        Run {
            executed: true,
            events: vec![(now_us, dispatch.attempt, AttemptProgress::Sent)],
        }
    }

    /// Returns an engine with a batch.
    fn batch(&mut self, upstream: &UpstreamName) -> &mut Batch {
        let model = self.batch_model.clone().unwrap_or_default();
        let batches = &mut self.batches;
        batches.entry(upstream.clone()).or_insert_with(|| Batch {
            engine: BatchEngine::new(model),
            planned_us: None,
        })
    }

    /// Replaces the simple engines by engines with batches.
    pub(super) fn use_batches(&mut self, model: BatchModel) {
        self.batch_model = Some(model);
    }

    /// Returns whether the engines have batches.
    pub(super) fn has_batches(&self) -> bool {
        self.batch_model.is_some()
    }

    /// Returns the interval between load reports of engines with batches.
    pub(super) fn report_us(&self) -> Option<u64> {
        self.batch_model.as_ref().map(|model| model.report_us)
    }

    /// Runs an engine with a batch; returns its events and the time of the
    /// next one if that has to be planned.
    pub(super) fn advance(
        &mut self,
        now_us: u64,
        upstream: &UpstreamName,
    ) -> (Vec<BatchEvent>, Option<u64>) {
        let batch = self.batch(upstream);
        let events = batch.engine.advance(now_us);
        for (.., progress) in &events {
            if let AttemptProgress::Finished(outcome) = progress {
                self.found_tokens += outcome.cached_tokens;
            }
        }
        let batch = self.batch(upstream);
        let next_us = batch.engine.next_us();
        let is_planned = batch.planned_us.is_some_and(|planned_us| {
            planned_us > now_us && next_us.is_none_or(|at| planned_us <= at)
        });
        if is_planned {
            return (events, None);
        }
        batch.planned_us = next_us;
        (events, next_us)
    }

    /// Returns the prompt tokens that engines with batches found in their caches.
    pub fn prompt_tokens_found(&self) -> u64 {
        self.found_tokens
    }

    /// Returns the names of the engines with batches that have had calls.
    pub(super) fn batch_names(&self) -> Vec<UpstreamName> {
        self.batches.keys().cloned().collect()
    }

    /// Returns the load of the engines with batches.
    pub(super) fn loads(&mut self) -> Vec<(UpstreamName, u32, u64)> {
        let rows = self.batches.iter_mut().map(|(upstream, batch)| {
            let (running_calls, tokens_per_s) = batch.engine.load();
            (upstream.clone(), running_calls, tokens_per_s)
        });
        rows.collect()
    }

    /// Crashes an upstream with everything that runs on it.
    fn crash(&mut self, now_us: u64, dispatch: &Dispatch) -> Run {
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
        Run {
            executed: true,
            events,
        }
    }

    /// Probes an upstream after a connection to it broke.
    pub(super) fn probe(&self, now_us: u64, upstream: &UpstreamName) -> ProbeState {
        match self.down_until_us.get(upstream) {
            Some(&until_us) if now_us < until_us => ProbeState::Down,
            Some(&until_us) if now_us < until_us + 5_000_000 => ProbeState::Restarted,
            _ => ProbeState::Up,
        }
    }

    /// Returns how many calls run on an upstream.
    pub(super) fn running_calls(&self, now_us: u64, upstream: &UpstreamName) -> u32 {
        let batch = self.running.get(upstream);
        let running = batch.map_or(0, |batch| {
            batch.values().filter(|end| **end > now_us).count()
        });
        running as u32
    }

    /// Stops an attempt.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.cancelled.insert(attempt);
    }
}
