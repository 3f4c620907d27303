//! Upstreams that have started or returned lately, and the pace at which they get calls.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::Table;
use crate::ids::{UpstreamName, VmName};

/// Window of an episode that begins.
pub const INITIAL_WINDOW_CALLS: u32 = 2;

/// Lowest window: an upstream that gets no call cannot show that it has recovered.
const MIN_WINDOW_CALLS: u32 = 1;

/// Times shorter than this are never slow: they mostly measure the network and this VM.
const MIN_SLOW_US: u64 = 10_000;

/// Multiple of the time of other upstreams above which a response is slow.
const SLOW_FACTOR: u64 = 2;

/// State of the system that paces upstreams.
#[derive(Debug, Default)]
pub struct Pacing {
    /// Upstreams that have started or returned lately.
    pub rows: Table<UpstreamName, Pace>,
    /// Upstreams whose calls are limited because they are cold.
    pub cold: BTreeSet<UpstreamName>,
    /// Whether the timer for the next review is set.
    pub is_review_set: bool,
    /// Whether upstreams were paced at the last review because no other VM had been heard.
    pub was_uninformed: bool,
    /// Calls that waited although an upstream that is paced had room.
    pub held_back_calls: u64,
}

impl Pacing {
    /// Returns the number of upstreams that are in an episode.
    pub fn paced_upstreams(&self) -> usize {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| row.running().is_some()).count()
    }
}

/// An upstream that has started or returned lately.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// Start of its process, in Unix time; 0 if unknown.
    pub started_unix_ms: u64,
    /// Time of its last start or return; a list read later tells whether it is cold.
    pub event_us: Option<u64>,
    /// Time until which it has stated in a response that it is cold.
    pub cold_until_us: u64,
    /// The episode in which it is paced.
    pub episode: Option<Episode>,
    /// The end of the last episode.
    pub ended_us: Option<u64>,
    /// Round of summaries that reports the last change.
    pub changed_round: u64,
    /// Time at which a change was logged last.
    pub logged_us: Option<u64>,
}

impl Pace {
    /// Returns the episode, unless it has ended.
    pub fn running(&self) -> Option<&Episode> {
        self.episode.as_ref().filter(|_| self.ended_us.is_none())
    }

    /// Returns the episode, unless it has ended.
    pub fn running_mut(&mut self) -> Option<&mut Episode> {
        self.episode.as_mut().filter(|_| self.ended_us.is_none())
    }
}

/// Responses and setbacks of calls sent in an episode.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PaceCounts {
    /// Timely responses.
    pub responses: u64,
    /// Rejected, failed and slow calls.
    pub setbacks: u64,
}

impl PaceCounts {
    /// Returns what was added since an earlier total of the same VM.
    ///
    /// Lower totals are those of a restarted process and are new as a whole.
    fn since(self, earlier: Self) -> Self {
        if self.responses < earlier.responses || self.setbacks < earlier.setbacks {
            return self;
        }
        Self {
            responses: self.responses - earlier.responses,
            setbacks: self.setbacks - earlier.setbacks,
        }
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// The places of a window that fall to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Deal {
    /// Number of the period in which they were dealt.
    pub period: u64,
    /// The window.
    pub window_calls: u32,
    /// VMs among which they were dealt, and those of them that are heard.
    pub vms: (u64, u64),
    /// Places that fall to this VM.
    pub part_calls: u32,
}

/// A time in which an upstream gets no more calls than its responses have earned.
#[derive(Debug, Clone)]
pub struct Episode {
    /// Time of the event with which it began, as reported by the VM that noticed it first.
    pub began_us: u64,
    /// Calls that all VMs together may run on the upstream.
    pub window_calls: u32,
    /// What calls of this VM have shown.
    pub own: PaceCounts,
    /// What calls of other VMs have shown.
    pub others: SmallVec<[(VmName, PaceCounts); 2]>,
    /// Time of the last timely response, or of the beginning.
    pub responded_us: u64,
    /// Time of the last setback; `None` if there was none.
    pub setback_us: Option<u64>,
    /// Setbacks at all VMs.
    pub setbacks: u64,
    /// This VM's part of the window.
    pub deal: Deal,
}

impl Episode {
    /// Begins an episode after an event.
    pub fn new(began_us: u64, now_us: u64) -> Self {
        Self {
            began_us,
            window_calls: INITIAL_WINDOW_CALLS,
            own: PaceCounts::default(),
            others: SmallVec::new(),
            responded_us: now_us,
            setback_us: None,
            setbacks: 0,
            deal: Deal::default(),
        }
    }

