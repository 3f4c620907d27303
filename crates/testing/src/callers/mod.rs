//! Simulated callers that send program calls to a mesh and retry them as agents do.

mod events;
mod fixtures;
mod requests;

pub use fixtures::{ACCOUNT, fleet, program_key};
pub use requests::{Kind, call, request};

use std::collections::{BTreeMap, HashMap};

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{CallId, Execution, ProgramRequestKind, RefusalKind};

use crate::Random;
use crate::mesh::Mesh;

/// Time without a response after which a caller abandons a call and retries it.
const RESPONSE_TIMEOUT_US: u64 = 25_000_000;

/// Time until a caller abandons a call whose VM has crashed or restarted.
const CRASH_DETECTION_US: u64 = 200_000;

/// State of a caller, which drives one program.
#[derive(Debug)]
struct Agent {
    program: String,
    turn: u32,
    continuation: Option<Continuation>,
    permit: Option<Permit>,
    kind: Kind,
    content: u64,
    sends: u32,
    open_calls: Vec<(CallId, usize, u64)>,
    wait_until_us: u64,
    outcome: Option<Result<(), RefusalKind>>,
}

/// Simulated callers, each of which runs one program turn by turn.
///
/// A caller retries a turn when its VM crashes, when no response arrives in
/// time, or when a refusal says that the call did not run. It retries a
/// request with a permit only with the same permit; when the outcome is
/// unknown, it sends a status request in the same turn.
#[derive(Debug)]
pub struct Callers {
    agents: Vec<Agent>,
    by_call: HashMap<CallId, usize>,
    handled_events: usize,
    turns: u32,
    random: Random,
    /// VM that callers send no calls to, as if the load balancer excluded it.
    pub excluded_vm: Option<usize>,
    /// Share of calls, per mille, that are sent twice at the same time.
    pub duplicated_per_mille: u64,
    /// Number of refusals by kind and by whether the call ran.
    pub refusals: BTreeMap<(RefusalKind, String), u64>,
    /// Number of turns completed with a response that carries a continuation.
    pub responses: u64,
    /// Number of calls sent, including retries and duplicates.
    pub sent: u64,
}

impl Callers {
    /// Creates callers for root programs and for two sub-agents of each root.
    pub fn new(roots: usize, turns: u32, seed: u64) -> Self {
        let names = (0..roots).flat_map(|number| {
            let root = format!("tour-{seed}-{number}");
            [root.clone(), format!("{root}/hall"), format!("{root}/bus")]
        });
        let mut random = Random::new(seed ^ 0x5eed);
        let agents = names
            .map(|program| Agent {
                program,
                turn: 1,
                continuation: None,
                permit: None,
                kind: Kind::Chat,
                content: random.next_u64(),
                sends: 0,
                open_calls: Vec::new(),
                wait_until_us: random.below(2_000_000),
                outcome: None,
            })
            .collect();
        Self {
            agents,
            by_call: HashMap::new(),
            handled_events: 0,
            turns,
            random,
            excluded_vm: None,
            duplicated_per_mille: 20,
            refusals: BTreeMap::new(),
            responses: 0,
            sent: 0,
        }
    }

    /// Runs the mesh and the callers in steps of 20 ms.
    pub fn run_ms(&mut self, mesh: &mut Mesh, ms: u64) {
        for _ in 0..ms / 20 {
            self.step(mesh);
            mesh.run_ms(20);
        }
    }

    /// Returns the state of each program that neither completed nor was refused as over budget
    /// or ended.
    pub fn stuck_programs(&self) -> Vec<String> {
        let is_over = |kind: &RefusalKind| {
            matches!(kind, RefusalKind::OverBudget | RefusalKind::ProgramEnded)
        };
        let stuck = self.agents.iter().filter(|agent| match &agent.outcome {
            Some(Ok(())) => false,
            Some(Err(kind)) => !is_over(kind),
            None => true,
        });
        stuck.map(|agent| format!("{agent:?}")).collect()
    }

