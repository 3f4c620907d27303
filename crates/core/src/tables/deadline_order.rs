//! State of pools whose calls are ordered by deadlines.

use super::UrgencyClass;

/// Time after the last call with a stated deadline for which a pool keeps the order by deadlines.
const DEADLINE_MEMORY_US: u64 = 10_000_000;

/// Of this many placements, one goes to the call that has waited longest.
const PLACEMENTS_PER_OLDEST: u64 = 8;

/// Time for which a free place is left to timely calls at other VMs: these learn of it with the next
/// summary.
const YIELD_US: u64 = 300_000;

/// Window in which arrivals are counted.
const METER_WINDOW_US: u64 = 500_000;

/// State of a pool whose calls are ordered by deadlines.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeadlineOrder {
    /// Time until which the order is in force; 0 if no call has stated a deadline.
    until_us: u64,
    placements: u64,
    /// Arrivals of timely calls of programs that have begun.
    begun: ArrivalMeter,
    /// Arrivals of timely calls that begin a program.
    beginning: ArrivalMeter,
    /// Moving average of the waits of calls of programs that have begun.
    begun_wait_us: u64,
    /// Time until which free places are left to timely calls at other VMs; 0 if none are.
    yield_until_us: u64,
    /// Time until which the calls that were refused are expected to have got a place.
    pub returns_until_us: u64,
    /// Number of calls that were refused.
    pub returns: u64,
}

impl DeadlineOrder {
    /// Records a call that states a deadline.
    pub fn record_deadline(&mut self, now_us: u64) {
        self.until_us = now_us + DEADLINE_MEMORY_US;
    }

    /// Returns whether calls are ordered by deadlines.
    pub fn is_active(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Counts a placement.
    pub fn count_placement(&mut self) {
        self.placements = self.placements.wrapping_add(1);
    }

    /// Records how long a call of a program that has begun waited for its place.
    pub fn record_wait(&mut self, wait_us: u64) {
        self.begun_wait_us = (self.begun_wait_us * 7 + wait_us) / 8;
    }

    /// Returns how long calls of programs that have begun have waited lately.
    pub fn begun_wait_us(&self) -> u64 {
        self.begun_wait_us
    }

    /// Returns whether the next placement goes to the call that has waited longest.
    pub fn is_turn_of_oldest(&self, now_us: u64) -> bool {
        let number = self.placements % PLACEMENTS_PER_OLDEST;
        self.is_active(now_us) && number == PLACEMENTS_PER_OLDEST - 1
    }

    /// Counts the arrival of a timely call.
    pub fn count_timely(&mut self, begins_program: bool, now_us: u64) {
        let meter = if begins_program {
            &mut self.beginning
        } else {
            &mut self.begun
        };
        meter.count(now_us);
    }

    /// Returns the rate of arrivals on this VM that go before a call, in thousandths of a call per
    /// second.
    pub fn arrivals_before(&self, class: UrgencyClass, begins_program: bool, now_us: u64) -> u64 {
        match class {
            UrgencyClass::Timely if begins_program => self.begun.last_mcalls_per_s(now_us),
            UrgencyClass::Timely => 0,
            _ => {
                self.begun.lasting_mcalls_per_s(now_us)
                    + self.beginning.lasting_mcalls_per_s(now_us)
            }
        }
    }

    /// Returns whether a free place is left to the timely calls that wait at other VMs.
    pub fn yields(&self, now_us: u64) -> bool {
        now_us < self.yield_until_us && !self.is_turn_of_oldest(now_us)
    }

    /// Records that a place is free while timely calls wait at other VMs; they have until their news
    /// of it has had time to arrive, and then it may be taken.
    pub fn begin_yield(&mut self, now_us: u64) {
        if self.yield_until_us == 0 {
            self.yield_until_us = now_us + YIELD_US;
        }
    }

    /// Records that no place is left to other VMs.
    pub fn end_yield(&mut self) {
        self.yield_until_us = 0;
    }
}

/// Counts arrivals in windows of half a second.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivalMeter {
    window: u64,
    /// Calls of the present window and of the two before it.
    calls: [u64; 3],
}

impl ArrivalMeter {
    fn count(&mut self, now_us: u64) {
        self.calls = self.calls_at(now_us);
        self.window = now_us / METER_WINDOW_US;
        self.calls[0] += 1;
    }

    /// Returns the calls of the window at a time and of the two before it.
    fn calls_at(&self, now_us: u64) -> [u64; 3] {
        let [present, last, _] = self.calls;
        match (now_us / METER_WINDOW_US).saturating_sub(self.window) {
            0 => self.calls,
            1 => [0, present, last],
            2 => [0, 0, present],
            _ => [0; 3],
        }
    }

    /// Returns the rate in the last complete window.
    fn last_mcalls_per_s(&self, now_us: u64) -> u64 {
        let [_, last, _] = self.calls_at(now_us);
        last * 1_000_000_000 / METER_WINDOW_US
    }

    /// Returns the lower of the rates in the last two complete windows.
    ///
    /// Calls that arrive all at once wait in the queue and say nothing of the load to come.
    fn lasting_mcalls_per_s(&self, now_us: u64) -> u64 {
        let [_, last, before] = self.calls_at(now_us);
        last.min(before) * 1_000_000_000 / METER_WINDOW_US
    }
}