    /// Counts what a call of this VM has shown.
    pub fn count_own(&mut self, added: PaceCounts, now_us: u64) {
        self.own.responses += added.responses;
        self.own.setbacks += added.setbacks;
        self.apply(added, now_us);
    }

    /// Counts the totals of another VM; returns whether they are new.
    pub fn count_total(&mut self, vm: &VmName, total: PaceCounts, now_us: u64) -> bool {
        let known = self.others.iter_mut().find(|(name, _)| name == vm);
        let earlier = match known {
            Some((_, known)) => std::mem::replace(known, total),
            None => {
                self.others.push((vm.clone(), total));
                PaceCounts::default()
            }
        };
        let added = total.since(earlier);
        self.apply(added, now_us);
        !added.is_empty()
    }

    /// Opens the window by one for each response and halves it for each setback.
    fn apply(&mut self, added: PaceCounts, now_us: u64) {
        if added.responses > 0 {
            let grown = u64::from(self.window_calls).saturating_add(added.responses);
            self.window_calls = u32::try_from(grown).unwrap_or(u32::MAX);
            self.responded_us = now_us;
        }
        if added.setbacks > 0 {
            let halvings = u32::try_from(added.setbacks).unwrap_or(u32::MAX);
            let halved = self.window_calls.checked_shr(halvings).unwrap_or(0);
            self.window_calls = halved.max(MIN_WINDOW_CALLS);
            self.setbacks = self.setbacks.saturating_add(added.setbacks);
            self.setback_us = Some(now_us);
        }
    }
}

/// Means over the calls of this VM in a pool, at upstreams that are not paced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolTimes {
    /// Time to the first event; 0 until it has been measured.
    mean_us: u64,
    /// Prompt tokens that were read before it.
    mean_tokens: u64,
    /// Time of a whole call; 0 until it has been measured.
    pub mean_call_us: u64,
}

impl PoolTimes {
    /// Records the time to the first event of a response, with the prompt tokens that were read
    /// before it, and that of the whole call.
    pub fn record(&mut self, (time_us, read_tokens): (u64, u64), call_us: u64) {
        if self.mean_us == 0 {
            *self = Self {
                mean_us: time_us.max(1),
                mean_tokens: read_tokens,
                mean_call_us: call_us,
            };
            return;
        }
        self.mean_us = ((self.mean_us * 15 + time_us) / 16).max(1);
        self.mean_tokens = (self.mean_tokens * 15 + read_tokens) / 16;
        self.mean_call_us = (self.mean_call_us * 15 + call_us) / 16;
    }

    /// Returns whether a response is slow; a longer prompt than usual may take longer.
    pub fn is_slow(&self, time_us: u64, read_tokens: u64) -> bool {
        if self.mean_us == 0 || time_us < MIN_SLOW_US {
            return false;
        }
        let usual_tokens = u128::from(self.mean_tokens.max(1));
        let tokens = match self.mean_tokens {
            0 => 1,
            _ => u128::from(read_tokens).max(usual_tokens),
        };
        let limit_us = u128::from(self.mean_us) * tokens / usual_tokens * u128::from(SLOW_FACTOR);
        u128::from(time_us) > limit_us
    }
}
