//! Guards against kept turns that a VM reads more than once, that it cannot store for lack of the
//! ones before them, or of which more and more VMs hold copies.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use knapweeddale_core::turns::{
    HolderSet, HolderVm, OfferedChain, Offers, StoredTurn, StoredTurns, TurnKey,
};
use knapweeddale_core::{AccountName, TurnId};
use knapweeddale_testing::{Random, seeds};
use rstest::rstest;

/// Memory for the turns of one VM.
const MAX_BYTES: usize = 1_000_000;

/// Bytes of a page of turns; a few turns fit.
const PAGE_BYTES: usize = 20;

/// VMs that may lose their disks at the same time.
const TOLERATED_LOSSES: usize = 2;

/// VMs that store each turn at first.
const FIRST_COPIES: usize = TOLERATED_LOSSES + 2;

/// A VM with a disk.
struct Vm {
    address: Arc<str>,
    turns: StoredTurns,
    is_up: bool,
    /// For each other VM, the number of the first turn that was not compared.
    cursors: HashMap<Arc<str>, u64>,
}

impl Vm {
    fn new(number: usize) -> Self {
        Self {
            address: Arc::from(format!("vm-{number}")),
            turns: StoredTurns::new(MAX_BYTES),
            is_up: true,
            cursors: HashMap::new(),
        }
    }

    /// Stores turns, each after the one it goes on from; fails if one is stored already or cannot
    /// be stored.
    fn store_new(&mut self, turns: Vec<StoredTurn>) {
        let mut batch = Vec::new();
        for turn in turns {
            let id = turn.key.id.clone();
            assert_eq!(self.turns.check(&turn, &batch), Ok(true), "{id}");
            batch.push(turn);
        }
        for turn in batch {
            self.turns.insert(turn, 1, 0);
        }
    }
}

/// VMs with a disk that all know each other.
struct Fleet {
    vms: Vec<Vm>,
    random: Random,
    /// Keys and contents with those of the turns before them.
    kept: Vec<(StoredTurn, String)>,
}

impl Fleet {
    fn new(vms: usize, seed: u64) -> Self {
        Self {
            vms: (0..vms).map(Vm::new).collect(),
            random: Random::new(seed),
            kept: Vec::new(),
        }
    }

    fn holder_set(&self) -> HolderSet {
        let vms = self.vms.iter().map(|vm| HolderVm {
            address: Arc::clone(&vm.address),
            region: Arc::from("north"),
            is_lost: !vm.is_up,
        });
        HolderSet::new(vms.collect(), TOLERATED_LOSSES)
    }

