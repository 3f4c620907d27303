//! Benchmarks the control thread: whole calls through `Control::tick`.
//!
//! One iteration takes a call of an existing program from its arrival to its
//! charge record. The only VM also does the work that other VMs do in a larger fleet.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use knapweeddale_core::input::{AttemptOutcome, AttemptProgress, Continuation};
use knapweeddale_core::tables::Member;
use knapweeddale_core::{
    AttemptEvent, CallId, ContentDigest, Control, CoreSettings, DomainName, Epoch, Incarnation,
    Input, NewCall, Output, ProgramName, ProgramTurn, StoreEvent, VmName,
};
use knapweeddale_testing::fleet::{engine_call, engine_fleet, stored_view};

/// Number of accounts of the fleet.
const ACCOUNTS: usize = 550;

/// Number of engines of the fleet.
const ENGINES: usize = 300;

/// Virtual time between two calls, which take four ticks each.
const CALL_US: u64 = 10;

/// A control thread's state with the programs whose turns it runs.
struct Bench {
    control: Control,
    now_us: u64,
    seq: u64,
    programs: Vec<(ProgramName, u32, Option<Continuation>)>,
    outputs: Vec<Output>,
}

impl Bench {
    /// Makes a VM that is the only member and runs the first turn of each program.
    fn new(programs: usize) -> Self {
        let settings = CoreSettings::builder()
            .vm(VmName::from("vm-0"))
            .incarnation(Incarnation(1))
            .build();
        let mut bench = Self {
            control: Control::new(settings),
            now_us: 1_000,
            seq: 0,
            programs: (0..programs)
                .map(|number| (ProgramName::from(format!("tour-{number}")), 0, None))
                .collect(),
            outputs: Vec::new(),
        };
        let mut stored = stored_view(1, &[0]);
        stored.view.epoch = Epoch(1);
        stored.view.members = vec![Member {
            vm: VmName::from("vm-0"),
            incarnation: Incarnation(1),
            failure_domain: DomainName::from("local"),
            address: String::new(),
            leaving: false,
            joined: knapweeddale_core::Epoch(1),
        }];
        let fleet = engine_fleet(ENGINES, 64, ACCOUNTS);
        let inputs = [
            Input::Config(fleet.into()),
            Input::Store(StoreEvent::ViewWritten(stored)),
        ];
        bench.control.tick(bench.now_us, inputs, &mut bench.outputs);
        bench.outputs.clear();
        for program in 0..programs {
            bench.run_call(program);
        }
        bench
    }

    /// Makes the next call of a program.
    fn next_call(&mut self, program: usize) -> NewCall {
        let (name, turn, continuation) = &self.programs[program];
        let mut call = engine_call(program % ACCOUNTS, 0, 1_000, 100);
        self.seq += 1;
        call.id = CallId {
            incarnation: Incarnation(1),
            seq: self.seq,
        };
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&self.seq.to_le_bytes());
        call.digest = ContentDigest(digest);
        call.program = Some(ProgramTurn {
            name: name.clone(),
            turn: turn + 1,
            continuation: continuation.clone(),
        });
        call
    }

    /// Runs the next call of a program from arrival to charge record.
    fn run_call(&mut self, program: usize) {
        let call = self.next_call(program);
        self.renew_lease();
        self.tick(Input::CallArrived(Box::new(call)));
        let attempt = self.outputs.iter().find_map(|output| match output {
            Output::Dispatch(dispatch) => Some(dispatch.attempt),
            _ => None,
        });
        let attempt = attempt.expect("call is dispatched");
        self.outputs.clear();
        let outcome = AttemptOutcome {
            prompt_tokens: 1_000,
            cached_tokens: 900,
            answer_tokens: 100,
            ..AttemptOutcome::default()
        };
        for progress in [
            AttemptProgress::Sent,
            AttemptProgress::FirstToken,
            AttemptProgress::Finished(outcome),
        ] {
            self.tick(Input::Attempt(AttemptEvent { attempt, progress }));
        }
        let row = &mut self.programs[program];
        for output in self.outputs.drain(..) {
            if let Output::Answered(answered) = output {
                row.1 += 1;
                row.2 = answered.continuation;
            }
        }
    }

    /// Confirms touches of the view in place of the store, so that the lease does not expire.
    fn renew_lease(&mut self) {
        let event = StoreEvent::ViewTouched {
            version: 1,
            sent_us: self.now_us,
        };
        if self.seq.is_multiple_of(10_000) || self.seq == 1 {
            self.tick(Input::Store(event));
        }
    }

    /// Advances the virtual time and runs one tick with an input.
    fn tick(&mut self, input: Input) {
        self.now_us += CALL_US / 4;
        self.control.tick(self.now_us, [input], &mut self.outputs);
    }
}

/// Measures whole calls at different numbers of programs.
fn bench_whole_calls(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole_call");
    group.throughput(Throughput::Elements(1));
    for programs in [1_000, 10_000, 100_000] {
        let mut bench = Bench::new(programs);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(programs), |bencher| {
            bencher.iter(|| {
                // A stride without a common factor visits all programs in no particular order.
                next = (next + 7_919) % programs;
                bench.run_call(next);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_whole_calls);
criterion_main!(benches);
