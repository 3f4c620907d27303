//! Guards against kept turns that are lost, changed or falsely called unknown while storage VMs
//! lose power or their disks, are replaced or leave, in random runs within the tolerance.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use knapweeddale_core::TurnId;
use knapweeddale_core::turns::{
    CopyPlan, CopyStep, HolderSet, HolderVm, LookupStep, RejectedTurn, StoredTurn, StoredTurns,
    TurnAnswer, TurnKey, TurnLookup,
};
use knapweeddale_testing::{Random, many_seeds};
use rstest::rstest;

type Address = Arc<str>;

const RETENTION_MS: u64 = 60_000;

/// Size of a page of copies; small, so that VMs lose power between pages.
const PAGE_BYTES: usize = 30;

const MAX_NAMED_HOLDERS: usize = 8;

/// Power losses in 1,000 writes and pages.
const LOSSES_PER_MILLE: u64 = 15;

/// Rounds of copies after which nothing changes any more.
const ROUNDS: usize = 8;

const MAX_VMS: u64 = 12;

#[derive(Default)]
struct Vm {
    address: Address,
    turns: StoredTurns,
    /// Synced turns, in the order of the log.
    log: Vec<StoredTurn>,
    is_up: bool,
    /// The other VMs that it knows, and whether it takes them for lost.
    members: BTreeMap<Address, bool>,
    process: u64,
    cursors: BTreeMap<Address, (u64, u64)>,
}

impl Vm {
    fn others(&self, is_lost: bool) -> Vec<Address> {
        let others = self.members.iter().filter(|(_, lost)| **lost == is_lost);
        others.map(|(address, _)| Arc::clone(address)).collect()
    }

    fn holder_set(&self, lost: &[Address], tolerated_losses: usize) -> HolderSet {
        let vms = self.members.iter().chain([(&self.address, &false)]);
        let vms = vms.map(|(address, is_lost)| HolderVm {
            address: Arc::clone(address),
            region: Arc::from("north"),
            is_lost: *is_lost || lost.contains(address),
        });
        HolderSet::new(vms.collect(), tolerated_losses)
    }
}

/// Storage VMs and what callers were told.
struct Model {
    /// The VMs whose disks exist.
    vms: Vec<Vm>,
    /// The addresses that the store names, also those of VMs that are gone for good.
    registered: Vec<Address>,
    /// The chain of each turn that was answered whole, and until when it is kept.
    answered: BTreeMap<TurnKey, (Vec<u8>, u64)>,
    tolerated_losses: usize,
    /// Disks that were lost since all VMs had last caught up.
    lost_disks: usize,
    losses_per_mille: u64,
    random: Random,
    now_us: u64,
    next_id: u64,
}

/// # Storage VMs
impl Model {
    /// Starts a VM at a new address with an empty disk.
    fn join(&mut self) {
        self.next_id += 1;
        self.vms.push(Vm {
            address: Arc::from(format!("vm-{}", self.next_id)),
            ..Vm::default()
        });
        self.start(self.vms.len() - 1);
    }

    /// Starts the process of a VM with what was synced.
    fn start(&mut self, index: usize) {
        self.next_id += 1;
        let vm = &mut self.vms[index];
        vm.process = self.next_id;
        vm.cursors.clear();
        vm.is_up = true;
        vm.members.clear();
        vm.turns = StoredTurns::new(usize::MAX);
        for turn in &vm.log {
            vm.turns.insert(turn.clone(), 1, self.now_us);
        }
    }

    /// Returns the VM at an address if it runs.
    fn vm(&mut self, address: &Address) -> Option<&mut Vm> {
        let mut running = self.vms.iter_mut().filter(|vm| vm.is_up);
        running.find(|vm| vm.address == *address)
    }

    fn shuffle(&mut self, mut addresses: Vec<Address>) -> Vec<Address> {
        addresses.sort_by_cached_key(|_| self.random.next_u64());
        addresses
    }