    /// Returns a random VM that is up.
    fn living(&mut self) -> usize {
        let living: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].is_up)
            .collect();
        living[self.random.below(living.len() as u64) as usize]
    }

    /// Keeps a turn that begins a chain or goes on from a random one, on a few VMs that are up; one
    /// of the VMs that it names may miss it.
    fn keep_turn(&mut self) {
        let number = self.kept.len();
        let before = self.random.below(4 * number as u64 + 1) as usize % (number + 1);
        let before = self.kept.get(before).cloned();
        let mut holders: Vec<usize> = Vec::new();
        while holders.len() < FIRST_COPIES {
            let vm = self.living();
            if !holders.contains(&vm) {
                holders.push(vm);
            }
        }
        let content = format!("{number};");
        let turn = StoredTurn {
            key: TurnKey {
                account: Some(AccountName::from("bus")),
                id: TurnId::from(format!("turn-{number}").as_str()),
            },
            previous: before.as_ref().map(|(turn, _)| turn.key.id.clone()),
            content: Arc::from(content.as_bytes()),
            retention_ms: 60_000,
            copies: holders
                .iter()
                .map(|vm| Arc::clone(&self.vms[*vm].address))
                .collect(),
        };
        let is_missed = self.random.below(2) == 0;
        for vm in holders.into_iter().skip(usize::from(is_missed)) {
            self.store(vm, &turn, before.as_ref());
        }
        let chain = before.map_or(String::new(), |(_, chain)| chain);
        self.kept.push((turn, chain + &content));
    }

    /// Stores a turn on a VM, with the contents of those before it if that VM lacks them.
    fn store(&mut self, vm: usize, turn: &StoredTurn, before: Option<&(StoredTurn, String)>) {
        let vm = &mut self.vms[vm];
        let lacking = before.filter(|(before, _)| !vm.turns.contains(&before.key));
        let before = lacking.map(|(before, chain)| StoredTurn {
            previous: None,
            content: Arc::from(chain.as_bytes()),
            copies: turn.copies.clone(),
            ..before.clone()
        });
        vm.store_new(before.into_iter().chain([turn.clone()]).collect());
    }

    /// Starts a VM again without its disk.
    fn lose_disk(&mut self, vm: usize) {
        let number = self.vms.len();
        let lost = Vm {
            address: Arc::clone(&self.vms[vm].address),
            ..Vm::new(number)
        };
        self.vms[vm] = lost;
        let address = Arc::clone(&self.vms[vm].address);
        for other in &mut self.vms {
            other.cursors.remove(&address);
        }
    }

    /// Copies what one VM lacks from all others, one after the other; returns how many turns.
    fn copy_to(&mut self, asking: usize) -> usize {
        let holders = self.holder_set();
        let mut copied = 0;
        for source in 0..self.vms.len() {
            if source != asking && self.vms[source].is_up {
                copied += self.copy_between(asking, source, &holders);
            }
        }
        copied
    }

    fn copy_between(&mut self, asking: usize, source: usize, holders: &HolderSet) -> usize {
        let own = Arc::clone(&self.vms[asking].address);
        let address = Arc::clone(&self.vms[source].address);
        let cursor = self.vms[asking].cursors.get(&address).copied();
        let table = &self.vms[source].turns;
        let offers = table.offered_chains(holders, &own, &address, cursor.unwrap_or_default());
        let mut copied = 0;
        loop {
            let lacking = offers.lacking(&self.vms[asking].turns.digests());
            let lacking: HashSet<u64> = lacking.into_iter().take(7).collect();
            if lacking.is_empty() {
                break;
            }
            let mut turns = self.vms[source].turns.turns_of(&lacking, PAGE_BYTES);
            assert!(!turns.is_empty());
            for turn in &mut turns {
                holders.add_named(&mut turn.copies, &own);
            }
            copied += turns.len();
            self.vms[asking].store_new(turns);
        }
        let held = self.vms[asking].turns.digests();
        let unnamed = offers.unnamed.iter().copied();
        let unnamed = unnamed.filter(|digest| held.contains(digest)).collect();
        self.vms[source].turns.add_holder(&unnamed, &own, holders);
        let cursors = &mut self.vms[asking].cursors;
        cursors.insert(address, offers.next_number);
        copied
    }

    /// Has all VMs that are up copy what they lack.
    fn copy_all(&mut self) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].is_up {
                self.copy_to(vm);
            }
        }
    }

    /// Returns the turns that the others hold and one VM is to hold as well.
    fn due_to(&self, vm: usize) -> HashSet<u64> {
        let holders = self.holder_set();
        let others = self.vms.iter().filter(|other| other.is_up);
        let others = others.filter(|other| other.address != self.vms[vm].address);
        let own = &self.vms[vm].address;
        let offers = others.flat_map(|other| other.turns.offers(&holders, own, &other.address));
        offers.collect()
    }

    /// Returns how many VMs that are up hold a turn.
    fn copies_of(&self, key: &TurnKey) -> usize {
        let living = self.vms.iter().filter(|vm| vm.is_up);
        living.filter(|vm| vm.turns.contains(key)).count()
    }
}

