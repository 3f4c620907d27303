//! Settings of one VM.

mod reference;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use knapweeddale_core::config::PolicyPreset;
use knapweeddale_core::{CoreSettings, DomainName, Incarnation, VmName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ConfigError, Preset};

/// Settings of one VM, read from a YAML file.
///
/// Unknown fields are errors. The default times are those of section 4.5 of `docs/design.md`.
///
/// # Examples
///
/// ```
/// use knapweeddale_config::Settings;
///
/// let settings = Settings::parse(
///     "vm.yaml",
///     "vm: vm-1
/// failure_domain: north
/// listen: 127.0.0.1:8080
/// peer_listen: 127.0.0.1:8081
/// store: http://127.0.0.1:8090
/// secret_file: fleet.secret
/// ",
/// )?;
/// assert_eq!(settings.lease_ms, 3_000);
/// # Ok::<(), knapweeddale_config::ConfigError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM, unique over the fleet.
    pub vm: String,
    /// The failure domain of this VM.
    pub failure_domain: String,
    /// Where callers are served, as `ip:port`.
    pub listen: SocketAddr,
    /// Where other VMs reach this one, as `ip:port`.
    pub peer_listen: SocketAddr,
    /// The platform's object API.
    pub store: String,
    /// File with the secret shared by all VMs; signs continuations and peer messages.
    pub secret_file: PathBuf,
    /// Peers to ask for view and configuration when the store is down at start.
    #[serde(default)]
    pub known_peers: Vec<SocketAddr>,
    /// Folder for charge records while the store is down; memory only when absent.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Which measure placement favours.
    #[serde(default = "default_preset")]
    pub preset: Preset,
    /// Form of the log.
    #[serde(default)]
    pub log_format: LogFormat,
    /// What is logged, as in `info,knapweeddale_entry=debug`.
    #[serde(default = "default_log_filter")]
    pub log_filter: String,
    /// Largest body of a request.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Calls and messages that may wait for the control thread.
    #[serde(default = "default_input_queue_len")]
    pub input_queue_len: usize,
    /// Chunks of a response that may wait for the caller.
    #[serde(default = "default_response_queue_len")]
    pub response_queue_len: usize,
    /// Time between readiness turning false and the end of new calls.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// Longest time for streams to finish when the VM stops.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Interval between heartbeats.
    #[serde(default = "defaults::heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Silence after which a VM is suspected to have failed.
    #[serde(default = "defaults::suspect_ms")]
    pub suspect_ms: u64,
    /// Interval between touches of the view by a writer.
    #[serde(default = "defaults::touch_ms")]
    pub touch_ms: u64,
    /// How long a confirmation of the view lets a VM act as owner or home.
    #[serde(default = "defaults::lease_ms")]
    pub lease_ms: u64,
    /// How long a share of an account's rate is granted for.
    #[serde(default = "defaults::grant_ms")]
    pub grant_ms: u64,
    /// Longest wait of a call for its account's rate.
    #[serde(default = "defaults::rate_wait_ms")]
    pub rate_wait_ms: u64,
    /// Longest wait of a call for the turn before it.
    #[serde(default = "defaults::turn_wait_ms")]
    pub turn_wait_ms: u64,
    /// How long a program without calls is kept.
    #[serde(default = "defaults::program_lease_ms")]
    pub program_lease_ms: u64,
    /// How long the response to a call is kept for a resend.
    #[serde(default = "defaults::answer_keep_ms")]
    pub answer_keep_ms: u64,
    /// Longest wait for the first token of a response.
    #[serde(default = "defaults::first_token_ms")]
    pub first_token_ms: u64,
    /// Longest pause between two tokens of a response.
    #[serde(default = "defaults::token_gap_ms")]
    pub token_gap_ms: u64,
    /// Longest wait of a call for an upstream.
    #[serde(default = "defaults::queue_ms")]
    pub queue_ms: u64,
    /// Longest time that an order to an engine is in flight.
    #[serde(default = "defaults::order_ms")]
    pub order_ms: u64,
    /// How long a request that crashes upstreams is refused.
    #[serde(default = "defaults::quarantine_ms")]
    pub quarantine_ms: u64,
}

/// Format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text, one record per line.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

fn default_preset() -> Preset {
    Preset::FairShare
}

fn default_log_filter() -> String {
    "info".to_owned()
}

fn default_max_body_bytes() -> u64 {
    2_000_000
}

fn default_input_queue_len() -> usize {
    8_192
}

fn default_response_queue_len() -> usize {
    64
}

fn default_drain_notice_ms() -> u64 {
    5_000
}

fn default_drain_ms() -> u64 {
    60_000
}

/// Default times; the test `defaults_equal_core` compares them with those of `CoreSettings`.
mod defaults {
    macro_rules! defaults {
        ($($name:ident = $value:literal),+ $(,)?) => {
            $(pub(super) fn $name() -> u64 { $value })+
        };
    }

    defaults! {
        heartbeat_ms = 500,
        suspect_ms = 2_000,
        touch_ms = 1_000,
        lease_ms = 3_000,
        grant_ms = 3_000,
        rate_wait_ms = 2_000,
        turn_wait_ms = 2_000,
        program_lease_ms = 600_000,
        answer_keep_ms = 120_000,
        first_token_ms = 30_000,
        token_gap_ms = 10_000,
        queue_ms = 30_000,
        order_ms = 30_000,
        quarantine_ms = 600_000,
    }
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, in the latter case with the line.
    pub fn load(file: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read_to_string(file).map_err(|error| ConfigError::from_io(file, error))?;
        Self::parse(&file.to_string_lossy(), &text)
    }

    /// Parses the text of a settings file; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns an error with the line of the first unknown, missing or mistyped field.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        serde_norway::from_str(text).map_err(|error| ConfigError::from_yaml(file, &error))
    }

    /// Formats the settings as YAML, with all defaults filled in.
    pub fn to_yaml(&self) -> String {
        serde_norway::to_string(self).unwrap_or_default()
    }

    /// Converts the settings to those of the core.
    ///
    /// `incarnation` identifies this start of the process.
    pub fn to_core(&self, incarnation: Incarnation) -> CoreSettings {
        CoreSettings::builder()
            .vm(VmName::from(self.vm.as_str()))
            .incarnation(incarnation)
            .failure_domain(DomainName::from(self.failure_domain.as_str()))
            .address(self.peer_listen.to_string())
            .preset(match self.preset {
                Preset::FairShare => PolicyPreset::FairShare,
                Preset::Latency => PolicyPreset::Latency,
            })
            .heartbeat_ms(self.heartbeat_ms)
            .suspect_ms(self.suspect_ms)
            .touch_ms(self.touch_ms)
            .lease_ms(self.lease_ms)
            .grant_ms(self.grant_ms)
            .rate_wait_ms(self.rate_wait_ms)
            .turn_wait_ms(self.turn_wait_ms)
            .program_lease_ms(self.program_lease_ms)
            .answer_keep_ms(self.answer_keep_ms)
            .first_token_ms(self.first_token_ms)
            .token_gap_ms(self.token_gap_ms)
            .queue_ms(self.queue_ms)
            .order_ms(self.order_ms)
            .quarantine_ms(self.quarantine_ms)
            .build()
    }
}
