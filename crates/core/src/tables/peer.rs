//! Other VMs under `Coordination::Peers`, known by their summaries.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{PeerDemand, Sharing, Table};
use crate::ids::{AccountName, DomainName, Incarnation, Revision, UpstreamName, VmName};
use crate::message::{ListVersion, PoolDemand, UpstreamReport};

/// Rounds of summaries whose sending time is kept.
const MAX_SENT_ROUNDS: usize = 64;

/// A rate of which every VM keeps a copy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RateKey {
    /// The published rate of a client account.
    Account(AccountName),
    /// The rate that an upstream has stated.
    Upstream(UpstreamName),
}

/// Another VM, as known from its summaries.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Incarnation of its process; `None` until a summary has arrived.
    pub incarnation: Option<Incarnation>,
    /// Address at which it receives summaries.
    pub address: Arc<str>,
    /// Time at which it became known.
    pub known_us: u64,
    /// Time at which its last summary arrived; `None` if none has.
    pub last_heard_us: Option<u64>,
    /// Time at which its last datagram arrived that cannot be read; `None` if a summary has arrived
    /// since, or no such datagram has.
    pub last_unreadable_us: Option<u64>,
    /// Whether it counts as one of the VMs that share the rates of accounts.
    pub is_reachable: bool,
    /// Round of its last summary.
    pub round: u64,
    /// Round of the last summary from this VM that it has acknowledged.
    pub acked_round: u64,
    /// Whether it has announced that its process will end.
    pub is_leaving: bool,
    /// Revision of the configuration in force there.
    pub revision: Revision,
    /// Stamp of the list of upstreams in force there.
    pub list: ListVersion,
    /// Number of its calls on each upstream.
    pub running: Vec<(UpstreamName, u32)>,
    /// Its calls that wait for an upstream, by pool.
    pub demand: Vec<PoolDemand>,
    /// Its last totals of its calls, by upstream.
    pub reports: Table<UpstreamName, UpstreamReport>,
    /// Total of calls that it has admitted against each rate.
    pub admitted: Table<RateKey, u64>,
    /// Whether it had calls lately for upstreams that are limited.
    pub uses_limited: bool,
    /// Whether it does not report the calls that it sends to limited upstreams.
    pub omits_placed: bool,
    /// Its failure domain; `None` until it has told.
    pub failure_domain: Option<DomainName>,
    /// Address at which it accepts tunnels to upstreams; `None` if it does not, or has not told.
    pub tunnel_address: Option<Arc<str>>,
    /// Whether it has lost its links to all upstreams.
    pub is_cut_off: bool,
    /// Upstreams to which it has lost its link.
    pub lost_links: Vec<UpstreamName>,
    /// Whether `admitted` holds its totals; those of its first summary are no new calls.
    pub has_admitted_baseline: bool,
}

impl Peer {
    /// Creates the row of a VM from which no summary has arrived.
    pub fn new(address: &str, now_us: u64) -> Self {
        Self {
            incarnation: None,
            address: Arc::from(address),
            known_us: now_us,
            last_heard_us: None,
            last_unreadable_us: None,
            is_reachable: false,
            round: 0,
            acked_round: 0,
            is_leaving: false,
            revision: Revision::default(),
            list: ListVersion::default(),
            running: Vec::new(),
            demand: Vec::new(),
            reports: Table::default(),
            admitted: Table::default(),
            uses_limited: false,
            omits_placed: false,
            failure_domain: None,
            tunnel_address: None,
            is_cut_off: false,
            lost_links: Vec::new(),
            has_admitted_baseline: false,
        }
    }

    /// Returns the time of its last datagram, or else the time at which it became known.
    pub fn last_contact_us(&self) -> u64 {
        let last_us = self.last_heard_us.max(self.last_unreadable_us);
        last_us.unwrap_or(self.known_us)
    }

    /// Returns the time of its last summary, or else the time at which it became known.
    pub fn last_summary_us(&self) -> u64 {
        self.last_heard_us.unwrap_or(self.known_us)
    }

