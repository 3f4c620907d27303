//! Which storage VMs were asked to record claims.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use knapweeddale_core::ProgramKey;
use smallvec::SmallVec;
use tokio::time::Instant;

/// Time for which a program is remembered at least; longer than a turn lasts.
const MIN_AGE: Duration = Duration::from_secs(30);

/// Addresses of the storage VMs that may have recorded claims on one budget.
type Addresses = SmallVec<[Arc<str>; 4]>;

/// The storage VMs that this process has asked to record claims, by program.
///
/// Programs are forgotten between one and two [`MIN_AGE`] after their last claim.
#[derive(Debug)]
pub(crate) struct AskedVms(Mutex<Generations>);

/// The programs of two periods.
#[derive(Debug)]
struct Generations {
    present: HashMap<ProgramKey, Addresses>,
    previous: HashMap<ProgramKey, Addresses>,
    began: Instant,
}

impl Default for AskedVms {
    fn default() -> Self {
        Self(Mutex::new(Generations {
            present: HashMap::new(),
            previous: HashMap::new(),
            began: Instant::now(),
        }))
    }
}

impl AskedVms {
    /// Adds a storage VM that is asked to record a claim.
    pub fn add(&self, program: &ProgramKey, address: &Arc<str>) {
        let mut generations = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        generations.advance();
        let known = generations.of(program);
        let addresses = generations.present.entry(program.clone()).or_insert(known);
        if !addresses.contains(address) {
            addresses.push(Arc::clone(address));
        }
    }

    /// Returns the storage VMs that were asked to record claims on the budget of a program.
    pub fn of(&self, program: &ProgramKey) -> Addresses {
        let generations = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        generations.of(program)
    }
}

impl Generations {
    /// Begins a new period if the present one is over.
    fn advance(&mut self) {
        if self.began.elapsed() >= MIN_AGE {
            self.previous = std::mem::take(&mut self.present);
            self.began = Instant::now();
        }
    }

    fn of(&self, program: &ProgramKey) -> Addresses {
        let addresses = self.present.get(program);
        let addresses = addresses.or_else(|| self.previous.get(program));
        addresses.cloned().unwrap_or_default()
    }
}
