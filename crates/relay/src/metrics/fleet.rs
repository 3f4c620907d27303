//! Counters and gauges of the control thread, the other VMs and the store.

use std::time::Duration;

use knapweeddale_core::Control;
use knapweeddale_core::tables::{Link, UrgencyClass};
use knapweeddale_runtime::gauge_value;

use super::Metrics;

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
