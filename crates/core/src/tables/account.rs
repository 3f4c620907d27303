//! Client accounts and their keys.

use super::{NCALLS_PER_CALL, RateLimit};
use crate::config::AccountConfig;
use crate::ids::{AccountName, Secret256};

/// A client account.
#[derive(Debug)]
pub struct Account {
    /// Its published limits.
    pub config: AccountConfig,
}

impl Account {
    /// Returns its rate and burst over all VMs.
    pub fn limits(&self) -> RateLimit {
        RateLimit {
            rate_mcalls_per_s: self.config.rate_mcalls_per_s,
            burst_ncalls: self.config.burst_calls * NCALLS_PER_CALL,
        }
    }
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
