//! The calls and program requests that callers send.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{
    CallId, ContentDigest, Incarnation, KeyId, ModelName, NewCall, PresentedKey, ProgramName,
    ProgramRequest, ProgramRequestKind, ProgramTurn, Secret256, ServiceName, Target,
};

/// Which kind of call a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A completion by a model.
    Chat,
    /// A plain request to a non-idempotent route, which needs a permit.
    Send,
    /// A plain request to an idempotent route.
    Status,
}

/// Returns a call for a turn of a program.
pub fn call(
    kind: Kind,
    program: &str,
    turn: u32,
    content: u64,
    continuation: Option<&Continuation>,
    permit: Option<&Permit>,
) -> NewCall {
    let plain = |path: &str| Target::Plain {
        service: ServiceName::from("pages"),
        method: "POST".to_owned(),
        path: path.to_owned(),
    };
    let target = match kind {
        Kind::Chat => Target::Model(ModelName::from("small")),
        Kind::Send => plain("/send"),
        Kind::Status => plain("/status"),
    };
    NewCall::builder()
        .id(unset_id())
        .key(presented_key())
        .target(target)
        .program(ProgramTurn {
            name: ProgramName::from(program),
            turn,
            continuation: continuation.cloned(),
        })
        .maybe_permit(permit.cloned())
        .prompt_tokens(100)
        .max_tokens(20)
        .digest(ContentDigest(u128::from(content).to_be_bytes()))
        .build()
}

/// Returns a request for a permit or for the end of a program.
pub fn request(
    kind: ProgramRequestKind,
    program: &str,
    continuation: Option<&Continuation>,
) -> ProgramRequest {
    ProgramRequest::builder()
        .id(unset_id())
        .key(presented_key())
        .program(ProgramName::from(program))
        .maybe_continuation(continuation.cloned())
        .kind(kind)
        .build()
}

/// Returns a placeholder identity, which the mesh replaces.
fn unset_id() -> CallId {
    CallId {
        incarnation: Incarnation(0),
        seq: 0,
    }
}

/// Returns the key that all callers present.
fn presented_key() -> PresentedKey {
    PresentedKey {
        id: KeyId::from("k1"),
        sha256: Secret256([1; 32]),
    }
}
