//! Runs a workload on a simulated fleet in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use knapweeddale_core::input::Continuation;
use knapweeddale_core::{CallId, Charge, ContentDigest, CoreSettings, ProgramName, ProgramTurn};
use knapweeddale_testing::fleet::{engine_call, engine_fleet};
use knapweeddale_testing::mesh::{BatchModel, Mesh, TraceEvent};

use super::program::{Plan, Workload};
use super::variant::Variant;

/// Number of engines in the fleet.
pub(super) const ENGINES: usize = 8;

/// Maximum concurrency limit of an engine, as an operator would set it without measuring.
const MAX_CALLS: u32 = 48;

/// Number of client accounts in the fleet.
pub(super) const ACCOUNTS: usize = 8;

/// Step of the virtual time; shorter than the shortest tool pause.
const STEP_MS: u64 = 10;

/// Time after which a caller retries a refused call.
const RETRY_DELAY_US: u64 = 2_000_000;

/// Response limit that callers declare; the scheduler does not know the real length.
const MAX_TOKENS: u64 = 1_024;

/// Tokens that a sub-agent's result adds to its parent's history.
const RESULT_TOKENS: u64 = 200;

/// Returns the batch model of the simulated engines.
pub fn engine_model() -> BatchModel {
    BatchModel {
        max_calls: MAX_CALLS as usize,
        ..BatchModel::default()
    }
}

/// The inputs of one run.
#[derive(Debug)]
pub struct Trial<'a> {
    /// The policy under test.
    pub variant: Variant,
    /// The programs and their arrivals.
    pub workload: &'a Workload,
    /// Seed of the simulated mesh.
    pub seed: u64,
    /// Time after the last arrivals in which programs may still end.
    pub drain_us: u64,
}

/// The results of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Latencies of measured programs; for those that have not ended, their age.
    pub latencies_us: Vec<u64>,
    /// Number of measured programs that have not ended.
    pub unfinished: u64,
    /// Prompt tokens that were prefilled again although earlier turns had processed them.
    pub wasted_tokens: u64,
    /// Prompt tokens that earlier turns had processed.
    pub known_tokens: u64,
    /// Number of refused calls.
    pub refused_calls: u64,
    /// Number of calls that ended.
    pub calls: u64,
    /// Work completed between the warm-up and the end of the arrivals, by account.
    pub delivered: Vec<f64>,
    /// Number of calls that ended between the warm-up and the end of the arrivals.
    pub measured_calls: u64,
    /// Concurrency limits of the engines at the end of the run.
    pub limits: Vec<u32>,
}

/// A running program or sub-agent.
struct Task<'a> {
    plan: &'a Plan,
    name: String,
    /// Index of the program in `Driver::roots`.
    root: usize,
    parent: Option<usize>,
    turn: usize,
    context_tokens: u64,
    /// Sub-agents of the current turn that have not ended.
    running_children: usize,
    /// Sub-agents spawned so far, to number their names.
    spawned_children: usize,
    continuation: Option<Continuation>,
}

/// The state of a run.
struct Driver<'a> {
    mesh: Mesh,
    /// Programs and sub-agents, including those that have ended.
    tasks: Vec<Task<'a>>,
    /// Tasks by the time of their next call.
    pending_starts: BinaryHeap<Reverse<(u64, usize)>>,
    /// Calls in flight, with their task and the prompt tokens that earlier turns had processed.
    calls: BTreeMap<CallId, (usize, u64)>,
    /// Arrival and end time of each program.
    roots: Vec<(u64, Option<u64>)>,
    /// Calls sent so far; makes the digest of each call unique.
    sent_calls: u64,
    model: BatchModel,
    outcome: Outcome,
    /// End of the arrivals.
    until_us: u64,
    /// End of the warm-up.
    from_us: u64,
}

/// Returns the work of a call, in microseconds of engine time at the knee.
pub(super) fn engine_work_us(model: &BatchModel, new_tokens: u64, answer_tokens: u64) -> f64 {
    let knee = model.knee_calls;
    let token_us = model.step_us(knee) / knee as f64;
    new_tokens as f64 * model.prefill_us_per_token + answer_tokens as f64 * token_us
}

