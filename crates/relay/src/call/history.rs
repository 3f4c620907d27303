//! Turns that the system keeps, as part of an attempt: their prompts and their storage.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use knapweeddale_core::TurnId;
use knapweeddale_core::input::Failure;
use knapweeddale_core::turns::{StoredTurn, TurnKey};
use knapweeddale_runtime::Clock;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::attempt::Attempt;
use crate::adapter::Dialect;
use crate::metrics::Stage;
use crate::turns::HistoryError;
use crate::upstream::Event;

/// Maximum size of a prompt together with the turns before it.
const MAX_PROMPT_BYTES: usize = 4 * 1024 * 1024;

/// Time before the deadline of a call that is left for its refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(30);

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    /// Returns the body for the upstream: that of the caller, after the turns before it if the
    /// system keeps them.
    ///
    /// # Errors
    ///
    /// Fails if the turns before it cannot be used, or if the turn itself could not be stored.
    pub(super) async fn load_prompt(&mut self, deadline: Instant) -> Result<Bytes, Failure> {
        let lookup_deadline = deadline - REFUSAL_TIME;
        self.check_storable(lookup_deadline).await?;
        let previous = self.head.previous_turn.as_ref();
        let Some(previous) = previous.filter(|_| self.dispatch.kept_turn.is_some()) else {
            return Ok(self.body.clone());
        };
        let earlier = match &self.progress.earlier_turns {
            Some(earlier) => earlier.clone(),
            None => self.find_turns(previous, lookup_deadline).await?,
        };
        self.progress.earlier_turns = Some(earlier.clone());
        let prompt_bytes = earlier.len() + self.body.len();
        if prompt_bytes > MAX_PROMPT_BYTES {
            return Err(Failure::HistoryTooLarge);
        }
        let mut prompt = BytesMut::with_capacity(prompt_bytes);
        prompt.extend_from_slice(&earlier);
        prompt.extend_from_slice(self.body);
        Ok(prompt.freeze())
    }

    /// Fails if the turn has not begun and too few VMs with a disk answer to store it.
    async fn check_storable(&self, deadline: Instant) -> Result<(), Failure> {
        let Some(kept) = &self.dispatch.kept_turn else {
            return Ok(());
        };
        if self.progress.is_stream_started {
            return Ok(());
        }
        let allowed = kept.storage.as_deref();
        let Err(error) = self.shared.turns.check_storable(allowed, deadline).await else {
            return Ok(());
        };
        let request = self.head.request_id.as_deref().unwrap_or("-");
        tracing::info!(request, call = %self.dispatch.attempt.call,
            "history: turn not begun ({error})");
        self.shared.metrics.count_turn("not_begun");
        Err(Failure::HistoryUnavailable)
    }

    /// Reads the turns up to `previous`.
    async fn find_turns(&self, previous: &TurnId, deadline: Instant) -> Result<Bytes, Failure> {
        let key = TurnKey {
            account: self.dispatch.account.clone(),
            id: previous.clone(),
        };
        let found = self.shared.turns.find(&key, deadline).await;
        found.map_err(|error| {
            let request = self.head.request_id.as_deref().unwrap_or("-");
            tracing::info!(request, call = %self.dispatch.attempt.call, %previous,
                "history: not read ({error})");
            match error {
                HistoryError::Unknown { .. } => Failure::HistoryUnknown,
                _ => Failure::HistoryUnavailable,
            }
        })
    }

    /// Adds the data of a forwarded event to the output of a turn that is kept.
    pub(super) fn keep_output(&mut self, event: &Event) {
        if self.dispatch.kept_turn.is_none() {
            return;
        }
        let output = &mut self.progress.kept_output;
        for line in event.data() {
            output.extend_from_slice(line);
            output.extend_from_slice(b"\n");
        }
        let held_bytes = output.capacity();
        let permit = &mut self.progress.kept_permit;
        let permit = permit.get_or_insert_with(|| self.shared.kept_turns.permit());
        // The limiter only counts.
        let _ = permit.resize(held_bytes);
    }

    /// Stores a turn whose stream is complete, before its response ends at the deadline.
    ///
    /// A turn without an ID cannot be named later, and of a stream that its caller has resumed the
    /// first part is not known, so neither is kept.
    pub(super) async fn store_turn(&mut self, deadline: Instant) -> Result<(), Failure> {
        let Some(kept) = &self.dispatch.kept_turn else {
            return Ok(());
        };
        let call = self.dispatch.attempt.call;
        let Some(id) = self.head.request_id.as_deref() else {
            tracing::warn!(%call, "history: turn without an ID is not kept");
            return Ok(());
        };
        if self.head.last_event_id.is_some() {
            tracing::warn!(request = id, %call, "history: resumed turn is not kept");
            return Ok(());
        }
        let mut content = Vec::with_capacity(self.body.len() + self.progress.kept_output.len());
        content.extend_from_slice(self.body);
        content.extend_from_slice(&self.progress.kept_output);
        let turn = StoredTurn {
            key: TurnKey {
                account: self.dispatch.account.clone(),
                id: TurnId::from(id),
            },
            previous: self.head.previous_turn.clone(),
            content: Arc::from(content),
            retention_ms: kept.retention_ms,
            copies: SmallVec::new(),
        };
        let earlier = self.progress.earlier_turns.clone().unwrap_or_default();
        let (input_bytes, output_bytes) = (self.body.len(), self.progress.kept_output.len());
        let earlier_bytes = earlier.len();
        let started = Instant::now();
        let allowed = kept.storage.as_deref();
        let stored = self.shared.turns.store(turn, earlier, allowed, deadline);
        let stored = stored.await;
        let took = started.elapsed();
        self.shared.metrics.observe_stage(Stage::StoreTurn, took);
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        match stored {
            Ok(()) => {
                tracing::info!(request = id, %call, took_us, input_bytes, output_bytes,
                    earlier_bytes, "history: turn stored");
                Ok(())
            }
            Err(error) => {
                tracing::warn!(request = id, %call, took_us, "history: turn not stored ({error})");
                Err(Failure::HistoryNotStored {
                    answer_tokens: self.progress.forwarded_tokens,
                })
            }
        }
    }
}
