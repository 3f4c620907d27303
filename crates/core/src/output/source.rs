//! Requests to the platform's store beyond the view.

use crate::ids::ProgramKey;

/// A request to the platform's store; each but `Stop` is answered by one `SourceEvent`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceRequest {
    /// Read the published configuration; a lagging replica must not answer.
    Config,
    /// Read the list of upstreams; a lagging replica must not answer.
    Upstreams,
    /// Register this VM and list the registered ones.
    Vms,
    /// Count a loss of the memory of all VMs, and read the records of budgets.
    Losses,
    /// Record that a program has used up its budget; there is no answer to wait for.
    Stop {
        /// The program.
        program: ProgramKey,
        /// The whole budget.
        budget_tokens: u64,
    },
    /// Reserve tokens of a program's budget with `BudgetRecord::reserve`.
    Reserve {
        /// The program.
        program: ProgramKey,
        /// The whole budget.
        budget_tokens: u64,
        /// Losses of memory after which the program was met.
        losses: u32,
        /// The most that one turn may generate.
        turn_tokens: u64,
        /// The least that helps.
        needed_tokens: u64,
        /// Whether the program is known to have a record, so that it is read first.
        has_record: bool,
    },
}
