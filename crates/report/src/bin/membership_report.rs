//! Measures the control traffic of an idle fleet in the simulated mesh.
//!
//! Bytes are estimates of compact JSON with TCP and IP headers, see
//! `knapweeddale_testing::mesh::estimated_bytes`. Times depend on the machine.

use bpaf::Bpaf;
use knapweeddale_core::{FleetConfig, Revision};
use knapweeddale_testing::mesh::{Mesh, Traffic};

/// Measures the control traffic of an idle fleet.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the simulated delays.
    #[bpaf(fallback(1))]
    seed: u64,
    /// Measured time, in seconds of virtual time.
    #[bpaf(fallback(30))]
    seconds: u64,
    /// Measure while the store is down.
    outage: bool,
    /// Crash one VM every this many seconds; 0 for no crashes.
    #[bpaf(fallback(0))]
    crash_every: u64,
    /// Fleet sizes to measure.
    #[bpaf(positional("VMS"), many)]
    vms: Vec<usize>,
}

/// Fleet sizes that are measured if none is given.
const DEFAULT_FLEET_SIZES: [usize; 6] = [8, 16, 32, 64, 128, 700];

/// Virtual time for the fleet to form, and to settle in an outage, before it is measured.
const WARM_UP_MS: u64 = 30_000;

fn main() {
    let mut options = options().run();
    if options.vms.is_empty() {
        options.vms = DEFAULT_FLEET_SIZES.to_vec();
    }
    println!(
        "{:>5} {:>8} {:>10} {:>10} {:>10} {:>10} {:>9} {:>9} {:>8} {:>6} {:>7}",
        "VMs",
        "members",
        "msg/s mean",
        "msg/s max",
        "B/s mean",
        "B/s max",
        "sent max",
        "CPU% max",
        "store/s",
        "views",
        "leases"
    );
    for &vms in &options.vms {
        measure_fleet(vms, &options);
    }
}

/// Measures one fleet size and prints its row.
fn measure_fleet(vms: usize, options: &Options) {
    let fleet = FleetConfig {
        revision: Revision(1),
        ..FleetConfig::default()
    };
    let mut mesh = Mesh::with_domains(vms, 3, fleet, options.seed);
    mesh.run_ms(WARM_UP_MS);
    mesh.store.is_down = options.outage;
    if options.outage {
        mesh.run_ms(WARM_UP_MS);
    }
    let before: Vec<Traffic> = (0..vms).map(|vm| mesh.traffic(vm)).collect();
    let requests = mesh.store.requests;
    let epoch = mesh.tables(0).view.epoch.0;
    for second in 0..options.seconds {
        crash_periodically(&mut mesh, second, options.crash_every);
        mesh.run_ms(1_000);
    }
    let seconds = options.seconds as f64;
    let rates: Vec<Rates> = (0..vms)
        .map(|vm| Rates::between(before[vm], mesh.traffic(vm), seconds))
        .collect();
    let mean = |rate: fn(&Rates) -> f64| rates.iter().map(rate).sum::<f64>() / vms as f64;
    let max = |rate: fn(&Rates) -> f64| rates.iter().map(rate).fold(0.0, f64::max);
    let leases = (0..vms).filter(|vm| mesh.has_lease(*vm)).count();
    let writer = (0..vms).find(|vm| mesh.control(*vm).is_some()).unwrap_or(0);
    println!(
        "{vms:>5} {:>8} {:>10.1} {:>10.1} {:>10.0} {:>10.0} {:>9.0} {:>9.3} {:>8.2} {:>6} {leases:>7}",
        mesh.tables(writer).view.members.len(),
        mean(|rates| rates.messages),
        max(|rates| rates.messages),
        mean(|rates| rates.bytes),
        max(|rates| rates.bytes),
        max(|rates| rates.sent_bytes),
        max(|rates| rates.processor_percent),
        (mesh.store.requests - requests) as f64 / seconds,
        mesh.tables(writer).view.epoch.0 - epoch,
    );
}

/// Crashes a VM every `every` seconds and restarts the one that crashed before it.
fn crash_periodically(mesh: &mut Mesh, second: u64, every: u64) {
    if every == 0 || !second.is_multiple_of(every) {
        return;
    }
    let number = (second / every) as usize * 7;
    if number > 0 {
        mesh.restart((number - 7) % mesh.len());
    }
    mesh.crash(number % mesh.len());
}

/// Control traffic of one VM per second, and the share of a processor that its ticks use.
struct Rates {
    messages: f64,
    bytes: f64,
    sent_bytes: f64,
    processor_percent: f64,
}

impl Rates {
    /// Computes the rates between two samples; messages and bytes are sent plus received.
    fn between(before: Traffic, after: Traffic, seconds: f64) -> Self {
        let per_s = |before: u64, after: u64| (after - before) as f64 / seconds;
        Self {
            messages: per_s(before.messages(), after.messages()),
            bytes: per_s(before.bytes(), after.bytes()),
            sent_bytes: per_s(before.sent_bytes, after.sent_bytes),
            processor_percent: per_s(before.tick_ns, after.tick_ns) / 1e7,
        }
    }
}
