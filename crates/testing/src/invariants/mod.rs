//! Checks of a recorded trace, named after the invariants in section 1.1 of `docs/design.md`.
//!
//! Each check returns the first violation as an error text.

mod calls;
mod memory;
mod owners;
mod programs;
mod rates;

pub use calls::{answer_matches_request, at_most_once, charges_reconcile, refusal_is_true};
pub use memory::memory_released;
pub use owners::{config_moves_forward, owners, single_owner};
pub use programs::{budget_holds, history_intact, program_order};
pub use rates::rate_and_burst;
