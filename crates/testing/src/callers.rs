//! Simulated callers that send program calls to a mesh and retry them as agents do.

use std::collections::{BTreeMap, HashMap};

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{
    AccountConfig, AccountName, CallId, ContentDigest, EngineConfig, Execution, FleetConfig,
    Incarnation, KeyConfig, KeyId, ModelName, NewCall, PresentedKey, ProgramKey, ProgramName,
    ProgramRequest, ProgramRequestKind, ProgramTurn, RefusalKind, Revision, RouteConfig, Secret256,
    ServiceConfig, ServiceKind, ServiceName, Target, UpstreamConfig, UpstreamName,
};

use crate::Random;
use crate::mesh::{Mesh, TraceEvent};

/// Time without a response after which a caller abandons a call and retries it.
const RESPONSE_TIMEOUT_US: u64 = 25_000_000;

/// Time until a caller abandons a call whose VM has crashed or restarted.
const CRASH_DETECTION_US: u64 = 200_000;

/// Name of the client account that all callers share.
pub const ACCOUNT: &str = "norte";

/// Returns a fleet of one client account, a service of four engines, and a plain service with
/// a non-idempotent and an idempotent route.
pub fn fleet(program_tokens: u64, program_turns: u32) -> FleetConfig {
    let account = AccountConfig::builder()
        .name(AccountName::from(ACCOUNT))
        .rate_mcalls_per_s(100_000_000)
        .burst_calls(100_000)
        .program_tokens(program_tokens)
        .program_turns(program_turns)
        .keys(vec![KeyConfig {
            id: KeyId::from("k1"),
            sha256: Secret256([1; 32]),
            withdrawn: false,
        }])
        .build();
    let model = ModelName::from("small");
    let upstream = |name: &str, models: &[ModelName]| {
        UpstreamConfig::builder()
            .name(UpstreamName::from(name))
            .address(format!("127.0.0.1:{}", name.len()))
            .models(models.to_vec())
            .max_running_calls(64)
            .build()
    };
    let engines = ["engine-1", "engine-2", "engine-3", "engine-4"];
    let chat = ServiceConfig::builder()
        .name(ServiceName::from("chat"))
        .kind(ServiceKind::Engine(EngineConfig {
            models: vec![model.clone()],
            can_resume: false,
            ..EngineConfig::default()
        }))
        .upstreams(
            engines
                .map(|name| upstream(name, std::slice::from_ref(&model)))
                .to_vec(),
        )
        .build();
    let route = |prefix: &str, idempotent: bool| {
        RouteConfig::builder()
            .path_prefix(prefix.to_owned())
            .idempotent(idempotent)
            .build()
    };
    let pages = ServiceConfig::builder()
        .name(ServiceName::from("pages"))
        .kind(ServiceKind::Plain)
        .upstreams(vec![upstream("pager-1", &[]), upstream("pager-2", &[])])
        .routes(vec![route("/send", false), route("/status", true)])
        .build();
    FleetConfig {
        revision: Revision(1),
        accounts: vec![account],
        services: vec![chat, pages],
        ..FleetConfig::default()
    }
}

/// Returns the key of a program of [`ACCOUNT`].
pub fn program_key(program: &str) -> ProgramKey {
    ProgramKey {
        account: AccountName::from(ACCOUNT),
        name: ProgramName::from(program),
    }
}

/// Which kind of call a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A completion by a model.
    Chat,
    /// A plain request to a non-idempotent route, which needs a permit.
    Send,
    /// A plain request to an idempotent route.
    Status,
}

/// Returns a call for a turn of a program.
pub fn call(
    kind: Kind,
    program: &str,
    turn: u32,
    content: u64,
    continuation: Option<&Continuation>,
    permit: Option<&Permit>,
) -> NewCall {
    let plain = |path: &str| Target::Plain {
        service: ServiceName::from("pages"),
        method: "POST".to_owned(),
        path: path.to_owned(),
    };
    let target = match kind {
        Kind::Chat => Target::Model(ModelName::from("small")),
        Kind::Send => plain("/send"),
        Kind::Status => plain("/status"),
    };
    NewCall::builder()
        .id(unset_id())
        .key(presented_key())
        .target(target)
        .program(ProgramTurn {
            name: ProgramName::from(program),
            turn,
            continuation: continuation.cloned(),
        })
        .maybe_permit(permit.cloned())
        .prompt_tokens(100)
        .max_tokens(20)
        .digest(ContentDigest(u128::from(content).to_be_bytes()))
        .build()
}

