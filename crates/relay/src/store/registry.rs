//! VMs register in the store, so that they find each other.

use knapweeddale_core::{DomainName, RecordKeeper, RegisteredVm, VmName};
use knapweeddale_store::{Object, ObjectApi, StoreError};
use serde::{Deserialize, Serialize};

/// The kind of the objects in which VMs register.
const PREFIX: &str = "knapweeddale-vms/";

/// What a VM does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// It relays calls.
    Entry,
    /// It keeps charge records.
    Storage,
}

/// The registration of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Registration {
    /// The name.
    pub vm: String,
    /// The address at which other VMs reach it.
    pub address: String,
    /// What it does.
    pub role: Role,
    /// Its failure domain.
    pub failure_domain: String,
}

impl Registration {
    /// Returns the form of the core.
    pub fn into_vm(self) -> RegisteredVm {
        RegisteredVm {
            vm: VmName::from(self.vm),
            address: self.address,
        }
    }

    /// Returns the form of the core of a VM with a disk.
    pub fn into_keeper(self) -> RecordKeeper {
        RecordKeeper {
            vm: VmName::from(self.vm),
            address: self.address,
            failure_domain: DomainName::from(self.failure_domain),
        }
    }

    fn key(&self) -> String {
        format!("{PREFIX}{}", self.vm)
    }
}

/// Registers a VM if it is not registered as it is, and returns all registered VMs.
///
/// Of two VMs that register at the same time, at least the later one has to see the other, unless
/// both learn of each other from VMs that they know already.
pub(crate) async fn register<S: ObjectApi>(
    store: &S,
    me: &Registration,
    knows_others: bool,
) -> Result<Vec<Registration>, StoreError> {
    let key = me.key();
    let entries = store.entries(PREFIX).await?;
    let mut registered = decode(&entries);
    if registered.contains(me) {
        return Ok(registered);
    }
    let mine = entries.iter().find(|(name, _)| *name == key);
    let version = mine.map_or(0, |(_, object)| object.version);
    let value = serde_json::to_vec(me).map_err(|error| StoreError::Unavailable {
        reason: format!("registration cannot be written: {error}"),
    })?;
    match store.put(&key, value, version).await {
        // An earlier write whose answer was lost has registered this VM.
        Ok(_) | Err(StoreError::Conflict { .. }) => {}
        Err(error) => return Err(error),
    }
    if !knows_others {
        let entries = store.entries(PREFIX).await?;
        return Ok(decode(&entries));
    }
    registered.retain(|row| row.vm != me.vm);
    registered.push(me.clone());
    Ok(registered)
}

/// Decodes registrations; one that cannot be read is left out.
fn decode(entries: &[(String, Object)]) -> Vec<Registration> {
    let decoded = entries.iter().filter_map(|(name, object)| {
        let row = serde_json::from_slice(&object.value);
        row.inspect_err(|error| tracing::warn!(name, "source: registration ignored ({error})"))
            .ok()
    });
    decoded.collect()
}

/// Returns the addresses of VMs with a disk, those in the given failure domain first.
pub(crate) fn list_keepers(keepers: &[RecordKeeper], nearest: &DomainName) -> Vec<String> {
    let mut keepers: Vec<&RecordKeeper> = keepers.iter().collect();
    keepers.sort_by_key(|row| (row.failure_domain != *nearest, row.vm.clone()));
    keepers.into_iter().map(|row| row.address.clone()).collect()
}
