//! Keys of programs and pools, composed of names.

use derive_more::Display;

use super::{AccountName, ModelName, ProgramName, ServiceName};

/// Identifies a program by its client account and name.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{account}/{name}")]
pub struct ProgramKey {
    /// The account that the program belongs to.
    pub account: AccountName,
    /// The program's name within the account.
    pub name: ProgramName,
}

impl ProgramKey {
    /// Returns the key of the root program, which holds the budget of the whole tree.
    #[must_use]
    pub fn root(&self) -> Self {
        Self {
            account: self.account.clone(),
            name: self.name.root_name(),
        }
    }
}

/// Identifies a pool: the upstreams of one service and model, which share a queue.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{service}:{}", model.as_ref().map_or("-", |m| m.as_str()))]
pub struct PoolKey {
    /// The service that the upstreams run.
    pub service: ServiceName,
    /// The model; `None` for plain services.
    pub model: Option<ModelName>,
}
