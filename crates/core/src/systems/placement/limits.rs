//! Load, speed and concurrency limits of upstreams, as measured by the pool owner.

use super::super::Tick;
use super::{availability, speeds};
use crate::ids::UpstreamName;
use crate::message::Finish;
use crate::output::Decision;
use crate::tables::{LimitReason, RunningAttempt, SpeedSample};

/// Shortest prefill that counts as a speed sample; shorter ones mostly measure the network.
const MIN_PREFILL_SAMPLE_TOKENS: u64 = 500;

/// Shortest response that counts as a decode sample; shorter ones say little about token time.
const MIN_DECODE_SAMPLE_TOKENS: u64 = 8;

/// Updates an upstream's load and limit from a load report, which lags.
pub(super) fn record_load_report(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    running_calls: u32,
    tokens_per_s: u64,
) {
    let now_us = tick.now_us;
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    let own_calls = row.peak_calls[0].max(row.peak_calls[1]);
    row.foreign_calls = running_calls.saturating_sub(own_calls);
    row.peak_calls = [row.attempts.len() as u32, row.peak_calls[0]];
    let from_calls = row.limit.calls;
    let reason = row.limit.record_load(now_us, running_calls, tokens_per_s);
    log_change(tick, upstream, from_calls, reason);
    availability::refresh_and_assign(tick, upstream);
}

/// Updates an upstream's speed and limit from a complete attempt.
pub(super) fn record_completion(tick: &mut Tick<'_>, running: &RunningAttempt, finish: &Finish) {
    let now_us = tick.now_us;
    if let Some(pool) = tick.tables.pools.get_mut(&finish.pool) {
        let tokens = (finish.prompt_tokens, finish.answer_tokens);
        pool.speed
            .record(tokens, (finish.first_token_us, finish.total_us));
    }
    let target_us = tick.settings.token_gap_target_ms * 1_000;
    let Some(row) = tick.tables.upstreams.get_mut(&finish.upstream) else {
        return;
    };
    row.mean_call_us = (row.mean_call_us * 15 + finish.total_us) / 16;
    let mut sample = SpeedSample {
        calls: 1,
        busy_us: finish.total_us,
        ..SpeedSample::default()
    };
    let read_tokens = finish.prompt_tokens.saturating_sub(finish.cached_tokens);
    if read_tokens >= MIN_PREFILL_SAMPLE_TOKENS && finish.first_token_us > 0 {
        let read_us = finish
            .first_token_us
            .saturating_sub(running.prefill_wait_us);
        (sample.read_tokens, sample.read_us) = (read_tokens, read_us);
        let ns_per_token = read_us * 1_000 / read_tokens;
        // The prefill wait is an estimate, so a sample may be far too high.
        let ns_per_token = ns_per_token.clamp(
            row.prefill_ns_per_token / 4,
            row.prefill_ns_per_token.saturating_mul(2),
        );
        row.prefill_ns_per_token = ((row.prefill_ns_per_token * 31 + ns_per_token) / 32).max(100);
    }
    speeds::record_own(tick, &finish.upstream, sample);
    if finish.answer_tokens < MIN_DECODE_SAMPLE_TOKENS {
        return;
    }
    let Some(row) = tick.tables.upstreams.get_mut(&finish.upstream) else {
        return;
    };
    let decode_us = finish.total_us.saturating_sub(finish.first_token_us);
    let token_us = decode_us / finish.answer_tokens;
    let from_calls = row.limit.calls;
    let reason = row.limit.record_token_time(now_us, token_us, target_us);
    log_change(tick, &finish.upstream, from_calls, reason);
}

/// Logs a change of an upstream's concurrency limit.
fn log_change(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    from_calls: u32,
    reason: Option<LimitReason>,
) {
    let to_calls = tick
        .tables
        .upstreams
        .get(upstream)
        .map(|row| row.limit.calls);
    if let (Some(reason), Some(to_calls)) = (reason, to_calls) {
        tick.log(Decision::LimitChanged {
            upstream: upstream.clone(),
            from_calls,
            to_calls,
            reason,
        });
    }
}
