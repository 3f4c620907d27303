//! Encodes summaries as datagrams.
//!
//! The first datagram is a summary in the fixed layout, which all builds read, and a trailer with
//! a marker, the number of datagrams and sections. Rows that do not fit follow in further
//! datagrams.

use derive_more::{Display, Error, From};
use knapweeddale_core::{Incarnation, Summary, VmName};
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

use super::columns::{Columns, append, encode_columns};
use super::sections::{self, ROWS_VERSION, encode_rows, put_columns, put_section};

/// Most bytes of a datagram; the transport takes 65,507.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Most datagrams of a summary. Together they stay below the memory of the smallest VMs.
pub const MAX_DATAGRAMS: u8 = 64;

/// What the trailer behind the fixed layout begins with.
pub(super) const TRAILER_MARKER: [u8; 2] = [0xB5, 0x4B];

/// What a further datagram begins with.
///
/// Earlier builds take the first bytes for the length of a name. No number has ten bytes with the
/// highest bit set, so that they never take such a datagram for a summary.
pub(super) const PART_MARKER: [u8; 10] = [0xFF; 10];

/// Room for what a further datagram holds besides the body of a section.
const PART_HEAD_BYTES: usize = 2_048;

/// What a further datagram has after its marker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PartHead {
    /// The sender of the summary.
    pub from: VmName,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Number of the summary.
    pub round: u64,
    /// Number of the datagram; the one with the fixed layout is 0.
    pub part: u8,
}

/// A summary as datagrams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedSummary {
    /// The datagrams, the one with the fixed layout first.
    pub datagrams: SmallVec<[Vec<u8>; 1]>,
    /// Rows that were left out because they exceed all datagrams of a summary.
    pub omitted_rows: usize,
}

/// Why a summary has no encoding.
#[derive(Debug, Display, Error, From)]
pub enum EncodeError {
    /// The fixed layout cannot be encoded.
    #[display("the fixed layout cannot be encoded: {_0}")]
    Layout(postcard::Error),
    /// What every summary states does not fit into a datagram.
    #[display("the names and addresses of the sender do not fit into a datagram")]
    #[from(ignore)]
    TooLong,
}

/// Encodes a summary.
///
/// # Errors
///
/// Fails if the first datagram would be too long without any rows.
pub fn encode_summary(summary: &Summary) -> Result<EncodedSummary, EncodeError> {
    let datagram = encode_first(summary, 1)?;
    if datagram.len() <= MAX_DATAGRAM_BYTES {
        return Ok(EncodedSummary {
            datagrams: smallvec![datagram],
            omitted_rows: 0,
        });
    }
    encode_parts(summary.clone(), datagram.len() - MAX_DATAGRAM_BYTES)
}

/// Encodes the datagram with the fixed layout and the trailer.
fn encode_first(summary: &Summary, datagrams: u8) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = postcard::to_stdvec(summary)?;
    bytes.extend_from_slice(&TRAILER_MARKER);
    bytes.push(datagrams);
    put_columns(&mut bytes, &summary.demand);
    put_columns(&mut bytes, &summary.reports);
    put_columns(&mut bytes, &summary.paces);
    Ok(bytes)
}

/// Encodes a summary that exceeds a datagram by some bytes.
///
/// Programs go first: a VM that has just started learns them from a snapshot as well. The calls
/// that count against rates go last.
fn encode_parts(mut summary: Summary, excess_bytes: usize) -> Result<EncodedSummary, EncodeError> {
    let mut parts = PartWriter::new(&summary, excess_bytes);
    parts.move_rows(sections::PROGRAMS, &mut summary.programs);
    parts.move_columns(&mut summary.reports);
    parts.move_columns(&mut summary.paces);
    parts.move_columns(&mut summary.demand);
    parts.move_rows(sections::OTHERS, &mut summary.others);
    parts.move_rows(sections::QUARANTINED, &mut summary.quarantined);
    parts.move_rows(sections::SUSPECTS, &mut summary.suspects);
    parts.move_rows(sections::LOST_LINKS, &mut summary.lost_links);
    parts.move_rows(sections::RUNNING, &mut summary.running);
    parts.move_rows(sections::LIMITS, &mut summary.limits);
    parts.move_rows(sections::PLACED, &mut summary.placed);
    parts.move_rows(sections::ADMITTED, &mut summary.admitted);
    let first = encode_first(&summary, parts.next_part)?;
    if first.len() > MAX_DATAGRAM_BYTES {
        return Err(EncodeError::TooLong);
    }
    let mut datagrams = smallvec![first];
    datagrams.extend(parts.datagrams);
    Ok(EncodedSummary {
        datagrams,
        omitted_rows: parts.omitted_rows,
    })
}

