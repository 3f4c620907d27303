//! Puts summaries together that arrive in several datagrams.
//!
//! Datagrams may be lost, late, duplicated and out of order. A summary is complete when all of its
//! datagrams have arrived; until then it waits, for a time and within the memory of its permits.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweeddale_core::{Incarnation, Summary, VmName};
use smallvec::{SmallVec, smallvec};

use super::decoding::{Datagram, SummaryLayout, UnreadableDatagram, decode_datagram};
use super::sections::add_sections;

/// Time for which a summary waits for the rest of its datagrams; the next one follows sooner.
pub const INCOMPLETE_RETENTION: Duration = Duration::from_secs(1);

/// Most summaries that wait for the rest of their datagrams. A VM has one or two of them, and only
/// while another one starts.
pub const MAX_INCOMPLETE: usize = 256;

/// A complete summary, with the permits to keep the bytes of its datagrams.
#[derive(Debug)]
pub struct AssembledSummary<P> {
    /// The summary.
    pub summary: Box<Summary>,
    /// Number of its datagrams.
    pub datagrams: u8,
    /// The layout of its first datagram.
    pub layout: SummaryLayout,
    /// The permits of its datagrams.
    pub permits: SmallVec<[P; 1]>,
}

/// Identifies a summary: its sender and its number.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SummaryKey {
    source: SocketAddr,
    from: VmName,
    incarnation: Incarnation,
    round: u64,
}

impl SummaryKey {
    /// Returns whether this summary comes from the same sender as another one and is not newer.
    fn is_replaced_by(&self, other: &Self) -> bool {
        let is_same_sender = self.source == other.source && self.from == other.from;
        is_same_sender && (self.incarnation, self.round) <= (other.incarnation, other.round)
    }
}

/// A summary that waits for the rest of its datagrams.
#[derive(Debug)]
struct Incomplete<P> {
    key: SummaryKey,
    since: Instant,
    /// The summary of the first datagram, with the number of datagrams.
    first: Option<(Box<Summary>, u8)>,
    /// Number and sections of each further datagram.
    parts: Vec<(u8, Vec<u8>)>,
    permits: SmallVec<[P; 1]>,
}

impl<P> Incomplete<P> {
    fn new(key: SummaryKey, since: Instant) -> Self {
        Self {
            key,
            since,
            first: None,
            parts: Vec::new(),
            permits: SmallVec::new(),
        }
    }

    /// Returns whether a further datagram has arrived.
    fn has_part(&self, part: u8) -> bool {
        self.parts.iter().any(|(number, _)| *number == part)
    }

    fn is_complete(&self) -> bool {
        let first = self.first.as_ref();
        first.is_some_and(|(_, datagrams)| (1..*datagrams).all(|part| self.has_part(part)))
    }

    /// Adds the rows of the further datagrams to the summary of the first one.
    fn assemble(mut self) -> Result<AssembledSummary<P>, UnreadableDatagram> {
        let (mut summary, datagrams) = self.first.ok_or(UnreadableDatagram::Part)?;
        self.parts.sort_unstable_by_key(|(number, _)| *number);
        let parts = self.parts.iter();
        for (_, sections) in parts.filter(|(number, _)| *number < datagrams) {
            add_sections(&mut summary, sections).map_err(|_| UnreadableDatagram::Part)?;
        }
        Ok(AssembledSummary {
            summary,
            datagrams,
            layout: SummaryLayout::Sections,
            permits: self.permits,
        })
    }
}

/// The summaries that wait for the rest of their datagrams, the oldest first.
///
/// `P` is the permit to keep the bytes of a datagram.
#[derive(Debug)]
pub struct SummaryAssembler<P> {
    incomplete: Vec<Incomplete<P>>,
}

impl<P> Default for SummaryAssembler<P> {
    fn default() -> Self {
        Self {
            incomplete: Vec::new(),
        }
    }
}

impl<P> SummaryAssembler<P> {
    /// Takes a datagram in; returns the summary that it completes, or `None` if it waits.
    ///
    /// # Errors
    ///
    /// Fails if the datagram, or the summary that it would complete, cannot be read.
    pub fn accept(
        &mut self,
        source: SocketAddr,
        bytes: &[u8],
        permit: P,
        now: Instant,
    ) -> Result<Option<AssembledSummary<P>>, UnreadableDatagram> {
        match decode_datagram(bytes)? {
            Datagram::First {
                summary,
                datagrams: 1,
                layout,
            } => {
                self.drop_replaced(&key_of(source, &summary));
                Ok(Some(AssembledSummary {
                    summary,
                    datagrams: 1,
                    layout,
                    permits: smallvec![permit],
                }))
            }
            Datagram::First {
                summary, datagrams, ..
            } => {
                let at = self.find_or_insert(key_of(source, &summary), now);
                let row = &mut self.incomplete[at];
                if row.first.is_none() {
                    row.first = Some((summary, datagrams));
                    row.permits.push(permit);
                }
                self.finish(at)
            }
            Datagram::Part { head, sections } => {
                let key = SummaryKey {
                    source,
                    from: head.from,
                    incarnation: head.incarnation,
                    round: head.round,
                };
                let at = self.find_or_insert(key, now);
                let row = &mut self.incomplete[at];
                if !row.has_part(head.part) {
                    row.parts.push((head.part, sections.to_vec()));
                    row.permits.push(permit);
                }
                self.finish(at)
            }
        }
    }

    /// Drops the summaries that have waited for too long; returns the addresses of their senders.
    pub fn drop_expired(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_kept = |row: &Incomplete<P>| now.duration_since(row.since) < INCOMPLETE_RETENTION;
        let expired = self.incomplete.iter().take_while(|row| !is_kept(row));
        let sources: Vec<SocketAddr> = expired.map(|row| row.key.source).collect();
        self.incomplete.drain(..sources.len());
        sources
    }

    /// Drops the summary that has waited longest; returns the address of its sender.
    pub fn drop_oldest(&mut self) -> Option<SocketAddr> {
        let is_empty = self.incomplete.is_empty();
        (!is_empty).then(|| self.incomplete.remove(0).key.source)
    }

    /// Returns how many summaries wait for the rest of their datagrams.
    pub fn waiting(&self) -> usize {
        self.incomplete.len()
    }

    /// Returns the position of a summary, which is added if it is new.
    fn find_or_insert(&mut self, key: SummaryKey, now: Instant) -> usize {
        if let Some(at) = self.incomplete.iter().position(|row| row.key == key) {
            return at;
        }
        if self.incomplete.len() == MAX_INCOMPLETE {
            self.drop_oldest();
        }
        self.incomplete.push(Incomplete::new(key, now));
        self.incomplete.len() - 1
    }

    /// Removes and returns a summary if it is complete.
    fn finish(&mut self, at: usize) -> Result<Option<AssembledSummary<P>>, UnreadableDatagram> {
        if !self.incomplete[at].is_complete() {
            return Ok(None);
        }
        let row = self.incomplete.remove(at);
        self.drop_replaced(&row.key);
        row.assemble().map(Some)
    }

    /// Drops older summaries of a sender, and what is left of the same one.
    fn drop_replaced(&mut self, key: &SummaryKey) {
        self.incomplete.retain(|row| !row.key.is_replaced_by(key));
    }
}

/// Returns the key of a summary.
fn key_of(source: SocketAddr, summary: &Summary) -> SummaryKey {
    SummaryKey {
        source,
        from: summary.from.clone(),
        incarnation: summary.incarnation,
        round: summary.round,
    }
}
