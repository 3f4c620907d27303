//! Measures of runs: latency, wasted prefill, fairness and capacity.

use super::program::Workload;
use super::run::{ACCOUNTS, ENGINES, Outcome, engine_model, engine_work_us};

/// Measures of one policy at one load, over all seeds.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Measures {
    /// Mean latency of programs, from the arrival to the last response.
    pub mean_s: f64,
    /// Median of the latency.
    pub p50_s: f64,
    /// 95th percentile of the latency.
    pub p95_s: f64,
    /// 99th percentile of the latency.
    pub p99_s: f64,
    /// Prefix tokens that had to be prefilled again, in percent of all prefix tokens that
    /// earlier turns had processed.
    pub wasted_percent: f64,
    /// Prefix tokens that had to be prefilled again.
    pub wasted_tokens: u64,
    /// Lowest [`worst_share`] over all seeds.
    pub worst_share: f64,
    /// Number of refused calls.
    pub refused_calls: u64,
    /// Number of calls that ended.
    pub calls: u64,
    /// Number of measured programs that did not end.
    pub unfinished: u64,
    /// Mean concurrency limit of the engines at the end of the runs.
    pub mean_limit: f64,
}

impl Measures {
    /// Aggregates runs with different seeds.
    pub fn new(runs: &[(&Workload, &Outcome)]) -> Self {
        let mut latencies_us: Vec<u64> = runs
            .iter()
            .flat_map(|(_, outcome)| outcome.latencies_us.iter().copied())
            .collect();
        latencies_us.sort_unstable();
        let percentile_s = |percent: usize| {
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
            p50_s: percentile_s(50),
            p95_s: percentile_s(95),
            p99_s: percentile_s(99),
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

/// Returns the lowest ratio of delivered work to entitlement over all accounts, at most 1.
///
/// Entitlements follow max-min fairness over the total delivered work: an account is
/// entitled to its demand, or to the fair level if its demand is higher. Its demand is
/// the work that an idle fleet would have completed in the same time.
pub fn worst_share(workload: &Workload, delivered: &[f64]) -> f64 {
    let demand = account_demand(workload);
    let total: f64 = delivered.iter().sum();
    let level = max_min_level(&demand, total);
    (0..ACCOUNTS)
        .map(|account| (delivered[account] / demand[account].min(level)).min(1.0))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the arrival rate, in programs per second, that keeps all engines at their knee
/// if no prefix is ever prefilled again.
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

/// Returns the work that an idle fleet would have completed in the measured time, by account.
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

/// Returns the max-min fair level: demands capped at it add up to `total`.
///
/// It is infinite if `total` covers all demands.
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
