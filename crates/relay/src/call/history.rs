//! Turns that the system keeps, as part of an attempt: their prompts and their storage.

use std::time::Duration;

use bytes::Bytes;
use knapweeddale_core::TurnId;
use knapweeddale_core::input::Failure;
use knapweeddale_core::turns::{StoredTurn, TurnKey};
use knapweeddale_runtime::Clock;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::attempt::Attempt;
use crate::adapter::Dialect;
use crate::metrics::Stage;
use crate::turns::{HistoryError, OutputError, TurnContent, TurnSize, expected_output_bytes};
use crate::upstream::Event;

/// Time before the deadline of a call that is left for its refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(30);

/// A kept turn under way.
#[derive(Debug)]
pub(super) struct KeptTurnProgress {
    /// The body for the upstream: the contents of the turns before, then the input.
    prompt: Bytes,
    /// Size of the contents of the turns before.
    earlier_bytes: usize,
    content: TurnContent,
}

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    /// Returns the body for the upstream: that of the caller, after the turns before it if the
    /// system keeps them.
    ///
    /// # Errors
    ///
    /// Fails if the turns before it cannot be used, if there is no memory for the turn, or if the
    /// turn itself could not be stored.
    pub(super) async fn load_prompt(&mut self, deadline: Instant) -> Result<Bytes, Failure> {
        if self.dispatch.kept_turn.is_none() {
            return Ok(self.body.clone());
        }
        let lookup_deadline = deadline - REFUSAL_TIME;
        self.check_storable(lookup_deadline).await?;
        if let Some(turn) = &self.progress.kept_turn {
            return Ok(turn.prompt.clone());
        }
        let turn = self.begin_turn(lookup_deadline).await;
        let turn = turn.map_err(|error| self.history_failure(&error))?;
        let prompt = turn.prompt.clone();
        self.progress.kept_turn = Some(turn);
        Ok(prompt)
    }

    /// Reads the turns before this one and reserves the memory for it.
    async fn begin_turn(&self, deadline: Instant) -> Result<KeptTurnProgress, HistoryError> {
        let turns = &self.shared.turns;
        let form = self.dispatch.events;
        let tokens_per_event = form.map_or(0, |form| form.tokens_per_event);
        let size = TurnSize {
            input_bytes: self.body.len(),
            output_bytes: expected_output_bytes(self.head.max_tokens, tokens_per_event),
        };
        let (prompt, earlier_bytes, reservation) = match &self.head.previous_turn {
            Some(previous) => {
                let held = turns.find(&self.turn_key(previous), size, deadline).await?;
                let prompt = Bytes::from([&held.chain[..], self.body].concat());
                (prompt, held.chain.len(), held.reservation)
            }
            None => {
                let held = turns.memory().hold(size.held_bytes(0), deadline);
                (self.body.clone(), 0, held.await?)
            }
        };
        let growth = self.shared.responses.permit();
        Ok(KeptTurnProgress {
            prompt,
            earlier_bytes,
            content: TurnContent::new(self.body, size.output_bytes, reservation, growth),
        })
    }

    /// Returns the key of a turn of the caller's account.
    fn turn_key(&self, id: &TurnId) -> TurnKey {
        TurnKey {
            account: self.dispatch.account.clone(),
            id: id.clone(),
        }
    }

    /// Logs why a turn cannot begin and returns the failure.
    fn history_failure(&self, error: &HistoryError) -> Failure {
        let request = self.head.request_id.as_deref().unwrap_or("-");
        let previous = self.head.previous_turn.as_ref().map_or("-", TurnId::as_str);
        tracing::info!(request, call = %self.dispatch.attempt.call, previous,
            "history: not read ({error})");
        match error {
            HistoryError::Unknown { .. } => Failure::HistoryUnknown,
            HistoryError::PromptTooLarge { .. } => Failure::HistoryTooLarge,
            HistoryError::NoMemory { .. } => Failure::HistoryOutOfMemory,
            _ => Failure::HistoryUnavailable,
        }
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

    /// Adds the data of a forwarded event to the output of a turn that is kept.
    ///
    /// # Errors
    ///
    /// Fails if the output is too long to be kept. The stream then ends as a broken one, since a
    /// turn that is answered whole has to be kept.
    pub(super) fn keep_output(&mut self, event: &Event) -> Result<(), Failure> {
        let Some(turn) = &mut self.progress.kept_turn else {
            return Ok(());
        };
        let mut lines = event.data();
        let kept: Result<(), OutputError> = lines.try_for_each(|line| turn.content.push_line(line));
        kept.map_err(|error| self.too_long(&error.to_string()))
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
        let Some(progress) = self.progress.kept_turn.take() else {
            return Ok(());
        };
        let earlier_bytes = progress.earlier_bytes;
        let earlier = progress.prompt.slice(..earlier_bytes);
        let (input_bytes, output_bytes) = (self.body.len(), progress.content.output_bytes());
        let (content, memory) = progress.content.into_parts();
        let turn = StoredTurn {
            key: self.turn_key(&TurnId::from(id)),
            previous: self.head.previous_turn.clone(),
            content,
            retention_ms: kept.retention_ms,
            copies: SmallVec::new(),
        };
        let started = Instant::now();
        let allowed = kept.storage.as_deref();
        let turns = &self.shared.turns;
        let stored = turns.store(turn, earlier, memory, allowed, deadline).await;
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
