//! Calls and program requests as the front end passes them to the core.

use std::sync::Arc;

use bon::Builder;

use super::RelayedCall;
use crate::ids::{
    CallId, ContentDigest, Epoch, HistoryDigest, Incarnation, KeyId, ModelName, ProgramKey,
    ProgramName, Secret256, ServiceName, VmName,
};

/// A call that arrived at this VM.
///
/// The front end has checked the signatures of continuation and permit, and
/// that the messages hash to the continuation's history digest.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct NewCall {
    /// The call ID, assigned by the front end.
    pub id: CallId,
    /// The caller's key; `None` if the call carried none.
    pub key: Option<PresentedKey>,
    /// What the call asks for.
    pub target: Target,
    /// The program and turn; `None` if the call belongs to no program.
    pub program: Option<ProgramTurn>,
    /// The permit of a non-idempotent request; `None` if the call carried none.
    pub permit: Option<Permit>,
    /// Prompt tokens, as estimated by the front end.
    #[builder(default)]
    pub prompt_tokens: u64,
    /// Maximum number of response tokens.
    #[builder(default)]
    pub max_tokens: u64,
    /// The digest of the content, equal for all resends of it.
    #[builder(default)]
    pub digest: ContentDigest,
    /// Further data of a call that carries its whole prompt; `None` for other calls.
    pub relayed: Option<Box<RelayedCall>>,
}

/// The ID and digest of a caller's key; the core never sees the key itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresentedKey {
    /// The public part of the key.
    pub id: KeyId,
    /// The SHA-256 digest of the whole key.
    pub sha256: Secret256,
}

/// What a call asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A completion by a model.
    Model(ModelName),
    /// A request to a service that is no engine.
    Plain {
        /// The requested service.
        service: ServiceName,
        /// The HTTP method in upper case.
        method: String,
        /// The path below the service, starting with `/`.
        path: String,
    },
    /// A request routed by its host and path.
    Host {
        /// The host, in lower case.
        host: Arc<str>,
        /// The path of the request.
        path: Arc<str>,
    },
}

/// The program and turn that a call belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramTurn {
    /// The program's name within the account.
    pub name: ProgramName,
    /// The turn number, from 1.
    pub turn: u32,
    /// The continuation from the previous response; `None` if the caller sent none.
    pub continuation: Option<Continuation>,
}

/// The state of a program after a turn, which the caller sends with the next one.
///
/// The front end signs it; the core only sees verified values.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Continuation {
    /// The program that the state belongs to.
    pub program: ProgramKey,
    /// Distinguishes successive programs with the same name.
    pub generation: u64,
    /// The number of the last finished turn.
    pub turn: u32,
    /// The digest of the messages up to and including that turn.
    pub history: HistoryDigest,
    /// Tokens used so far by the program and all its sub-agents.
    pub spent_tokens: u64,
    /// Age of the program at the end of that turn.
    pub age_ms: u64,
    /// The epoch in which the home recorded the end of that turn.
    pub epoch: Epoch,
}

/// A single-use permit to send one non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Permit {
    /// The program that the permit is for.
    pub program: ProgramKey,
    /// Distinguishes successive programs with the same name.
    pub generation: u64,
    /// The turn that the permit is for.
    pub turn: u32,
    /// The home that issued the permit, the only one that accepts it.
    pub home: VmName,
    /// The incarnation of that home's process.
    pub incarnation: Incarnation,
    /// The epoch in which the permit was issued.
    pub epoch: Epoch,
    /// Sequence number of the permit within the home's process.
    pub seq: u64,
}

/// A caller's request about a program.
///
/// The front end has checked the signature of the continuation.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ProgramRequest {
    /// The request ID, assigned by the front end from the same sequence as call IDs.
    pub id: CallId,
    /// The caller's key; `None` if the request carried none.
    pub key: Option<PresentedKey>,
    /// The program's name within the account.
    pub program: ProgramName,
    /// The continuation from the last response; `None` if the caller sent none.
    pub continuation: Option<Continuation>,
    /// What is asked for.
    pub kind: ProgramRequestKind,
}

/// What a caller requests for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramRequestKind {
    /// A permit for a non-idempotent turn.
    Permit {
        /// The turn number.
        turn: u32,
    },
    /// To end the program and its sub-agents.
    End,
}
