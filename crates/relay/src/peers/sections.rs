//! Sections of datagrams, behind the fixed layout of summaries and in further datagrams.
//!
//! A section has a number, a version, a length and a body. The sections of the load that VMs share
//! have columns; the others hold rows of the fixed layout that did not fit into the first datagram.

use knapweeddale_core::Summary;
use postcard::Error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::columns::{Columns, append, decode_columns, encode_columns};
use knapweeddale_core::message::{PoolDemand, UpstreamPace, UpstreamReport};

/// Number of the section with further rows of `Summary::programs`.
pub(super) const PROGRAMS: u16 = 64;
/// Number of the section with further rows of `Summary::others`.
pub(super) const OTHERS: u16 = 65;
/// Number of the section with further rows of `Summary::quarantined`.
pub(super) const QUARANTINED: u16 = 66;
/// Number of the section with further rows of `Summary::suspects`.
pub(super) const SUSPECTS: u16 = 67;
/// Number of the section with further rows of `Summary::lost_links`.
pub(super) const LOST_LINKS: u16 = 68;
/// Number of the section with further rows of `Summary::running`.
pub(super) const RUNNING: u16 = 69;
/// Number of the section with further rows of `Summary::limits`.
pub(super) const LIMITS: u16 = 70;
/// Number of the section with further rows of `Summary::placed`.
pub(super) const PLACED: u16 = 71;
/// Number of the section with further rows of `Summary::admitted`.
pub(super) const ADMITTED: u16 = 72;

/// Version of the sections that hold rows of the fixed layout.
pub(super) const ROWS_VERSION: u8 = 1;

/// What a section begins with.
#[derive(Debug, Serialize, Deserialize)]
struct SectionHead {
    number: u16,
    version: u8,
    body_bytes: u32,
}

/// Appends a section, unless it has no rows.
pub(super) fn put_columns<T: Columns>(bytes: &mut Vec<u8>, rows: &[T]) {
    if !rows.is_empty() {
        put_section(bytes, (T::NUMBER, T::VERSION), &encode_columns(rows));
    }
}

/// Appends a section.
pub(super) fn put_section(bytes: &mut Vec<u8>, (number, version): (u16, u8), body: &[u8]) {
    let head = SectionHead {
        number,
        version,
        body_bytes: u32::try_from(body.len()).unwrap_or(u32::MAX),
    };
    append(bytes, &head);
    bytes.extend_from_slice(body);
}

/// Encodes rows of the fixed layout one after the other.
pub(super) fn encode_rows<T: Serialize>(rows: &[T]) -> Vec<u8> {
    let mut body = Vec::new();
    for row in rows {
        append(&mut body, row);
    }
    body
}

/// Adds the rows of all sections to a summary; skips sections that this build does not know.
///
/// # Errors
///
/// Fails at the first section that cannot be decoded; the rows before it have been added.
pub(super) fn add_sections(summary: &mut Summary, mut rest: &[u8]) -> Result<(), Error> {
    while !rest.is_empty() {
        let (head, after): (SectionHead, _) = postcard::take_from_bytes(rest)?;
        let body = after.split_at_checked(head.body_bytes as usize);
        let (body, after) = body.ok_or(Error::DeserializeUnexpectedEnd)?;
        add_section(summary, head.number, body)?;
        rest = after;
    }
    Ok(())
}

/// Adds the rows of a section to a summary.
fn add_section(summary: &mut Summary, number: u16, body: &[u8]) -> Result<(), Error> {
    match number {
        PoolDemand::NUMBER => summary.demand.extend(decode_columns::<PoolDemand>(body)?),
        UpstreamReport::NUMBER => summary.reports.extend(decode_columns(body)?),
        UpstreamPace::NUMBER => summary.paces.extend(decode_columns(body)?),
        PROGRAMS => add_rows(&mut summary.programs, body)?,
        OTHERS => add_rows(&mut summary.others, body)?,
        QUARANTINED => add_rows(&mut summary.quarantined, body)?,
        SUSPECTS => add_rows(&mut summary.suspects, body)?,
        LOST_LINKS => add_rows(&mut summary.lost_links, body)?,
        RUNNING => add_rows(&mut summary.running, body)?,
        LIMITS => add_rows(&mut summary.limits, body)?,
        PLACED => add_rows(&mut summary.placed, body)?,
        ADMITTED => add_rows(&mut summary.admitted, body)?,
        _ => {}
    }
    Ok(())
}

/// Adds rows of the fixed layout that fill a section.
fn add_rows<T: DeserializeOwned>(rows: &mut Vec<T>, mut body: &[u8]) -> Result<(), Error> {
    while !body.is_empty() {
        let (row, rest) = postcard::take_from_bytes(body)?;
        rows.push(row);
        body = rest;
    }
    Ok(())
}
