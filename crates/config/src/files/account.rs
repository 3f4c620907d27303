//! Account files (`*.account.yaml`).

use knapweeddale_core::{AccountConfig, AccountName, KeyConfig, KeyId, Secret256};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ConfigError;

/// A client account with its limits and keys, as in `*.account.yaml`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccountFile {
    /// Name of the account, unique in the fleet.
    pub account: String,
    /// Calls per second over all VMs, rounded to thousandths.
    pub rate_calls_per_s: f64,
    /// Maximum burst over all VMs, in calls.
    pub burst_calls: u64,
    /// Weight of the account in fair sharing of upstreams, in percent.
    #[serde(default = "default_weight_percent")]
    pub weight_percent: u32,
    /// Maximum number of tokens per program.
    #[serde(default = "default_program_tokens")]
    pub program_tokens: u64,
    /// Maximum number of turns per program.
    #[serde(default = "default_program_turns")]
    pub program_turns: u32,
    /// Maximum duration of a program, in seconds.
    #[serde(default = "default_program_wall_s")]
    pub program_wall_s: u64,
    /// Keys that authenticate calls of the account.
    #[serde(default)]
    pub keys: Vec<KeyFile>,
}

/// A caller's key; only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    /// Public part of the key, which identifies it.
    pub id: String,
    /// SHA-256 digest of the whole key, as 64 hexadecimal digits.
    pub sha256: String,
    /// Whether the key is withdrawn and no longer accepted.
    #[serde(default)]
    pub withdrawn: bool,
}

fn default_weight_percent() -> u32 {
    100
}

fn default_program_tokens() -> u64 {
    1_000_000
}

fn default_program_turns() -> u32 {
    130
}

fn default_program_wall_s() -> u64 {
    3_600
}

impl AccountFile {
    /// Parses the text of an account file; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns an error with the line of the first unknown, missing or mistyped field.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        serde_norway::from_str(text).map_err(|error| ConfigError::from_yaml(file, &error))
    }

    /// Converts the account to the core's configuration, without keys whose digest is malformed.
    pub(crate) fn to_core(&self) -> AccountConfig {
        AccountConfig::builder()
            .name(AccountName::from(self.account.as_str()))
            .rate_mcalls_per_s(self.rate_mcalls_per_s())
            .burst_calls(self.burst_calls)
            .weight_percent(self.weight_percent)
            .program_tokens(self.program_tokens)
            .program_turns(self.program_turns)
            .program_wall_ms(self.program_wall_s.saturating_mul(1_000))
            .keys(self.keys.iter().filter_map(KeyFile::to_core).collect())
            .build()
    }

    /// Returns the rate in thousandths of a call per second.
    pub(crate) fn rate_mcalls_per_s(&self) -> u64 {
        (self.rate_calls_per_s * 1_000.0).round() as u64
    }
}

impl KeyFile {
    /// Decodes the digest; `None` if it is not 64 hexadecimal digits.
    pub(crate) fn digest(&self) -> Option<[u8; 32]> {
        let text = self.sha256.as_bytes();
        if text.len() != 64 {
            return None;
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(text.chunks(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(digest)
    }

    /// Converts the key to the core's configuration; `None` if its digest is malformed.
    fn to_core(&self) -> Option<KeyConfig> {
        Some(KeyConfig {
            id: KeyId::from(self.id.as_str()),
            sha256: Secret256(self.digest()?),
            withdrawn: self.withdrawn,
        })
    }
}
