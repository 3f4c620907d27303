//! Token budgets of programs whose turns may arrive at any VM.
//!
//! A program with little use runs on claims that storage VMs record (the free part of its budget).
//! Beyond that, tokens are reserved in a record in the store.

use smallvec::SmallVec;

use crate::usage::{ProcessClaim, TurnClaim};

use crate::ids::{CallId, Incarnation, ProgramKey, UpstreamName, VmName};

/// Divisor of the budget that gives the part usable without a record in the store.
///
/// All of it may be granted once more when the storage VMs that know of its use are replaced faster
/// than the program claims.
const FREE_DIVISOR: u64 = 4;

/// Divisor of the budget that gives the least part that a new record counts as used if no storage VM
/// counts claims.
const UNCOUNTED_DIVISOR: u64 = 2;

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
    /// What the process has claimed while it was not heard; it may not have passed on all of that.
    pub claimed_tokens: u64,
    /// Version of that claim.
    pub claim_version: u64,
}

impl ProcessUsage {
    /// Returns the most that the process may have passed to callers, as far as this VM knows.
    pub fn most_tokens(&self) -> u64 {
        self.tokens.max(self.claimed_tokens)
    }
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
    /// Whether no more turns may use the free part.
    pub is_closed: bool,
    /// Version of the last claim of this process.
    pub claim_version: u64,
    /// The request to storage VMs in flight.
    pub pending_claim: Option<PendingClaim>,
    /// Whether storage VMs may count more than this process uses.
    pub must_report: bool,
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
    /// Times that all VMs lost their memory and perhaps earlier turns of the program with it, for
    /// builds that guess from it what has been used.
    pub losses: u32,
    /// Whether the program has a record in the store.
    pub has_record: bool,
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

/// A request to storage VMs about a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingClaim {
    /// A turn that would use the free part.
    Turn {
        /// The call of the turn.
        call: CallId,
        /// The most tokens that it may generate.
        turn_tokens: u64,
    },
    /// No more turns use the free part, since a record is to be made.
    Close {
        /// The most tokens that one turn may generate.
        turn_tokens: u64,
        /// The least number of tokens to reserve in the record.
        needed_tokens: u64,
    },
}

/// Result of a request to run one more turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The turn may run; its tokens have been taken.
    Covered(Coverage),
    /// Storage VMs have to record the turn first.
    NeedsClaim,
    /// Tokens have to be reserved in the store first.
    NeedsReservation {
        /// The least number of tokens to reserve.
        needed_tokens: u64,
    },
    /// The budget has no room for the turn.
    Exhausted,
}

/// # Use
impl Budget {
    /// Returns the tokens known to be used plus the most that running turns may use.
    pub fn known_tokens(&self) -> u64 {
        self.spent_tokens().saturating_add(self.running_tokens)
    }

    /// Returns the most that all processes may have passed to callers, as far as this VM knows.
    fn spent_tokens(&self) -> u64 {
        self.spent.iter().map(ProcessUsage::most_tokens).sum()
    }

    /// Returns the tokens that count as used: those that processes have passed to callers, and all
    /// that ended processes claimed.
    fn used_tokens(&self) -> u64 {
        self.spent.iter().map(|row| row.tokens).sum()
    }

    /// Returns whether what is certainly used leaves no room for a turn.
    pub fn is_used_up(&self, turn_tokens: u64) -> bool {
        self.is_stopped || self.used_tokens().saturating_add(turn_tokens) > self.budget_tokens
    }

    /// Returns the known use up to which another turn may use the free part.
    fn free_tokens(&self) -> u64 {
        self.budget_tokens / FREE_DIVISOR
    }

    /// Returns the most that can have been used without a record, whoever has been granted it.
    pub fn unrecorded_tokens(&self, turn_tokens: u64) -> u64 {
        let granted = self.free_tokens().saturating_add(turn_tokens);
        granted.max(self.known_tokens())
    }

    /// Returns the same if no storage VM counts claims, so that VMs grant what reports leave over.
    ///
    /// After each loss of memory, the free part may have been used once more.
    pub fn uncounted_tokens(&self, turn_tokens: u64) -> u64 {
        let granted = self.free_tokens().saturating_add(turn_tokens);
        let granted_before = u64::from(self.losses).saturating_mul(granted);
        let half = self.budget_tokens / UNCOUNTED_DIVISOR;
        granted_before.saturating_add(self.known_tokens()).max(half)
    }

    /// Returns whether the budget has room for the free part of each time before and after a loss of
    /// memory, if no storage VM counts claims.
    pub fn is_uncounted_free(&self, turn_tokens: u64) -> bool {
        let granted = self.free_tokens().saturating_add(turn_tokens);
        let times = u64::from(self.losses).saturating_add(1);
        times.saturating_mul(granted) <= self.budget_tokens.saturating_add(turn_tokens)
    }

    /// Returns whether the free part has room for one more turn, as far as this VM knows.
    pub fn may_be_free(&self, turn_tokens: u64) -> bool {
        self.has_free_room(self.known_tokens(), turn_tokens)
    }