/// Runs a workload with a policy.
pub fn run(trial: &Trial<'_>) -> Outcome {
    let variant = trial.variant;
    let fleet = engine_fleet(ENGINES, MAX_CALLS, ACCOUNTS);
    let mut mesh = Mesh::with_settings(1, fleet, trial.seed, move |vm, incarnation| {
        CoreSettings::builder()
            .vm(vm)
            .incarnation(incarnation)
            .preset(variant.preset)
            .policy(variant.features)
            .build()
    });
    mesh.use_batches(engine_model());
    mesh.run_ms(1_000);
    let start_us = mesh.now_us();
    let mut driver = Driver {
        mesh,
        tasks: Vec::new(),
        pending_starts: BinaryHeap::new(),
        calls: BTreeMap::new(),
        roots: Vec::new(),
        sent_calls: 0,
        model: engine_model(),
        outcome: Outcome {
            delivered: vec![0.0; ACCOUNTS],
            ..Outcome::default()
        },
        until_us: start_us + trial.workload.until_us,
        from_us: start_us + trial.workload.from_us,
    };
    for (number, (at_us, plan)) in trial.workload.arrivals.iter().enumerate() {
        let task = driver.add_task(plan, format!("p{number}"), number, None);
        driver
            .pending_starts
            .push(Reverse((start_us + at_us, task)));
        driver.roots.push((start_us + at_us, None));
    }
    driver.run(driver.until_us + trial.drain_us);
    driver.into_outcome(trial.workload, start_us)
}

impl<'a> Driver<'a> {
    /// Adds a program or sub-agent and returns its index.
    fn add_task(
        &mut self,
        plan: &'a Plan,
        name: String,
        root: usize,
        parent: Option<usize>,
    ) -> usize {
        self.tasks.push(Task {
            plan,
            name,
            root,
            parent,
            turn: 0,
            context_tokens: 0,
            running_children: 0,
            spawned_children: 0,
            continuation: None,
        });
        self.tasks.len() - 1
    }

    /// Runs until all programs have ended or the virtual time reaches `end_us`.
    fn run(&mut self, end_us: u64) {
        let mut running_programs = self.roots.len();
        while running_programs > 0 && self.mesh.now_us() < end_us {
            let until_us = self.mesh.now_us() + STEP_MS * 1_000;
            while let Some(Reverse((at_us, task))) = self.pending_starts.peek().copied()
                && at_us <= until_us
            {
                self.pending_starts.pop();
                self.mesh.run_until(at_us.max(self.mesh.now_us()));
                self.send_call(task);
            }
            self.mesh.run_until(until_us);
            let events = std::mem::take(&mut self.mesh.trace.events);
            for (at_us, event) in events {
                running_programs -= self.handle_event(at_us, event);
            }
        }
    }

