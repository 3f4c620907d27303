//! The platform's object API as a trait.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::StoreError;

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version, which grows with each write.
    pub version: u64,
    /// The value, at most one megabyte.
    pub value: Vec<u8>,
}

/// The key and version of an object in a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectMeta {
    /// The key.
    pub key: String,
    /// The version.
    pub version: u64,
}

/// One VM in the platform's list, which may lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name.
    pub vm: String,
    /// The address as `ip:port`.
    pub address: String,
    /// Whether the VM is being removed.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's object API.
///
/// Each call counts against the platform's limits, a waiting watch as one.
pub trait ObjectApi: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there was no answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Writes an object that has the expected version and returns the new version.
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

    /// Lists the objects whose key starts with a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there was no answer.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<ObjectMeta>, StoreError>> + Send;

    /// Reads the objects whose key starts with a prefix.
    ///
    /// Objects that are removed in the meantime may be missing.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there was no answer.
    fn entries(
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

    /// Waits until an object is newer than a version; `None` after `wait` without a change.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if there was no answer, also not to
    /// the end of the wait: a silent watch must not look like an unchanged object.
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
    /// Returns [`StoreError::Unavailable`] if there was no answer.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, StoreError>> + Send;
}
