//! Client accounts and their keys.

use std::collections::VecDeque;

use super::Bucket;
use crate::config::AccountConfig;
use crate::ids::{AccountName, CallId, Secret256};

/// A client account.
#[derive(Debug)]
pub struct Account {
    /// Its published limits.
    pub config: AccountConfig,
    /// What this VM may admit.
    pub bucket: Bucket,
    /// Calls that wait for the rate, first come first served.
    pub waiting: VecDeque<CallId>,
}

/// A caller's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The account that it belongs to.
    pub account: AccountName,
    /// The digest of the whole key.
    pub sha256: Secret256,
    /// Whether it has been withdrawn.
    pub withdrawn: bool,
}
