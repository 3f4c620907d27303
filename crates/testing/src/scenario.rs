//! Scenario of eight VMs and eight accounts, the size of current fleets.

use std::collections::BTreeMap;

use knapweeddale_core::{AccountName, FleetConfig};

use crate::load::{self, Load};
use crate::measures::{self, Served};
use crate::mesh::Mesh;
use crate::{Random, invariants};

/// Number of VMs.
pub const VMS: usize = 8;

/// Number of failure domains.
const DOMAINS: usize = 3;

/// Time until all VMs are members and the takeovers that their joins cause are complete.
const JOIN_MS: u64 = 20_000;

/// Name, rate in calls per second, burst in calls, offered load in percent of the rate, and
/// relative share of the calls that each VM receives.
type Account = (&'static str, u64, u64, u64, [u64; VMS]);

const EVEN: [u64; VMS] = [1; VMS];

/// Accounts: two large ones, one that sends 5 times its rate, and several whose calls arrive
/// unevenly over the VMs.
pub const ACCOUNTS: [Account; 8] = [
    ("aller", 60, 120, 85, EVEN),
    ("bodega", 60, 120, 85, [20, 5, 1, 1, 1, 1, 1, 1]),
    ("cueca", 10, 20, 500, EVEN),
    ("danza", 10, 20, 80, [0, 0, 1, 0, 0, 0, 0, 0]),
    ("estampie", 10, 20, 80, EVEN),
    ("farruca", 5, 16, 80, [1, 1, 0, 0, 0, 0, 0, 0]),
    ("gavota", 5, 16, 70, EVEN),
    ("habanera", 2, 8, 60, [0, 0, 0, 0, 8, 1, 1, 1]),
];

/// Returns the fleet configuration of [`ACCOUNTS`].
pub fn fleet() -> FleetConfig {
    let accounts: Vec<_> = ACCOUNTS.iter().map(|a| (a.0, a.1, a.2)).collect();
    load::fleet(&accounts)
}

/// Returns the loads of [`ACCOUNTS`], scaled to a percentage.
pub fn loads(percent: u64) -> Vec<Load> {
    ACCOUNTS
        .iter()
        .map(|&(name, rate, _, offered, weights)| Load {
            account: AccountName::from(name),
            offered_mcalls_per_s: rate * offered * percent / 10,
            weights: weights.to_vec(),
        })
        .collect()
}

/// A running mesh of 8 member VMs and the load on it.
#[derive(Debug)]
pub struct Scenario {
    /// Mesh of the VMs.
    pub mesh: Mesh,
    /// Generates arrival times and receiving VMs.
    pub random: Random,
    /// Loads of all accounts.
    pub loads: Vec<Load>,
    seed: u64,
}

impl Scenario {
    /// Starts all VMs and runs until they have joined.
    pub fn new(seed: u64) -> Self {
        let mut mesh = Mesh::with_domains(VMS, DOMAINS, fleet(), seed);
        mesh.run_ms(JOIN_MS);
        Self {
            mesh,
            // Seeded separately, so that arrivals do not depend on the faults of the mesh.
            random: Random::new(!seed),
            loads: loads(100),
            seed,
        }
    }

    /// Sends the loads for `ms` milliseconds.
    pub fn drive_ms(&mut self, ms: u64) {
        load::drive(&mut self.mesh, &self.loads, &mut self.random, ms);
    }

    /// Returns the VM that owns an account in the newest view.
    ///
    /// # Panics
    ///
    /// Panics if no VM runs.
    pub fn owner(&self, account: &str) -> usize {
        let running = (0..VMS).filter(|&vm| self.mesh.control(vm).is_some());
        let views = running.map(|vm| &self.mesh.tables(vm).view);
        let view = views.max_by_key(|view| view.epoch).expect("a VM runs");
        let owner = view.account_owner(&AccountName::from(account));
        let owner = owner.expect("the view has members");
        self.mesh.index(owner).expect("the owner is in the mesh")
    }

    /// Checks the invariants of rates and refusals over the trace.
    ///
    /// # Panics
    ///
    /// Panics with the seed and the first violation.
    pub fn check(&self) {
        let trace = &self.mesh.trace;
        let result = invariants::rate_and_burst(trace, &fleet())
            .and_then(|()| invariants::refusal_is_true(trace));
        if let Err(error) = result {
            panic!("seed {}: {error}", self.seed);
        }
    }

    /// Waits for queued calls, checks the invariants and returns the results of each account.
    pub fn finish(mut self) -> BTreeMap<AccountName, Served> {
        self.mesh.run_ms(3_000);
        self.check();
        measures::compare_accounts(&self.mesh.trace, &fleet())
    }
}

/// Results summed over several seeds.
#[derive(Debug)]
pub struct Totals {
    /// Sum over accounts for which one bucket for all VMs would have admitted every call.
    pub in_rate: Served,
    /// Sum over the other accounts.
    pub over_rate: Served,
    /// Smallest [`Served::share`] of an account with any seed.
    pub worst_share: f64,
}

impl Default for Totals {
    fn default() -> Self {
        Self {
            in_rate: Served::default(),
            over_rate: Served::default(),
            worst_share: 1.0,
        }
    }
}

impl Totals {
    /// Adds the results of one seed and prints the accounts with wrongly refused calls.
    pub fn add(&mut self, seed: u64, results: &BTreeMap<AccountName, Served>) {
        for (account, served) in results {
            if served.wrongly_refused > 0 {
                println!("seed {seed}, {account}: {served:?}");
            }
        }
        self.add_quietly(results);
    }

    /// Adds the results of one seed without printing.
    pub fn add_quietly(&mut self, results: &BTreeMap<AccountName, Served>) {
        for served in results.values() {
            let sum = if served.is_in_rate() {
                &mut self.in_rate
            } else {
                &mut self.over_rate
            };
            *sum = measures::total([&*sum, served]);
        }
        self.worst_share = self
            .worst_share
            .min(measures::worst_share(results.values()));
    }

    /// Returns the ratio of wrongly refused to entitled calls of accounts within their rate.
    pub fn wrongful_ratio(&self) -> f64 {
        self.in_rate.wrongly_refused as f64 / self.in_rate.entitled.max(1) as f64
    }

    /// Returns the ratio of lost to entitled calls of all accounts.
    pub fn lost_ratio(&self) -> f64 {
        let all = measures::total([&self.in_rate, &self.over_rate]);
        all.lost_calls as f64 / all.entitled.max(1) as f64
    }

    /// Prints the totals.
    pub fn print(&self, name: &str) {
        println!("{name}, within the rate: {:?}", self.in_rate);
        println!("{name}, over the rate: {:?}", self.over_rate);
        println!("{name}, worst share: {:.4}", self.worst_share);
    }
}
