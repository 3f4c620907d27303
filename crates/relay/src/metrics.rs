//! Counters and histograms of a VM that relays calls.

use std::time::Duration;

use knapweeddale_core::output::{CapacityDecision, LinkDecision};
use knapweeddale_core::tables::Link;
use knapweeddale_core::tables::UrgencyClass;
use knapweeddale_core::{Control, Decision, RefusalKind};
use knapweeddale_runtime::{gauge_value, register};
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::charges::ChargeRecord;
use crate::tunnel::OpenReply;

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Counters and histograms of a VM that relays calls.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounter,
    refusals: IntCounterVec,
    admitted: IntCounterVec,
    placements: IntCounterVec,
    charges: IntCounterVec,
    charged_tokens: IntCounterVec,
    lost_charges: IntCounter,
    broken_streams: IntCounterVec,
    passed_responses: IntCounter,
    rejected_connections: IntCounter,
    buffered_bytes: IntGaugeVec,
    turns: IntCounterVec,
    origins: IntCounterVec,
    claims: IntCounterVec,
    retries: IntCounterVec,
    connections: IntCounterVec,
    summaries: IntCounterVec,
    summary_bytes: IntCounter,
    store_calls: IntCounterVec,
    store_s: HistogramVec,
    stage_s: HistogramVec,
    tick_s: Histogram,
    tick_inputs: IntCounter,
    open_calls: IntGauge,
    age_ms: IntGaugeVec,
    revision: IntGauge,
    sharing_vms: IntGaugeVec,
    limited_upstreams: IntGauge,
    waiting_calls: IntGaugeVec,
    slow_upstreams: IntGauge,
    claim_waiting_calls: IntGauge,
    full_rejections: IntCounter,
    evacuated_upstreams: IntGauge,
    paced_upstreams: IntGauge,
    cold_upstreams: IntGauge,
    held_back: IntGauge,
    lost_links: IntGauge,
    cut_off: IntGauge,
    tunnels: IntCounterVec,
    proxied: IntCounter,
    dropped_lines: IntGauge,
}

