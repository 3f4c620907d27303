//! Generates programs with heavy-tailed lengths, tool pauses and sub-agents.

use knapweeddale_testing::Random;
use knapweeddale_testing::mesh::BatchModel;

/// Share of programs that each account sends, in percent; a few accounts send most.
const ACCOUNT_PERCENT: [u64; 8] = [28, 22, 16, 10, 8, 6, 5, 5];

/// Shape of the Pareto distribution of turns; a lower value makes the tail heavier.
const TURNS_SHAPE: f64 = 1.1;

/// One turn of a program.
#[derive(Debug, Clone)]
pub struct TurnPlan {
    /// Prompt tokens that the turn adds to the history.
    pub new_tokens: u64,
    /// Tokens of the response.
    pub answer_tokens: u64,
    /// Time that tools run after the response and the sub-agents.
    pub pause_us: u64,
    /// Sub-agents that run in parallel after the response; the next turn waits for all of them.
    pub children: Vec<Plan>,
}

/// The turns of a program or sub-agent.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Index of the client account, from 0.
    pub account: usize,
    /// The turns, in order.
    pub turns: Vec<TurnPlan>,
}

/// Programs with their arrival times.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Arrival time in microseconds and program, in order of time.
    pub arrivals: Vec<(u64, Plan)>,
    /// End of the warm-up; programs that arrive earlier are not measured.
    pub from_us: u64,
    /// End of the arrivals.
    pub until_us: u64,
}

impl Workload {
    /// Generates programs with Poisson arrivals at a rate.
    pub fn new(seed: u64, programs_per_s: f64, from_us: u64, until_us: u64) -> Self {
        let mut random = Random::new(seed);
        let mut arrivals = Vec::new();
        let mut at_us = 0.0;
        loop {
            at_us += random.exponential(1e6 / programs_per_s);
            if at_us >= until_us as f64 {
                break;
            }
            // Each program has its own generator, so that the load changes only the arrivals.
            let mut own = Random::new(random.next_u64());
            arrivals.push((at_us as u64, Plan::new(&mut own)));
        }
        Self {
            arrivals,
            from_us,
            until_us,
        }
    }
}

impl Plan {
    /// Generates a program with 5 to 130 turns.
    fn new(random: &mut Random) -> Self {
        let account = pick_account(random);
        let turns = sample_pareto(random, 5.0, 130.0, TURNS_SHAPE);
        Self::with_turns(random, account, turns, 2_000, true)
    }

    /// Generates a program or sub-agent with a number of turns.
    ///
    /// Only a program may spawn sub-agents (`may_spawn`).
    fn with_turns(
        random: &mut Random,
        account: usize,
        turns: u64,
        start_tokens: u64,
        may_spawn: bool,
    ) -> Self {
        let turn = |number: u64, random: &mut Random| {
            let added = 100 + random.exponential(500.0) as u64;
            let is_last = number + 1 == turns;
            let spawns = may_spawn && !is_last && random.per_mille(60);
            let children = if spawns {
                let count = random.between(2, 4);
                (0..count)
                    .map(|_| {
                        let turns = random.between(3, 8);
                        Self::with_turns(random, account, turns, 1_500, false)
                    })
                    .collect()
            } else {
                Vec::new()
            };
            TurnPlan {
                new_tokens: if number == 0 { start_tokens } else { 0 } + added.min(4_000),
                answer_tokens: (20 + random.exponential(130.0) as u64).min(900),
                pause_us: sample_pause_us(random),
                children,
            }
        };
        Self {
            account,
            turns: (0..turns).map(|number| turn(number, random)).collect(),
        }
    }

    /// Returns the total duration on an idle fleet, and for each call its end time, new
    /// prompt tokens and response tokens; times are in microseconds from the arrival.
    pub fn ideal_schedule(&self, model: &BatchModel) -> (u64, Vec<(u64, u64, u64)>) {
        let mut at_us = 0;
        let mut calls = Vec::new();
        for turn in &self.turns {
            let read_us = turn.new_tokens as f64 * model.prefill_us_per_token;
            let write_us = turn.answer_tokens as f64 * model.step_us(1);
            at_us += (read_us + write_us) as u64;
            calls.push((at_us, turn.new_tokens, turn.answer_tokens));
            let mut joined_us = at_us;
            for child in &turn.children {
                let (child_us, child_calls) = child.ideal_schedule(model);
                joined_us = joined_us.max(at_us + child_us);
                calls.extend(child_calls.into_iter().map(|(us, a, b)| (at_us + us, a, b)));
            }
            at_us = joined_us + turn.pause_us;
        }
        (at_us, calls)
    }
}

/// Samples an account by its share of programs.
fn pick_account(random: &mut Random) -> usize {
    let mut left = random.below(100);
    for (account, percent) in ACCOUNT_PERCENT.iter().enumerate() {
        if left < *percent {
            return account;
        }
        left -= percent;
    }
    0
}

/// Samples a bounded Pareto distribution by inverting its distribution function.
fn sample_pareto(random: &mut Random, low: f64, high: f64, shape: f64) -> u64 {
    let unit = random.below(1_000_000) as f64 / 1e6;
    let (low_power, high_power) = (low.powf(shape), high.powf(shape));
    let power = (high_power - unit * (high_power - low_power)) / (high_power * low_power);
    power.powf(-1.0 / shape).clamp(low, high) as u64
}

/// Samples the pause for a tool: 5% of pauses have a mean of 20 s, the others of 1 s.
fn sample_pause_us(random: &mut Random) -> u64 {
    let mean_us = if random.per_mille(50) { 20e6 } else { 1e6 };
    20_000 + random.exponential(mean_us).min(120e6) as u64
}
