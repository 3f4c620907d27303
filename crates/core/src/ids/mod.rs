//! Names, numbers and digests that identify the entities in the tables.

mod digest;
#[cfg(feature = "serde")]
mod hex;
mod name;
mod number;
mod origin;
mod program;

pub use digest::{ContentDigest, HistoryDigest, Secret256};
pub use name::{
    AccountName, DomainName, KeyId, ModelName, ProgramName, RegionName, ServiceName,
    SoftwareVersion, TurnId, UpstreamName, VmName,
};
pub use number::{AttemptId, CallId, Epoch, FencingToken, Incarnation, Revision};
pub use origin::StreamOrigin;
pub use program::{PoolKey, ProgramKey};
