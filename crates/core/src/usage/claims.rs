//! What the processes that serve a program claim of its budget.

use smallvec::SmallVec;

use crate::ids::{Incarnation, ProgramKey, VmName};

/// Tokens that one process has used of a budget, or may still use in turns that run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ProcessClaim {
    /// VM of the process.
    pub vm: VmName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Increases with each claim of the process; the highest version counts.
    pub version: u64,
    /// Total over all turns of the program in this process.
    pub tokens: u64,
}

/// A turn that is to use the free part of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TurnClaim {
    /// The most tokens that it may generate.
    pub turn_tokens: u64,
    /// Tokens of all processes up to which it may use the free part.
    pub free_tokens: u64,
    /// Tokens that all turns together may generate.
    pub budget_tokens: u64,
}

/// A request to storage VMs to record claims on a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UsageClaim {
    /// The program that has the budget.
    pub program: ProgramKey,
    /// The claim of the asking process, without `turn`.
    pub own: ProcessClaim,
    /// What the asking process knows of others: their last claims, or what they report, with version
    /// 0. Storage VMs that were added since, or that did not answer them, learn it.
    pub others: SmallVec<[ProcessClaim; 2]>,
    /// The turn to be granted, if there is one.
    pub turn: Option<TurnClaim>,
    /// Whether the budget gets a record in the store, so that no more turns are granted.
    pub closes: bool,
}

impl UsageClaim {
    /// Returns whether this only tells what ended turns have used, so that it needs no answer.
    pub fn is_report(&self) -> bool {
        self.turn.is_none() && !self.closes
    }
}

/// The claims of all processes on one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ProgramClaims {
    /// One row for each process.
    pub rows: SmallVec<[ProcessClaim; 2]>,
    /// Whether the budget has, or is to get, a record in the store.
    pub is_closed: bool,
}

impl ProgramClaims {
    /// Records a request; returns whether its turn may use the free part.
    ///
    /// Its turn counts from then on if it is granted. If `is_decided`, another storage VM decides
    /// about the turn, and it counts here in any case.
    pub fn record(&mut self, claim: &UsageClaim, is_decided: bool) -> bool {
        for row in &claim.others {
            self.set(row.clone());
        }
        self.set(claim.own.clone());
        let Some(turn) = claim.turn else {
            self.is_closed |= claim.closes;
            return false;
        };
        let known = self.tokens();
        let is_granted = !self.is_closed
            && known <= turn.free_tokens
            && known.saturating_add(turn.turn_tokens) <= turn.budget_tokens;
        if is_granted || is_decided {
            let tokens = claim.own.tokens.saturating_add(turn.turn_tokens);
            self.set(ProcessClaim {
                version: claim.own.version + 1,
                tokens,
                ..claim.own.clone()
            });
        }
        is_granted
    }

    /// Sets the row of a process, unless a later version of it is known.
    fn set(&mut self, claim: ProcessClaim) {
        let is_same =
            |row: &&mut ProcessClaim| row.vm == claim.vm && row.incarnation == claim.incarnation;
        match self.rows.iter_mut().find(is_same) {
            Some(row) if row.version < claim.version => *row = claim,
            Some(_) => {}
            None => self.rows.push(claim),
        }
    }

    /// Returns the claimed tokens of all processes.
    pub fn tokens(&self) -> u64 {
        let tokens = self.rows.iter().map(|row| row.tokens);
        tokens.fold(0, u64::saturating_add)
    }
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ClaimResult {
    /// Enough storage VMs have recorded it.
    Recorded(Box<ClaimAnswer>),
    /// No storage VM counts claims: there are none, or all are of builds before this one.
    Uncounted,
    /// Too few storage VMs have answered.
    Unanswered,
}

/// What storage VMs answer to a claim that they have recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ClaimAnswer {
    /// Whether the turn may use the free part; the first of the storage VMs decides.
    pub is_granted: bool,
    /// The claims that this VM knows.
    pub claims: ProgramClaims,
    /// Claims that only others of them know.
    pub others: SmallVec<[ProcessClaim; 2]>,
}

impl ClaimAnswer {
    /// Returns all claims that the storage VMs know, those of the deciding one first.
    pub fn rows(&self) -> SmallVec<[ProcessClaim; 2]> {
        self.claims
            .rows
            .iter()
            .chain(&self.others)
            .cloned()
            .collect()
    }

    /// Adds what another storage VM knows; of two claims of a process, the later one counts, since a
    /// storage VM that did not answer for a time knows earlier ones.
    pub fn add(&mut self, claims: ProgramClaims) {
        self.claims.is_closed |= claims.is_closed;
        for row in claims.rows {
            let is_same = |known: &&mut ProcessClaim| {
                known.vm == row.vm && known.incarnation == row.incarnation
            };
            let known = self.claims.rows.iter_mut().chain(&mut self.others);
            match known.into_iter().find(is_same) {
                Some(known) if known.version < row.version => *known = row,
                Some(_) => {}
                None => self.others.push(row),
            }
        }
    }
}
