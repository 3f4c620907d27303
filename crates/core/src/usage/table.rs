//! The claims that a storage VM holds.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::{ProcessClaim, ProgramClaims, UsageClaim};
use crate::ids::{ProgramKey, VmName};
use crate::tables::Table;

/// Time after the last claim for which a program is kept; longer than programs pause.
const RETENTION_US: u64 = 300_000_000;

/// Memory of a program besides its name and what its row has no room for, in bytes: its row and the
/// spare room of a growing table, its places in the indexes and the headers of its allocations.
const ROW_BYTES: usize = 512;

/// A program with the time of its last claim.
#[derive(Debug, Clone)]
struct Row {
    program: ProgramKey,
    claims: ProgramClaims,
    last_used_us: u64,
    /// Number of the log segment that holds its last record; `None` before it is on the disk.
    segment: Option<u64>,
}

impl Row {
    fn new(program: ProgramKey) -> Self {
        Self {
            program,
            claims: ProgramClaims::default(),
            last_used_us: 0,
            segment: None,
        }
    }

    /// Returns the memory of the program in bytes.
    fn bytes(&self) -> usize {
        let rows = &self.claims.rows;
        let spilled = rows.len().saturating_sub(rows.inline_size());
        // A list that has no room left doubles.
        let spilled_bytes = 2 * spilled * size_of::<ProcessClaim>();
        program_bytes(&self.program) + spilled_bytes
    }
}

/// Returns the memory of a program with few claims in bytes.
fn program_bytes(program: &ProgramKey) -> usize {
    ROW_BYTES + program.account.as_str().len() + program.name.as_str().len()
}

/// The claims on the budgets of programs, as one storage VM knows them.
#[derive(Debug)]
pub struct UsageTable {
    rows: Table<ProgramKey, Row>,
    /// Programs by the time of their last claim.
    by_time: BTreeSet<(u64, ProgramKey)>,
    /// Names of VMs that claim, each held once; there are few.
    vms: HashSet<VmName>,
    /// Number of programs whose last record each log segment holds.
    segments: BTreeMap<u64, usize>,
    /// Memory of all programs in bytes.
    bytes: usize,
    max_bytes: usize,
}

impl Default for UsageTable {
    /// Creates an empty table without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

/// # Claims
impl UsageTable {
    /// Creates an empty table that has room for new programs while all of them take less than
    /// `max_bytes` of memory.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            rows: Table::default(),
            by_time: BTreeSet::new(),
            vms: HashSet::new(),
            segments: BTreeMap::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns whether a program is known or has room in the memory.
    ///
    /// A claim of a program without room is to be refused: if another program were forgotten for
    /// it, what that one has used would be granted again.
    pub fn has_room(&self, program: &ProgramKey) -> bool {
        let is_known = self.rows.contains_key(program);
        is_known || self.bytes.saturating_add(program_bytes(program)) <= self.max_bytes
    }

    /// Records a claim; returns whether its turn is granted, and all claims on the budget.
    ///
    /// See [`ProgramClaims::record`] for `is_decided`.
    pub fn record(
        &mut self,
        claim: &UsageClaim,
        is_decided: bool,
        now_us: u64,
    ) -> (bool, ProgramClaims) {
        self.update(&claim.program, now_us, |claims| {
            let is_granted = claims.record(claim, is_decided);
            (is_granted, claims.clone())
        })
    }

    /// Restores claims that were recorded before a restart.
    pub fn restore(&mut self, program: &ProgramKey, claims: ProgramClaims, now_us: u64) {
        self.update(program, now_us, |known| *known = claims);
    }

    /// Changes the claims on the budget of a program that is used now.
    fn update<T>(
        &mut self,
        program: &ProgramKey,
        now_us: u64,
        change: impl FnOnce(&mut ProgramClaims) -> T,
    ) -> T {
        if !self.rows.contains_key(program) {
            self.bytes += program_bytes(program);
        }
        let row = self
            .rows
            .get_or_insert_with(program, || Row::new(program.clone()));
        let bytes_before = row.bytes();
        let result = change(&mut row.claims);
        for claim in &mut row.claims.rows {
            match self.vms.get(&claim.vm) {
                Some(known) => claim.vm = known.clone(),
                None => {
                    self.vms.insert(claim.vm.clone());
                }
            }
        }
        self.bytes = self.bytes - bytes_before + row.bytes();
        let last_used_us = std::mem::replace(&mut row.last_used_us, now_us);
        let program = row.program.clone();
        self.by_time.remove(&(last_used_us, program.clone()));
        self.by_time.insert((now_us, program));
        result
    }
}

/// # Reading
impl UsageTable {
    /// Returns the number of programs.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no program is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the memory of all programs in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// # Log segments
impl UsageTable {
    /// Sets the log segment that holds the last record of a program; earlier segments are ignored.
    pub fn set_segment(&mut self, program: &ProgramKey, segment: u64) {
        let Some(row) = self.rows.get_mut(program) else {
            return;
        };
        if row.segment.is_some_and(|known| known >= segment) {
            return;
        }
        let before = row.segment.replace(segment);
        *self.segments.entry(segment).or_default() += 1;
        self.leave_segment(before);
    }

    /// Counts a program less in a segment.
    fn leave_segment(&mut self, segment: Option<u64>) {
        let Some(segment) = segment else {
            return;
        };
        if let Some(count) = self.segments.get_mut(&segment) {
            *count -= 1;
            if *count == 0 {
                self.segments.remove(&segment);
            }
        }
    }

    /// Returns the number of programs whose last record a segment holds.
    pub fn programs_in(&self, segment: u64) -> usize {
        self.segments.get(&segment).copied().unwrap_or_default()
    }

    /// Returns the programs whose last record a segment holds, with all claims on their budgets.
    pub fn claims_in(&self, segment: u64) -> Vec<(ProgramKey, ProgramClaims)> {
        let rows = self.rows.iter().map(|(_, row)| row);
        let rows = rows.filter(|row| row.segment == Some(segment));
        rows.map(|row| (row.program.clone(), row.claims.clone()))
            .collect()
    }
}

/// # Expiry
impl UsageTable {
    /// Removes the programs without claims for their retention time.
    ///
    /// Returns the time before which no claim is kept.
    pub fn expire(&mut self, now_us: u64) -> u64 {
        let kept_from_us = now_us.saturating_sub(RETENTION_US);
        while let Some((used_us, _)) = self.by_time.first()
            && *used_us < kept_from_us
        {
            let Some((_, program)) = self.by_time.pop_first() else {
                break;
            };
            if let Some(row) = self.rows.remove(&program) {
                self.bytes -= row.bytes();
                self.leave_segment(row.segment);
            }
        }
        kept_from_us
    }
}
