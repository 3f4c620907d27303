//! Builds and sends summaries, and builds snapshots.

use std::sync::Arc;

use super::super::{Tick, pacing, placement};
use crate::config::CoreSettings;
use crate::ids::VmName;
use crate::input::UpstreamList;
use crate::message::{
    PoolDemand, ProgramSpent, ProgramUse, Snapshot, StatedLimit, Summary, SummaryAck, TunnelContact,
};
use crate::output::Output;
use crate::tables::{Link, Peer, ProgramKnowledge, RateKey, Tables, UrgencyClass};

/// Maximum rows of one kind in a summary, so that it fits into a datagram.
const MAX_ROWS: usize = 48;

/// Rounds after which an unacknowledged row is resent.
const RESEND_ROUNDS: u64 = 3;

/// Rounds between two summaries to an unreachable VM.
const UNREACHABLE_SEND_ROUNDS: u64 = 5;

/// Time for which a VM counts as one that uses limited upstreams after its last call for one.
const USE_MEMORY_US: u64 = 2_000_000;

/// Sends a round of summaries.
pub(super) fn send_summaries(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let round = tick.tables.peering.start_round(now_us);
    let mut common = common_summary(tick.settings, tick.tables, now_us);
    common.reports = placement::take_reports(tick.tables, now_us);
    defer_overflow(tick.tables, round);
    let tables = &*tick.tables;
    let mut known: Vec<&str> = Vec::new();
    for (vm, peer) in tables.peering.peers.iter() {
        known.push(&peer.address);
        // A VM whose datagrams cannot be read may be able to read those of this VM.
        if !peer.is_reachable
            && !round.is_multiple_of(UNREACHABLE_SEND_ROUNDS)
            && peer.last_heard_us.is_some()
            && peer.last_unreadable_us.is_none()
        {
            continue;
        }
        let summary = peer_summary((tick.settings, now_us), tables, &common, (vm, peer));
        tick.outputs.push(Output::SendSummary {
            address: peer.address.clone(),
            summary: Box::new(summary),
        });
    }
    for seed in &tick.settings.seeds {
        if *seed != tick.settings.address && !known.contains(&seed.as_str()) {
            tick.outputs.push(Output::SendSummary {
                address: seed.as_str().into(),
                summary: Box::new(common.clone()),
            });
        }
    }
}

/// Builds the part of a summary that is the same for all receivers.
fn common_summary(settings: &CoreSettings, tables: &Tables, now_us: u64) -> Summary {
    let running = tables.upstreams.iter();
    let running = running.filter(|(_, row)| row.own_calls > 0);
    let suspects = tables.suspects.iter().filter(|(_, row)| row.crashes > 0);
    let quarantined = tables.quarantine.iter().take(MAX_ROWS);
    let links = tables.upstreams.iter();
    let lost_links = links.filter(|(_, row)| row.link == Link::Lost);
    Summary {
        from: settings.vm.clone(),
        incarnation: settings.incarnation,
        address: settings.address.clone(),
        round: tables.peering.round,
        echo: None,
        is_leaving: tables.membership.departure.is_draining,
        knows_programs: tables.source.knowledge != ProgramKnowledge::Pending,
        knows_keepers: !tables.source.keepers.is_empty(),
        revision: tables.fleet.revision,
        config_age_us: tables.source.config.age_us(now_us),
        list: tables.source.stamp,
        list_age_us: tables.source.list.age_us(now_us),
        admitted: Vec::new(),
        running: running
            .map(|(name, row)| (name.clone(), row.own_calls))
            .collect(),
        programs: Vec::new(),
        suspects: suspects
            .take(MAX_ROWS)
            .map(|(digest, row)| (*digest, row.crashes))
            .collect(),
        quarantined: quarantined
            .map(|(digest, row)| (*digest, row.until_us.saturating_sub(now_us) / 1_000))
            .collect(),
        others: Vec::new(),
        limits: Vec::new(),
        uses_limited: now_us < tables.peering.used_limited_us + USE_MEMORY_US,
        contact: settings
            .tunnel_address
            .as_ref()
            .map(|address| TunnelContact {
                failure_domain: settings.failure_domain.clone(),
                address: address.clone(),
            }),
        is_cut_off: tables.links.is_cut_off,
        lost_links: lost_links
            .take(MAX_ROWS)
            .map(|(name, _)| name.clone())
            .collect(),
        placed: Vec::new(),
        demand: waiting_calls(tables),
        reports: Vec::new(),
        paces: Vec::new(),
        omits_placed: false,
    }
}

/// Counts the calls that wait for the upstreams of each pool.
fn waiting_calls(tables: &Tables) -> Vec<PoolDemand> {
    let pools = tables.pools.iter();
    let waiting = pools.filter(|(_, row)| !row.queue.is_empty());
    waiting
        .take(MAX_ROWS)
        .map(|(pool, row)| {
            let calls = |class| row.queue.len_of_class(class);
            PoolDemand {
                pool: pool.clone(),
                timely_calls: calls(UrgencyClass::Timely),
                late_calls: calls(UrgencyClass::Late) + calls(UrgencyClass::Expired),
            }
        })
        .collect()
}