/// # Construction
impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, counters)
        };
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]);
            register(&registry, gauges)
        };
        let times = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS_S.to_vec());
            register(&registry, HistogramVec::new(options, &[label]))
        };
        let tick_options = HistogramOpts::new("kwd_tick_seconds", "Time of one control tick.");
        let tick_s = Histogram::with_opts(tick_options.buckets(DURATION_BUCKETS_S.to_vec()));
        Ok(Self {
            requests: counter("kwd_requests_total", "Requests received.")?,
            refusals: counters("kwd_refusals_total", "Refusals by kind.", "kind")?,
            admitted: counters("kwd_admitted_total", "Calls admitted.", "account")?,
            placements: counters("kwd_placements_total", "Placements by reason.", "reason")?,
            charges: counters("kwd_charges_total", "Charge records.", "account")?,
            charged_tokens: counters(
                "kwd_charged_tokens_total",
                "Generated tokens in charge records.",
                "account",
            )?,
            lost_charges: counter("kwd_lost_charges_total", "Charge records lost.")?,
            broken_streams: counters(
                "kwd_broken_streams_total",
                "Streams that ended before they were complete.",
                "kind",
            )?,
            passed_responses: counter(
                "kwd_passed_responses_total",
                "Responses passed on in parts because no memory was left for them.",
            )?,
            rejected_connections: counter(
                "kwd_rejected_connections_total",
                "Connections of callers closed because too many were open.",
            )?,
            buffered_bytes: gauges(
                "kwd_buffered_bytes",
                "Bytes of long requests and responses in memory.",
                "what",
            )?,
            turns: counters("kwd_turns_total", "Kept turns by result.", "result")?,
            origins: counters(
                "kwd_stream_origins_total",
                "Copies of origins of streams and lookups on storage VMs, by result.",
                "result",
            )?,
            claims: counters(
                "kwd_budget_claims_total",
                "Claims on free parts of budgets, by what storage VMs answer, and reports of what ended turns have used.",
                "result",
            )?,
            retries: counters(
                "kwd_retries_total",
                "Failed attempts by verdict.",
                "verdict",
            )?,
            connections: counters(
                "kwd_upstream_connections_total",
                "Connections to upstreams, new and used again.",
                "kind",
            )?,
            summaries: counters("kwd_summaries_total", "Summaries between VMs.", "kind")?,
            summary_bytes: counter("kwd_summary_bytes_total", "Bytes of summaries sent.")?,
            store_calls: counters("kwd_store_calls_total", "Requests to the store.", "purpose")?,
            store_s: times(
                "kwd_store_seconds",
                "Time of requests to the store.",
                "outcome",
            )?,
            stage_s: times(
                "kwd_stage_seconds",
                "Time of the stages of a call.",
                "stage",
            )?,
            tick_s: register(&registry, tick_s)?,
            tick_inputs: counter("kwd_inputs_total", "Inputs of the control thread.")?,
            open_calls: gauge("kwd_open_calls", "Calls that are not answered yet.")?,
            age_ms: gauges("kwd_age_milliseconds", "Age of what was read last.", "what")?,
            revision: gauge("kwd_revision", "Revision of the configuration in force.")?,
            sharing_vms: gauges("kwd_vms", "VMs that share the rates of accounts.", "kind")?,
            waiting_calls: gauges(
                "kwd_waiting_calls",
                "Calls that wait for an upstream, by class.",
                "class",
            )?,
            limited_upstreams: gauge(
                "kwd_limited_upstreams",
                "Upstreams that state a rate for all VMs together.",
            )?,
            slow_upstreams: gauge(
                "kwd_slow_upstreams",
                "Upstreams whose calls take over twice the mean of their pool.",
            )?,
            claim_waiting_calls: gauge(
                "kwd_claim_waiting_calls",
                "Calls that wait because this VM's share of the places is used up.",
            )?,
            full_rejections: counter(
                "kwd_full_rejections_total",
                "Attempts that upstreams rejected because they were full.",
            )?,
            evacuated_upstreams: gauge(
                "kwd_evacuated_upstreams",
                "Listed upstreams whose failure domain is evacuated.",
            )?,
            paced_upstreams: gauge(
                "kwd_paced_upstreams",
                "Upstreams that have started or recovered and are paced.",
            )?,
            cold_upstreams: gauge(
                "kwd_cold_upstreams",
                "Upstreams whose calls are limited because they are cold.",
            )?,
            held_back: gauge(
                "kwd_held_back_calls",
                "Calls since the start that waited although a paced upstream had room.",
            )?,
            lost_links: gauge(
                "kwd_lost_links",
                "Upstreams that only other VMs reach, as far as known.",
            )?,
            cut_off: gauge("kwd_cut_off", "1 while all links to upstreams are lost.")?,
            tunnels: counters(
                "kwd_tunnels_total",
                "Tunnels that other VMs asked for, by reply.",
                "reply",
            )?,
            proxied: counter(
                "kwd_proxied_attempts_total",
                "Attempts that went through another VM.",
            )?,
            dropped_lines: gauge("kwd_dropped_log_lines", "Log lines left out.")?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric is inconsistent.
    pub fn to_text(&self) -> prometheus::Result<String> {
        self.dropped_lines
            .set(gauge_value(crate::logs::dropped_lines()));
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// A measured stage of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Stage {
    /// From arrival to the choice of an upstream.
    Queue,
    /// Until a connection to the upstream is available.
    Connect,
    /// From the request to the first byte or event of the response.
    FirstByte,
    /// Between two events of a stream.
    EventGap,
    /// From arrival to the end of the response.
    Whole,
    /// From arrival to the end of the response, less the time spent on the upstream.
    Added,
    /// From the last event of a kept turn until the turn is stored.
    StoreTurn,
}

impl Stage {
    fn label(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Connect => "connect",
            Self::FirstByte => "first_byte",
            Self::EventGap => "event_gap",
            Self::Whole => "whole",
            Self::Added => "added",
            Self::StoreTurn => "store_turn",
        }
    }
}

/// # Calls
impl Metrics {
    /// Counts a request.
    pub(crate) fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, kind: RefusalKind) {
        let kind = kind.to_string();
        self.refusals.with_label_values(&[kind.as_str()]).inc();
    }

    /// Counts a stream that ended before it was complete.
    pub(crate) fn count_broken_stream(&self, kind: RefusalKind) {
        let kind = kind.to_string();
        self.broken_streams
            .with_label_values(&[kind.as_str()])
            .inc();
    }

    /// Counts a response that was passed on in parts.
    pub(crate) fn count_passed_response(&self) {
        self.passed_responses.inc();
    }

    /// Counts a connection that was closed because too many were open.
    pub(crate) fn count_rejected_connection(&self) {
        self.rejected_connections.inc();
    }

    /// Sets the gauges for the memory of long requests and responses.
    pub(crate) fn set_buffered_bytes(&self, requests: usize, responses: usize) {
        for (what, bytes) in [("requests", requests), ("responses", responses)] {
            let gauge = self.buffered_bytes.with_label_values(&[what]);
            gauge.set(gauge_value(bytes as u64));
        }
    }

    /// Records the duration of a stage.
    pub(crate) fn observe_stage(&self, stage: Stage, took: Duration) {
        let times = self.stage_s.with_label_values(&[stage.label()]);
        times.observe(took.as_secs_f64());
    }

    /// Counts a connection to an upstream as new or reused.
    pub(crate) fn count_connection(&self, is_new: bool) {
        let kind = if is_new { "new" } else { "kept" };
        self.connections.with_label_values(&[kind]).inc();
    }

    /// Counts a tunnel that another VM asked for, by reply.
    pub(crate) fn count_tunnel(&self, reply: OpenReply) {
        let reply = match reply {
            OpenReply::Connected => "connected",
            OpenReply::Refused => "refused",
            OpenReply::TimedOut => "timed_out",
            OpenReply::Rejected => "rejected",
        };
        self.tunnels.with_label_values(&[reply]).inc();
    }

    /// Counts a decision of the core.
    pub(crate) fn count_decision(&self, decision: &Decision) {
        match decision {
            Decision::Refused { kind, .. } => self.count_refusal(*kind),
            Decision::Admitted { account, .. } => {
                self.admitted.with_label_values(&[account.as_str()]).inc();
            }
            Decision::Placed { reason, .. } => {
                let reason = reason.label();
                self.placements.with_label_values(&[reason]).inc();
            }
            Decision::Capacity(CapacityDecision::UpstreamFull { .. }) => {
                self.full_rejections.inc();
            }
            Decision::Links(LinkDecision::Proxied { .. }) => self.proxied.inc(),
            Decision::Retry { .. } => self.retries.with_label_values(&["retried"]).inc(),
            Decision::NoRetry { .. } => self.retries.with_label_values(&["ended"]).inc(),
            Decision::SilenceTolerated { .. } => {
                self.retries.with_label_values(&["tolerated"]).inc();
            }
            _ => {}
        }
    }

    /// Counts a charge record.
    pub(crate) fn count_charge(&self, charge: &ChargeRecord) {
        let account = charge.account.as_str();
        self.charges.with_label_values(&[account]).inc();
        let tokens = self.charged_tokens.with_label_values(&[account]);
        tokens.inc_by(charge.answer_tokens);
    }

    /// Counts an origin of a stream that was not copied, or looked up on storage VMs, by result.
    pub(crate) fn count_origin(&self, result: &str) {
        self.origins.with_label_values(&[result]).inc();
    }

    /// Counts a claim on the free part of a budget, by result.
    pub(crate) fn count_claim(&self, result: &str) {
        self.claims.with_label_values(&[result]).inc();
    }

    /// Counts a kept turn that was stored or looked up, by result.
    pub(crate) fn count_turn(&self, result: &str) {
        self.turns.with_label_values(&[result]).inc();
    }

    /// Counts a charge record that was lost.
    pub(crate) fn count_lost_charge(&self) {
        self.lost_charges.inc();
    }
}

