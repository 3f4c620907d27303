//! A call as the front end hands it to the core.

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
    /// The call's identity, chosen by the front end.
    pub id: CallId,
    /// The key that came with the call, if any.
    pub key: Option<PresentedKey>,
    /// What the call asks for.
    pub target: Target,
    /// The program and turn of the call, if it belongs to one.
    pub program: Option<ProgramTurn>,
    /// The right to send a request that may not be repeated.
    pub permit: Option<Permit>,
    /// Tokens of the prompt, as estimated by the front end.
    #[builder(default)]
    pub prompt_tokens: u64,
    /// Highest number of tokens of the response.
    #[builder(default)]
    pub max_tokens: u64,
    /// Identifies the content across resends.
    #[builder(default)]
    pub digest: ContentDigest,
    /// What a call states that carries its whole prompt; absent for others.
    pub relayed: Option<Box<RelayedCall>>,
}

/// A caller's key, reduced to what the core needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresentedKey {
    /// The public part of the key.
    pub id: KeyId,
    /// The digest of the whole key.
    pub sha256: Secret256,
}

/// What a call asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A completion by a model.
    Model(ModelName),
    /// A request to a plain service.
    Plain {
        /// The service.
        service: ServiceName,
        /// The HTTP method in upper case.
        method: String,
        /// The path below the service, starting with `/`.
        path: String,
    },
    /// A request that is routed by host and path.
    Host {
        /// The host, in lower case.
        host: Arc<str>,
        /// The path.
        path: Arc<str>,
    },
}

/// The place of a call in its program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramTurn {
    /// The program's name within the account.
    pub name: ProgramName,
    /// The turn, from 1.
    pub turn: u32,
    /// The state of the program that the previous response carried.
    pub continuation: Option<Continuation>,
}

/// The state of a program that the caller carries from turn to turn.
///
/// The front end signs it; the core only sees verified values.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Continuation {
    /// The program.
    pub program: ProgramKey,
    /// Distinguishes programs that had the same name one after another.
    pub generation: u64,
    /// The last finished turn.
    pub turn: u32,
    /// The digest of the messages up to and including that turn.
    pub history: HistoryDigest,
    /// Tokens used by the whole program tree so far.
    pub spent_tokens: u64,
    /// Age of the program when the turn finished.
    pub age_ms: u64,
    /// The epoch in which the home finished the turn.
    pub epoch: Epoch,
}

/// The single-use right to send one request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Permit {
    /// The program.
    pub program: ProgramKey,
    /// Distinguishes programs that had the same name one after another.
    pub generation: u64,
    /// The turn that the permit is for.
    pub turn: u32,
    /// The home that issued the permit, the only one that accepts it.
    pub home: VmName,
    /// The start of that home.
    pub incarnation: Incarnation,
    /// The epoch in which it was issued.
    pub epoch: Epoch,
    /// Counts the permits of the home's process.
    pub seq: u64,
}

/// A request of a caller about a program.
///
/// The front end has checked the signature of the continuation.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ProgramRequest {
    /// The request's identity, chosen by the front end like that of a call.
    pub id: CallId,
    /// The key that came with the request, if any.
    pub key: Option<PresentedKey>,
    /// The program's name within the account.
    pub program: ProgramName,
    /// The state of the program that the last response carried.
    pub continuation: Option<Continuation>,
    /// What is asked for.
    pub kind: ProgramRequestKind,
}

/// What a caller asks for about a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramRequestKind {
    /// A permit for a turn that may not be repeated.
    Permit {
        /// The turn.
        turn: u32,
    },
    /// The end of the program and of its sub-agents.
    End,
}
