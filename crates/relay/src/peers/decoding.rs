//! Decodes datagrams of other VMs.

use derive_more::{Display, Error};
use knapweeddale_core::Summary;

use super::encoding::{MAX_DATAGRAMS, PART_MARKER, PartHead, TRAILER_MARKER};
use super::layouts::decode_earlier;
use super::sections::add_sections;

/// A datagram that this build cannot read.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
pub enum UnreadableDatagram {
    /// The bytes have none of the known layouts.
    #[display("the layout is not known")]
    Layout,
    /// The trailer behind the fixed layout has no valid number of datagrams.
    #[display("the number of datagrams is not valid")]
    Trailer,
    /// A further datagram of a summary cannot be decoded.
    #[display("a further datagram of a summary cannot be decoded")]
    Part,
}

/// Which build a summary comes from, by its layout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SummaryLayout {
    /// A build that writes a trailer.
    Sections,
    /// An earlier build.
    Earlier,
}

/// A decoded datagram.
#[derive(Debug)]
pub(super) enum Datagram<'a> {
    /// The one with the fixed layout.
    First {
        summary: Box<Summary>,
        datagrams: u8,
        layout: SummaryLayout,
    },
    /// A further one.
    Part { head: PartHead, sections: &'a [u8] },
}

/// Decodes a datagram.
pub(super) fn decode_datagram(bytes: &[u8]) -> Result<Datagram<'_>, UnreadableDatagram> {
    if let Some(part) = bytes.strip_prefix(&PART_MARKER) {
        return decode_part(part);
    }
    match postcard::take_from_bytes::<Summary>(bytes) {
        Ok((summary, [])) => Ok(earlier(summary)),
        Ok((summary, trailer)) => decode_trailer(summary, trailer),
        Err(_) => {
            let summary = decode_earlier(bytes).ok_or(UnreadableDatagram::Layout)?;
            Ok(earlier(summary))
        }
    }
}

/// Returns the only datagram of a summary of an earlier build.
fn earlier(summary: Summary) -> Datagram<'static> {
    Datagram::First {
        summary: Box::new(summary),
        datagrams: 1,
        layout: SummaryLayout::Earlier,
    }
}

/// Decodes the trailer behind the fixed layout.
///
/// Sections that cannot be decoded get their defaults, so that the rates of accounts hold whatever
/// a later build writes there.
fn decode_trailer(
    mut summary: Summary,
    trailer: &[u8],
) -> Result<Datagram<'static>, UnreadableDatagram> {
    let trailer = trailer.strip_prefix(&TRAILER_MARKER);
    let trailer = trailer.ok_or(UnreadableDatagram::Layout)?;
    let (datagrams, sections) = trailer.split_first().ok_or(UnreadableDatagram::Trailer)?;
    if !(1..=MAX_DATAGRAMS).contains(datagrams) {
        return Err(UnreadableDatagram::Trailer);
    }
    if let Err(error) = add_sections(&mut summary, sections) {
        tracing::debug!(from = %summary.from, "peers: section cannot be decoded ({error})");
    }
    Ok(Datagram::First {
        summary: Box::new(summary),
        datagrams: *datagrams,
        layout: SummaryLayout::Sections,
    })
}

/// Decodes the head of a further datagram.
fn decode_part(bytes: &[u8]) -> Result<Datagram<'_>, UnreadableDatagram> {
    let decoded = postcard::take_from_bytes::<PartHead>(bytes);
    let (head, sections) = decoded.map_err(|_| UnreadableDatagram::Part)?;
    match (1..MAX_DATAGRAMS).contains(&head.part) {
        true => Ok(Datagram::Part { head, sections }),
        false => Err(UnreadableDatagram::Part),
    }
}
