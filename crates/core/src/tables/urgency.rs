//! How urgent a waiting call is, from the deadline of its program.

use crate::ids::AttemptId;
use crate::tables::Rank;

/// Bits of a rank's level below those of the class.
const CLASS_SHIFT: u32 = 40;

/// What can still be reached with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UrgencyClass {
    /// Its program can be on time.
    Timely,
    /// Its program cannot be on time, but the smaller credit has not ended.
    Late,
    /// The smaller credit has ended.
    Expired,
}

impl UrgencyClass {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Timely, Self::Late, Self::Expired];

    /// Returns the class of the calls with a rank of this level.
    pub fn of_level(level: u64) -> Self {
        match level >> CLASS_SHIFT {
            0 => Self::Timely,
            1 => Self::Late,
            _ => Self::Expired,
        }
    }

    /// Returns the name of the class in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Timely => "timely",
            Self::Late => "late",
            Self::Expired => "expired",
        }
    }
}

impl std::fmt::Display for UrgencyClass {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.name())
    }
}

/// What decides the order of a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Time until which the program should be finished.
    pub due_us: u64,
    /// End of the smaller credit; `u64::MAX` if unknown.
    pub credit_until_us: u64,
    /// Expected time of the call and of the turns that are expected to follow.
    pub expected_us: u64,
    /// Priority of the call; 0 is the highest.
    pub priority: u32,
    /// Whether the call begins its program, so that no earlier work is lost with it.
    pub begins_program: bool,
}

impl Urgency {
    /// Returns the last time at which the call may start for its program to be on time.
    pub fn latest_start_us(&self) -> u64 {
        self.due_us.saturating_sub(self.expected_us)
    }

    /// Returns the time left until the latest start; negative after it.
    pub fn slack_us(&self, now_us: u64) -> i64 {
        let latest = i64::try_from(self.latest_start_us()).unwrap_or(i64::MAX);
        latest.saturating_sub_unsigned(now_us)
    }

    /// Returns what can still be reached with the call.
    pub fn class(&self, now_us: u64) -> UrgencyClass {
        if now_us <= self.latest_start_us() {
            UrgencyClass::Timely
        } else if now_us < self.credit_until_us {
            UrgencyClass::Late
        } else {
            UrgencyClass::Expired
        }
    }

    /// Returns when the class changes next; `None` if it does not change any more.
    pub fn next_change_us(&self, now_us: u64) -> Option<u64> {
        match self.class(now_us) {
            UrgencyClass::Timely => Some(self.latest_start_us() + 1),
            UrgencyClass::Late => Some(self.credit_until_us).filter(|us| *us < u64::MAX),
            UrgencyClass::Expired => None,
        }
    }

    /// Returns the rank of an attempt of the call: by class, priority, whether its program has
    /// begun, and slack.
    pub fn rank(&self, now_us: u64, attempt: AttemptId) -> Rank {
        let class = self.class(now_us) as u64;
        let level = 2 * u64::from(self.priority) + u64::from(self.begins_program);
        Rank {
            attained: (class << CLASS_SHIFT) | level,
            // Of two calls, the one with the earlier latest start has less slack at any time.
            arrived_us: self.latest_start_us(),
            attempt,
        }
    }
}
