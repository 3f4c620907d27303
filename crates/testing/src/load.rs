//! Random arrivals of calls of client accounts.

use knapweeddale_core::{
    AccountConfig, AccountName, CallId, EngineConfig, FleetConfig, Incarnation, KeyConfig, KeyId,
    ModelName, NewCall, PresentedKey, Revision, Secret256, ServiceConfig, ServiceKind, ServiceName,
    Target, UpstreamConfig, UpstreamName,
};

use crate::Random;
use crate::mesh::Mesh;

/// Call rate of one account and its distribution over the VMs.
#[derive(Debug, Clone)]
pub struct Load {
    /// Account that sends the calls.
    pub account: AccountName,
    /// Call rate over all VMs, in thousandths of a call per second.
    pub offered_mcalls_per_s: u64,
    /// Relative share of the calls that each VM receives.
    pub weights: Vec<u64>,
}

/// Returns a fleet of accounts (name, rate in calls per second, burst) and one upstream.
///
/// The upstream has capacity for all calls, so that only rate limits refuse calls.
pub fn fleet(accounts: &[(&str, u64, u64)]) -> FleetConfig {
    let model = ModelName::from("small");
    let upstream = UpstreamConfig::builder()
        .name(UpstreamName::from("engine-1"))
        .address("127.0.0.1:1".to_owned())
        .models(vec![model.clone()])
        .max_running_calls(1_000_000)
        .build();
    let service = ServiceConfig::builder()
        .name(ServiceName::from("chat"))
        .kind(ServiceKind::Engine(EngineConfig {
            models: vec![model],
            can_resume: false,
            ..EngineConfig::default()
        }))
        .upstreams(vec![upstream])
        .build();
    let account = |&(name, rate, burst): &(&str, u64, u64)| {
        AccountConfig::builder()
            .name(AccountName::from(name))
            .rate_mcalls_per_s(rate * 1_000)
            .burst_calls(burst)
            .keys(vec![KeyConfig {
                id: KeyId::from(name),
                sha256: Secret256([1; 32]),
                withdrawn: false,
            }])
            .build()
    };
    FleetConfig {
        revision: Revision(1),
        accounts: accounts.iter().map(account).collect(),
        services: vec![service],
        ..FleetConfig::default()
    }
}

/// Returns a short engine call of an account of [`fleet`].
pub fn call(account: &AccountName) -> NewCall {
    NewCall::builder()
        .id(CallId {
            incarnation: Incarnation(0),
            seq: 0,
        })
        .key(PresentedKey {
            id: KeyId::from(account.as_str()),
            sha256: Secret256([1; 32]),
        })
        .target(Target::Model(ModelName::from("small")))
        .prompt_tokens(1)
        .max_tokens(1)
        .build()
}

/// Sends calls for `ms` milliseconds with exponentially distributed intervals.
///
/// VMs that are down receive no calls, as behind a load balancer.
pub fn drive(mesh: &mut Mesh, loads: &[Load], random: &mut Random, ms: u64) {
    let end_us = mesh.now_us() + ms * 1_000;
    let mut next_us: Vec<_> = loads
        .iter()
        .map(|load| mesh.now_us() + interval_us(load, random))
        .collect();
    loop {
        let first = (0..loads.len()).min_by_key(|&index| next_us[index]);
        let Some(first) = first.filter(|&index| next_us[index] <= end_us) else {
            break;
        };
        mesh.run_until(next_us[first]);
        if let Some(vm) = choose_vm(mesh, &loads[first], random) {
            mesh.call(vm, call(&loads[first].account));
        }
        next_us[first] += interval_us(&loads[first], random);
    }
    mesh.run_until(end_us);
}

/// Returns a random interval until the next call of an account.
fn interval_us(load: &Load, random: &mut Random) -> u64 {
    let mean_us = 1e9 / load.offered_mcalls_per_s.max(1) as f64;
    random.exponential(mean_us) as u64
}

/// Chooses the running VM that receives a call, at random by weight.
fn choose_vm(mesh: &Mesh, load: &Load, random: &mut Random) -> Option<usize> {
    let is_up = |vm: &usize| mesh.control(*vm).is_some();
    let running: Vec<_> = (0..load.weights.len()).filter(is_up).collect();
    let total: u64 = running.iter().map(|&vm| load.weights[vm]).sum();
    if total == 0 {
        return running.first().copied();
    }
    let mut remaining = random.below(total);
    running.into_iter().find(|&vm| {
        let weight = load.weights[vm];
        let is_chosen = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        is_chosen
    })
}
