//! What happened to an attempt on an upstream.

use crate::ids::{AttemptId, HistoryDigest};

/// An event of a running attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptEvent {
    /// The attempt.
    pub attempt: AttemptId,
    /// What happened.
    pub progress: AttemptProgress,
}

/// What happened to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptProgress {
    /// The first byte of the request is about to leave for the upstream.
    Sent,
    /// The first token or byte of the response arrived.
    FirstToken,
    /// The response is complete.
    Finished(AttemptOutcome),
    /// The attempt ended without a complete response.
    Failed(Failure),
}

/// The result of a complete attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptOutcome {
    /// Tokens of the prompt as counted by the upstream.
    pub prompt_tokens: u64,
    /// Prompt tokens that the upstream found in its cache.
    pub cached_tokens: u64,
    /// Tokens of the response.
    pub answer_tokens: u64,
    /// The digest of the history including the response.
    pub history: HistoryDigest,
}

/// Why an attempt ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request left for the upstream.
    NotSent,
    /// The upstream refused the request explicitly and did not run it.
    RefusedByUpstream {
        /// The HTTP status of the refusal.
        status: u16,
    },
    /// The upstream answered with an error after accepting the request.
    UpstreamError {
        /// The HTTP status of the error.
        status: u16,
    },
    /// The connection broke, as it does when the upstream crashes.
    ConnectionLost {
        /// Tokens received before that.
        answer_tokens: u64,
        /// Whether any part of the response reached the caller.
        forwarded: bool,
    },
    /// Nothing arrived within the time limit.
    Silent {
        /// Tokens received before that.
        answer_tokens: u64,
        /// Whether any part of the response reached the caller.
        forwarded: bool,
    },
    /// The caller disconnected or read too slowly.
    CallerGone {
        /// Tokens received before that.
        answer_tokens: u64,
    },
}

impl Failure {
    /// Returns whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent | Self::RefusedByUpstream { .. })
    }

    /// Returns whether a part of the response reached the caller.
    pub fn is_forwarded(&self) -> bool {
        match self {
            Self::ConnectionLost { forwarded, .. } | Self::Silent { forwarded, .. } => *forwarded,
            Self::CallerGone { .. } => true,
            Self::NotSent | Self::RefusedByUpstream { .. } | Self::UpstreamError { .. } => false,
        }
    }

    /// Returns the tokens that the upstream generated before the failure.
    pub fn answer_tokens(&self) -> u64 {
        match self {
            Self::ConnectionLost { answer_tokens, .. }
            | Self::Silent { answer_tokens, .. }
            | Self::CallerGone { answer_tokens } => *answer_tokens,
            Self::NotSent | Self::RefusedByUpstream { .. } | Self::UpstreamError { .. } => 0,
        }
    }
}
