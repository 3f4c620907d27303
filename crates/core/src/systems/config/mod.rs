//! Adopts published configurations.
//!
//! [`upstream_list`] adopts the list of upstreams.

mod upstream_list;

pub(crate) use upstream_list::{adopt_peer_list, adopt_store_list, mark_list_again};

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::{Sender, Tick, outcomes};
use crate::config::{
    AccountConfig, Backend, Coordination, FleetConfig, HostRoute, RouteKind, ServiceConfig,
    ServiceKind,
};
use crate::ids::{PoolKey, Revision, UpstreamName, VmName};
use crate::message::ConfigMessage;
use crate::output::Decision;
use crate::tables::{Account, Key, Pool, SeenVersions, Table, Upstream};

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub messages: Vec<(Sender, ConfigMessage)>,
    /// Published configurations, which may be older than the one in force.
    pub offered: Vec<Arc<FleetConfig>>,
    /// Revisions that other VMs have in force.
    pub reported_revisions: Vec<(VmName, Revision)>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.offered.is_empty() && self.reported_revisions.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.config);
    for (sender, message) in work.messages {
        handle_message(tick, &sender, message);
    }
    for fleet in work.offered {
        adopt(tick, fleet);
    }
    for (vm, revision) in work.reported_revisions {
        request_newer(tick, &vm, revision);
    }
}

/// Requests the configuration of another VM if it is newer.
///
/// An unanswered request is repeated to the next VM that reports the revision.
fn request_newer(tick: &mut Tick<'_>, vm: &VmName, revision: Revision) {
    let now_us = tick.now_us;
    let retry_us = tick.settings.heartbeat_ms * 1_000 / 2;
    let tables = &mut *tick.tables;
    tables.newest_revision = tables.newest_revision.max(revision);
    let in_force = tables.fleet.revision;
    if revision <= in_force {
        return;
    }
    let requested = &mut tables.config_requested;
    if requested.is_some_and(|(last, at_us)| last >= revision && now_us < at_us + retry_us) {
        return;
    }
    *requested = Some((revision, now_us));
    tick.send(vm, ConfigMessage::ConfigRequest { in_force });
}

/// Handles a message from another VM.
fn handle_message(tick: &mut Tick<'_>, sender: &Sender, message: ConfigMessage) {
    match message {
        ConfigMessage::ConfigRequest { in_force } => {
            if tick.tables.fleet.revision > in_force {
                let fleet = tick.tables.fleet.clone();
                tick.send(&sender.vm, ConfigMessage::ConfigIs(fleet));
            }
        }
        ConfigMessage::ConfigIs(fleet) => adopt(tick, fleet),
    }
}

/// Puts a configuration that another VM has sent in force if it is newer.
///
/// A VM of an earlier build leaves out the fields that it does not know, such as the homes of calls.
/// This VM then reads the configuration itself.
pub(crate) fn adopt_peer_config(
    tick: &mut Tick<'_>,
    fleet: Arc<FleetConfig>,
    is_older_build: bool,
) {
    let is_newer = fleet.revision > tick.tables.fleet.revision;
    if is_older_build && !is_newer {
        return;
    }
    adopt(tick, fleet);
    if is_older_build {
        tick.tables.source.is_config_partial = true;
        tick.work.source.is_due = true;
    }
}

/// Puts a configuration in force if it is newer, or completes the one that is.
pub(crate) fn adopt(tick: &mut Tick<'_>, fleet: Arc<FleetConfig>) {
    let in_force = tick.tables.fleet.revision;
    let was_partial = tick.tables.source.is_config_partial;
    let completes = was_partial && fleet.revision == in_force;
    if fleet.revision <= in_force && !completes {
        if fleet.revision < in_force {
            tick.log(Decision::ConfigIgnored {
                offered: fleet.revision,
                in_force,
            });
        }
        return;
    }
    tick.tables.source.is_config_partial = false;
    replace_accounts(tick, &fleet.accounts);
    if tick.settings.coordination == Coordination::Peers {
        replace_services(
            tick,
            &upstream_list::with_listed_upstreams(tick, &fleet.services),
        );
        replace_host_routes(tick, &fleet.host_routes);
        tick.work.peers.announce = true;
    } else {
        replace_services(tick, &fleet.services);
    }
    tick.log(Decision::ConfigInForce {
        revision: fleet.revision,
    });
    let tables = &mut *tick.tables;
    tables.newest_revision = tables.newest_revision.max(fleet.revision);
    tables.fleet = fleet;
    tick.work.membership.announce = tick.settings.coordination == Coordination::Owners;
}