    /// Returns the share of sent calls, per mille, that were refused as `may_have_run`.
    pub fn unknown_per_mille(&self) -> f64 {
        let is_unknown = |ran: &str| ran == Execution::MayHaveRun.to_string();
        let unknown = self.refusals.iter().filter(|((_, ran), _)| is_unknown(ran));
        let unknown: u64 = unknown.map(|(_, count)| count).sum();
        1_000.0 * unknown as f64 / self.sent.max(1) as f64
    }

    /// Handles new trace events and sends the calls that are due.
    fn step(&mut self, mesh: &mut Mesh) {
        while let Some((_, event)) = mesh.trace.events.get(self.handled_events) {
            self.handled_events += 1;
            self.handle_event(mesh.now_us(), event.clone());
        }
        for index in 0..self.agents.len() {
            self.abandon_failed_calls(mesh, index);
            let agent = &self.agents[index];
            if agent.outcome.is_none()
                && agent.open_calls.is_empty()
                && agent.wait_until_us <= mesh.now_us()
            {
                self.send(mesh, index);
            }
        }
    }

    /// Abandons calls whose VM has crashed or restarted, or that got no response in time.
    fn abandon_failed_calls(&mut self, mesh: &Mesh, index: usize) {
        let now_us = mesh.now_us();
        self.agents[index].open_calls.retain(|(call, vm, sent_us)| {
            let is_down = mesh.control(*vm).is_none() || mesh.incarnation(*vm) != call.incarnation;
            let limit_us = if is_down {
                CRASH_DETECTION_US
            } else {
                RESPONSE_TIMEOUT_US
            };
            now_us < sent_us + limit_us
        });
    }

    /// Sends the next call of a caller, or the permit or end request that is due instead.
    fn send(&mut self, mesh: &mut Mesh, index: usize) {
        let Some(vm) = self.choose_vm(mesh) else {
            return;
        };
        let agent = &self.agents[index];
        let continuation = agent.continuation.as_ref();
        if agent.turn > self.turns {
            let end = request(ProgramRequestKind::End, &agent.program, continuation);
            let id = mesh.program(vm, end);
            return self.record_open_call(mesh, index, vm, id);
        }
        let permit = agent.permit.as_ref().filter(|p| p.turn == agent.turn);
        if agent.kind == Kind::Send && permit.is_none() {
            let kind = ProgramRequestKind::Permit { turn: agent.turn };
            let id = mesh.program(vm, request(kind, &agent.program, continuation));
            return self.record_open_call(mesh, index, vm, id);
        }
        let permit = permit.filter(|_| agent.kind == Kind::Send);
        let new = call(
            agent.kind,
            &agent.program,
            agent.turn,
            agent.content,
            continuation,
            permit,
        );
        let copies = 1 + usize::from(self.random.per_mille(self.duplicated_per_mille));
        for copy in 0..copies {
            let vm = if copy == 0 {
                Some(vm)
            } else {
                self.choose_vm(mesh)
            };
            if let Some(vm) = vm {
                self.sent += 1;
                self.agents[index].sends += 1;
                let id = mesh.call(vm, new.clone());
                self.record_open_call(mesh, index, vm, id);
            }
        }
    }

    /// Records a call as open.
    fn record_open_call(&mut self, mesh: &Mesh, index: usize, vm: usize, id: CallId) {
        self.by_call.insert(id, index);
        self.agents[index].open_calls.push((id, vm, mesh.now_us()));
    }

    /// Picks a random running VM other than `excluded_vm`.
    fn choose_vm(&mut self, mesh: &Mesh) -> Option<usize> {
        let up: Vec<usize> = (0..mesh.len())
            .filter(|vm| mesh.control(*vm).is_some() && self.excluded_vm != Some(*vm))
            .collect();
        up.get(self.random.below(up.len() as u64) as usize).copied()
    }
}