    /// Stores turns on a VM, which then names itself as one of their holders; returns `None` if it
    /// loses power before all are synced.
    fn append(&mut self, to: &Address, turns: Vec<StoredTurn>) -> Option<Result<(), RejectedTurn>> {
        let loses_power = self.random.per_mille(self.losses_per_mille);
        let now_us = self.now_us;
        let vm = self.vm(to)?;
        let mut new = Vec::new();
        for mut turn in turns {
            if !turn.copies.contains(to) && turn.copies.len() < MAX_NAMED_HOLDERS {
                turn.copies.push(Arc::clone(to));
            }
            match vm.turns.check(&turn, &new) {
                Ok(true) => new.push(turn),
                Ok(false) => vm.turns.insert(turn, 1, now_us),
                Err(error) => return Some(Err(error)),
            }
        }
        vm.is_up = !loses_power;
        for turn in &new {
            vm.turns.insert(turn.clone(), 1, now_us);
        }
        let synced = new.len() >> u32::from(loses_power);
        vm.log.extend(new.into_iter().take(synced));
        vm.is_up.then_some(Ok(()))
    }

    /// Copies what a VM is to hold and lacks from another one; returns `None` if one of them loses
    /// power.
    fn copy(&mut self, to: &Address, from: &Address, lost: &[Address]) -> Option<()> {
        let tolerated_losses = self.tolerated_losses;
        let cursor = self.vm(to)?.cursors.get(from).copied();
        let source = self.vm(from)?;
        let process = source.process;
        let from_number = cursor.filter(|c| c.0 == process).map_or(0, |c| c.1);
        source.members.entry(Arc::clone(to)).or_default();
        let holders = source.holder_set(lost, tolerated_losses);
        let offers = source.turns.offered_chains(&holders, to, from, from_number);
        let mut done: HashSet<u64> = HashSet::new();
        loop {
            let mut held = self.vm(to)?.turns.digests();
            held.extend(&done);
            let mut lacking = offers.lacking(&held);
            lacking.truncate(8);
            let wanted: HashSet<u64> = lacking.iter().copied().collect();
            if wanted.is_empty() {
                break;
            }
            let turns = self.vm(from)?.turns.turns_of(&wanted, PAGE_BYTES);
            if turns.is_empty() {
                done.extend(wanted);
                continue;
            }
            done.extend(turns.iter().map(|turn| turn.key.digest()));
            let stored = self.append(to, turns)?;
            stored.expect("turns in an order in which they can be stored");
            self.vm(from)?.is_up = !self.random.per_mille(self.losses_per_mille);
        }
        let held = self.vm(to)?.turns.digests();
        let unnamed: HashSet<u64> = offers
            .unnamed
            .iter()
            .copied()
            .filter(|d| held.contains(d))
            .collect();
        if self.random.below(8) > 0 {
            let source = self.vm(from)?;
            let holders = source.holder_set(&[], tolerated_losses);
            source.turns.add_holder(&unnamed, to, &holders);
        }
        self.vm(to)?
            .cursors
            .insert(Arc::clone(from), (process, offers.next_number));
        Some(())
    }

    /// Has a VM register, copy what it is to hold from the others and probe them.
    fn repair(&mut self, address: &Address) -> Option<()> {
        self.vm(address)?;
        let is_store_away = self.losses_per_mille > 0 && self.random.below(2) == 0;
        if !is_store_away {
            self.registered.retain(|other| other != address);
            let known: Vec<_> = self
                .registered
                .iter()
                .cloned()
                .map(|other| (other, false))
                .collect();
            self.registered.push(Arc::clone(address));
            let vm = self.vm(address)?;
            vm.members = known
                .into_iter()
                .chain(std::mem::take(&mut vm.members))
                .collect();
        }
        let vm = self.vm(address)?;
        let (living, lost) = (vm.others(false), vm.others(true));
        for other in self.shuffle(living) {
            self.copy(address, &other, &lost);
        }
        let running = self.vms.iter().filter(|vm| vm.is_up);
        let running: Vec<Address> = running.map(|vm| Arc::clone(&vm.address)).collect();
        for (other, is_lost) in &mut self.vm(address)?.members {
            *is_lost = !running.contains(other);
        }
        Some(())
    }

