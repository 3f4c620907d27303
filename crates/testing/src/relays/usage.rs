//! In-memory model of the storage VMs that record claims on budgets.

use std::collections::{BTreeMap, BTreeSet};

use knapweeddale_core::usage::{ClaimAnswer, ClaimResult, UsageClaim, UsageTable};
use knapweeddale_core::{Input, ProgramKey};

use super::RelayFleet;
use super::outputs::LINK_US;

/// Number of storage VMs.
const STORAGE_VMS: usize = 4;

/// Storage VMs that record each claim, one more than may be lost.
const NEEDED_VMS: usize = 2;

/// The claims that storage VMs hold, and who reaches them.
///
/// Of the storage VMs that a VM does not take for lost, the first one decides about a turn and the
/// others that are needed keep copies.
#[derive(Debug)]
pub struct UsageState {
    tables: Vec<UsageTable>,
    /// Time from a claim to its answer.
    latency_us: u64,
    is_down: bool,
    unreachable: BTreeSet<usize>,
    /// VMs that get no answer, though their claims are recorded.
    unanswered: BTreeSet<usize>,
    /// The storage VMs that a VM takes for lost.
    lost: BTreeMap<usize, usize>,
    /// The storage VMs that a VM has asked to record claims on a budget, which get its reports.
    asked: BTreeMap<(usize, ProgramKey), BTreeSet<usize>>,
    /// Number of claims that were recorded.
    pub claims: u64,
}

impl Default for UsageState {
    fn default() -> Self {
        Self {
            tables: (0..STORAGE_VMS).map(|_| UsageTable::default()).collect(),
            latency_us: 2 * LINK_US,
            is_down: false,
            unreachable: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            lost: BTreeMap::new(),
            asked: BTreeMap::new(),
            claims: 0,
        }
    }
}

impl UsageState {
    /// Makes claims be answered at once, for tests of what follows after them.
    pub fn answer_at_once(&mut self) {
        self.latency_us = 0;
    }

    /// Sets the time from a claim to its answer.
    pub fn set_latency_ms(&mut self, latency_ms: u64) {
        self.latency_us = latency_ms * 1_000;
    }

    /// Makes the storage VMs fail the claims of all VMs, or ends that.
    pub fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
    }

    /// Sets whether a VM reaches the storage VMs.
    pub fn set_reachable(&mut self, vm: usize, is_reachable: bool) {
        if is_reachable {
            self.unreachable.remove(&vm);
        } else {
            self.unreachable.insert(vm);
        }
    }

    /// Sets whether the answers to a VM are lost.
    pub fn set_answers_lost(&mut self, vm: usize, are_lost: bool) {
        if are_lost {
            self.unanswered.insert(vm);
        } else {
            self.unanswered.remove(&vm);
        }
    }

    /// Makes a VM take the first storage VMs for lost, so that others decide about its turns.
    pub fn set_lost(&mut self, vm: usize, lost: usize) {
        self.lost.insert(vm, lost);
    }

    /// Records a claim of a VM, if it reaches the storage VMs.
    fn record(&mut self, vm: usize, claim: &UsageClaim, now_us: u64) -> ClaimResult {
        if self.is_down || self.unreachable.contains(&vm) {
            return ClaimResult::Unanswered;
        }
        self.claims += 1;
        let asked = self.asked.entry((vm, claim.program.clone())).or_default();
        let receivers: Vec<usize> = if claim.is_report() {
            asked.iter().copied().collect()
        } else {
            let lost = self.lost.get(&vm).copied().unwrap_or_default();
            (lost..lost + NEEDED_VMS).collect()
        };
        asked.extend(&receivers);
        let mut answer: Option<ClaimAnswer> = None;
        for receiver in receivers {
            let table = &mut self.tables[receiver];
            let (is_granted, claims) = table.record(claim, answer.is_some(), now_us);
            match &mut answer {
                Some(answer) => answer.add(claims),
                None => {
                    answer = Some(ClaimAnswer {
                        is_granted,
                        claims,
                        ..ClaimAnswer::default()
                    });
                }
            }
        }
        match answer {
            Some(answer) if !self.unanswered.contains(&vm) => {
                ClaimResult::Recorded(Box::new(answer))
            }
            _ => ClaimResult::Unanswered,
        }
    }
}

impl RelayFleet {
    /// Sends a claim to the storage VMs and schedules their answer.
    pub(super) fn send_claim(&mut self, vm: usize, claim: &UsageClaim) {
        let result = self.usage.record(vm, claim, self.now_us);
        let program = claim.program.clone();
        if claim.is_report() {
            return;
        }
        let latency_us = self.usage.latency_us;
        self.deliver(vm, latency_us, Input::Claimed { program, result });
    }
}
