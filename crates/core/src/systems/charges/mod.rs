//! Output of the charges of calls that ran.

use super::Tick;
use crate::output::{Charge, Output};

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub charges: Vec<Charge>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }
}

/// Emits all charges as outputs.
pub(crate) fn run(tick: &mut Tick<'_>) {
    for charge in std::mem::take(&mut tick.work.charges.charges) {
        tick.outputs.push(Output::Charge(charge));
    }
}