    /// Has all VMs start and copy until nothing changes any more.
    fn catch_up(&mut self) {
        let losses_per_mille = std::mem::take(&mut self.losses_per_mille);
        for index in 0..self.vms.len() {
            if !self.vms[index].is_up {
                self.start(index);
            }
        }
        for _ in 0..ROUNDS {
            let addresses = self.vms.iter().map(|vm| Arc::clone(&vm.address));
            for address in self.shuffle(addresses.collect()) {
                self.repair(&address);
            }
        }
        (self.losses_per_mille, self.lost_disks) = (losses_per_mille, 0);
        for key in self.answered.keys() {
            let holders = self.vms.iter().filter(|vm| vm.turns.chain(key).is_some());
            let holders: Vec<&Address> = holders.map(|vm| &vm.address).collect();
            let is_safe = holders.len() > self.tolerated_losses;
            assert!(is_safe, "{key:?} is on {holders:?} only");
        }
    }
}

/// # Faults
impl Model {
    fn may_lose_disk(&self) -> bool {
        self.lost_disks < self.tolerated_losses
    }

    /// Cuts the power of a VM, empties its disk and starts it again.
    fn lose_disk(&mut self, index: usize) {
        self.lost_disks += 1;
        self.vms[index].log.clear();
        self.start(index);
    }

    /// Has the others take over the turns of a VM, then removes it for good.
    ///
    /// Its disk counts as lost unless enough others have taken over; it stays if none may be lost.
    fn leave(&mut self, index: usize) {
        let address = Arc::clone(&self.vms[index].address);
        let others = self.vms[index].others(false);
        let mut is_handed_over = others.len() > self.tolerated_losses;
        for other in others {
            let lost = self.vm(&other).map(|vm| vm.others(true));
            let lost = [lost.unwrap_or_default(), vec![Arc::clone(&address)]].concat();
            is_handed_over &= self.copy(&other, &address, &lost).is_some();
        }
        if is_handed_over || self.may_lose_disk() {
            self.lost_disks += usize::from(!is_handed_over);
            self.vms.remove(index);
        }
    }

    /// Runs one random step.
    fn step(&mut self) {
        let index = self.random.below(self.vms.len() as u64) as usize;
        let address = Arc::clone(&self.vms[index].address);
        let kind = self.random.below(16);
        println!("step {kind} at {address}");
        match kind {
            0 => self.vms[index].is_up = false,
            1 => self.start(index),
            2 if self.may_lose_disk() => self.lose_disk(index),
            3 if self.may_lose_disk() => {
                self.lose_disk(index);
                self.vms.remove(index);
                self.join();
            }
            4 if self.vms.len() < MAX_VMS as usize => {
                self.join();
                self.leave(index);
            }
            // All lose power at the same time.
            5 => (0..self.vms.len()).for_each(|index| {
                match self.may_lose_disk() && self.random.below(3) == 0 {
                    true => self.lose_disk(index),
                    false => self.start(index),
                }
            }),
            6 => self.catch_up(),
            7..10 => drop(self.repair(&address)),
            _ => self.run_turn(),
        }
    }
}

/// # Callers
impl Model {
    /// Looks a turn up; returns its chain, or the last step of the search.
    fn find(&mut self, key: &TurnKey) -> Result<Vec<u8>, LookupStep> {
        let known = self.shuffle(self.registered.clone());
        let mut lookup = TurnLookup::new(known, self.tolerated_losses + 1);
        let mut asked = Vec::new();
        let mut step = lookup.start();
        loop {
            match step {
                LookupStep::Ask(addresses) => asked.extend(addresses),
                LookupStep::Wait => {}
                end => return Err(end),
            }
            let vm = self.vm(&asked.pop().expect("an open request"));
            // A VM that has lost its disk calls turns absent too: within the tolerance, another
            // one has them or does not answer.
            step = match vm.map(|vm| vm.turns.chain(key)) {
                Some(Some(contents)) => return Ok(contents.concat()),
                Some(None) => lookup.record(TurnAnswer::Absent),
                None => lookup.record(TurnAnswer::Unknown),
            };
        }
    }

