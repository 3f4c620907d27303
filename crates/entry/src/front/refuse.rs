//! Refusals by the front end, before a call reaches the core.

use knapweeddale_core::{CallId, Decision, Execution, Refusal, RefusalKind};

use super::shared::SharedState;
use crate::call::Reply;
use knapweeddale_runtime::Clock;

/// The reason why the front end refuses a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FrontError {
    kind: RefusalKind,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl FrontError {
    pub fn new(kind: RefusalKind, detail: impl ToString) -> Self {
        Self {
            kind,
            detail: detail.to_string(),
            retry_after_ms: None,
        }
    }

    /// Creates the error for a request that cannot be parsed.
    pub fn malformed(detail: impl ToString) -> Self {
        Self::new(RefusalKind::Malformed, detail)
    }

    /// Creates the error for a full input queue of the control thread.
    pub fn overloaded() -> Self {
        Self {
            kind: RefusalKind::Overloaded,
            detail: "the VM has more calls than it can hold".to_owned(),
            retry_after_ms: Some(1_000),
        }
    }

    /// Creates the error for a new program while the VM is stopping.
    pub fn draining() -> Self {
        Self {
            kind: RefusalKind::Draining,
            detail: "the VM is stopping and accepts no new programs".to_owned(),
            retry_after_ms: Some(1_000),
        }
    }
}

impl<C: Clock> SharedState<C> {
    /// Logs and counts a refusal, and returns its response.
    pub fn refuse_request(&self, call: CallId, error: &FrontError) -> Reply {
        let refusal = Refusal {
            call,
            kind: error.kind,
            ran: Execution::NotRun,
            retry_after_ms: error.retry_after_ms,
        };
        let (kind, ran) = (refusal.kind, refusal.ran);
        let decision = Decision::Refused { call, kind, ran };
        self.metrics.count_decision(&decision);
        tracing::info!("{decision}");
        Reply::refused(&refusal, Some(&error.detail))
    }
}
