//! Charge records of calls that ran.

use super::Tick;
use crate::output::{Charge, Output};

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub charges: Vec<Charge>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    for charge in std::mem::take(&mut tick.work.charges.charges) {
        tick.outputs.push(Output::Charge(charge));
    }
}
