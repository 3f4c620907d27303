//! Measured speed of pools and length of programs.

/// Complete responses after which the mean times count as measured.
const MIN_SAMPLES: u64 = 16;

/// Complete responses after which older ones lose half of their weight.
const MAX_SAMPLES: u64 = 64;

/// Decaying sums over the complete responses of a pool.
///
/// Means are taken over the calls that have ended, so that places divided by the mean time of a
/// call is the rate at which calls end, also with upstreams of different speeds.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolSpeed {
    calls: u64,
    call_us: u64,
    read_tokens: u64,
    read_us: u64,
    answer_tokens: u64,
    answer_us: u64,
}

impl PoolSpeed {
    /// Adds a complete response; `first_token_us` is 0 if it had no first token.
    pub fn record(
        &mut self,
        (prompt_tokens, answer_tokens): (u64, u64),
        (first_token_us, total_us): (u64, u64),
    ) {
        if self.calls >= MAX_SAMPLES {
            *self = self.halved();
        }
        self.calls += 1;
        self.call_us += total_us;
        if first_token_us > 0 {
            self.read_tokens += prompt_tokens;
            self.read_us += first_token_us;
            self.answer_tokens += answer_tokens;
            self.answer_us += total_us.saturating_sub(first_token_us);
        }
    }

    fn halved(self) -> Self {
        Self {
            calls: self.calls / 2,
            call_us: self.call_us / 2,
            read_tokens: self.read_tokens / 2,
            read_us: self.read_us / 2,
            answer_tokens: self.answer_tokens / 2,
            answer_us: self.answer_us / 2,
        }
    }

    /// Returns the mean time of a call; `None` until enough calls have ended.
    pub fn mean_call_us(&self) -> Option<u64> {
        (self.calls >= MIN_SAMPLES).then(|| (self.call_us / self.calls).max(1))
    }

    /// Returns the expected time of a call; 0 until enough calls have ended.
    pub fn expected_us(&self, prompt_tokens: u64, answer_tokens: Option<u64>) -> u64 {
        let Some(mean_us) = self.mean_call_us() else {
            return 0;
        };
        if self.read_tokens == 0 || self.answer_tokens == 0 {
            return mean_us;
        }
        let answer_tokens = answer_tokens.unwrap_or(self.answer_tokens / self.calls);
        let read_us = scale(prompt_tokens, self.read_us, self.read_tokens);
        read_us.saturating_add(scale(answer_tokens, self.answer_us, self.answer_tokens))
    }
}

/// Returns `count * us / tokens` without overflow.
fn scale(count: u64, us: u64, tokens: u64) -> u64 {
    let product = u128::from(count) * u128::from(us) / u128::from(tokens);
    u64::try_from(product).unwrap_or(u64::MAX)
}

/// Mean number of turns of the programs of a route, from the turns and programs that began here.
///
/// Programs do not say when they end, but while programs come and go, turns divided by first turns
/// is their mean length, also on a VM that sees only a part of the turns.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteTurns {
    programs: u64,
    turns: u64,
}

impl RouteTurns {
    /// Counts a turn.
    pub fn record(&mut self, begins_program: bool) {
        if self.programs >= MAX_SAMPLES {
            self.programs /= 2;
            self.turns /= 2;
        }
        self.programs += u64::from(begins_program);
        self.turns += 1;
    }

    /// Returns the expected number of turns after one, in thousandths; 0 until enough is known.
    pub fn following_mturns(&self, turn_number: u32) -> u64 {
        if self.programs < MIN_SAMPLES {
            return 0;
        }
        let mean_mturns = self.turns * 1_000 / self.programs;
        mean_mturns.saturating_sub(1_000 * u64::from(turn_number))
    }
}
