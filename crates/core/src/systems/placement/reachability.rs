//! Refuses calls at once while this VM reaches none of the upstreams that may run them.

use super::super::{Tick, links};
use super::{origins, owner};
use crate::ids::{AttemptId, PoolKey};
use crate::output::RefusalKind;

/// Refuses the waiting calls of all pools of which no upstream can be reached.
pub(crate) fn refuse_unreachable(tick: &mut Tick<'_>) {
    let pools = tick.tables.pools.iter();
    let unreachable: Vec<PoolKey> = pools
        .filter(|(key, row)| {
            row.iter_waiting().next().is_some() && links::is_unreachable(tick, key)
        })
        .map(|(key, _)| key.clone())
        .collect();
    for pool in &unreachable {
        refuse_all(tick, pool);
    }
    // The proxies of calls with homes are fewer than those of others.
    let pools = tick.tables.pools.iter();
    let keys: Vec<PoolKey> = pools.map(|(key, _)| key.clone()).collect();
    for pool in &keys {
        origins::refuse_stranded(tick, pool);
    }
}

fn refuse_all(tick: &mut Tick<'_>, pool: &PoolKey) {
    let row = tick.tables.pools.get(pool);
    let waiting = row.into_iter().flat_map(|row| row.iter_waiting());
    let attempts: Vec<AttemptId> = waiting.map(|waiting| waiting.place.attempt).collect();
    for attempt in attempts {
        let row = tick.tables.pools.get_mut(pool);
        if let Some(waiting) = row.and_then(|row| row.remove_waiting(attempt)) {
            owner::refuse(tick, waiting, RefusalKind::NoUpstream);
        }
    }
}
