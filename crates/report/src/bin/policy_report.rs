//! Compares placement policies on the same programs in virtual time.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use bpaf::Bpaf;
use knapweeddale_report::policy::{Measures, Outcome, Trial, Variant, Workload, capacity, run};

/// Compares placement policies on the same programs in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of seeds.
    #[bpaf(fallback(3))]
    seeds: u64,
    /// Time during which programs arrive, in seconds; the first sixth is not measured.
    #[bpaf(fallback(600))]
    seconds: u64,
    /// Number of runs in parallel.
    #[bpaf(fallback(4))]
    threads: usize,
    /// Run only this load, in percent of the capacity.
    load: Option<u64>,
    /// Run only policies whose name contains this text.
    policy: Option<String>,
    /// Capacity in programs per second; computed from the engine model if absent.
    capacity: Option<f64>,
    /// Print JSON instead of a table.
    json: bool,
}

/// One run: the indices of its load and policy, and its seed.
struct Job {
    load_index: usize,
    variant_index: usize,
    seed: u64,
}

fn main() {
    let options = options().run();
    let capacity = options.capacity.unwrap_or_else(capacity);
    let loads = options
        .load
        .map_or(vec![50, 80, 95, 120], |load| vec![load]);
    let variants: Vec<Variant> = Variant::ALL
        .iter()
        .filter(|variant| match &options.policy {
            Some(text) => variant.name.contains(text.as_str()),
            None => true,
        })
        .copied()
        .collect();
    println!("capacity: {capacity:.3} programs per second");
    let workloads: Vec<Vec<Workload>> = loads
        .iter()
        .map(|load| generate_workloads(&options, capacity * *load as f64 / 100.0))
        .collect();
    let outcomes = run_all(&options, &variants, &workloads);
    for (load_index, load) in loads.iter().enumerate() {
        println!("\nload {load}%");
        if !options.json {
            println!(
                "{:<28}{:>8}{:>8}{:>8}{:>8}{:>9}{:>10}{:>8}{:>9}{:>8}{:>7}{:>7}",
                "policy",
                "mean s",
                "p50 s",
                "p95 s",
                "p99 s",
                "wasted %",
                "wasted Mt",
                "worst",
                "refused",
                "calls",
                "unfin.",
                "limit"
            );
        }
        for (variant_index, variant) in variants.iter().enumerate() {
            let runs: Vec<(&Workload, &Outcome)> = outcomes
                .iter()
                .filter(|(job, _)| {
                    job.load_index == load_index && job.variant_index == variant_index
                })
                .map(|(job, outcome)| (&workloads[load_index][job.seed as usize], outcome))
                .collect();
            print_row(&options, variant, &Measures::new(&runs));
        }
    }
}

/// Prints the measures of one policy.
fn print_row(options: &Options, variant: &Variant, measures: &Measures) {
    if options.json {
        let text = serde_json::to_string(measures).unwrap_or_default();
        println!("{}: {text}", variant.name);
        return;
    }
    println!(
        "{:<28}{:>8.2}{:>8.2}{:>8.2}{:>8.2}{:>9.2}{:>10.1}{:>8.3}{:>9}{:>8}{:>7}{:>7.1}",
        variant.name,
        measures.mean_s,
        measures.p50_s,
        measures.p95_s,
        measures.p99_s,
        measures.wasted_percent,
        measures.wasted_tokens as f64 / 1e6,
        measures.worst_share,
        measures.refused_calls,
        measures.calls,
        measures.unfinished,
        measures.mean_limit,
    );
}

/// Generates one workload per seed at an arrival rate.
fn generate_workloads(options: &Options, programs_per_s: f64) -> Vec<Workload> {
    let until_us = options.seconds * 1_000_000;
    (0..options.seeds)
        .map(|seed| Workload::new(seed + 1, programs_per_s, until_us / 6, until_us))
        .collect()
}

/// Runs every policy on every workload and returns the outcomes ordered by load, policy
/// and seed.
fn run_all(
    options: &Options,
    variants: &[Variant],
    workloads: &[Vec<Workload>],
) -> Vec<(Job, Outcome)> {
    let mut jobs = Vec::new();
    for load_index in 0..workloads.len() {
        for variant_index in 0..variants.len() {
            jobs.extend((0..options.seeds).map(|seed| Job {
                load_index,
                variant_index,
                seed,
            }));
        }
    }
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = run(&Trial {
                        variant: variants[job.variant_index],
                        workload: &workloads[job.load_index][job.seed as usize],
                        seed: job.seed,
                        drain_us: 1_800_000_000,
                    });
                    let job = Job { ..*job };
                    if let Ok(mut outcomes) = outcomes.lock() {
                        outcomes.push((job, outcome));
                    }
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().unwrap_or_default();
    outcomes.sort_by_key(|(job, _)| (job.load_index, job.variant_index, job.seed));
    outcomes
}