    /// Checks that each turn is found, unless more VMs are lost or down than may be.
    fn check(&mut self) {
        let down = self.vms.iter().filter(|vm| !vm.is_up).count();
        let is_tolerated = down + self.lost_disks <= self.tolerated_losses;
        let keys: Vec<TurnKey> = self.answered.keys().cloned().collect();
        for key in keys {
            let found = self.find(&key);
            if is_tolerated || found != Err(LookupStep::Unavailable) {
                assert_eq!(found.as_ref(), Ok(&self.answered[&key].0), "{key:?}");
            }
        }
    }

    /// Runs a turn that goes on from a random one, or begins a chain.
    fn run_turn(&mut self) {
        let at = self.random.below(self.answered.len() as u64 + 2) as usize;
        let previous = self.answered.keys().nth(at).cloned();
        let earlier = previous.as_ref().map(|key| self.find(key));
        let Ok(earlier) = earlier.unwrap_or(Ok(Vec::new())) else {
            return;
        };
        self.now_us += self.random.below(2_000_000);
        let now_us = self.now_us;
        self.answered.retain(|_, (_, until_us)| *until_us > now_us);
        self.vms
            .iter_mut()
            .for_each(|vm| drop(vm.turns.expire(now_us)));
        self.next_id += 1;
        let id = format!("t{}", self.next_id);
        let addresses = self.shuffle(self.registered.clone());
        let mut plan = CopyPlan::new(addresses, self.tolerated_losses);
        let mut open = plan.start();
        let key = |id| TurnKey { account: None, id };
        let turn = StoredTurn {
            key: key(TurnId::from(id.as_str())),
            previous: previous.map(|key| key.id),
            content: Arc::from(id.into_bytes()),
            retention_ms: RETENTION_MS,
            copies: open.iter().cloned().collect(),
        };
        let chain = [&earlier[..], &turn.content].concat();
        let before = turn.previous.clone().map(|id| StoredTurn {
            key: key(id),
            previous: None,
            content: Arc::from(earlier),
            ..turn.clone()
        });
        let mut is_stored = false;
        while let Some(address) = open.pop() {
            // A VM that has the turns before this one ignores them.
            let turns = before.iter().chain([&turn]).cloned().collect();
            let answer = self.append(&address, turns);
            match plan.record(answer == Some(Ok(()))) {
                CopyStep::Send(address) => open.push(address),
                CopyStep::Stored => is_stored = true,
                CopyStep::Wait | CopyStep::Failed => {}
            }
            // A copy that is not waited for may be lost with its entry VM.
            if is_stored && self.random.below(2) == 0 {
                break;
            }
        }
        if is_stored {
            let until_us = self.now_us + RETENTION_MS * 1_000;
            self.answered.insert(turn.key, (chain, until_us));
        }
    }
}

#[rstest]
#[case::one_loss(1)]
#[case::two_losses(2)]
fn random_losses(#[case] tolerated_losses: usize) {
    for seed in many_seeds(8) {
        let mut model = Model {
            vms: Vec::new(),
            registered: Vec::new(),
            answered: BTreeMap::new(),
            tolerated_losses,
            lost_disks: 0,
            losses_per_mille: LOSSES_PER_MILLE,
            random: Random::new(seed),
            now_us: 0,
            next_id: 0,
        };
        let vms = model.random.between(3, MAX_VMS);
        println!("seed {seed}, {vms} VMs");
        (0..vms).for_each(|_| model.join());
        model.catch_up();
        for _ in 0..300 {
            model.step();
            model.check();
        }
    }
}
