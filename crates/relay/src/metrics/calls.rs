//! Counters and histograms of calls, their connections and what they leave on storage VMs.

use std::time::Duration;

use knapweeddale_core::output::{CapacityDecision, LinkDecision};
use knapweeddale_core::{Decision, RefusalKind};
use knapweeddale_runtime::gauge_value;

use super::{Metrics, Stage};
use crate::charges::ChargeRecord;
use crate::tunnel::OpenReply;

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

    /// Sets the gauges for the memory of what this VM holds for others.
    pub(crate) fn set_buffered_bytes<const N: usize>(&self, rows: [(&str, usize); N]) {
        for (what, bytes) in rows {
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
