//! Messages for refused calls.

use knapweeddale_core::RefusalKind;

/// Returns the message for a kind of refusal, without the remedy, which is a field of its own.
pub(super) fn describe_refusal(kind: RefusalKind) -> &'static str {
    match kind {
        RefusalKind::KeyMissing => "the request carries no key",
        RefusalKind::KeyUnknown => "the key is not known",
        RefusalKind::KeyWithdrawn => "the key has been withdrawn",
        RefusalKind::Isolated => "this VM cannot learn about withdrawn keys at present",
        RefusalKind::NotConfigured => "this VM has no configuration yet",
        RefusalKind::BudgetUnknown => "the store did not confirm the program's budget",
        RefusalKind::ModelUnknown => "no service offers the model",
        RefusalKind::RouteUnknown => "the service or its route does not exist",
        RefusalKind::Quarantined => "the same request crashed several upstreams",
        RefusalKind::OverRate => "the account is over its rate",
        RefusalKind::TurnOutOfOrder => "a turn before this one has not ended",
        RefusalKind::DuplicateTurn => "the turn is running or has ended",
        RefusalKind::StaleContinuation => "the continuation is older than the program",
        RefusalKind::HistoryMismatch => "the messages do not match the continuation",
        RefusalKind::TurnUnknown => "the turn that the call names does not exist",
        RefusalKind::HistoryUnavailable => "the turns before this one cannot be read or stored",
        RefusalKind::ContinuationMissing => "the turn needs the continuation of the one before",
        RefusalKind::OverBudget => "the program has used its tokens, turns or time",
        RefusalKind::ProgramEnded => "the program has ended",
        RefusalKind::HomeMoving => "the program is moving to another VM",
        RefusalKind::PermitRequired => "the request may not be repeated and carries no permit",
        RefusalKind::PermitVoid => "the permit is void or has been used",
        RefusalKind::StreamNotResumable => "no upstream can go on with the stream",
        RefusalKind::NoUpstream => "no upstream became free in time",
        RefusalKind::PoolBusy => "the calls that go first take longer than the call has time",
        RefusalKind::UpstreamsLimited => "all upstreams are at the rates that they state",
        RefusalKind::Evacuated => "all upstreams that may run the call are evacuated",
        RefusalKind::NoAllowedRegion => "no upstream is in a region in which the call may run",
        RefusalKind::UpstreamFailed => "the upstream failed",
        RefusalKind::UpstreamSilent => "the upstream did not answer in time",
        RefusalKind::Overloaded => "this VM has more calls than it can hold",
        RefusalKind::Draining => "this VM is stopping",
        RefusalKind::CallerGone => "the caller disconnected",
        RefusalKind::Malformed => "the request cannot be read",
        RefusalKind::TooLarge => "the request is too large",
        RefusalKind::BodyLate => "the body did not arrive in time",
    }
}
