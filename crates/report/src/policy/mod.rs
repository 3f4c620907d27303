//! Comparison of placement policies on the same programs in virtual time.

mod measure;
mod program;
mod run;
mod variant;

pub use measure::{Measures, capacity, worst_share};
pub use program::{Plan, TurnPlan, Workload};
pub use run::{Outcome, Trial, engine_model, run};
pub use variant::Variant;
