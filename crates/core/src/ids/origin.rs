//! The origin of a stream: what an upstream must have in common with the one that began it.

use derive_more::Display;

use super::{ServiceName, SoftwareVersion};

/// The service and the software version that began a stream.
///
/// The output of two versions does not fit together, so that a stream may only go on at upstreams
/// of its origin. Upstreams that state no version are taken for one version, which differs from
/// all stated ones.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[display("{service}@{}", version.as_ref().map_or("-", |version| version.as_str()))]
pub struct StreamOrigin {
    /// The service of the upstream.
    pub service: ServiceName,
    /// The version of the upstream's software; `None` if it states none.
    pub version: Option<SoftwareVersion>,
}