/// Adds the rows that one VM has not acknowledged yet.
fn peer_summary(
    (settings, now_us): (&CoreSettings, u64),
    tables: &Tables,
    common: &Summary,
    (vm, peer): (&VmName, &Peer),
) -> Summary {
    let mut summary = common.clone();
    summary.echo = peer.incarnation.map(|incarnation| SummaryAck {
        incarnation,
        round: peer.round,
    });
    let admitted = tables.peering.admitted.iter();
    for (rate, (calls, _)) in admitted.filter(|(_, row)| is_due(row.1, peer, common.round)) {
        match rate {
            RateKey::Account(account) => summary.admitted.push((account.clone(), *calls)),
            RateKey::Upstream(name) => summary.placed.push((name.clone(), *calls)),
        }
    }
    let limits = tables.upstream_rates.iter();
    summary.limits = limits
        .filter(|(_, row)| is_due(row.changed_round, peer, common.round))
        .map(|(name, row)| StatedLimit {
            upstream: name.clone(),
            started_unix_ms: row.started_unix_ms,
            limit_mcalls_per_s: row.limit_mcalls_per_s,
            age_us: now_us.saturating_sub(row.stated_us),
        })
        .collect();
    summary.paces = pacing::announcements(tables, now_us)
        .filter(|(changed_round, _)| is_due(*changed_round, peer, common.round))
        .map(|(_, pace)| pace)
        .take(MAX_ROWS)
        .collect();
    let programs = tables.budgets.iter();
    summary.programs = programs
        .filter(|(_, row)| is_due(row.changed_round, peer, common.round))
        .map(|(program, row)| ProgramUse {
            program: program.clone(),
            main_line: row.main_line,
            tokens: row.spent_by(&settings.vm, settings.incarnation),
            is_stopped: row.is_stopped,
            has_record: row.has_record,
            cached: row.cached.clone(),
        })
        .collect();
    if peer.acked_round > 0 {
        summary.contact = None;
    } else {
        let others = tables.peering.peers.iter();
        summary.others = others
            .filter(|(other, _)| *other != vm)
            .take(MAX_ROWS)
            .map(|(other, peer)| (other.clone(), peer.address.to_string()))
            .collect();
    }
    summary
}

/// Returns whether a row has to be sent to a VM in a round.
///
/// A row is sent when it has changed, and resent when its acknowledgement is late. A VM that has
/// acknowledged nothing yet gets all rows.
fn is_due(changed_round: u64, peer: &Peer, round: u64) -> bool {
    let is_open = changed_round > peer.acked_round && changed_round <= round;
    let is_late = round - changed_round.min(round) >= RESEND_ROUNDS;
    is_open && (changed_round == round || is_late || peer.acked_round == 0)
}

/// Defers program changes that do not fit into this round to the next one.
fn defer_overflow(tables: &mut Tables, round: u64) {
    let due = |changed_round: u64| changed_round == round;
    let rows = tables.budgets.iter_mut();
    let changed = rows.filter(|(_, row)| due(row.changed_round));
    for (_, row) in changed.skip(MAX_ROWS) {
        row.changed_round = round + 1;
    }
}

/// Builds a snapshot of this VM's state for another one.
pub(crate) fn snapshot(tables: &Tables, now_us: u64, with_programs: bool) -> Snapshot {
    let has_fleet = tables.fleet.revision.0 > 0;
    let programs = tables.budgets.iter().filter(|_| with_programs);
    Snapshot {
        fleet: has_fleet.then(|| tables.fleet.clone()),
        config_age_us: tables.source.config.age_us(now_us),
        list: Arc::new(UpstreamList {
            revision: tables.source.stamp.revision,
            upstreams: tables.source.upstreams.upstreams.clone(),
        }),
        list_age_us: tables.source.list.age_us(now_us),
        programs: programs
            .map(|(program, row)| ProgramSpent {
                program: program.clone(),
                budget_tokens: row.budget_tokens,
                main_line: row.main_line,
                // Claims are taken over from storage VMs only, which know when they change.
                spent: row
                    .spent
                    .iter()
                    .filter(|spent| spent.tokens > 0)
                    .map(|spent| (spent.vm.clone(), spent.incarnation, spent.tokens))
                    .collect(),
                losses: row.losses,
                is_stopped: row.is_stopped,
                has_record: row.has_record,
            })
            .collect(),
        losses: tables
            .source
            .knowledge
            .losses(now_us)
            .filter(|_| with_programs),
        keepers: Arc::clone(&tables.source.keepers),
        evacuations: Some(tables.source.evacuations.clone()),
    }
}
