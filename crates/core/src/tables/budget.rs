//! Token budgets of programs whose turns may come through any VM.

use smallvec::SmallVec;

use crate::ids::{CallId, Incarnation, ProgramKey, UpstreamName, VmName};

/// Part of a budget that may be used without a record in the store: one in this many.
const FREE_DIVISOR: u64 = 4;

/// Part of a budget that a new record counts as used at least: one in this many.
const UNRECORDED_DIVISOR: u64 = 2;

/// Turns that one line may run before all VMs know of the first of them.
const MAX_UNSEEN_TURNS: u64 = 2;

/// Turns that the lines of a program may run together before all VMs know of them.
const MAX_UNSEEN_PARALLEL_TURNS: u64 = 10;

/// Turns in a budget from which sub-agents need no reservation either.
const MIN_TURNS_FOR_AGENTS: u64 = 16;

/// Part of what is left in a record that is reserved at once: one in this many.
const RESERVATION_DIVISOR: u64 = 8;

/// Tokens that one process has passed to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The VM.
    pub vm: VmName,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The tokens.
    pub tokens: u64,
}

/// What this VM knows of the use of a program's budget.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// Tokens that all turns may generate.
    pub budget_tokens: u64,
    /// How long the row is kept after the last turn.
    pub retention_us: u64,
    /// When the row was last used.
    pub last_used_us: u64,
    /// The line of turns that the program began with.
    pub main_line: Option<u64>,
    /// Tokens passed to callers, by process.
    pub spent: SmallVec<[ProcessUsage; 2]>,
    /// The most that turns running on this VM without a reservation may generate.
    pub running_tokens: u64,
    /// Tokens reserved by this VM and not taken by a turn.
    pub reserved_tokens: u64,
    /// Losses of memory since which the program is known; turns before them are not.
    pub losses: u32,
    /// Whether the program has a record in the store.
    pub has_record: bool,
    /// Whether the budget is used up.
    pub is_stopped: bool,
    /// Whether a reservation is under way.
    pub is_reserving: bool,
    /// Turns that wait for a reservation.
    pub waiting: SmallVec<[CallId; 2]>,
    /// The round of summaries that tells others of the last change.
    pub changed_round: u64,
    /// The engine of the last turn on this VM and the tokens it may have cached.
    pub cached: Option<(UpstreamName, u64)>,
}

/// How a turn is covered by its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coverage {
    /// By the part that needs no record.
    Free,
    /// By tokens reserved in the store.
    Reserved,
}

/// What a budget says to one more turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// It is covered.
    Covered(Coverage),
    /// Tokens have to be reserved first.
    NeedsReservation {
        /// The least that helps.
        needed_tokens: u64,
    },
    /// The budget does not hold it.
    Exhausted,
}

impl Budget {
    /// Returns the tokens that are known to be used or may be used by running turns.
    pub fn known_tokens(&self) -> u64 {
        let spent: u64 = self.spent.iter().map(|row| row.tokens).sum();
        spent + self.running_tokens
    }

    /// Returns whether a new record of the budget would have room for some tokens.
    fn fits_in_new_record(&self, turn_tokens: u64, needed_tokens: u64) -> bool {
        let free = FreeAllowance::of(self.budget_tokens, turn_tokens, self.losses);
        free.unrecorded_tokens.saturating_add(needed_tokens) <= self.budget_tokens
    }

    /// Returns whether a turn of a line may go on the strength of what is known.
    fn needs_no_reservation(&self, line: Option<u64>, turn_tokens: u64) -> bool {
        let free = FreeAllowance::of(self.budget_tokens, turn_tokens, self.losses);
        let is_main = line == self.main_line;
        !self.has_record
            && free.is_usable
            && (is_main || free.allows_agents)
            && self.known_tokens() <= free.tokens
    }

    /// Covers one more turn, taking its tokens if there are enough.
    pub fn cover(&mut self, line: Option<u64>, turn_tokens: u64) -> BudgetDecision {
        let known = self.known_tokens();
        if self.is_stopped || turn_tokens > self.budget_tokens {
            return BudgetDecision::Exhausted;
        }
        if self.needs_no_reservation(line, turn_tokens) {
            if known + turn_tokens > self.budget_tokens {
                return BudgetDecision::Exhausted;
            }
            self.running_tokens += turn_tokens;
            return BudgetDecision::Covered(Coverage::Free);
        }
        if self.reserved_tokens < turn_tokens {
            let needed_tokens = turn_tokens - self.reserved_tokens;
            if !self.has_record && !self.fits_in_new_record(turn_tokens, needed_tokens) {
                return BudgetDecision::Exhausted;
            }
            return BudgetDecision::NeedsReservation { needed_tokens };
        }
        self.reserved_tokens -= turn_tokens;
        BudgetDecision::Covered(Coverage::Reserved)
    }

    /// Takes note of the end of a turn on this VM.
    pub fn settle_turn(&mut self, cover: Coverage, turn_tokens: u64, used_tokens: u64) {
        match cover {
            Coverage::Free => self.running_tokens = self.running_tokens.saturating_sub(turn_tokens),
            Coverage::Reserved => self.reserved_tokens += turn_tokens.saturating_sub(used_tokens),
        }
    }

