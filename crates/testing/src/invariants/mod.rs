//! Invariants over a trace, named after section 1.1 of `docs/design.md`.
//!
//! Each function returns the first violation as text.

mod calls;
mod owners;
mod rates;

pub use calls::{at_most_once, charges_reconcile, refusal_is_true};
pub use owners::{config_moves_forward, owners, single_owner};
pub use rates::rate_and_burst;