/// Returns a request for a permit or for the end of a program.
pub fn request(
    kind: ProgramRequestKind,
    program: &str,
    continuation: Option<&Continuation>,
) -> ProgramRequest {
    ProgramRequest::builder()
        .id(unset_id())
        .key(presented_key())
        .program(ProgramName::from(program))
        .maybe_continuation(continuation.cloned())
        .kind(kind)
        .build()
}

/// Returns a placeholder identity, which the mesh replaces.
fn unset_id() -> CallId {
    CallId {
        incarnation: Incarnation(0),
        seq: 0,
    }
}

/// Returns the key that all callers present.
fn presented_key() -> PresentedKey {
    PresentedKey {
        id: KeyId::from("k1"),
        sha256: Secret256([1; 32]),
    }
}

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

    /// Updates the caller that a trace event concerns.
    fn handle_event(&mut self, now_us: u64, event: TraceEvent) {
        match event {
            TraceEvent::Answered(answered) => {
                self.handle_response(
                    now_us,
                    answered.call,
                    answered.continuation,
                    answered.permit,
                );
            }
            TraceEvent::Replayed {
                call,
                continuation,
                permit,
                ..
            } => self.handle_response(
                now_us,
                call,
                Some(*continuation),
                permit.map(|permit| *permit),
            ),
            TraceEvent::PermitIssued { request, permit } => {
                if let Some(index) = self.close_call(request) {
                    self.agents[index].permit = Some(*permit);
                }
            }
            TraceEvent::ProgramEnded { request } => {
                if let Some(index) = self.close_call(request) {
                    self.agents[index].outcome = Some(Ok(()));
                }
            }
            TraceEvent::Refused(refusal) => {
                let key = (refusal.kind, refusal.ran.to_string());
                *self.refusals.entry(key).or_default() += 1;
                if let Some(index) = self.close_call(refusal.call) {
                    self.handle_refusal(now_us, index, refusal.kind, refusal.ran);
                }
            }
            _ => {}
        }
    }

    /// Removes a call from the open calls of its caller and returns the caller's index.
    ///
    /// Returns `None` if the call is not open.
    fn close_call(&mut self, call: CallId) -> Option<usize> {
        let index = *self.by_call.get(&call)?;
        let open = &mut self.agents[index].open_calls;
        let before = open.len();
        open.retain(|(id, ..)| *id != call);
        (open.len() < before).then_some(index)
    }

    /// Advances a caller to its next turn after a response with a continuation.
    fn handle_response(
        &mut self,
        now_us: u64,
        call: CallId,
        continuation: Option<Continuation>,
        permit: Option<Permit>,
    ) {
        let Some(index) = self.close_call(call) else {
            return;
        };
        let (agent, random) = (&mut self.agents[index], &mut self.random);
        let Some(continuation) = continuation else {
            // The home did not confirm the turn in time; a retry returns the continuation.
            agent.wait_until_us = now_us + 500_000;
            return;
        };
        self.responses += 1;
        agent.open_calls.clear();
        agent.turn = continuation.turn + 1;
        agent.continuation = Some(continuation);
        agent.permit = permit;
        agent.kind = match random.below(10) {
            0..6 => Kind::Chat,
            6..9 => Kind::Send,
            _ => Kind::Status,
        };
        agent.content = random.next_u64();
        agent.sends = 0;
        agent.wait_until_us = now_us + random.below(400_000);
    }

    /// Decides how to continue after a refusal, unless another copy of the call is open.
    fn handle_refusal(&mut self, now_us: u64, index: usize, kind: RefusalKind, ran: Execution) {
        let agent = &mut self.agents[index];
        agent.wait_until_us = now_us + 300_000;
        if !agent.open_calls.is_empty() {
            return;
        }
        match kind {
            RefusalKind::OverBudget
            | RefusalKind::ProgramEnded
            | RefusalKind::StaleContinuation
            | RefusalKind::HistoryMismatch
            | RefusalKind::ContinuationMissing => agent.outcome = Some(Err(kind)),
            // A request that was sent only once, or that did not run, can get a new permit.
            // With no sends, the permit request itself was refused, so the outcome of the turn is
            // unknown.
            RefusalKind::PermitVoid if agent.sends == 1 || ran == Execution::NotRun => {
                agent.permit = None;
                agent.sends = 0;
            }
            _ if agent.kind == Kind::Send && ran != Execution::NotRun => {
                agent.kind = Kind::Status;
                agent.content = self.random.next_u64();
            }
            _ => {}
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