    /// Sets the tokens that a process has passed to callers; totals never fall.
    pub fn set_spent(&mut self, vm: &VmName, incarnation: Incarnation, tokens: u64) {
        let known = self
            .spent
            .iter_mut()
            .find(|row| row.vm == *vm && row.incarnation == incarnation);
        match known {
            Some(row) => row.tokens = row.tokens.max(tokens),
            None => self.spent.push(ProcessUsage {
                vm: vm.clone(),
                incarnation,
                tokens,
            }),
        }
    }

    /// Returns the tokens that a process has passed to callers.
    pub fn spent_by(&self, vm: &VmName, incarnation: Incarnation) -> u64 {
        self.spent
            .iter()
            .find(|row| row.vm == *vm && row.incarnation == incarnation)
            .map_or(0, |row| row.tokens)
    }
}

/// The part of a budget that may be used without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FreeAllowance {
    /// Whether there is one at all.
    is_usable: bool,
    /// Whether sub-agents may use it too.
    ///
    /// The turns of one line follow each other, so that few of them are unseen. Sub-agents start
    /// at once on several VMs, and only an ample budget holds as many unseen turns.
    allows_agents: bool,
    /// Known tokens up to which another turn needs no reservation.
    tokens: u64,
    /// Tokens that may have been used without a record.
    unrecorded_tokens: u64,
}

impl FreeAllowance {
    /// Works out the free part of a budget.
    fn of(budget_tokens: u64, turn_tokens: u64, losses: u32) -> Self {
        // A budget may be exceeded by one turn.
        let most_tokens = budget_tokens + turn_tokens;
        let is_ample = budget_tokens >= MIN_TURNS_FOR_AGENTS * turn_tokens;
        let parallel = Self::for_unseen_turns(
            budget_tokens,
            turn_tokens,
            losses,
            MAX_UNSEEN_PARALLEL_TURNS,
        );
        if is_ample && parallel.unrecorded_tokens <= most_tokens {
            return Self {
                allows_agents: true,
                ..parallel
            };
        }
        let line = Self::for_unseen_turns(budget_tokens, turn_tokens, losses, MAX_UNSEEN_TURNS);
        Self {
            is_usable: line.unrecorded_tokens <= most_tokens,
            ..line
        }
    }

    /// Works out the free part with some turns that may run before all VMs know that it is used,
    /// less the one turn by which a budget may be exceeded.
    ///
    /// After a loss of memory, it may be used once more.
    fn for_unseen_turns(
        budget_tokens: u64,
        turn_tokens: u64,
        losses: u32,
        unseen_turns: u64,
    ) -> Self {
        let tokens = budget_tokens / FREE_DIVISOR;
        let unseen_tokens = (unseen_turns - 1) * turn_tokens;
        let again_tokens = u64::from(losses).saturating_mul(tokens + turn_tokens);
        Self {
            is_usable: true,
            allows_agents: false,
            tokens,
            unrecorded_tokens: (tokens + unseen_tokens)
                .saturating_add(again_tokens)
                .max(budget_tokens / UNRECORDED_DIVISOR),
        }
    }
}

/// The record of a program's budget in the store.
///
/// It is changed by conditional writes only, so that no token is reserved twice.
///
/// # Examples
///
/// ```
/// use knapweeddale_core::tables::BudgetRecord;
/// use knapweeddale_core::{AccountName, ProgramKey, ProgramName};
///
/// let program = ProgramKey {
///     account: AccountName::from("norte"),
///     name: ProgramName::from("tour"),
/// };
/// let mut record = BudgetRecord::new(program, 1_000, 200, 0);
/// assert_eq!(record.reserve(200), 200);
/// assert_eq!(record.reserve(200), 200);
/// assert_eq!(record.reserve(200), 0);
/// assert!(record.is_stopped);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct BudgetRecord {
    /// The program.
    pub program: ProgramKey,
    /// Tokens that all turns may generate.
    pub budget_tokens: u64,
    /// Tokens that have been reserved or count as used.
    pub taken_tokens: u64,
    /// Whether the budget is used up.
    pub is_stopped: bool,
}

impl BudgetRecord {
    /// Makes the record of a program that has passed the part which needs none.
    pub fn new(program: ProgramKey, budget_tokens: u64, turn_tokens: u64, losses: u32) -> Self {
        Self {
            program,
            budget_tokens,
            taken_tokens: FreeAllowance::of(budget_tokens, turn_tokens, losses)
                .unrecorded_tokens
                .min(budget_tokens),
            is_stopped: false,
        }
    }

    /// Makes the record of a program that has used up its budget without one.
    pub fn stopped(program: ProgramKey, budget_tokens: u64) -> Self {
        Self {
            program,
            budget_tokens,
            taken_tokens: budget_tokens,
            is_stopped: true,
        }
    }

    /// Reserves tokens, at least those that are needed, and returns them; 0 if they do not fit.
    pub fn reserve(&mut self, needed_tokens: u64) -> u64 {
        let left = self.budget_tokens.saturating_sub(self.taken_tokens);
        if self.is_stopped || left < needed_tokens {
            self.is_stopped = true;
            return 0;
        }
        let tokens = needed_tokens.max(left / RESERVATION_DIVISOR);
        self.taken_tokens += tokens;
        tokens
    }
}