    /// Sends the next call of a task.
    fn send_call(&mut self, number: usize) {
        self.sent_calls += 1;
        let task = &self.tasks[number];
        let turn = &task.plan.turns[task.turn];
        let prompt_tokens = task.context_tokens + turn.new_tokens;
        let mut call = engine_call(task.plan.account, 0, prompt_tokens, MAX_TOKENS);
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&self.sent_calls.to_le_bytes());
        digest[8..].copy_from_slice(&turn.answer_tokens.to_le_bytes());
        call.digest = ContentDigest(digest);
        call.program = Some(ProgramTurn {
            name: ProgramName::from(task.name.as_str()),
            turn: task.turn as u32 + 1,
            continuation: task.continuation.clone(),
        });
        let id = self.mesh.call(0, call);
        self.calls.insert(id, (number, task.context_tokens));
    }

    /// Handles an event and returns the number of programs that ended (0 or 1).
    fn handle_event(&mut self, at_us: u64, event: TraceEvent) -> usize {
        match event {
            TraceEvent::Charged(charge) => {
                self.record_charge(at_us, &charge);
                0
            }
            TraceEvent::Answered(answered) => {
                let Some((task, _)) = self.calls.remove(&answered.call) else {
                    return 0;
                };
                self.tasks[task].continuation = answered.continuation.clone();
                self.handle_response(at_us, task)
            }
            TraceEvent::Refused(refusal) => {
                if let Some((task, _)) = self.calls.remove(&refusal.call) {
                    self.outcome.refused_calls += 1;
                    self.pending_starts
                        .push(Reverse((at_us + RETRY_DELAY_US, task)));
                }
                0
            }
            _ => 0,
        }
    }

    /// Records the tokens and work of a call that ended.
    fn record_charge(&mut self, at_us: u64, charge: &Charge) {
        let Some(&(number, known_tokens)) = self.calls.get(&charge.attempt.call) else {
            return;
        };
        let task = &self.tasks[number];
        let turn = &task.plan.turns[task.turn];
        self.outcome.calls += 1;
        if (self.from_us..self.until_us).contains(&at_us) {
            let work = engine_work_us(&self.model, turn.new_tokens, turn.answer_tokens);
            self.outcome.delivered[task.plan.account] += work;
            self.outcome.measured_calls += 1;
        }
        self.outcome.known_tokens += known_tokens;
    }

    /// Advances a task after a response: starts its sub-agents or finishes the turn.
    ///
    /// Returns the number of programs that ended.
    fn handle_response(&mut self, at_us: u64, number: usize) -> usize {
        let task = &mut self.tasks[number];
        let plan: &'a Plan = task.plan;
        let turn = &plan.turns[task.turn];
        task.context_tokens += turn.new_tokens + turn.answer_tokens;
        if !turn.children.is_empty() {
            task.running_children = turn.children.len();
            for child in &turn.children {
                let task = &mut self.tasks[number];
                task.spawned_children += 1;
                let name = format!("{}/c{}", task.name, task.spawned_children);
                let root = task.root;
                let child = self.add_task(child, name, root, Some(number));
                self.pending_starts.push(Reverse((at_us, child)));
            }
            return 0;
        }
        self.finish_turn(at_us, number)
    }

    /// Schedules the next turn of a task, or ends the task after its last turn.
    ///
    /// Returns the number of programs that ended.
    fn finish_turn(&mut self, at_us: u64, number: usize) -> usize {
        let task = &mut self.tasks[number];
        let pause_us = task.plan.turns[task.turn].pause_us;
        task.turn += 1;
        if task.turn < task.plan.turns.len() {
            self.pending_starts
                .push(Reverse((at_us + pause_us, number)));
            return 0;
        }
        let Some(parent) = task.parent else {
            self.roots[task.root].1 = Some(at_us);
            return 1;
        };
        let parent_task = &mut self.tasks[parent];
        parent_task.context_tokens += RESULT_TOKENS;
        parent_task.running_children -= 1;
        if parent_task.running_children == 0 {
            return self.finish_turn(at_us, parent);
        }
        0
    }

    /// Computes the results of the run.
    fn into_outcome(mut self, workload: &Workload, start_us: u64) -> Outcome {
        let now_us = self.mesh.now_us();
        for (arrived_us, ended_us) in &self.roots {
            if *arrived_us < start_us + workload.from_us {
                continue;
            }
            self.outcome.unfinished += u64::from(ended_us.is_none());
            let latency_us = ended_us.unwrap_or(now_us).saturating_sub(*arrived_us);
            self.outcome.latencies_us.push(latency_us);
        }
        let cached_tokens = self.mesh.engines.cached_prompt_tokens();
        self.outcome.wasted_tokens = self.outcome.known_tokens.saturating_sub(cached_tokens);
        if let Some(control) = self.mesh.control(0) {
            let rows = control.tables().upstreams.iter();
            self.outcome.limits = rows.map(|(_, row)| row.limit.calls).collect();
        }
        self.outcome
    }
}
