//! Guards against kept turns that are lost, found for another account or falsely called unknown,
//! in random runs with stops, lost disks and torn writes within the tolerance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use knapweeddale_core::turns::{
    CopyPlan, CopyStep, LookupStep, RejectedTurn, StoredTurn, StoredTurns, TurnAnswer, TurnKey,
    TurnLookup,
};
use knapweeddale_core::{AccountName, TurnId};
use knapweeddale_testing::{Random, seeds};
use rstest::rstest;

/// How long turns are kept.
const RETENTION_MS: u64 = 60_000;

/// Memory for the turns of one VM.
const MAX_BYTES: usize = 1_000_000;

/// Accounts of the callers.
const ACCOUNTS: [&str; 2] = ["bus", "tram"];

/// A VM with a disk.
struct Disk {
    address: Arc<str>,
    turns: StoredTurns,
    /// Turns that are synced, in the order of the log.
    log: Vec<StoredTurn>,
    is_up: bool,
    /// Whether it has all turns of which it ever had a copy.
    is_complete: bool,
}

impl Disk {
    fn new(number: usize) -> Self {
        Self {
            address: Arc::from(format!("disk-{number}")),
            turns: StoredTurns::new(MAX_BYTES),
            log: Vec::new(),
            is_up: true,
            is_complete: true,
        }
    }

    /// Stores turns, each after the one it goes on from.
    fn append(&mut self, turns: &[StoredTurn], now_us: u64) -> Result<(), RejectedTurn> {
        let mut new = Vec::new();
        for turn in turns {
            if self.turns.check(turn, &new)? {
                new.push(turn.clone());
            }
        }
        self.log.extend(new);
        for turn in turns {
            self.turns.insert(turn.clone(), 1, now_us);
        }
        Ok(())
    }

    /// Starts again with what was synced.
    fn restart(&mut self, now_us: u64) {
        self.turns = StoredTurns::new(MAX_BYTES);
        for turn in &self.log {
            self.turns.insert(turn.clone(), 1, now_us);
        }
        self.is_up = true;
    }

    fn answer(&self, key: &TurnKey) -> (TurnAnswer, Vec<u8>) {
        match (self.is_up, self.turns.chain(key)) {
            (true, Some(contents)) => (TurnAnswer::Found, contents.concat()),
            (true, None) if self.is_complete => (TurnAnswer::Absent, Vec::new()),
            _ => (TurnAnswer::Unknown, Vec::new()),
        }
    }
}

/// VMs with disks, and a model of what callers were told.
struct Model {
    disks: Vec<Disk>,
    tolerated_losses: usize,
    random: Random,
    now_us: u64,
    /// The chains of all turns that were answered completely.
    answered: BTreeMap<TurnKey, Vec<u8>>,
    next_id: u64,
}

