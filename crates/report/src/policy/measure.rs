//! What is measured in a run.

use super::program::Workload;
use super::run::{ACCOUNTS, ENGINES, Outcome, engine_model, engine_work_us};

/// The figures of one policy at one load, over all seeds.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Measures {
    /// Mean latency of whole programs.
    pub mean_s: f64,
    /// Median latency.
    pub p50_s: f64,
    /// 95th percentile of the latency.
    pub p95_s: f64,
    /// 99th percentile of the latency.
    pub p99_s: f64,
    /// Prefix tokens that were read again, in percent of those read before.
    pub wasted_percent: f64,
    /// Prefix tokens that were read again.
    pub wasted_tokens: u64,
    /// The share of the worst-served account, the lowest over all seeds.
    pub worst_share: f64,
    /// Refused calls.
    pub refused_calls: u64,
    /// Calls that ended.
    pub calls: u64,
    /// Programs that did not end.
    pub unfinished: u64,
    /// Mean learned limit at the end.
    pub mean_limit: f64,
}

impl Measures {
    /// Sums runs with different seeds up.
    pub fn new(runs: &[(&Workload, &Outcome)]) -> Self {
        let mut latencies_us: Vec<u64> = runs
            .iter()
            .flat_map(|(_, outcome)| outcome.latencies_us.iter().copied())
            .collect();
        latencies_us.sort_unstable();
        let at = |percent: usize| {
            let index = (latencies_us.len() * percent / 100).min(latencies_us.len() - 1);
            latencies_us[index] as f64 / 1e6
        };
        let sum = |value: fn(&Outcome) -> u64| runs.iter().map(|(_, run)| value(run)).sum::<u64>();
        let wasted_tokens = sum(|run| run.wasted_tokens);
        let limits: Vec<u32> = runs
            .iter()
            .flat_map(|(_, run)| run.limits.clone())
            .collect();
        let shares = runs
            .iter()
            .map(|(workload, run)| worst_share(workload, &run.delivered));
        Self {
            mean_s: latencies_us.iter().sum::<u64>() as f64 / latencies_us.len() as f64 / 1e6,
            p50_s: at(50),
            p95_s: at(95),
            p99_s: at(99),
            wasted_percent: wasted_tokens as f64 * 100.0 / sum(|run| run.known_tokens) as f64,
            wasted_tokens,
            worst_share: shares.fold(f64::INFINITY, f64::min),
            refused_calls: sum(|run| run.refused_calls),
            calls: sum(|run| run.calls),
            unfinished: sum(|run| run.unfinished),
            mean_limit: limits.iter().sum::<u32>() as f64 / limits.len() as f64,
        }
    }
}

/// Returns the share of the worst-served account.
///
/// The entitlement of an account is its demand, or its equal part of the work
/// that was delivered in total if demand is higher (maximum-minimum fairness).
/// Its demand is the work that an idle fleet would have ended in the same time.
pub fn worst_share(workload: &Workload, delivered: &[f64]) -> f64 {
    let demand = account_demand(workload);
    let total: f64 = delivered.iter().sum();
    let level = max_min_level(&demand, total);
    (0..ACCOUNTS)
        .map(|account| (delivered[account] / demand[account].min(level)).min(1.0))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the programs per second that keep all engines busy at their knee
/// when no prefix is ever read again.
///
/// No policy can serve more without running engines past their knee.
pub fn capacity() -> f64 {
    const PROGRAMS: f64 = 20_000.0;
    let model = engine_model();
    let workload = Workload::new(0, PROGRAMS, 0, 1_000_000);
    let mut total_us = 0.0;
    for (_, plan) in &workload.arrivals {
        let (_, calls) = plan.ideal_schedule(&model);
        let works = calls.into_iter().map(|(_, new_tokens, answer_tokens)| {
            engine_work_us(&model, new_tokens, answer_tokens)
        });
        total_us += works.sum::<f64>();
    }
    let program_us = total_us / workload.arrivals.len() as f64;
    ENGINES as f64 * 1e6 / program_us
}

/// Returns the work that an idle fleet would have ended in the measured time, by account.
fn account_demand(workload: &Workload) -> Vec<f64> {
    let model = engine_model();
    let mut demand = vec![0.0; ACCOUNTS];
    for (arrived_us, plan) in &workload.arrivals {
        let (_, calls) = plan.ideal_schedule(&model);
        for (after_us, new_tokens, answer_tokens) in calls {
            let at_us = arrived_us + after_us;
            if (workload.from_us..workload.until_us).contains(&at_us) {
                demand[plan.account] += engine_work_us(&model, new_tokens, answer_tokens);
            }
        }
    }
    demand
}

/// Returns the level at which demands, cut at it, add up to a total.
fn max_min_level(demand: &[f64], total: f64) -> f64 {
    let mut sorted = demand.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = total;
    for (at, value) in sorted.iter().enumerate() {
        let part = left / (sorted.len() - at) as f64;
        if *value > part {
            return part;
        }
        left -= value;
    }
    f64::INFINITY
}
