//! Registration of VMs in the store, through which they find each other.

use std::sync::Arc;

use knapweeddale_core::input::is_host_address;
use knapweeddale_core::{DomainName, RegisteredVm, StorageVm, VmName};
use knapweeddale_store::{Object, ObjectApi, StoreError};
use serde::{Deserialize, Serialize};

/// Limit for the length of a name, which other VMs send in datagrams.
const MAX_NAME_BYTES: usize = 256;

/// Key prefix of the registrations.
const PREFIX: &str = "knapweeddale-vms/";

/// The role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// Relays calls.
    Entry,
    /// Stores charge records.
    Storage,
}

/// The stored registration of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Registration {
    /// Name of the VM.
    pub vm: String,
    /// Address at which other VMs reach it, as `ip:port`.
    pub address: String,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub failure_domain: String,
}

impl Registration {
    /// Converts the registration of a VM that relays calls to the core's type.
    pub fn into_vm(self) -> RegisteredVm {
        RegisteredVm {
            vm: VmName::from(self.vm),
            address: self.address,
        }
    }

    /// Converts the registration of a VM with a disk to the core's type.
    pub fn into_keeper(self) -> StorageVm {
        StorageVm {
            vm: VmName::from(self.vm),
            address: self.address,
            failure_domain: DomainName::from(self.failure_domain),
        }
    }

    fn key(&self) -> String {
        format!("{PREFIX}{}", self.vm)
    }

    /// Returns whether the VM has a usable name and address.
    fn is_usable(&self) -> bool {
        let is_named = (1..=MAX_NAME_BYTES).contains(&self.vm.len());
        is_named && self.failure_domain.len() <= MAX_NAME_BYTES && is_host_address(&self.address)
    }
}

/// Registers a VM unless its registration is up to date, and returns all registered VMs.
///
/// If two VMs register at the same time, at least the later one has to see the other, so all are
/// read again after the write. This is skipped if `knows_others` is set: then the VMs learn of
/// each other from VMs that they already know.
pub(crate) async fn register<S: ObjectApi>(
    store: &S,
    own: &Registration,
    knows_others: bool,
) -> Result<Vec<Registration>, StoreError> {
    let key = own.key();
    let entries = store.get_by_prefix(PREFIX).await?;
    let mut registered = decode_registrations(&entries);
    if registered.contains(own) {
        return Ok(registered);
    }
    let current = entries.iter().find(|(name, _)| *name == key);
    let version = current.map_or(0, |(_, object)| object.version);
    let value = serde_json::to_vec(own).map_err(|error| StoreError::Unavailable {
        reason: format!("registration cannot be written: {error}"),
    })?;
    match store.put(&key, value, version).await {
        // A conflict means that an earlier write, whose answer was lost, has registered this VM.
        Ok(_) | Err(StoreError::Conflict { .. }) => {}
        Err(error) => return Err(error),
    }
    if !knows_others {
        let entries = store.get_by_prefix(PREFIX).await?;
        return Ok(decode_registrations(&entries));
    }
    registered.retain(|row| row.vm != own.vm);
    registered.push(own.clone());
    Ok(registered)
}

/// Decodes registrations, skipping invalid ones.
fn decode_registrations(entries: &[(String, Object)]) -> Vec<Registration> {
    let decoded = entries.iter().filter_map(|(name, object)| {
        let row: Option<Registration> = serde_json::from_slice(&object.value)
            .inspect_err(|error| tracing::warn!(name, "source: registration ignored ({error})"))
            .ok();
        row.filter(|row| {
            let is_usable = row.is_usable();
            if !is_usable {
                tracing::warn!(
                    name,
                    "source: registration without a usable address ignored"
                );
            }
            is_usable
        })
    });
    decoded.collect()
}

/// Returns the addresses of VMs with a disk, those in the given failure domain first.
pub(crate) fn keeper_addresses(keepers: &[StorageVm], nearest: &DomainName) -> Vec<Arc<str>> {
    let mut keepers: Vec<&StorageVm> = keepers.iter().collect();
    keepers.sort_by_key(|row| (row.failure_domain != *nearest, row.vm.clone()));
    let addresses = keepers.into_iter();
    addresses
        .map(|row| Arc::from(row.address.as_str()))
        .collect()
}
