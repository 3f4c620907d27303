//! Counters and histograms of a VM that relays calls.

mod calls;
mod fleet;
mod stage;

use knapweeddale_runtime::{gauge_value, register};
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

pub(crate) use self::stage::Stage;

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
                "Bytes of long requests and responses, and of kept turns, in memory.",
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
