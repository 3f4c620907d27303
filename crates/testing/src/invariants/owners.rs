//! Invariants of ownership and configuration.

use std::collections::BTreeMap;

use knapweeddale_core::tables::View;
use knapweeddale_core::{AccountName, Decision, Revision, VmName};

use crate::mesh::{Mesh, Trace, TraceEvent};

/// Checks that at most one VM may act as owner of each account at the current time.
///
/// Tests call this after each step of the mesh. A paused VM counts as an owner until its lease
/// expires by its own clock.
///
/// # Errors
///
/// Returns the account and the VMs that may act for it, with the epochs of their views.
pub fn single_owner(mesh: &Mesh, accounts: &[AccountName]) -> Result<(), String> {
    for account in accounts {
        let owners = owners(mesh, |view| view.account_owner(account));
        if owners.len() > 1 {
            let now_us = mesh.now_us();
            return Err(format!("{owners:?} act for {account} at {now_us} us"));
        }
    }
    Ok(())
}

/// Returns the VMs that may act as the owner that `owner` selects from their view, each with the
/// epoch of its view.
pub fn owners<'a>(
    mesh: &'a Mesh,
    owner: impl Fn(&'a View) -> Option<&'a VmName>,
) -> Vec<(usize, u64)> {
    (0..mesh.len())
        .filter_map(|vm| Some((vm, mesh.control(vm)?)))
        .filter(|(vm, control)| {
            let now_us = mesh.local_us(*vm);
            control
                .tables()
                .may_act_for(control.settings(), now_us, &owner)
        })
        .map(|(vm, control)| (vm, control.tables().view.epoch.0))
        .collect()
}

/// Checks that the configuration revision in force on a VM only grows while its process runs.
///
/// # Errors
///
/// Returns the VM whose revision did not grow, with both revisions.
pub fn config_moves_forward(trace: &Trace) -> Result<(), String> {
    let mut in_force: BTreeMap<VmName, Revision> = BTreeMap::new();
    for (at_us, event) in &trace.events {
        match event {
            TraceEvent::Crashed { vm } => {
                in_force.remove(vm);
            }
            TraceEvent::Decided {
                vm,
                decision: Decision::ConfigInForce { revision },
            } => {
                let before = in_force.insert(vm.clone(), *revision);
                if before.is_some_and(|before| before >= *revision) {
                    return Err(format!(
                        "{vm} went from {before:?} to {revision:?} at {at_us} us"
                    ));
                }
            }
            _ => {}
        }
    }
    Ok(())
}
