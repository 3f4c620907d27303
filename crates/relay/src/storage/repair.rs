//! Copies turns to this VM when another VM with a disk is lost, leaves or joins.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use knapweeddale_core::StorageVm;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::Members;
use crate::turns::{CopyCounts, Pace, Source, TurnReplicator, TurnStore};

/// Interval at which the other VMs are probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Delays of the rounds in which copies are asked for after a change. The later rounds get what
/// others did not know to be missing at first.
const ROUND_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(1_500),
    Duration::from_millis(4_000),
];

/// Longest time for which routes keep turns; a lost disk lacks nothing after that time.
const MAX_RETENTION: Duration = Duration::from_secs(600);

/// Delay before another round if a VM that counts as living has not answered in the last one.
const RETRY_DELAY: Duration = Duration::from_millis(4_000);

/// Shortest time between two rounds.
const ROUND_GAP: Duration = Duration::from_millis(300);

/// Time for which a round waits for the offers of all VMs, to copy from the nearest ones first.
const LIST_WAIT: Duration = Duration::from_millis(500);

/// VMs that take over turns at the same time, as long as they answer.
const HAND_OVERS_AT_ONCE: usize = 4;

/// Longest time for which as many VMs hold up the next ones; a stop has 3 s for all.
const HAND_OVER_WAIT: Duration = Duration::from_millis(300);

/// The answer of a VM to the request for its offers, with its rank among the nearest ones.
type ListedSource<'a> = (usize, &'a StorageVm, Result<Source, String>);

/// The task that copies turns to this VM.
pub(super) struct Repair {
    members: Arc<Members>,
    turns: Arc<TurnStore>,
    replicator: TurnReplicator,
    started: Instant,
    /// Wakes the rounds after a change of the VMs that answer.
    changed: Notify,
}

impl Repair {
    pub fn new(members: Arc<Members>, turns: Arc<TurnStore>, replicator: TurnReplicator) -> Self {
        Self {
            members,
            turns,
            replicator,
            started: Instant::now(),
            changed: Notify::new(),
        }
    }

    /// Asks for copies after each change of the VMs that answer, until the task is aborted.
    pub async fn run(self) {
        tokio::join!(self.watch_members(), self.copy_rounds());
    }

    /// Probes the other VMs, also while turns are copied.
    async fn watch_members(&self) {
        loop {
            let has_joined = tokio::select! {
                () = self.members.joined() => true,
                () = sleep(PROBE_INTERVAL) => false,
            };
            if self.members.probe().await || has_joined {
                self.changed.notify_one();
            }
            self.mark_complete();
        }
    }

    /// Runs the rounds at the start and after each change; a change begins them again.
    async fn copy_rounds(&self) {
        let mut begun = Instant::now();
        let mut round = 0;
        loop {
            let is_whole = self.copy_from_all().await;
            self.mark_complete();
            let ended = Instant::now();
            round += 1;
            let next = match ROUND_DELAYS.get(round) {
                Some(delay) => Some(begun + *delay),
                None if is_whole => None,
                None => Some(ended + RETRY_DELAY),
            };
            if self.wait_for_change(next).await {
                begun = Instant::now();
                round = 0;
            }
            sleep_until(ended + ROUND_GAP).await;
        }
    }

    /// Waits for a change until the next round is due; returns whether there was one.
    async fn wait_for_change(&self, next_round: Option<Instant>) -> bool {
        let changed = self.changed.notified();
        match next_round {
            Some(due) => timeout_at(due, changed).await.is_ok(),
            None => {
                changed.await;
                true
            }
        }
    }

