//! Receives summaries of other VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bon::Builder;
use knapweeddale_core::{Input, PeerEvent};
use knapweeddale_runtime::{MemoryLimiter, MemoryPermit, UNCOUNTED_BYTES};
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use super::assembly::{AssembledSummary, INCOMPLETE_RETENTION, SummaryAssembler};
use super::decoding::SummaryLayout;
use crate::control::{InputSender, Message};
use crate::metrics::Metrics;

/// Size of the receive buffer; no UDP datagram is longer.
const BUFFER_BYTES: usize = 65_536;

/// The permits to keep the datagrams of a summary.
pub(crate) type MemoryPermits = SmallVec<[MemoryPermit; 1]>;

/// Receives summaries and queues them as inputs.
#[derive(Debug, Builder)]
pub(crate) struct SummaryReceiver {
    socket: UdpSocket,
    inputs: InputSender,
    /// Limit for the datagrams that wait for the rest of their summary or the control thread.
    waiting: MemoryLimiter,
    metrics: Arc<Metrics>,
    #[builder(default)]
    assembler: SummaryAssembler<MemoryPermit>,
}

impl SummaryReceiver {
    /// Receives until the task is aborted.
    pub async fn run(mut self) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            // The timeout frees the memory of incomplete summaries when nothing else arrives.
            let received = timeout(INCOMPLETE_RETENTION, self.socket.recv_from(&mut buffer)).await;
            self.drop_expired();
            match received {
                Ok(Ok((received, source))) => self.accept(source, &buffer[..received]),
                // The error concerns an earlier datagram that its receiver refused; the socket can
                // still receive.
                Ok(Err(error)) => tracing::debug!("peers: receiving failed ({error})"),
                Err(_) => {}
            }
        }
    }

    /// Takes a datagram in.
    fn accept(&mut self, source: SocketAddr, bytes: &[u8]) {
        let Some(permit) = self.permit(bytes.len()) else {
            tracing::debug!("peers: datagram dropped, too many wait for the control thread");
            self.metrics.count_summaries("dropped");
            return;
        };
        match self.assembler.accept(source, bytes, permit, Instant::now()) {
            Ok(Some(assembled)) => self.queue_summary(assembled),
            Ok(None) => {}
            Err(error) => {
                tracing::debug!(%source, "peers: datagram cannot be read, {error}");
                self.metrics.count_summaries("unreadable");
                self.queue_unreadable(source);
            }
        }
    }

    /// Returns the permit to keep a datagram; incomplete summaries give way to it.
    fn permit(&mut self, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = self.waiting.permit();
        while permit.resize(UNCOUNTED_BYTES + bytes).is_err() {
            let source = self.assembler.drop_oldest()?;
            self.report_incomplete(source);
        }
        Some(permit)
    }

    /// Drops the summaries of which a datagram has been lost.
    fn drop_expired(&mut self) {
        for source in self.assembler.drop_expired(Instant::now()) {
            self.report_incomplete(source);
        }
    }

    /// Reports a summary that was dropped before all of its datagrams had arrived.
    fn report_incomplete(&self, source: SocketAddr) {
        tracing::debug!(%source, "peers: summary dropped, it is incomplete");
        self.metrics.count_summaries("incomplete");
        self.queue_unreadable(source);
    }

    /// Queues a summary for the control thread.
    fn queue_summary(&self, assembled: AssembledSummary<MemoryPermit>) {
        self.metrics.count_summaries("received");
        if assembled.datagrams > 1 {
            self.metrics.count_summaries("received_in_parts");
        }
        if assembled.layout == SummaryLayout::Earlier {
            self.metrics.count_summaries("received_earlier");
        }
        self.queue(PeerEvent::Summary(assembled.summary), assembled.permits);
    }

    /// Tells the control thread that a VM is up whose datagram cannot be read.
    fn queue_unreadable(&self, source: SocketAddr) {
        let address = Arc::from(source.to_string());
        self.queue(PeerEvent::Unreadable { address }, SmallVec::new());
    }

    fn queue(&self, news: PeerEvent, permits: MemoryPermits) {
        let message = Message::Summary {
            input: Input::PeerEvent(news),
            permits,
        };
        if self.inputs.try_send(message).is_err() {
            tracing::debug!("peers: summary dropped, the input queue is full");
        }
    }
}
