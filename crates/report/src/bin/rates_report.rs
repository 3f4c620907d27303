//! Compares three ways to enforce an account's rate on the same calls: shares that an
//! owner lends to VMs, a static split, and one owner that every call asks.
//!
//! Usage: `rates_report [seed] [seconds]`.

use std::collections::{BTreeMap, VecDeque};

use knapweeddale_core::AccountName;
use knapweeddale_core::tables::{Bucket, NCALLS_PER_CALL};
use knapweeddale_testing::measures::{self, Served};
use knapweeddale_testing::mesh::{Trace, TraceEvent};
use knapweeddale_testing::scenario::{Scenario, Totals, VMS, fleet};

/// Longest time that a call waits for admission, as the setting `rate_wait_ms`.
const WAIT_US: u64 = 2_000_000;

/// Round trip of a request to the owner.
const ROUND_TRIP_US: u64 = 2_300;

/// Time from the crash of an owner until its successor may lend: suspicion plus takeover wait.
const OWNER_FAILOVER_US: u64 = 5_300_000;

/// A token bucket and the queue of calls that wait for it.
struct BucketQueue {
    bucket: Bucket,
    /// Time at which each call reached the bucket, and its index in the trace.
    waiting: VecDeque<(u64, usize)>,
}

impl BucketQueue {
    fn new(rate_mcalls_per_s: u64, burst_ncalls: u64) -> Self {
        Self {
            bucket: Bucket::full(rate_mcalls_per_s, burst_ncalls, 0),
            waiting: VecDeque::new(),
        }
    }

    /// Processes the queue up to a time: marks admitted calls and drops those that time out.
    fn advance(&mut self, until_us: u64, admitted: &mut [bool]) {
        while let Some(&(arrived_us, call)) = self.waiting.front() {
            let from_us = self.bucket.updated_us.max(arrived_us);
            let ready_us = self.bucket.ready_in_us(from_us).map(|us| from_us + us);
            let Some(ready_us) = ready_us.filter(|us| *us <= arrived_us + WAIT_US) else {
                if arrived_us + WAIT_US > until_us {
                    return;
                }
                self.waiting.pop_front();
                continue;
            };
            if ready_us > until_us {
                return;
            }
            admitted[call] = self.bucket.try_take(ready_us);
            self.waiting.pop_front();
        }
    }
}

/// The arrival of a call at a VM.
struct Arrival {
    at_us: u64,
    vm: usize,
    account: AccountName,
}

/// Extracts the arrivals of calls from a trace.
fn collect_arrivals(trace: &Trace, vms: &BTreeMap<String, usize>) -> Vec<Arrival> {
    let calls = trace.events.iter().filter_map(|(at_us, event)| {
        let TraceEvent::Arrived { vm, call } = event else {
            return None;
        };
        let key = call.key.as_ref()?;
        Some(Arrival {
            at_us: *at_us,
            vm: *vms.get(vm.as_str())?,
            account: AccountName::from(key.id.as_str()),
        })
    });
    calls.collect()
}

/// Replays the calls of each account on `parts` buckets with equal parts of its rate and burst.
///
/// `route` returns the index of a call's bucket and the delay until the call reaches it.
fn replay(
    arrivals: &[Arrival],
    parts: u64,
    route: impl Fn(&Arrival) -> (usize, u64),
) -> BTreeMap<AccountName, Served> {
    let fleet = fleet();
    let mut admitted = vec![false; arrivals.len()];
    let mut result = BTreeMap::new();
    for account in &fleet.accounts {
        let burst_ncalls = account.burst_calls * NCALLS_PER_CALL;
        let new_queue =
            || BucketQueue::new(account.rate_mcalls_per_s / parts, burst_ncalls / parts);
        let mut queues: Vec<_> = (0..parts).map(|_| new_queue()).collect();
        let calls = arrivals.iter().enumerate();
        let calls: Vec<_> = calls
            .filter(|(_, call)| call.account == account.name)
            .collect();
        for (number, call) in &calls {
            let (queue, delay_us) = route(call);
            queues[queue].advance(call.at_us, &mut admitted);
            // A call that reaches its bucket after the longest wait is refused.
            if delay_us < WAIT_US {
                queues[queue]
                    .waiting
                    .push_back((call.at_us + delay_us, *number));
            }
        }
        for queue in &mut queues {
            queue.advance(u64::MAX / 2, &mut admitted);
        }
        let outcomes = calls
            .iter()
            .map(|(number, call)| (call.at_us, admitted[*number]));
        let limits = Bucket::full(account.rate_mcalls_per_s, burst_ncalls, 0);
        result.insert(account.name.clone(), measures::compare(limits, outcomes));
    }
    result
}

/// Prints one row of the table.
fn print_row(name: &str, served: &BTreeMap<AccountName, Served>) {
    let mut totals = Totals::default();
    totals.add_quietly(served);
    println!(
        "{name:<28} {:>9} {:>9} {:>9} {:>10} {:>8.4}",
        totals.in_rate.entitled,
        totals.in_rate.wrongly_refused,
        totals.over_rate.entitled,
        totals.over_rate.lost_calls,
        totals.worst_share,
    );
}

/// Runs the scenario and prints a row for each scheme.
///
/// With `has_crash`, the owner of the account `aller` crashes after a third of the time.
fn compare_schemes(seed: u64, seconds: u64, has_crash: bool) {
    let mut scenario = Scenario::new(seed);
    let vms = (0..VMS).map(|vm| (format!("vm-{vm}"), vm)).collect();
    scenario.drive_ms(seconds * 1_000 / 3);
    let owner = scenario.owner("aller");
    let crashed_us = scenario.mesh.now_us();
    let owners: BTreeMap<_, _> = fleet()
        .accounts
        .iter()
        .map(|account| (account.name.clone(), scenario.owner(account.name.as_str())))
        .collect();
    if has_crash {
        scenario.mesh.crash(owner);
    }
    scenario.drive_ms(seconds * 1_000 * 2 / 3);
    let arrivals = collect_arrivals(&scenario.mesh.trace, &vms);
    let shares = scenario.finish();
    println!();
    let title = if has_crash {
        "one VM lost"
    } else {
        "no faults"
    };
    println!("seed {seed}, {seconds} s, {title}");
    println!(
        "{:<28} {:>9} {:>9} {:>9} {:>10} {:>8}",
        "", "in rate", "refused", "over rate", "lost", "worst"
    );
    print_row("shares", &shares);
    let split = replay(&arrivals, VMS as u64, |call| (call.vm, 0));
    print_row("static 1/N split", &split);
    let single_owner = replay(&arrivals, 1, |call| {
        let ownerless_until_us = crashed_us + OWNER_FAILOVER_US;
        let is_ownerless = has_crash
            && owners.get(&call.account) == Some(&owner)
            && (crashed_us..ownerless_until_us).contains(&call.at_us);
        let wait_us = if is_ownerless {
            ownerless_until_us - call.at_us
        } else {
            0
        };
        (0, wait_us + ROUND_TRIP_US)
    });
    print_row("one owner, every call asks", &single_owner);
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| {
        let text = arguments.next();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (seed, seconds) = (number(1), number(60));
    compare_schemes(seed, seconds, false);
    compare_schemes(seed, seconds, true);
}