    /// Copies what this VM is to hold from all VMs that answer, the nearest first; returns whether
    /// all have answered.
    async fn copy_from_all(&self) -> bool {
        let started = Instant::now();
        let (living, lost) = (self.members.living(), self.members.lost());
        let lists = living.iter().enumerate();
        let mut lists: FuturesUnordered<_> = lists
            .map(async |(rank, vm)| {
                let source = self.replicator.list(&vm.address, lost.clone()).await;
                (rank, vm, source)
            })
            .collect();
        let mut received = CopyCounts::default();
        let mut is_whole = true;
        let mut wait_until = started + LIST_WAIT;
        while !lists.is_empty() {
            for (_, vm, source) in next_sources(&mut lists, wait_until).await {
                match self.copy_from(vm, source).await {
                    Some(counts) => received += counts,
                    None => is_whole = false,
                }
            }
            // The others are copied from in the order in which they answer.
            wait_until = Instant::now();
        }
        let CopyCounts {
            turns,
            bytes,
            duplicates,
        } = received;
        let took_ms = started.elapsed().as_millis();
        let vms = living.len();
        tracing::info!(
            vms,
            turns,
            bytes,
            duplicates,
            took_ms,
            is_whole,
            "turns: round of copies ended"
        );
        is_whole
    }

    /// Copies what this VM lacks of the offers of another one; returns `None` if that failed.
    async fn copy_from(
        &self,
        vm: &StorageVm,
        source: Result<Source, String>,
    ) -> Option<CopyCounts> {
        let copied = match source {
            Ok(source) => self.replicator.copy(&source, Pace::Background).await,
            Err(error) => Err(error),
        };
        match copied {
            Ok(counts) => {
                self.members.mark_copied(&vm.vm);
                let CopyCounts {
                    turns,
                    bytes,
                    duplicates,
                } = counts;
                if turns > 0 {
                    tracing::info!(vm = %vm.vm, turns, bytes, duplicates, "turns: copies received");
                }
                Some(counts)
            }
            Err(error) => {
                tracing::warn!(vm = %vm.vm, "turns: copies not received ({error})");
                None
            }
        }
    }

    /// Marks the folder as complete once each VM has answered, or every turn of before has expired.
    fn mark_complete(&self) {
        let has_expired = self.started.elapsed() >= MAX_RETENTION;
        let is_due = has_expired || self.members.are_all_copied();
        if self.turns.is_complete() || !is_due {
            return;
        }
        match self.turns.mark_complete() {
            Ok(()) => tracing::info!("turns: folder complete"),
            Err(error) => tracing::error!("turns: folder not marked as complete ({error})"),
        }
    }
}

/// Returns the answers that arrive until a time, the nearest VMs first; waits for one at least.
async fn next_sources<'a, F: Future<Output = ListedSource<'a>>>(
    lists: &mut FuturesUnordered<F>,
    wait_until: Instant,
) -> Vec<ListedSource<'a>> {
    let mut sources: Vec<ListedSource<'a>> = lists.next().await.into_iter().collect();
    while let Ok(Some(source)) = timeout_at(wait_until, lists.next()).await {
        sources.push(source);
    }
    sources.sort_by_key(|(rank, ..)| *rank);
    sources
}

/// Has all other VMs that answer take over the turns of this VM; returns how many have done so.
pub(super) async fn hand_over(replicator: &TurnReplicator, members: &Members) -> usize {
    let living = members.living();
    let permits = Semaphore::new(HAND_OVERS_AT_ONCE);
    let hand_overs = living.iter().enumerate().map(async |(rank, vm)| {
        let waves = u32::try_from(rank / HAND_OVERS_AT_ONCE).unwrap_or(u32::MAX);
        let wait = HAND_OVER_WAIT.saturating_mul(waves);
        // After that time it starts beside those that have not answered.
        let _permit = timeout(wait, permits.acquire()).await;
        hand_over_to(replicator, vm).await
    });
    let results = join_all(hand_overs).await;
    results.into_iter().filter(|is_done| *is_done).count()
}

/// Has another VM take over the turns of this VM; returns whether it has done so.
async fn hand_over_to(replicator: &TurnReplicator, vm: &StorageVm) -> bool {
    let result = replicator.hand_over_to(&vm.address).await;
    match &result {
        Ok(turns) => tracing::info!(vm = %vm.vm, turns, "storage: turns handed over"),
        Err(error) => tracing::warn!(vm = %vm.vm, "storage: turns not accepted ({error})"),
    }
    result.is_ok()
}
