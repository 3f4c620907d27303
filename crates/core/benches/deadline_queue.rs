//! Benchmarks decisions about calls with deadlines while 10,000 of them wait for 100 upstreams.
//!
//! One iteration is the end of a call, which places a waiting one, and the arrival of another. The
//! limit for a decision is 25 us.

use std::sync::Arc;

use criterion::{Criterion, criterion_group, criterion_main};
use knapweeddale_core::config::{Coordination, PolicyFeatures};
use knapweeddale_core::input::{AttemptOutcome, AttemptProgress, SourceEvent};
use knapweeddale_core::{
    AttemptEvent, AttemptId, CallId, Control, CoreSettings, Incarnation, Input, NewCall, Output,
    UpstreamList, VmName,
};
use knapweeddale_testing::relays::{RelayCall, account, fleet, listed_upstream};

/// Number of engines, each with this number of places.
const ENGINES: usize = 100;
const PLACES: u32 = 8;

/// Calls that wait.
const WAITING: usize = 10_000;

/// Virtual time between two calls.
const CALL_US: u64 = 20;

/// A VM whose engines are full.
struct Bench {
    control: Control,
    now_us: u64,
    seq: u64,
    running: std::collections::VecDeque<AttemptId>,
    refused: usize,
    outputs: Vec<Output>,
}

impl Bench {
    fn new() -> Self {
        let settings = CoreSettings::builder()
            .vm(VmName::from("vm-0"))
            .incarnation(Incarnation(1))
            .coordination(Coordination::Peers)
            .policy(PolicyFeatures {
                learned_limit: false,
                ..PolicyFeatures::default()
            })
            .is_first_start(true)
            .max_config_age_ms(u64::from(u32::MAX))
            .build();
        let mut bench = Self {
            control: Control::new(settings),
            now_us: 3_600_000_000,
            seq: 0,
            running: Default::default(),
            refused: 0,
            outputs: Vec::new(),
        };
        bench.configure();
        for _ in 0..ENGINES as u32 * PLACES + WAITING as u32 {
            bench.arrive();
        }
        for _ in 0..1_000 {
            bench.step();
        }
        assert_eq!(bench.running.len(), ENGINES * PLACES as usize);
        bench
    }

    /// Delivers the configuration and the list of upstreams.
    fn configure(&mut self) {
        let accounts = (0..88).map(|number| account(&format!("a-{number}"), 1_000_000, 1_000_000));
        let config = SourceEvent::Config {
            sent_us: self.now_us,
            fleet: Some(Arc::new(fleet(1, accounts.collect()))),
        };
        let engines = (0..ENGINES).map(|number| {
            let mut listed = listed_upstream(&format!("engine-{number}"), "models");
            listed.config.max_running_calls = PLACES;
            listed
        });
        let list = SourceEvent::Upstreams {
            sent_us: self.now_us,
            list: Arc::new(UpstreamList {
                revision: 1,
                upstreams: engines.collect(),
            }),
            evacuations: None,
        };
        let vms = SourceEvent::Vms {
            relays: Vec::new(),
            keepers: Vec::new(),
        };
        for event in [config, list, vms] {
            self.tick(Input::Source(event));
        }
    }

    /// Sends a call with a deadline, priority and account that differ from the ones before.
    fn arrive(&mut self) {
        self.seq += 1;
        let seq = self.seq;
        let mut call = RelayCall::turn(
            &format!("a-{}", seq % 88),
            &format!("p-{}", seq % 4_000),
            1_000_000_000,
            40,
        );
        call.timeout_ms = 2_000_000;
        call.program_deadline_ms = Some(seq * 7_919 % 60_000);
        let id = CallId {
            incarnation: Incarnation(1),
            seq,
        };
        let new: NewCall = call.to_new_call(id, self.now_us);
        self.tick(Input::CallArrived(Box::new(new)));
    }

    /// Ends a call and lets another arrive, and more for those that were refused.
    fn step(&mut self) {
        self.end_one();
        self.arrive();
        while self.refused > 0 {
            self.refused -= 1;
            self.arrive();
        }
    }

    /// Ends the call that has run longest.
    fn end_one(&mut self) {
        let Some(attempt) = self.running.pop_front() else {
            return;
        };
        let progress = AttemptProgress::Finished(AttemptOutcome {
            answer_tokens: 10,
            ..AttemptOutcome::default()
        });
        self.tick(Input::Attempt(AttemptEvent { attempt, progress }));
    }

    fn tick(&mut self, input: Input) {
        self.now_us += CALL_US / 2;
        self.control.tick(self.now_us, [input], &mut self.outputs);
        for output in self.outputs.drain(..) {
            match output {
                Output::Dispatch(dispatch) => self.running.push_back(dispatch.attempt),
                Output::Refused(_) => self.refused += 1,
                _ => {}
            }
        }
    }
}

/// Measures the end of a call and the arrival of another: two decisions.
fn bench_full_queue(criterion: &mut Criterion) {
    let mut bench = Bench::new();
    criterion.bench_function("deadline_queue/10000", |bencher| {
        bencher.iter(|| bench.step());
    });
}

criterion_group!(benches, bench_full_queue);
criterion_main!(benches);
