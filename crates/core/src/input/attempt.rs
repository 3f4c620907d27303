//! Events and outcomes of attempts on upstreams.

use crate::ids::{AttemptId, HistoryDigest};

/// An event of a running attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptEvent {
    /// The attempt that the event is about.
    pub attempt: AttemptId,
    /// What happened.
    pub progress: AttemptProgress,
}

/// A step in the progress of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptProgress {
    /// The first byte of the request is about to be sent to the upstream.
    Sent,
    /// The first token or byte of the response has arrived.
    FirstToken,
    /// Nothing has arrived within the limit for silence; the attempt goes on unless it is cancelled.
    Silent {
        /// Whether any part of the response reached the caller.
        forwarded: bool,
    },
    /// The response is complete.
    Finished(AttemptOutcome),
    /// The attempt ended without a complete response.
    Failed(Failure),
}

/// The result of a complete attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptOutcome {
    /// Prompt tokens as counted by the upstream.
    pub prompt_tokens: u64,
    /// Prompt tokens that the upstream found in its cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub answer_tokens: u64,
    /// The digest of the history including the response.
    pub history: HistoryDigest,
}

/// Why an attempt ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent, for a reason that says nothing about the upstream.
    NotSent,
    /// The upstream refused the connection, as it does when its process has ended.
    ConnectionRefused,
    /// The upstream did not accept a connection in time.
    Unreachable,
    /// The VM through which the attempt was to go has no tunnel to the upstream; nothing was sent.
    ProxyFailed,
    /// The turn that the request goes on from certainly does not exist.
    HistoryUnknown,
    /// The turn that the request goes on from cannot be read at present.
    HistoryUnavailable,
    /// The request with the turns before it is too large.
    HistoryTooLarge,
    /// This VM has no memory for the turn at present.
    HistoryOutOfMemory,
    /// The response is complete, but the turn could not be stored.
    HistoryNotStored {
        /// Tokens that reached the caller.
        answer_tokens: u64,
    },
    /// The upstream explicitly refused the request and did not run it.
    RefusedByUpstream {
        /// The HTTP status of the refusal.
        status: u16,
    },
    /// The upstream accepted the request and returned an error.
    UpstreamError {
        /// The HTTP status of the error.
        status: u16,
    },
    /// The response cannot be read, or is not one to the request.
    InvalidResponse {
        /// Tokens received before the invalid part.
        answer_tokens: u64,
        /// Whether any part of the response reached the caller.
        forwarded: bool,
    },
    /// The response has more than its request allows, so that no part of it is an answer. Nothing
    /// can follow the part that reached the caller.
    TooLong {
        /// Tokens that reached the caller.
        answer_tokens: u64,
    },
    /// The connection broke, as it does when the upstream crashes.
    ConnectionLost {
        /// Tokens received before the connection broke.
        answer_tokens: u64,
        /// Whether any part of the response reached the caller.
        forwarded: bool,
    },
    /// Nothing arrived within the time limit.
    Silent {
        /// Tokens received before the timeout.
        answer_tokens: u64,
        /// Whether any part of the response reached the caller.
        forwarded: bool,
    },
    /// The caller disconnected or read too slowly.
    CallerGone {
        /// Tokens received before the caller disconnected.
        answer_tokens: u64,
    },
}

impl Failure {
    /// Returns whether the request certainly did not run.
    pub fn did_not_run(&self) -> bool {
        !self.is_connected() || matches!(self, Self::RefusedByUpstream { .. })
    }

    /// Returns whether there was a connection over which the request was sent.
    pub fn is_connected(&self) -> bool {
        !matches!(
            self,
            Self::NotSent
                | Self::ConnectionRefused
                | Self::Unreachable
                | Self::ProxyFailed
                | Self::HistoryUnknown
                | Self::HistoryUnavailable
                | Self::HistoryTooLarge
                | Self::HistoryOutOfMemory
        )
    }

    /// Returns whether it concerns the turns that the system keeps, not the upstream.
    pub fn is_history(&self) -> bool {
        matches!(
            self,
            Self::HistoryUnknown
                | Self::HistoryUnavailable
                | Self::HistoryTooLarge
                | Self::HistoryOutOfMemory
                | Self::HistoryNotStored { .. }
        )
    }

    /// Returns whether any part of the response reached the caller.
    pub fn is_forwarded(&self) -> bool {
        match self {
            Self::ConnectionLost { forwarded, .. }
            | Self::Silent { forwarded, .. }
            | Self::InvalidResponse { forwarded, .. } => *forwarded,
            Self::CallerGone { .. } | Self::HistoryNotStored { .. } | Self::TooLong { .. } => true,
            _ => false,
        }
    }

    /// Returns the number of tokens received before the failure.
    pub fn answer_tokens(&self) -> u64 {
        match self {
            Self::ConnectionLost { answer_tokens, .. }
            | Self::Silent { answer_tokens, .. }
            | Self::InvalidResponse { answer_tokens, .. }
            | Self::CallerGone { answer_tokens }
            | Self::TooLong { answer_tokens }
            | Self::HistoryNotStored { answer_tokens } => *answer_tokens,
            _ => 0,
        }
    }
}
