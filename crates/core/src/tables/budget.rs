//! Token budgets of programs whose turns may arrive at any VM.
//!
//! A program with little use runs on what the VMs tell each other about its tokens (the free part
//! of its budget). Beyond that, tokens are reserved in a record in the store.

use smallvec::SmallVec;

use crate::ids::{CallId, Incarnation, ProgramKey, UpstreamName, VmName};

/// Divisor of the budget that gives the part usable without a record in the store.
const FREE_DIVISOR: u64 = 4;

/// Divisor of the budget that gives the least part that a new record counts as used.
const UNRECORDED_DIVISOR: u64 = 2;

/// Turns of one line that may run before all VMs know of the first of them.
const MAX_UNSEEN_TURNS: u64 = 2;

/// Turns of all lines of a program that may run before all VMs know of the first of them.
const MAX_UNSEEN_PARALLEL_TURNS: u64 = 10;

/// Turns that a budget must hold for sub-agents to use its free part too.
const MIN_TURNS_FOR_AGENTS: u64 = 16;

/// Divisor of the tokens left in a record that gives the part reserved at once.
const RESERVATION_DIVISOR: u64 = 8;

/// Tokens of a program that one process has passed to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessUsage {
    /// VM of the process.
    pub vm: VmName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Total over all turns of the program.
    pub tokens: u64,
}

/// Use of a program's budget, as far as this VM knows it.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// Tokens that all turns together may generate.
    pub budget_tokens: u64,
    /// Time after the last turn for which the row is kept.
    pub retention_us: u64,
    /// Time of the last use of the row.
    pub last_used_us: u64,
    /// The line of turns that the program began with; sub-agents have lines of their own.
    pub main_line: Option<u64>,
    /// Tokens passed to callers, for each process that served the program.
    pub spent: SmallVec<[ProcessUsage; 2]>,
    /// Tokens that turns running on this VM without a reservation may still generate at most.
    pub running_tokens: u64,
    /// Tokens reserved by this VM that no turn uses yet.
    pub reserved_tokens: u64,
    /// Time at which this VM first heard of the program.
    pub first_seen_us: u64,
    /// Turns that this VM knows of.
    pub turns: u32,
    /// Expected time of the turns that follow the last one on this VM.
    pub following_us: u64,
    /// Times that all VMs lost their memory and perhaps earlier turns of the program with it.
    pub losses: u32,
    /// Whether the program has a record in the store.
    pub has_record: bool,
    /// Whether the system keeps the program's turns.
    pub keeps_turns: bool,
    /// Whether the budget is used up.
    pub is_stopped: bool,
    /// Whether a reservation in the store is in flight.
    pub is_reserving: bool,
    /// Calls that wait for the reservation in flight.
    pub waiting: SmallVec<[CallId; 2]>,
    /// The round of summaries that reports the last change to other VMs.
    pub changed_round: u64,
    /// Engine of the last turn on this VM and the number of tokens that it may have cached.
    pub cached: Option<(UpstreamName, u64)>,
}

/// The part of the budget from which a turn takes its tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coverage {
    /// The free part, which needs no record.
    Free,
    /// Tokens reserved in the store.
    Reserved,
}

/// Result of a request to run one more turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The turn may run; its tokens have been taken.
    Covered(Coverage),
    /// Tokens have to be reserved in the store first.
    NeedsReservation {
        /// The least number of tokens to reserve.
        needed_tokens: u64,
    },
    /// The budget has no room for the turn.
    Exhausted,
}

impl Budget {
    /// Returns the tokens known to be used plus the most that running turns may use.
    pub fn known_tokens(&self) -> u64 {
        let spent: u64 = self.spent.iter().map(|row| row.tokens).sum();
        spent + self.running_tokens
    }

    /// Returns whether a new record of the budget would have room for `needed_tokens`.
    fn fits_in_new_record(&self, turn_tokens: u64, needed_tokens: u64) -> bool {
        let free = FreeAllowance::of(self.budget_tokens, turn_tokens, self.losses);
        free.unrecorded_tokens.saturating_add(needed_tokens) <= self.budget_tokens
    }

    /// Returns whether a turn of a line may use the free part of the budget.
    fn needs_no_reservation(&self, line: Option<u64>, turn_tokens: u64) -> bool {
        let free = FreeAllowance::of(self.budget_tokens, turn_tokens, self.losses);
        let is_main = line == self.main_line;
        !self.has_record
            && free.is_usable
            && (is_main || free.allows_agents)
            && self.known_tokens() <= free.tokens
    }

    /// Returns whether the first known turn of a program on a route that keeps turns may run,
    /// although the free part may have been used before a loss of memory.
    ///
    /// New programs go on from kept turns right after such a loss. A budget may be exceeded by one
    /// turn, so one turn before each loss and one after it fit if those before it are no more than
    /// the budget.
    fn covers_first_turn(&self, line: Option<u64>, turn_tokens: u64) -> bool {
        let lost_tokens = u64::from(self.losses).saturating_mul(turn_tokens);
        self.keeps_turns
            && !self.has_record
            && line == self.main_line
            && self.known_tokens() == 0
            && lost_tokens <= self.budget_tokens
    }