/// # Control and fleet
impl Metrics {
    /// Counts the inputs of a tick and records its duration and the number of open calls.
    pub(crate) fn count_tick(&self, inputs: usize, took: Duration, open_calls: usize) {
        self.tick_s.observe(took.as_secs_f64());
        self.tick_inputs.inc_by(inputs as u64);
        self.open_calls.set(gauge_value(open_calls as u64));
    }

    /// Updates the gauges for the ages of data, the revision and the VMs that share the rates.
    pub(crate) fn update_gauges(&self, control: &Control, now_us: u64) {
        let tables = control.tables();
        let readings = [
            ("config", tables.source.config.age_us(now_us)),
            ("upstreams", tables.source.list.age_us(now_us)),
        ];
        for (what, age_us) in readings {
            let value = age_us.map_or(-1, |age_us| gauge_value(age_us / 1_000));
            self.age_ms.with_label_values(&[what]).set(value);
        }
        self.revision.set(gauge_value(tables.fleet.revision.0));
        for class in UrgencyClass::ALL {
            let pools = tables.pools.iter();
            let calls = pools.map(|(_, row)| u64::from(row.queue.len_of_class(class)));
            let gauge = self.waiting_calls.with_label_values(&[class.name()]);
            gauge.set(gauge_value(calls.sum()));
        }
        let rates = tables.upstream_rates.iter();
        let limited = rates.filter(|(_, row)| row.limit_mcalls_per_s.is_some());
        self.limited_upstreams
            .set(gauge_value(limited.count() as u64));
        let slow = control.slow_upstreams(now_us);
        self.slow_upstreams.set(gauge_value(slow as u64));
        let pools = tables.pools.iter();
        let waiting = pools.map(|(_, pool)| pool.claim_waiting_calls.min(pool.queue.len()));
        let waiting: usize = waiting.sum();
        self.claim_waiting_calls.set(gauge_value(waiting as u64));
        let rows = tables.upstreams.iter();
        let evacuated = rows.filter(|(_, row)| row.config.is_evacuated).count();
        self.evacuated_upstreams.set(gauge_value(evacuated as u64));
        let pacing = &tables.pacing;
        let paced = pacing.paced_upstreams() as u64;
        self.paced_upstreams.set(gauge_value(paced));
        let cold = pacing.cold.len() as u64;
        self.cold_upstreams.set(gauge_value(cold));
        self.held_back.set(gauge_value(pacing.held_back_calls));
        let links = tables.upstreams.iter();
        let lost = links.filter(|(_, row)| row.link != Link::Up).count();
        self.lost_links.set(gauge_value(lost as u64));
        self.cut_off.set(i64::from(tables.links.is_cut_off));
        let (heard, known) = tables.peering.usable_fraction();
        self.sharing_vms
            .with_label_values(&["heard"])
            .set(gauge_value(heard));
        self.sharing_vms
            .with_label_values(&["known"])
            .set(gauge_value(known));
    }

    /// Counts a summary that was sent.
    pub(crate) fn count_sent(&self, bytes: usize, datagrams: usize) {
        self.count_summaries("sent");
        if datagrams > 1 {
            self.count_summaries("sent_in_parts");
        }
        self.summary_bytes.inc_by(bytes as u64);
    }

    /// Counts a summary, by what became of it.
    pub(crate) fn count_summaries(&self, kind: &str) {
        self.summaries.with_label_values(&[kind]).inc();
    }

    /// Counts a request to the store and records its duration.
    pub(crate) fn observe_store_request(&self, purpose: &str, is_answered: bool, took: Duration) {
        self.store_calls.with_label_values(&[purpose]).inc();
        let outcome = if is_answered { "answered" } else { "failed" };
        let times = self.store_s.with_label_values(&[outcome]);
        times.observe(took.as_secs_f64());
    }
}