/// Guards against a turn that a VM reads twice, from one VM or from two, and against one that it is
/// to hold and does not get.
#[rstest]
fn each_once() {
    for seed in seeds() {
        let mut fleet = Fleet::new(8, seed);
        (0..60).for_each(|_| fleet.keep_turn());
        for _ in 0..6 {
            // One VM misses turns and has its disk, or has lost it.
            let vm = fleet.living();
            fleet.vms[vm].is_up = false;
            (0..10).for_each(|_| fleet.keep_turn());
            fleet.vms[vm].is_up = true;
            if fleet.random.below(2) == 0 {
                fleet.lose_disk(vm);
            }
            let due = fleet.due_to(vm);
            fleet.copy_to(vm);
            let held = fleet.vms[vm].turns.digests();
            assert!(due.is_subset(&held), "seed {seed}");
            assert_eq!(fleet.copy_to(vm), 0, "seed {seed}");
        }
    }
}

/// Guards against lists of digests that are sent again although nothing has changed.
#[rstest]
fn compared_turns() {
    for seed in seeds() {
        let mut fleet = Fleet::new(8, seed);
        (0..60).for_each(|_| fleet.keep_turn());
        fleet.vms[0].is_up = false;
        fleet.copy_all();
        fleet.copy_all();
        let holders = fleet.holder_set();
        for (asking, source) in [(1, 2), (2, 1), (3, 5)] {
            let (asking, source) = (&fleet.vms[asking], &fleet.vms[source]);
            let cursor = asking.cursors[&source.address];
            let turns = &source.turns;
            let offers = turns.offered_chains(&holders, &asking.address, &source.address, cursor);
            assert!(offers.chains.is_empty(), "seed {seed}: {offers:?}");
        }
    }
}

/// Guards against holders that the other ones do not learn of, so that each loss makes copies of
/// turns that are on enough disks, and against turns on too few disks.
#[rstest]
fn bounded_holders() {
    for seed in seeds() {
        let mut fleet = Fleet::new(12, seed);
        (0..60).for_each(|_| fleet.keep_turn());
        fleet.copy_all();
        for _ in 0..16 {
            let lost = fleet.living();
            fleet.vms[lost].is_up = false;
            fleet.copy_all();
            // Holders learn of copies that were made after they had compared their turns.
            fleet.copy_all();
            let number = fleet.vms.len();
            fleet.vms.push(Vm::new(number));
            fleet.copy_all();
            for (turn, _) in &fleet.kept {
                let copies = fleet.copies_of(&turn.key);
                let id = &turn.key.id;
                assert!(copies > TOLERATED_LOSSES, "seed {seed}: {copies} of {id}");
                // The turns before another one are copied with it, so that they are on more disks.
                let is_last = !fleet
                    .kept
                    .iter()
                    .any(|row| row.0.previous.as_ref() == Some(id));
                assert!(
                    !is_last || copies <= FIRST_COPIES,
                    "seed {seed}: {copies} of {id}"
                );
            }
        }
    }
}

/// Guards against turns on too few disks that are copied after those that are on enough.
#[rstest]
fn short_first() {
    let chain = |offered: &[u64], before: &[u64]| OfferedChain {
        offered: offered.to_vec(),
        before: before.to_vec(),
    };
    let offers = Offers {
        chains: vec![chain(&[5, 4], &[3]), chain(&[2], &[1])],
        unnamed: vec![2],
        next_number: 5,
    };
    assert_eq!(offers.lacking(&HashSet::from([3])), [1, 2, 4, 5]);
}

/// Guards against a count of memory that no longer fits once turns name further VMs as holders.
#[rstest]
fn named_later() {
    let key = TurnKey {
        account: Some(AccountName::from("bus")),
        id: TurnId::from("a"),
    };
    let mut turns = StoredTurns::new(MAX_BYTES);
    let turn = StoredTurn {
        key: key.clone(),
        previous: None,
        content: Arc::from(&b"one;"[..]),
        retention_ms: 1,
        copies: Default::default(),
    };
    turns.insert(turn, 7, 0);
    let digests = HashSet::from([key.digest()]);
    let holders = HolderSet::new(Vec::new(), TOLERATED_LOSSES);
    let bytes = turns.bytes();
    for number in 0..8 {
        turns.add_holder(&digests, &Arc::from(format!("vm-{number}")), &holders);
    }
    assert!(turns.bytes() > bytes);
    assert_eq!(turns.expire(1_000_000), [7]);
    assert_eq!(turns.bytes(), 0);
}
