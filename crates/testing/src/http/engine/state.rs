//! What a fake engine runs, has loaded and has cached.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use super::EngineFault;
use crate::http::Request;

/// Mutable state of the engine.
#[derive(Debug, Default)]
pub(super) struct State {
    pub running: usize,
    pub running_history: VecDeque<(Instant, usize)>,
    /// Time of the last restart; `None` before the first.
    pub restarted_at: Option<Instant>,
    /// Loaded models; `None` until an order arrives if the options list none.
    pub models: Option<Vec<String>>,
    /// Highest fencing token received, as (epoch, seq).
    pub token: (u64, u64),
    pub heads: Vec<u8>,
    pub executions: BTreeMap<String, u64>,
    pub faults: VecDeque<EngineFault>,
    pub cancelled: u64,
    /// Program, generation and cached prompt words; least recently used first.
    pub cache: VecDeque<(String, u64, Vec<String>)>,
}

impl State {
    /// Adjusts the number of running requests and records the time; keeps 1,000 records.
    pub fn change_running(&mut self, by: isize) {
        self.running = self.running.saturating_add_signed(by);
        self.running_history
            .push_back((Instant::now(), self.running));
        if self.running_history.len() > 1_000 {
            self.running_history.pop_front();
        }
    }

    /// Caches the prompt and returns how many of its leading words were cached already.
    pub fn use_cache(&mut self, request: &Request, words: Vec<String>, entries: usize) -> usize {
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
