//! Shares the places of upstreams between VMs that know each other's loads too late.

use super::super::Tick;

/// Largest fleet in which VMs may all choose the upstream with the least load.
const MAX_SMALL_FLEET_VMS: u64 = 16;

/// Returns whether so many VMs place calls that they must not all choose the same upstream.
pub(super) fn is_large_fleet(tick: &Tick<'_>) -> bool {
    tick.tables.peering.known_vms > MAX_SMALL_FLEET_VMS
}
