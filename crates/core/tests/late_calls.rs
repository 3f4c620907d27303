//! Guards against calls that a stopping VM takes although they may last longer than its process.

use knapweeddale_core::{CallId, Execution, RefusalKind};
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, upstreams};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Starts a VM.
fn start(seed: u64) -> RelayFleet {
    let accounts = vec![account("bus", 1_000, 1_000)];
    let mut relays = RelayFleet::new(1, fleet(1, accounts), upstreams(1), seed);
    relays.run_ms(2_000);
    relays
}

/// Returns whether a call was refused because the VM stops, as one that did not run.
fn is_refused_unrun(relays: &RelayFleet, call: CallId) -> bool {
    let refusals = relays.refusals.iter();
    let mut refusals = refusals.filter(|(_, refusal)| refusal.call == call);
    let refusal = refusals.next().map(|(_, refusal)| refusal);
    refusal.is_some_and(|refusal| {
        refusal.kind == RefusalKind::Draining && refusal.ran == Execution::NotRun
    })
}

/// Guards against a call that is served although its time limit lies after the end of the process,
/// and against one that is refused although it ends before.
#[rstest]
fn time_limits(#[values("/chat/x", "/tool/x", "/pay/x")] path: &str) {
    for seed in seeds() {
        let mut relays = start(seed);
        relays.stop(0, 4_000);
        relays.run_ms(3_000);
        let call = |timeout_ms| RelayCall {
            path: path.to_owned(),
            timeout_ms,
            ..RelayCall::tool("bus")
        };
        let short = relays.call(0, call(700));
        let long = relays.call(0, call(1_400));
        relays.run_ms(500);
        assert!(relays.is_answered(short), "seed {seed}");
        assert!(is_refused_unrun(&relays, long), "seed {seed}");
        assert!(!relays.has_run(long), "seed {seed}");
    }
}

/// Guards against calls that wait when the VM is asked to stop and begin to run too late.
#[rstest]
fn waiting_calls() {
    for seed in seeds() {
        let mut relays = start(seed);
        let call = RelayCall {
            run_ms: 1_000,
            timeout_ms: 3_000,
            ..RelayCall::tool("bus")
        };
        let calls: Vec<_> = (0..200).map(|_| relays.call(0, call.clone())).collect();
        relays.run_ms(100);
        // Some are refused at once, because too many wait.
        let open = calls
            .into_iter()
            .filter(|call| relays.refusal(*call).is_none());
        let (running, waiting): (Vec<_>, Vec<_>) = open.partition(|call| relays.has_run(*call));
        assert!(
            !running.is_empty() && !waiting.is_empty(),
            "seed {seed}: {} calls run, {} wait",
            running.len(),
            waiting.len()
        );
        relays.stop(0, 2_500);
        let (refused, placed): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|call| is_refused_unrun(&relays, *call));
        relays.run_ms(2_500);
        // A call that had been placed just before runs to its end.
        for call in running.iter().chain(&placed) {
            assert!(relays.is_answered(*call), "seed {seed}: {call}");
        }
        assert!(placed.len() < refused.len(), "seed {seed}");
        for call in refused {
            assert!(!relays.has_run(call), "seed {seed}: {call}");
        }
    }
}
