//! Messages about the published configuration.

use std::sync::Arc;

use crate::config::FleetConfig;
use crate::ids::Revision;

/// A message about the published configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ConfigMessage {
    /// Requests a configuration newer than the sender's.
    ConfigRequest {
        /// The revision that the sender has in force.
        in_force: Revision,
    },
    /// Sends a configuration.
    ConfigIs(Arc<FleetConfig>),
}
