//! Requests to the platform's store other than those for the view.

use crate::ids::ProgramKey;

/// A request to the platform's store; each one but `MarkStopped` is answered by one `SourceEvent`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceRequest {
    /// Read the published configuration; stale replica reads are not allowed.
    Config,
    /// Read the list of upstreams; stale replica reads are not allowed.
    Upstreams {
        /// Whether to read the evacuations at the same time; the list counts without them.
        with_evacuations: bool,
    },
    /// Register this VM and list all registered VMs.
    Vms,
    /// Count one loss of the in-memory state of all VMs, and read the budget records.
    Losses,
    /// Mark a program's budget as used up; no event answers this request.
    MarkStopped {
        /// The program to mark.
        program: ProgramKey,
        /// The program's whole token budget.
        budget_tokens: u64,
    },
    /// Reserve tokens of a program's budget with `BudgetRecord::reserve`.
    Reserve {
        /// The program to reserve for.
        program: ProgramKey,
        /// The program's whole token budget.
        budget_tokens: u64,
        /// What a new record counts as used.
        taken_tokens: u64,
        /// The smallest useful reservation.
        needed_tokens: u64,
        /// Whether the program is known to have a record; if so, it is read before it is written.
        has_record: bool,
    },
    /// Give back tokens that were reserved for a turn that did not run; not answered.
    Release {
        /// The program that they were reserved for.
        program: ProgramKey,
        /// The number of tokens.
        tokens: u64,
    },
}
