//! Claims on the free parts of budgets, which storage VMs count, free of input and output.
//!
//! A turn uses the free part of its program's budget only after enough storage VMs have recorded
//! it on their disks. What a program has used is thus known after any loss of the memory of entry
//! VMs, and entry VMs that do not hear each other share one count. The storage VM that is first for
//! the program by rendezvous hashing decides about the turn; the others keep copies. They need not
//! tell each other: a claim carries what its VM knows of other processes.

mod claims;
mod table;

pub use claims::{ClaimAnswer, ClaimResult, ProcessClaim, ProgramClaims, TurnClaim, UsageClaim};
pub use table::UsageTable;