    /// Takes the tokens of one more turn from the budget if there are enough.
    pub fn cover(&mut self, line: Option<u64>, turn_tokens: u64) -> BudgetDecision {
        let known = self.known_tokens();
        if self.is_stopped || turn_tokens > self.budget_tokens {
            return BudgetDecision::Exhausted;
        }
        if self.needs_no_reservation(line, turn_tokens) || self.covers_first_turn(line, turn_tokens)
        {
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

    /// Releases the tokens of a turn that ended on this VM; of reserved ones, only the unused part.
    pub fn settle_turn(&mut self, cover: Coverage, turn_tokens: u64, used_tokens: u64) {
        match cover {
            Coverage::Free => self.running_tokens = self.running_tokens.saturating_sub(turn_tokens),
            Coverage::Reserved => self.reserved_tokens += turn_tokens.saturating_sub(used_tokens),
        }
    }

    /// Records the total that a process has passed to callers; a lower total is ignored.
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

    /// Returns the total that a process has passed to callers.
    pub fn spent_by(&self, vm: &VmName, incarnation: Incarnation) -> u64 {
        self.spent
            .iter()
            .find(|row| row.vm == *vm && row.incarnation == incarnation)
            .map_or(0, |row| row.tokens)
    }
}

/// The free part of a budget, which may be used without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FreeAllowance {
    /// Whether the budget has a free part.
    is_usable: bool,
    /// Whether sub-agents may use it too.
    ///
    /// Turns of one line run one after another, so few of them are unknown to other VMs.
    /// Sub-agents start on several VMs at once, and only a large budget has room for so many
    /// unknown turns.
    allows_agents: bool,
    /// Known use up to which another turn needs no reservation.
    tokens: u64,
    /// Tokens that may have been used at most without a record.
    unrecorded_tokens: u64,
}

impl FreeAllowance {
    /// Computes the free part of a budget.
    fn of(budget_tokens: u64, turn_tokens: u64, losses: u32) -> Self {
        // A budget may be exceeded by one turn.
        let max_tokens = budget_tokens + turn_tokens;
        let is_ample = budget_tokens >= MIN_TURNS_FOR_AGENTS * turn_tokens;
        let free_tokens = budget_tokens / FREE_DIVISOR;
        let with = |free_tokens, unseen_turns| {
            Self::for_unseen_turns(
                budget_tokens,
                turn_tokens,
                losses,
                free_tokens,
                unseen_turns,
            )
        };
        let parallel = with(free_tokens, MAX_UNSEEN_PARALLEL_TURNS);
        if is_ample && parallel.unrecorded_tokens <= max_tokens {
            return Self {
                allows_agents: true,
                ..parallel
            };
        }
        let line = with(free_tokens, MAX_UNSEEN_TURNS);
        Self {
            is_usable: line.unrecorded_tokens <= max_tokens,
            ..line
        }
    }

    /// Computes the free part if turns may start until `tokens` are known to be used, and
    /// `unseen_turns` turns may run before all VMs know that.
    ///
    /// One of these turns is not counted, because a budget may be exceeded by one turn. After each
    /// loss of memory, the free part may be used once more.
    fn for_unseen_turns(
        budget_tokens: u64,
        turn_tokens: u64,
        losses: u32,
        tokens: u64,
        unseen_turns: u64,
    ) -> Self {
        let unseen_tokens = (unseen_turns - 1) * turn_tokens;
        let reused_tokens = u64::from(losses).saturating_mul(tokens + turn_tokens);
        Self {
            is_usable: true,
            allows_agents: false,
            tokens,
            unrecorded_tokens: (tokens + unseen_tokens)
                .saturating_add(reused_tokens)
                .max(budget_tokens / UNRECORDED_DIVISOR),
        }
    }
}

/// Record of a program's budget in the store.
///
/// It is changed by conditional writes only, so no token is reserved twice.
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
    /// Program whose budget it is.
    pub program: ProgramKey,
    /// Tokens that all turns together may generate.
    pub budget_tokens: u64,
    /// Tokens that are reserved or counted as used.
    pub taken_tokens: u64,
    /// Whether the budget is used up.
    pub is_stopped: bool,
}

impl BudgetRecord {
    /// Creates the record of a program that has used the free part of its budget.
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

    /// Creates the record of a program that has used up its budget without a record.
    pub fn stopped(program: ProgramKey, budget_tokens: u64) -> Self {
        Self {
            program,
            budget_tokens,
            taken_tokens: budget_tokens,
            is_stopped: true,
        }
    }

    /// Reserves at least `needed_tokens` and returns the number reserved.
    ///
    /// Returns 0 and stops the budget if fewer tokens are left.
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
