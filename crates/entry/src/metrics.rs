//! Prometheus metrics of the entry daemon.
//!
//! Label values are names from the published configuration or fixed kinds, so that callers cannot
//! create time series. Keys and programs are never labels.

use std::time::Duration;

use knapweeddale_core::{Charge, Decision, Epoch, RefusalKind, Revision};
use knapweeddale_peer::CountsSnapshot;
use knapweeddale_runtime::{gauge_value, register};
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets for durations, in seconds; from below the target of 1 ms
/// to the duration of a long answer.
const DURATION_BUCKETS_S: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.3, 0.59, 1.0, 3.0, 10.0, 30.0, 100.0,
];

/// Counters, gauges and histograms of a VM that serves callers.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    admitted: IntCounterVec,
    charges: IntCounterVec,
    charged_tokens: IntCounterVec,
    lost_charges: IntCounter,
    retries: IntCounter,
    first_token_s: HistogramVec,
    call_s: HistogramVec,
    tick_s: Histogram,
    tick_inputs: IntCounter,
    open_calls: IntGauge,
    epoch: IntGauge,
    revision: IntGauge,
    peer: IntGaugeVec,
    store_calls: IntGaugeVec,
    unaddressed: IntCounter,
    lost_deliveries: IntCounter,
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
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, counters)
        };
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let gauges = |name: &str, help: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &["kind"]);
            register(&registry, gauges)
        };
        let times = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS_S.to_vec());
            register(&registry, HistogramVec::new(options, &["service"]))
        };
        let tick_options = HistogramOpts::new("kwd_tick_seconds", "Time of one control tick.");
        let tick_s = Histogram::with_opts(tick_options.buckets(DURATION_BUCKETS_S.to_vec()));
        Ok(Self {
            requests: counters("kwd_requests_total", "Requests received.", &["service"])?,
            refusals: counters("kwd_refusals_total", "Refusals by kind.", &["kind"])?,
            admitted: counters("kwd_admitted_total", "Calls admitted.", &["account"])?,
            charges: counters("kwd_charges_total", "Charge records.", &["account"])?,
            charged_tokens: counters(
                "kwd_charged_tokens_total",
                "Tokens in charge records.",
                &["account", "kind"],
            )?,
            lost_charges: counter("kwd_lost_charges_total", "Charge records lost.")?,
            retries: counter("kwd_retries_total", "Calls tried again.")?,
            first_token_s: times(
                "kwd_first_token_seconds",
                "Time to the first token or byte.",
            )?,
            call_s: times("kwd_call_seconds", "Time of a call that ran.")?,
            tick_s: register(&registry, tick_s)?,
            tick_inputs: counter("kwd_inputs_total", "Inputs of the control thread.")?,
            open_calls: gauge("kwd_open_calls", "Calls that are not answered yet.")?,
            epoch: gauge("kwd_epoch", "Epoch of the view in force.")?,
            revision: gauge("kwd_revision", "Revision of the configuration in force.")?,
            peer: gauges(
                "kwd_peer",
                "Messages and bytes between VMs since the start.",
            )?,
            store_calls: gauges(
                "kwd_store_calls",
                "Calls to the object API since the start.",
            )?,
            unaddressed: counter("kwd_unaddressed_total", "Messages to unknown VMs.")?,
            lost_deliveries: counter(
                "kwd_lost_deliveries_total",
                "Batches of other VMs dropped because the input queue was full.",
            )?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn to_text(&self) -> prometheus::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// # Calls
impl Metrics {
    /// Counts a request; `service` is a configured name or `unknown`.
    pub(crate) fn count_request(&self, service: &str) {
        self.requests.with_label_values(&[service]).inc();
    }

    /// Counts a refused call.
    pub(crate) fn count_refusal(&self, kind: RefusalKind) {
        let kind = kind.to_string();
        self.refusals.with_label_values(&[kind.as_str()]).inc();
    }

    /// Records the time to the first token or byte.
    pub(crate) fn observe_first_token(&self, service: &str, took: Duration) {
        let times = self.first_token_s.with_label_values(&[service]);
        times.observe(took.as_secs_f64());
    }

    /// Records the duration of a call that ran.
    pub(crate) fn observe_call(&self, service: &str, took: Duration) {
        let times = self.call_s.with_label_values(&[service]);
        times.observe(took.as_secs_f64());
    }

    /// Counts a decision, if there is a metric for its kind.
    pub(crate) fn count_decision(&self, decision: &Decision) {
        match decision {
            Decision::Refused { kind, .. } => self.count_refusal(*kind),
            Decision::Admitted { account, .. } => {
                self.admitted.with_label_values(&[account.as_str()]).inc();
            }
            Decision::Retry { .. } => self.retries.inc(),
            _ => {}
        }
    }

    /// Counts a charge and its tokens.
    pub(crate) fn count_charge(&self, charge: &Charge) {
        let account = charge.account.as_ref().map_or("-", |name| name.as_str());
        self.charges.with_label_values(&[account]).inc();
        for (kind, tokens) in [
            ("prompt", charge.prompt_tokens),
            ("answer", charge.answer_tokens),
        ] {
            let counter = self.charged_tokens.with_label_values(&[account, kind]);
            counter.inc_by(tokens);
        }
    }

    /// Counts the loss of a charge record or of a batch of them.
    pub(crate) fn count_lost_charge(&self) {
        self.lost_charges.inc();
    }
}

/// # Control and fleet
impl Metrics {
    /// Records a tick of the control thread and sets the number of open calls.
    pub(crate) fn count_tick(&self, inputs: usize, took: Duration, open_calls: usize) {
        self.tick_s.observe(took.as_secs_f64());
        self.tick_inputs.inc_by(inputs as u64);
        self.open_calls.set(gauge_value(open_calls as u64));
    }

    /// Sets the epoch of the view in force.
    pub(crate) fn set_epoch(&self, epoch: Epoch) {
        self.epoch.set(gauge_value(epoch.0));
    }

    /// Sets the revision of the configuration in force.
    pub(crate) fn set_revision(&self, revision: Revision) {
        self.revision.set(gauge_value(revision.0));
    }

    /// Counts a message dropped because the address of its VM is unknown.
    pub(crate) fn count_unaddressed(&self) {
        self.unaddressed.inc();
    }

    /// Counts a batch from another VM dropped because the input queue was full.
    pub(crate) fn count_lost_delivery(&self) {
        self.lost_deliveries.inc();
    }

    /// Copies the counts of messages exchanged with other VMs.
    pub(crate) fn set_peer_counts(&self, counts: &CountsSnapshot) {
        for (kind, value) in [
            ("sent_messages", counts.sent_messages),
            ("sent_bytes", counts.sent_bytes),
            ("dropped_full", counts.dropped_full),
            ("dropped_failed", counts.dropped_failed),
            ("dropped_large", counts.dropped_large),
            ("received_messages", counts.received_messages),
            ("unreadable_messages", counts.unreadable_messages),
            ("refused_secret", counts.refused_secret),
            ("closed_idle", counts.closed_idle),
        ] {
            let gauge = self.peer.with_label_values(&[kind]);
            gauge.set(gauge_value(value));
        }
    }

    /// Copies the counts of calls to the object API.
    pub(crate) fn set_store_counts(&self, counts: &knapweeddale_store::CallCounts) {
        for (kind, value) in [
            ("reads", counts.reads),
            ("writes", counts.writes),
            ("watches", counts.watches),
            ("failures", counts.failures),
        ] {
            let gauge = self.store_calls.with_label_values(&[kind]);
            gauge.set(gauge_value(value));
        }
    }
}