/// Collects the rows that do not fit into the first datagram.
#[derive(Debug)]
struct PartWriter {
    head: PartHead,
    /// Bytes by which the first datagram is too long.
    excess_bytes: usize,
    datagrams: Vec<Vec<u8>>,
    /// Number of the next datagram, and so the number of datagrams.
    next_part: u8,
    omitted_rows: usize,
}

impl PartWriter {
    fn new(summary: &Summary, excess_bytes: usize) -> Self {
        Self {
            head: PartHead {
                from: summary.from.clone(),
                incarnation: summary.incarnation,
                round: summary.round,
                part: 0,
            },
            excess_bytes,
            datagrams: Vec::new(),
            next_part: 1,
            omitted_rows: 0,
        }
    }

    /// Moves the first of some rows out of the first datagram, as many as do not fit.
    fn move_rows<T: Serialize>(&mut self, number: u16, rows: &mut Vec<T>) {
        let mut moved_rows = 0;
        let mut moved_bytes = 0;
        while moved_bytes < self.excess_bytes && moved_rows < rows.len() {
            moved_bytes += encode_rows(&rows[moved_rows..=moved_rows]).len();
            moved_rows += 1;
        }
        self.excess_bytes = self.excess_bytes.saturating_sub(moved_bytes);
        let moved: Vec<T> = rows.drain(..moved_rows).collect();
        self.put_rows((number, ROWS_VERSION), &moved, encode_rows);
    }

    /// Moves a section out of the first datagram if that is still too long.
    fn move_columns<T: Columns>(&mut self, rows: &mut Vec<T>) {
        if self.excess_bytes == 0 {
            return;
        }
        let moved = std::mem::take(rows);
        let moved_bytes = encode_columns(&moved).len();
        self.excess_bytes = self.excess_bytes.saturating_sub(moved_bytes);
        self.put_rows((T::NUMBER, T::VERSION), &moved, encode_columns);
    }

    /// Writes rows as sections that each fit into a datagram.
    fn put_rows<T>(&mut self, kind: (u16, u8), rows: &[T], encode: fn(&[T]) -> Vec<u8>) {
        if rows.is_empty() {
            return;
        }
        let body = encode(rows);
        if body.len() <= MAX_DATAGRAM_BYTES - PART_HEAD_BYTES {
            if !self.put_body(kind, &body) {
                self.omitted_rows += rows.len();
            }
            return;
        }
        if rows.len() == 1 {
            self.omitted_rows += 1;
            return;
        }
        let (left, right) = rows.split_at(rows.len() / 2);
        self.put_rows(kind, left, encode);
        self.put_rows(kind, right, encode);
    }

    /// Writes a section to the last datagram, or a new one; returns whether there is room.
    fn put_body(&mut self, kind: (u16, u8), body: &[u8]) -> bool {
        let last = self.datagrams.last_mut();
        let room = MAX_DATAGRAM_BYTES - SECTION_HEAD_BYTES;
        if let Some(last) = last.filter(|last| last.len() + body.len() <= room) {
            put_section(last, kind, body);
            return true;
        }
        if self.next_part == MAX_DATAGRAMS {
            return false;
        }
        self.head.part = self.next_part;
        let mut datagram = PART_MARKER.to_vec();
        append(&mut datagram, &self.head);
        put_section(&mut datagram, kind, body);
        self.datagrams.push(datagram);
        self.next_part += 1;
        true
    }
}

/// Most bytes of the head of a section.
const SECTION_HEAD_BYTES: usize = 9;