    /// Returns whether it may be serving calls.
    ///
    /// A VM that announced its departure and then became silent has ended. If its datagrams cannot
    /// be read, another build may run there again.
    pub fn may_serve(&self) -> bool {
        self.is_reachable || !self.is_leaving || self.last_unreadable_us.is_some()
    }
}

/// State of the exchange of summaries.
#[derive(Debug, Default)]
pub struct Peering {
    /// The other VMs.
    pub peers: Table<VmName, Peer>,
    /// Calls that wait at the other VMs, by pool.
    pub demand: PeerDemand,
    /// Number of the last round of summaries that was sent.
    pub round: u64,
    /// Numbers and sending times of the last rounds.
    sent_rounds: VecDeque<(u64, u64)>,
    /// Total of calls that this VM has admitted, with the round that reports the last change.
    pub admitted: Table<RateKey, (u64, u64)>,
    /// Number of VMs that share the rates of accounts, this one included.
    pub reachable_vms: u64,
    /// Number of reachable VMs that report their calls to limited upstreams, this one included.
    pub reporting_vms: u64,
    /// Number of VMs that may be serving, this one included.
    pub known_vms: u64,
    /// Number of reachable VMs that had calls lately for upstreams that are limited, without this
    /// one.
    pub competing_vms: u64,
    /// Time of this VM's last call for an upstream that is limited; 0 if there was none.
    pub used_limited_us: u64,
    /// Position of this VM by name among the reachable ones.
    pub rank: u64,
    /// Time of the request for a snapshot that is in flight; `None` if there is none.
    pub snapshot_requested_us: Option<u64>,
}

impl Peering {
    /// Returns the next round, which will report what changes now.
    pub fn next_round(&self) -> u64 {
        self.round + 1
    }

    /// Starts a round and returns its number.
    pub fn start_round(&mut self, now_us: u64) -> u64 {
        self.round += 1;
        self.sent_rounds.push_back((self.round, now_us));
        if self.sent_rounds.len() > MAX_SENT_ROUNDS {
            self.sent_rounds.pop_front();
        }
        self.round
    }

    /// Returns the time at which a round was sent, if it is still kept.
    pub fn sent_us(&self, round: u64) -> Option<u64> {
        let at = self
            .sent_rounds
            .binary_search_by_key(&round, |(round, _)| *round);
        at.ok().map(|at| self.sent_rounds[at].1)
    }

    /// Counts a call that was admitted against a rate.
    pub fn count_admitted(&mut self, rate: &RateKey) {
        let round = self.next_round();
        let row = self.admitted.get_or_insert_with(rate, || (0, round));
        *row = (row.0 + 1, round);
    }

    /// Reverts the count of an admitted call that did not run.
    pub fn uncount_admitted(&mut self, rate: &RateKey) {
        let round = self.next_round();
        if let Some(row) = self.admitted.get_mut(rate) {
            *row = (row.0.saturating_sub(1), round);
        }
    }

    /// Returns the VMs that share the rates of accounts.
    pub fn sharing(&self) -> Sharing {
        self.sharing_among(self.reachable_vms)
    }

    /// Returns the VMs that share the rates of upstreams.
    ///
    /// A VM that does not report its calls to limited upstreams counts like one that is not heard.
    pub fn upstream_sharing(&self) -> Sharing {
        self.sharing_among(self.reporting_vms)
    }

    fn sharing_among(&self, reachable_vms: u64) -> Sharing {
        let known_vms = self.known_vms.max(1);
        Sharing {
            reachable_vms: reachable_vms.clamp(1, known_vms),
            known_vms,
        }
    }

    /// Returns the part of a rate that the reachable VMs may use, as a fraction.
    pub fn usable_fraction(&self) -> (u64, u64) {
        let sharing = self.sharing();
        (sharing.reachable_vms, sharing.known_vms)
    }
}
