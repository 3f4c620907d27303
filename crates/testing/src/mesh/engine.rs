//! Upstreams of the mesh.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use knapweeddale_core::input::{AttemptOutcome, AttemptProgress, Failure, ProbeState};
use knapweeddale_core::tables::Call;
use knapweeddale_core::{AttemptId, ContentDigest, Dispatch, HistoryDigest, UpstreamName};

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
    /// Upstreams that answer every request with an error.
    pub failing: BTreeSet<UpstreamName>,
    /// Crashes so far, by upstream.
    pub crashes: BTreeMap<UpstreamName, u64>,
    running: BTreeMap<UpstreamName, BTreeMap<AttemptId, u64>>,
    down_until_us: BTreeMap<UpstreamName, u64>,
    cancelled: HashSet<AttemptId>,
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
        let batch = self.running.entry(dispatch.upstream.clone()).or_default();
        batch.retain(|_, ends_us| *ends_us > now_us);
        if self.poison.contains(&call.new.digest) {
            return self.crash(now_us, dispatch);
        }
        let model = &self.model;
        let slowdown_percent = 100 + model.batch_percent * batch.len() as u64;
        let prefill_us = call.new.prompt_tokens * model.prefill_us_per_token;
        let decode_us = call.new.max_tokens * model.decode_us_per_token * slowdown_percent / 100;
        let ends_us = now_us + 1_000 + prefill_us + decode_us;
        batch.insert(attempt, ends_us);
        let outcome = AttemptOutcome {
            prompt_tokens: call.new.prompt_tokens,
            cached_tokens: 0,
            answer_tokens: call.new.max_tokens,
            history: HistoryDigest::default(),
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

    /// Stops an attempt.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.cancelled.insert(attempt);
    }
}
