//! Tells the response to an attempt from late responses to other requests on its connection.

use std::sync::Arc;

use knapweeddale_core::input::Failure;
use knapweeddale_runtime::Clock;
use tokio::time::Instant;

use super::attempt::Attempt;
use super::silence::SilenceLimit;
use super::whole::MAX_BODY_BYTES;
use crate::adapter::{Dialect, ResponseInfo};
use crate::upstream::{Connection, Exchange, OutgoingRequest, ResponseHead, Reuse};

/// Responses to other requests that an attempt skips before it fails.
const MAX_MISMATCHED_RESPONSES: usize = 2;

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    /// Returns which idle connections tell the response to this attempt from earlier ones.
    ///
    /// A late copy of an earlier response is recognized by its request ID. The ID does not help if
    /// the request has none, or if an earlier attempt sent the same one to this upstream.
    pub(super) fn reuse(&self) -> Reuse {
        let is_repeated = self.progress.sent_to.contains(&self.dispatch.address);
        if is_repeated || self.head.request_id.is_none() {
            return Reuse::Never;
        }
        match self.is_repeatable {
            true => Reuse::Any,
            false => Reuse::Recent,
        }
    }

    /// Sends the request and reads the head of its response; skips responses to other requests.
    pub(super) async fn send_request(
        &mut self,
        connection: &mut Connection,
        request: OutgoingRequest,
        silence: SilenceLimit,
        deadline: Instant,
    ) -> Result<(Exchange, ResponseInfo), Failure> {
        self.progress.may_be_sent = true;
        self.progress
            .sent_to
            .push(Arc::clone(&self.dispatch.address));
        let exchange = connection.exchange(request);
        let exchange = self.wait_for(exchange, silence, deadline).await?;
        let mut exchange = exchange.map_err(|error| self.failure(&error))?;
        let mut info = self.decode_head(&exchange.head);
        for _ in 0..MAX_MISMATCHED_RESPONSES {
            if self.is_matching(&exchange, &info) {
                break;
            }
            exchange = self
                .skip_response(connection, exchange, silence, deadline)
                .await?;
            info = self.decode_head(&exchange.head);
        }
        if !self.is_matching(&exchange, &info) {
            return Err(self.invalid_response("it belongs to another request"));
        }
        Ok((exchange, info))
    }

    /// Decodes the head of a response.
    fn decode_head(&self, head: &ResponseHead) -> ResponseInfo {
        self.shared
            .dialect
            .decode_response(head.status, &head.headers)
    }

    /// Returns whether a response belongs to this attempt.
    ///
    /// A response without an ID may be a late copy of an earlier one on its connection.
    fn is_matching(&self, exchange: &Exchange, info: &ResponseInfo) -> bool {
        match &info.request_id {
            Some(id) => self.head.request_id.as_ref() == Some(id),
            None => exchange.is_first_response,
        }
    }

    /// Discards a response to another request, sends what is left of this one and reads the head
    /// of the next response.
    async fn skip_response(
        &self,
        connection: &mut Connection,
        skipped: Exchange,
        silence: SilenceLimit,
        deadline: Instant,
    ) -> Result<Exchange, Failure> {
        let upstream = &self.dispatch.upstream;
        let attempt = self.dispatch.attempt;
        let status = skipped.head.status.as_u16();
        tracing::warn!(%attempt, %upstream, status, "upstream: skipped a response to another request");
        let next = async {
            let mut body = connection.body(&self.parts.method, &skipped.head)?;
            body.discard(MAX_BODY_BYTES).await?;
            connection.exchange(skipped.unsent).await
        };
        let next = self.wait_for(next, silence, deadline).await?;
        next.map_err(|error| self.failure(&error))
    }
}