    /// Returns whether it would have room if claims of processes that are not heard were unused, so
    /// that storage VMs have to be asked.
    fn needs_claim(&self, turn_tokens: u64) -> bool {
        let known_tokens = self.used_tokens().saturating_add(self.running_tokens);
        self.has_free_room(known_tokens, turn_tokens)
    }

    /// Returns whether the free part has room for a turn beside the known tokens.
    fn has_free_room(&self, known_tokens: u64, turn_tokens: u64) -> bool {
        !self.has_record
            && !self.is_closed
            && known_tokens <= self.free_tokens()
            && known_tokens.saturating_add(turn_tokens) <= self.budget_tokens
    }
}

/// # Turns
impl Budget {
    /// Takes the tokens of one more turn from the budget if there are enough.
    ///
    /// A turn is refused for good only if what counts as used leaves no room.
    pub fn cover(&mut self, turn_tokens: u64) -> BudgetDecision {
        if self.is_used_up(turn_tokens) {
            return BudgetDecision::Exhausted;
        }
        if self.needs_claim(turn_tokens) {
            return BudgetDecision::NeedsClaim;
        }
        if self.reserved_tokens < turn_tokens {
            let needed_tokens = turn_tokens - self.reserved_tokens;
            return BudgetDecision::NeedsReservation { needed_tokens };
        }
        self.reserved_tokens -= turn_tokens;
        BudgetDecision::Covered(Coverage::Reserved)
    }

    /// Returns the claim of this process, with its running turns.
    ///
    /// A granted turn counts with the version after it, so that each claim has two.
    pub fn own_claim(&mut self, vm: &VmName, incarnation: Incarnation) -> ProcessClaim {
        self.claim_version += 2;
        ProcessClaim {
            vm: vm.clone(),
            incarnation,
            version: self.claim_version,
            tokens: self.spent_by(vm, incarnation) + self.running_tokens,
        }
    }

    /// Returns the claim for a turn that is to use the free part.
    pub fn turn_claim(&self, turn_tokens: u64) -> TurnClaim {
        TurnClaim {
            turn_tokens,
            free_tokens: self.free_tokens(),
            budget_tokens: self.budget_tokens,
        }
    }

    /// Releases the tokens of a turn that ended on this VM; of reserved ones, only the unused part.
    pub fn settle_turn(&mut self, cover: Coverage, turn_tokens: u64, used_tokens: u64) {
        match cover {
            Coverage::Free => self.running_tokens = self.running_tokens.saturating_sub(turn_tokens),
            Coverage::Reserved => self.reserved_tokens += turn_tokens.saturating_sub(used_tokens),
        }
    }

    /// Records the total that a process has passed to callers; a lower total is ignored.
    ///
    /// The process is heard, so that its claims are no longer needed.
    pub fn set_spent(&mut self, vm: &VmName, incarnation: Incarnation, tokens: u64) {
        let row = self.usage_of(vm, incarnation);
        row.tokens = row.tokens.max(tokens);
        row.claimed_tokens = 0;
        row.claim_version = 0;
    }

    /// Records what a process that is not heard has claimed; without a record in the store, its
    /// last claim counts all of its turns, so that it replaces what was known.
    ///
    /// If the process has ended, all that it claimed counts as used.
    pub fn set_claimed(&mut self, claim: &ProcessClaim, has_ended: bool) {
        let is_complete = !self.has_record;
        let row = self.usage_of(&claim.vm, claim.incarnation);
        row.claim_version = claim.version;
        row.claimed_tokens = claim.tokens;
        if has_ended && is_complete {
            row.tokens = claim.tokens;
        } else if has_ended {
            row.tokens = row.tokens.max(claim.tokens);
        }
    }

    /// Returns the row of a process, which is added if it is not known.
    fn usage_of(&mut self, vm: &VmName, incarnation: Incarnation) -> &mut ProcessUsage {
        let is_same = |row: &ProcessUsage| row.vm == *vm && row.incarnation == incarnation;
        let known = self.spent.iter().position(is_same);
        let at = known.unwrap_or_else(|| {
            self.spent.push(ProcessUsage {
                vm: vm.clone(),
                incarnation,
                tokens: 0,
                claimed_tokens: 0,
                claim_version: 0,
            });
            self.spent.len() - 1
        });
        &mut self.spent[at]
    }

    /// Returns the total that a process has passed to callers.
    pub fn spent_by(&self, vm: &VmName, incarnation: Incarnation) -> u64 {
        self.spent
            .iter()
            .find(|row| row.vm == *vm && row.incarnation == incarnation)
            .map_or(0, |row| row.tokens)
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
/// let mut record = BudgetRecord::new(program, 1_000, 500);
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
    /// Creates the record of a program that has used up to `taken_tokens` without one.
    pub fn new(program: ProgramKey, budget_tokens: u64, taken_tokens: u64) -> Self {
        Self {
            program,
            budget_tokens,
            taken_tokens: taken_tokens.min(budget_tokens),
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

    /// Gives back reserved tokens that no turn has used.
    pub fn release(&mut self, tokens: u64) {
        self.taken_tokens = self.taken_tokens.saturating_sub(tokens);
    }
}
