//! What the owner of a pool learns about upstreams.

use super::super::Tick;
use super::listing;
use crate::ids::UpstreamName;
use crate::message::Finish;
use crate::output::Decision;
use crate::tables::{LimitReason, Running};

/// Prompts shorter than this measure the network rather than the reading of tokens.
const MEASURED_TOKENS: u64 = 500;

/// Responses shorter than this say little about the time between tokens.
const MEASURED_ANSWER_TOKENS: u64 = 8;

/// Learns from a load report, which lags.
pub(super) fn report(
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
    let reason = row.limit.report(now_us, running_calls, tokens_per_s);
    log_change(tick, upstream, from_calls, reason);
    listing::wake(tick, upstream);
}

/// Learns from a complete attempt.
pub(super) fn finished(tick: &mut Tick<'_>, running: &Running, finish: &Finish) {
    let now_us = tick.now_us;
    let target_us = tick.settings.token_target_ms * 1_000;
    let Some(row) = tick.tables.upstreams.get_mut(&finish.upstream) else {
        return;
    };
    row.hold_us = (row.hold_us * 15 + finish.total_us) / 16;
    let read_tokens = finish.prompt_tokens.saturating_sub(finish.cached_tokens);
    if read_tokens >= MEASURED_TOKENS && finish.first_token_us > 0 {
        let read_us = finish
            .first_token_us
            .saturating_sub(running.prefill_wait_us);
        let ns_per_token = read_us * 1_000 / read_tokens;
        // The wait before the prompt is estimated, so a sample may be far too high.
        let ns_per_token = ns_per_token.clamp(
            row.prefill_ns_per_token / 4,
            row.prefill_ns_per_token.saturating_mul(2),
        );
        row.prefill_ns_per_token = ((row.prefill_ns_per_token * 31 + ns_per_token) / 32).max(100);
    }
    if finish.answer_tokens < MEASURED_ANSWER_TOKENS {
        return;
    }
    let decode_us = finish.total_us.saturating_sub(finish.first_token_us);
    let token_us = decode_us / finish.answer_tokens;
    let from_calls = row.limit.calls;
    let reason = row.limit.finished(now_us, token_us, target_us);
    log_change(tick, &finish.upstream, from_calls, reason);
}

/// Logs a change of a limit.
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
        tick.decide(Decision::LimitChanged {
            upstream: upstream.clone(),
            from_calls,
            to_calls,
            reason,
        });
    }
}