/// Replaces the host routes, with the longest path prefix first.
fn replace_host_routes(tick: &mut Tick<'_>, routes: &[HostRoute]) {
    record_route_changes(tick, routes);
    let hosts = &mut tick.tables.hosts;
    *hosts = Table::default();
    for route in routes {
        let rows = hosts.get_or_insert_with(&route.host, Vec::new);
        rows.push(Arc::new(route.clone()));
    }
    for (_, rows) in hosts.iter_mut() {
        rows.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
}

/// Where the requests of a host go, by the prefix of their path.
type Destinations<'a> = BTreeMap<&'a str, (RouteKind, &'a [Backend])>;

/// Records which routes may receive requests that went to other services before.
///
/// Any change of the routes of a host can move a path from one of them to another.
fn record_route_changes(tick: &mut Tick<'_>, routes: &[HostRoute]) {
    let tables = &mut *tick.tables;
    let (previous, next) = (
        destinations(&tables.fleet.host_routes),
        destinations(routes),
    );
    let mut changes = Table::default();
    for route in routes {
        let is_same = previous.get(&*route.host) == next.get(&*route.host);
        let changed_us = tables.route_changes.get(&route.name).copied();
        let changed_us = changed_us.filter(|_| is_same).unwrap_or(tick.now_us);
        changes.insert(Arc::clone(&route.name), changed_us);
    }
    tables.route_changes = changes;
}

/// Returns where the requests of each host go.
fn destinations(routes: &[HostRoute]) -> HashMap<&str, Destinations<'_>> {
    let mut hosts: HashMap<&str, Destinations<'_>> = HashMap::new();
    for route in routes {
        let rows = hosts.entry(&route.host).or_default();
        rows.insert(&route.path_prefix, (route.kind, route.backends.as_slice()));
    }
    hosts
}

/// Replaces accounts and keys; the `rates` system then updates shares and loans.
fn replace_accounts(tick: &mut Tick<'_>, accounts: &[AccountConfig]) {
    let tables = &mut *tick.tables;
    tables.keys = Table::default();
    for config in accounts {
        for key in &config.keys {
            let row = Key {
                account: config.name.clone(),
                sha256: key.sha256,
                withdrawn: key.withdrawn,
            };
            tables.keys.insert(key.id.clone(), row);
        }
        let account = Account {
            config: config.clone(),
        };
        tables.accounts.insert(config.name.clone(), account);
        tick.work.rates.accounts.push(config.name.clone());
    }
}

/// Replaces services, upstreams and pools; remaining rows keep their state.
///
/// Upstreams that are no longer listed are removed, which also cancels pending releases of
/// their memory.
fn replace_services(tick: &mut Tick<'_>, services: &[ServiceConfig]) {
    let leaving: HashSet<UpstreamName> = services
        .iter()
        .flat_map(|service| &service.upstreams)
        .filter(|upstream| outcomes::has_given_notice(tick, upstream))
        .map(|upstream| upstream.name.clone())
        .collect();
    let tables = &mut *tick.tables;
    tables.services = Table::default();
    tables.models = Table::default();
    for (_, pool) in tables.pools.iter_mut() {
        pool.upstreams.clear();
    }
    let listed: HashSet<_> = services
        .iter()
        .flat_map(|service| service.upstreams.iter().map(|upstream| &upstream.name))
        .collect();
    tables.upstreams.retain(|name, _| listed.contains(name));
    for service in services {
        for upstream in &service.upstreams {
            let row = tables
                .upstreams
                .get_or_insert_with(&upstream.name, || Upstream::new(upstream.clone()));
            if row.config.started_unix_ms != upstream.started_unix_ms {
                row.reset_after_restart(tick.now_us);
            }
            row.configure(upstream.clone());
            row.cold_mcalls_per_s = service.cold_mcalls_per_s;
            row.has_given_notice = leaving.contains(&upstream.name);
        }
        for pool in pools_of(service) {
            let upstreams = upstreams_of(&tables.upstreams, service, &pool);
            tables
                .pools
                .get_or_insert_with(&pool, Pool::default)
                .upstreams = upstreams;
            if let Some(model) = pool.model {
                tables.models.insert(model, service.name.clone());
            }
        }
        let versions = service.upstreams.iter().map(|row| &row.software_version);
        tables
            .seen_versions
            .get_or_insert_with(&service.name, SeenVersions::default)
            .record(versions, tick.now_us);
        tables
            .services
            .insert(service.name.clone(), service.clone());
    }
    let services = &tables.services;
    tables
        .seen_versions
        .retain(|name, _| services.contains_key(name));
    tick.work.placement.config_changed = true;
    tick.work.orders.config_changed = true;
}

/// Recomputes the pools of an upstream's service after it loaded or unloaded a model.
pub(crate) fn refresh_pools(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let tables = &mut *tick.tables;
    let mut services = tables.services.iter();
    let service = services.find(|(_, row)| row.upstreams.iter().any(|u| u.name == *upstream));
    let Some((_, service)) = service else {
        return;
    };
    for key in pools_of(service) {
        let upstreams = upstreams_of(&tables.upstreams, service, &key);
        if let Some(pool) = tables.pools.get_mut(&key) {
            pool.upstreams = upstreams;
        }
    }
    tick.work.placement.config_changed = true;
}

/// Returns the pools of a service: one for each model, or one for a plain service.
fn pools_of(service: &ServiceConfig) -> Vec<PoolKey> {
    let models = match &service.kind {
        ServiceKind::Engine(engine) => engine.models.iter().cloned().map(Some).collect(),
        ServiceKind::Plain => vec![None],
    };
    models
        .into_iter()
        .map(|model| PoolKey {
            service: service.name.clone(),
            model,
        })
        .collect()
}

/// Returns the upstreams of a service that have loaded the pool's model.
///
/// The pool of a plain service has no model and contains all upstreams.
fn upstreams_of(
    upstreams: &Table<UpstreamName, Upstream>,
    service: &ServiceConfig,
    pool: &PoolKey,
) -> Vec<UpstreamName> {
    service
        .upstreams
        .iter()
        .filter(|upstream| match &pool.model {
            Some(model) => upstreams
                .get(&upstream.name)
                .is_some_and(|row| row.can_run_model(model)),
            None => true,
        })
        .map(|upstream| upstream.name.clone())
        .collect()
}
