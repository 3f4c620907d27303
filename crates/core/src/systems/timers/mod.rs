//! Hands due timers to their systems.

use super::Tick;
use crate::tables::Timer;

/// Hands all timers that are due to their systems.
pub(crate) fn run(tick: &mut Tick<'_>) {
    while let Some(timer) = tick.tables.timers.pop_due(tick.now_us) {
        let work = &mut *tick.work;
        match &timer {
            Timer::RateWait(_)
            | Timer::RateRefill(_)
            | Timer::ShareAsk(_)
            | Timer::LoanQueue(_)
            | Timer::LoanEnd(..)
            | Timer::TakeoverEnd(_)
            | Timer::ShareQuery(_) => work.rates.due.push(timer),
            Timer::TurnWait(_) | Timer::ProgramLease(_) => work.homes.due.push(timer),
            Timer::QueueWait(_) | Timer::PoolRetry(_) => work.placement.due.push(timer),
            Timer::Touch => work.membership.due.push(timer),
        }
    }
}
