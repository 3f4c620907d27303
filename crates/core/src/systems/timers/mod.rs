//! Dispatches due timers to their systems.

use super::Tick;
use crate::tables::Timer;

/// Dispatches all timers that are due.
pub(crate) fn run(tick: &mut Tick<'_>) {
    while let Some(timer) = tick.tables.timers.pop_due(tick.now_us) {
        let work = &mut *tick.work;
        match &timer {
            Timer::RateWait(_)
            | Timer::RateRefill(_)
            | Timer::ShareDemand(_)
            | Timer::LoanQueue(_)
            | Timer::LoanEnd(..)
            | Timer::TakeoverEnd(_)
            | Timer::ShareQuery(_) => work.rates.due_timers.push(timer),
            Timer::TurnWait(_)
            | Timer::TurnRetry(_)
            | Timer::TurnProbe(..)
            | Timer::SettleRetry(_)
            | Timer::RequestRetry(_)
            | Timer::EndedRequestExpiry(_)
            | Timer::TombstoneExpiry(_)
            | Timer::WitnessExpiry(_)
            | Timer::TransferRetry(_)
            | Timer::ReleaseRetry(_)
            | Timer::ProgramLease(_) => work.homes.due.push(timer),
            Timer::QueueWait(_)
            | Timer::PlaceWait(_)
            | Timer::FinishWait(_)
            | Timer::QueueAge(..)
            | Timer::QueueReview(..)
            | Timer::RunningCheck(_)
            | Timer::UpstreamReady(_)
            | Timer::PlacesShared
            | Timer::PlacementHistoryIdle(_) => work.placement.due_timers.push(timer),
            Timer::CrashDecision(_)
            | Timer::NoticeExpiry(_)
            | Timer::SuspectIdle(_)
            | Timer::QuarantineEnd(_) => {
                work.outcomes.due_timers.push(timer);
            }
            Timer::PaceReview => work.pacing.is_due = true,
            Timer::LinkProbe => work.links.is_probe_due = true,
            Timer::OrdersReview(_) => work.orders.due_timers.push(timer),
            Timer::Summary => work.peers.is_due = true,
            Timer::Source => work.source.is_due = true,
            Timer::BudgetWait(_) | Timer::BudgetIdle(_) => work.budgets.due_timers.push(timer),
            Timer::Heartbeat | Timer::Store => work.membership.due_timers.push(timer),
        }
    }
}
