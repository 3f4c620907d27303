//! Client accounts and their keys.

use super::{NCALLS_PER_CALL, RateLimit};
use crate::config::AccountConfig;
use crate::ids::{AccountName, Secret256};

/// A client account that calls are charged to.
#[derive(Debug)]
pub struct Account {
    /// Its published configuration.
    pub config: AccountConfig,
}

impl Account {
    /// Returns the rate limit of the account over all VMs together.
    pub fn rate_limit(&self) -> RateLimit {
        RateLimit {
            rate_mcalls_per_s: self.config.rate_mcalls_per_s,
            burst_ncalls: self.config.burst_calls * NCALLS_PER_CALL,
        }
    }
}

/// An API key of an account; only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The account that calls with this key are charged to.
    pub account: AccountName,
    /// SHA-256 digest of the whole key.
    pub sha256: Secret256,
    /// Whether the key has been withdrawn, so that calls with it are refused.
    pub withdrawn: bool,
}
