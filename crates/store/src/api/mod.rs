//! Trait for the platform's object API and its data types.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::StoreError;

/// A stored object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version of the object; each write increases it.
    pub version: u64,
    /// Value of the object, at most 1 MB.
    pub value: Vec<u8>,
}

/// The key and version of an object in a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectMeta {
    /// Key of the object.
    pub key: String,
    /// Version at the time of the list.
    pub version: u64,
}

/// A VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: String,
    /// Address of the VM, as `ip:port`.
    pub address: String,
    /// Whether the platform is removing the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's object API.
///
/// Each call counts towards the platform's limits; a waiting watch counts as one call.
pub trait ObjectApi: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there is no response.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Writes an object if it has the expected version, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the version differs. After
    /// [`StoreError::Unavailable`] the write may have taken effect.
    fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected_version: u64,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Lists the keys and versions of the objects whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there is no response.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<ObjectMeta>, StoreError>> + Send;

    /// Reads the objects whose key starts with `prefix`, with their keys.
    ///
    /// Objects that are deleted between the list and the read are left out.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there is no response.
    fn get_by_prefix(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(String, Object)>, StoreError>> + Send {
        async move {
            let mut entries = Vec::new();
            for meta in self.list(prefix).await? {
                if let Some(object) = self.get(&meta.key).await? {
                    entries.push((meta.key, object));
                }
            }
            Ok(entries)
        }
    }

    /// Waits until the version of an object exceeds `after_version`; `None` if that does not
    /// happen within `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there is no response, not even
    /// at the end of the wait: a watch without a response must not look like an unchanged object.
    fn watch(
        &self,
        key: &str,
        after_version: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Returns the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there is no response.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, StoreError>> + Send;
}