impl Model {
    fn new(disks: usize, tolerated_losses: usize, seed: u64) -> Self {
        Self {
            disks: (0..disks).map(Disk::new).collect(),
            tolerated_losses,
            random: Random::new(seed),
            now_us: 1_000_000,
            answered: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns the addresses in the order of preference of a random entry VM.
    fn addresses(&mut self) -> Vec<Arc<str>> {
        let first = self.random.below(self.disks.len() as u64) as usize;
        let rotated = self.disks.iter().cycle().skip(first);
        let rows = rotated.take(self.disks.len());
        rows.map(|disk| Arc::clone(&disk.address)).collect()
    }

    fn disk(&mut self, address: &str) -> &mut Disk {
        let mut disks = self.disks.iter_mut();
        let disk = disks.find(|disk| *disk.address == *address);
        disk.expect("a disk at the address")
    }

    /// Sends a turn to one VM, with the turns before it if that VM lacks them.
    fn append(&mut self, address: &str, turn: &StoredTurn, earlier: &[u8]) -> bool {
        let now_us = self.now_us;
        let disk = self.disk(address);
        if !disk.is_up {
            return false;
        }
        match disk.append(std::slice::from_ref(turn), now_us) {
            Ok(()) => true,
            Err(RejectedTurn::LacksPrevious) => {
                let key = TurnKey {
                    id: turn.previous.clone().expect("a turn before it"),
                    ..turn.key.clone()
                };
                let before = StoredTurn {
                    key,
                    previous: None,
                    content: Arc::from(earlier),
                    ..turn.clone()
                };
                disk.append(&[before, turn.clone()], now_us).is_ok()
            }
            Err(_) => false,
        }
    }

    /// Looks a turn up; returns its chain, or the last step of the search.
    fn find(&mut self, key: &TurnKey) -> Result<Vec<u8>, LookupStep> {
        let addresses = self.addresses();
        let mut lookup = TurnLookup::new(addresses, self.tolerated_losses + 1);
        let mut asked = VecDeque::new();
        let mut step = lookup.start();
        loop {
            match step {
                LookupStep::Ask(addresses) => asked.extend(addresses),
                LookupStep::Wait => {}
                end => return Err(end),
            }
            let address = asked.pop_front().expect("an open answer");
            let (answer, chain) = self.disk(&address).answer(key);
            step = lookup.record(answer);
            if step == LookupStep::Found {
                return Ok(chain);
            }
        }
    }

    /// Runs a turn that goes on from a random one, or begins a chain.
    fn run_turn(&mut self) {
        let account = AccountName::from(ACCOUNTS[self.random.below(2) as usize]);
        let own = self
            .answered
            .keys()
            .filter(|key| key.account.as_ref() == Some(&account));
        let own: Vec<TurnKey> = own.cloned().collect();
        let previous = match own.len() as u64 {
            0 => None,
            count => own.get(self.random.below(count + 2) as usize).cloned(),
        };
        let earlier = match &previous {
            None => Vec::new(),
            Some(key) => match self.find(key) {
                Ok(chain) => {
                    assert_eq!(Some(&chain), self.answered.get(key), "a wrong chain");
                    chain
                }
                Err(step) => {
                    assert_ne!(step, LookupStep::Missing, "a false statement of absence");
                    return;
                }
            },
        };
        self.next_id += 1;
        let id = TurnId::from(format!("t{}", self.next_id));
        let mut plan = CopyPlan::new(self.addresses(), self.tolerated_losses);
        let mut open: VecDeque<Arc<str>> = plan.start().into();
        let turn = StoredTurn {
            key: TurnKey {
                account: Some(account),
                id: id.clone(),
            },
            previous: previous.map(|key| key.id),
            content: Arc::from(format!("{id};").into_bytes()),
            retention_ms: RETENTION_MS,
            copies: open.iter().cloned().collect(),
        };
        let mut is_answered = false;
        while let Some(address) = open.pop_front() {
            let is_stored = self.append(&address, &turn, &earlier);
            match plan.record(is_stored) {
                CopyStep::Send(address) => open.push_back(address),
                CopyStep::Stored => is_answered = true,
                CopyStep::Wait | CopyStep::Failed => {}
            }
            // A copy that is not waited for may be lost with its entry VM.
            if is_answered && self.random.below(4) == 0 {
                break;
            }
        }
        if is_answered {
            let chain = [&earlier[..], &turn.content].concat();
            self.answered.insert(turn.key, chain);
        }
    }

    /// Lets a VM that has lost its disk get its copies back, if all others answer.
    fn recover(&mut self, index: usize) {
        if self.disks.iter().any(|disk| !disk.is_up) {
            return;
        }
        let address = Arc::clone(&self.disks[index].address);
        let now_us = self.now_us;
        for other in (0..self.disks.len()).filter(|other| *other != index) {
            let (turns, next) = self.disks[other].turns.copies_of(&address, 0, usize::MAX);
            assert_eq!(next, None);
            for turn in turns {
                let stored = self.disks[index].append(std::slice::from_ref(&turn), now_us);
                stored.expect("turns in an order in which they can be stored");
            }
        }
        self.disks[index].is_complete = true;
    }

    /// Runs one random event.
    fn step(&mut self) {
        self.now_us += 10_000;
        let index = self.random.below(self.disks.len() as u64) as usize;
        let incomplete = self.disks.iter().filter(|disk| !disk.is_complete).count();
        match self.random.below(12) {
            0 => self.disks[index].is_up = false,
            1 | 2 if !self.disks[index].is_up => self.disks[index].restart(self.now_us),
            3 => {
                // Power loss of all VMs; what was synced is there afterwards.
                let now_us = self.now_us;
                self.disks.iter_mut().for_each(|disk| disk.restart(now_us));
            }
            4 if incomplete < self.tolerated_losses && self.disks[index].is_complete => {
                self.disks[index].log.clear();
                self.disks[index].is_complete = false;
                self.disks[index].restart(self.now_us);
            }
            5 if !self.disks[index].is_complete && self.disks[index].is_up => self.recover(index),
            _ => self.run_turn(),
        }
    }
}

/// Guards against turns that are lost or changed, and against false statements that a turn does
/// not exist.
#[rstest]
#[case(3, 1)]
#[case(10, 2)]
fn random_runs(#[case] disks: usize, #[case] tolerated_losses: usize) {
    for seed in seeds() {
        let mut model = Model::new(disks, tolerated_losses, seed);
        for _ in 0..300 {
            model.step();
        }
        // Once all VMs are back, every turn that was answered is found, by its account only.
        let now_us = model.now_us;
        model.disks.iter_mut().for_each(|disk| {
            if !disk.is_up {
                disk.restart(now_us);
            }
        });
        let answered: BTreeSet<TurnKey> = model.answered.keys().cloned().collect();
        for key in answered {
            let chain = model.find(&key);
            assert_eq!(chain.ok().as_ref(), model.answered.get(&key), "seed {seed}");
            let other = ACCOUNTS.iter().find(|name| {
                key.account
                    .as_ref()
                    .is_some_and(|account| account.as_str() != **name)
            });
            let foreign = TurnKey {
                account: other.map(|name| AccountName::from(*name)),
                ..key
            };
            assert!(model.find(&foreign).is_err(), "seed {seed}");
        }
    }
}

/// Creates a turn of the account `bus`.
fn turn(id: &str, previous: Option<&str>) -> StoredTurn {
    StoredTurn {
        key: TurnKey {
            account: Some(AccountName::from("bus")),
            id: TurnId::from(id),
        },
        previous: previous.map(TurnId::from),
        content: Arc::from(id.as_bytes()),
        retention_ms: RETENTION_MS,
        copies: Default::default(),
    }
}

/// Guards against a turn that expires before the turns that go on from it.
#[rstest]
fn chain_is_kept() {
    let mut turns = StoredTurns::new(MAX_BYTES);
    turns.insert(turn("a", None), 1, 0);
    turns.insert(turn("b", Some("a")), 2, 50_000_000);
    assert!(turns.expire(70_000_000).is_empty());
    let key = turn("b", None).key;
    assert_eq!(
        turns.chain(&key).map(|chain| chain.concat()),
        Some(b"ab".to_vec())
    );
    assert_eq!(turns.expire(110_000_000), [1, 2]);
    assert!(turns.is_empty());
    assert_eq!(turns.bytes(), 0);
}

/// Guards against a turn that replaces another one, and against one without its chain.
#[rstest]
fn rejected_turns() {
    let mut turns = StoredTurns::new(MAX_BYTES);
    turns.insert(turn("a", None), 1, 0);
    assert_eq!(turns.check(&turn("a", None), &[]), Ok(false));
    let changed = StoredTurn {
        content: Arc::from(b"x".as_slice()),
        ..turn("a", None)
    };
    assert_eq!(turns.check(&changed, &[]), Err(RejectedTurn::Conflict));
    let lacking = turn("c", Some("b"));
    assert_eq!(turns.check(&lacking, &[]), Err(RejectedTurn::LacksPrevious));
    assert_eq!(turns.check(&lacking, &[turn("b", None)]), Ok(true));
}

/// Guards against turns that are accepted beyond the memory, which more than their contents take,
/// and against turns of the disk that are not held beyond it.
#[rstest]
fn full_memory() {
    let turn_bytes = turn("a", None).memory_bytes();
    assert!(turn_bytes > 200, "rows and indexes count");
    let mut turns = StoredTurns::new(3 * turn_bytes);
    let room = |turns: &StoredTurns| turns.check(&turn("x", None), &[]);
    turns.insert(turn("a", None), 1, 0);
    let batch = [turn("b", Some("a"))];
    assert_eq!(turns.check(&turn("c", Some("b")), &batch), Ok(true));
    let large = turn("large", Some("b"));
    assert_eq!(turns.check(&large, &batch), Err(RejectedTurn::Full));
    turns.reserve(2 * turn_bytes);
    assert_eq!(room(&turns), Err(RejectedTurn::Full));
    turns.release(2 * turn_bytes);
    assert_eq!(room(&turns), Ok(true));
    for id in ["b", "c", "d", "e"] {
        turns.insert(turn(id, None), 1, 0);
    }
    assert_eq!((turns.len(), turns.bytes()), (5, 5 * turn_bytes));
    assert_eq!(room(&turns), Err(RejectedTurn::Full));
    assert_eq!(turns.check(&turn("e", None), &[]), Ok(false));
    turns.expire(RETENTION_MS * 1_000);
    assert_eq!(turns.bytes(), 0);
    assert_eq!(room(&turns), Ok(true));
}

/// Guards against a copy too few, and against a wait for VMs that cannot help.
#[rstest]
fn copies() {
    let addresses = || ["a", "b", "c", "d"].map(Arc::from);
    let mut plan = CopyPlan::new(addresses(), 1);
    assert_eq!(plan.start(), ["a", "b", "c"].map(Arc::from));
    assert_eq!(plan.record(true), CopyStep::Wait);
    assert_eq!(plan.record(false), CopyStep::Wait);
    assert_eq!(plan.record(false), CopyStep::Send(Arc::from("d")));
    assert_eq!(plan.record(true), CopyStep::Stored);
    let mut plan = CopyPlan::new(addresses().into_iter().take(1), 1);
    assert_eq!(plan.start().len(), 1);
    assert_eq!(plan.record(true), CopyStep::Failed);
}

/// Guards against expired turns that take memory after each start, and against turns that are lost
/// or change their order when their segment is written again.
#[rstest]
fn rewritten_segments() {
    let turn_bytes = turn("t-100", None).memory_bytes();
    for seed in seeds() {
        let mut random = Random::new(seed);
        let mut turns = StoredTurns::new(60 * turn_bytes);
        let mut disk: BTreeMap<u64, Vec<StoredTurn>> = BTreeMap::new();
        for number in 100..300_u64 {
            let previous = 100 + random.below(number - 99);
            let previous = (previous < number).then(|| format!("t-{previous}"));
            let turn = StoredTurn {
                retention_ms: [10, RETENTION_MS][usize::from(random.below(20) == 0)],
                ..turn(&format!("t-{number}"), previous.as_deref())
            };
            turns.insert(turn.clone(), number / 10, 0);
            disk.entry(number / 10).or_default().push(turn);
        }
        let unused = turns.expire(20_000);
        disk.retain(|segment, _| !unused.contains(segment));
        turns.reserve(1);
        assert!(turns.sparse_segment().is_none(), "a turn is being written");
        turns.release(1);
        for _ in 0..20 {
            let Some((segment, kept)) = turns.sparse_segment() else {
                break;
            };
            assert!(kept.len() < disk[&segment].len());
            turns.set_rewritten(segment, &kept);
            disk.insert(segment, kept);
        }
        let mut restarted = StoredTurns::new(60 * turn_bytes);
        for (segment, kept) in &disk {
            for turn in kept {
                let is_behind = restarted.check(turn, &[]) != Err(RejectedTurn::LacksPrevious);
                assert!(is_behind || turns.chain(&turn.key).is_none());
                restarted.insert(turn.clone(), *segment, 30_000);
            }
        }
        let most = 60.max(turns.len() * 4 / 3 + 10);
        assert!(restarted.len() <= most, "seed {seed}: {}", restarted.len());
        for turn in turns.all() {
            let chain = turns.chain(&turn.key);
            assert_eq!(restarted.chain(&turn.key), chain, "seed {seed}");
        }
    }
}
