//! Guards against summaries of several datagrams that are applied in part, mixed up or kept for
//! too long, and against bytes that no build sends.

mod support;

use std::time::Instant;

use knapweeddale_core::{AccountName, Summary, UpstreamName};
use knapweeddale_relay::peers::{
    INCOMPLETE_RETENTION, MAX_DATAGRAM_BYTES, MAX_DATAGRAMS, MAX_INCOMPLETE, SummaryAssembler,
    encode_summary,
};
use rstest::rstest;

use self::support::{accept, decode, source, summary};

/// Returns the datagrams of a summary.
fn datagrams(summary: &Summary) -> Vec<Vec<u8>> {
    let encoded = encode_summary(summary).expect("it can be encoded");
    assert_eq!(encoded.omitted_rows, 0);
    encoded.datagrams.to_vec()
}

/// Sorts the rows that a summary of several datagrams may have in another order.
fn sorted(mut summary: Summary) -> Summary {
    summary.programs.sort_by_key(|row| row.main_line);
    summary.running.sort();
    summary.admitted.sort();
    summary.reports.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    summary
}

/// Hands datagrams to an assembler and returns the summaries that they complete.
fn collect(assembler: &mut SummaryAssembler<()>, datagrams: &[&Vec<u8>]) -> Vec<Summary> {
    let now = Instant::now();
    let read = datagrams
        .iter()
        .map(|datagram| accept(assembler, datagram, now));
    let complete = read.filter_map(|read| read.expect("it is read"));
    complete.map(|assembled| *assembled.summary).collect()
}

/// Guards against a first datagram that the transport refuses, rows of any kind that are lost, and
/// datagrams that have to arrive in order and once.
#[rstest]
#[case::programs(9_000, 0)]
#[case::names(0, 9_000)]
#[case::both(3_000, 9_000)]
fn long_summaries(#[case] programs: usize, #[case] names: usize) {
    let mut sent = summary(programs);
    let report = sent.reports[0].clone();
    for number in 0..names {
        let upstream = UpstreamName::from(format!("upstream-{number}"));
        sent.admitted
            .push((AccountName::from(format!("account-{number}")), 5));
        sent.running.push((upstream.clone(), 1));
        let mut report = report.clone();
        report.upstream = upstream;
        sent.reports.push(report);
    }
    let parts = datagrams(&sent);
    assert!(parts.len() > 2 && parts.iter().all(|part| part.len() <= MAX_DATAGRAM_BYTES));
    let order = parts.iter().rev().flat_map(|part| [part, part]);
    let read = collect(&mut SummaryAssembler::default(), &order.collect::<Vec<_>>());
    assert_eq!(
        read.into_iter().map(sorted).collect::<Vec<_>>(),
        [sorted(sent)]
    );
}

/// Guards against more datagrams than a receiver takes.
#[rstest]
fn too_many_rows() {
    let encoded = encode_summary(&summary(80_000)).expect("it can be encoded");
    assert!(encoded.omitted_rows > 0 && encoded.datagrams.len() == usize::from(MAX_DATAGRAMS));
}

/// Guards against a summary that is applied without a lost datagram, and one that waits for ever.
#[rstest]
fn lost_datagrams() {
    let parts = datagrams(&summary(3_000));
    for lost in 0..parts.len() {
        let mut assembler = SummaryAssembler::default();
        let arrived = parts.iter().enumerate().filter(|(part, _)| *part != lost);
        let arrived: Vec<&Vec<u8>> = arrived.map(|(_, part)| part).collect();
        assert!(collect(&mut assembler, &arrived).is_empty());
        let now = Instant::now();
        assert!(assembler.drop_expired(now).is_empty());
        let expired = assembler.drop_expired(now + INCOMPLETE_RETENTION);
        assert_eq!((expired, assembler.waiting()), (vec![source()], 0));
    }
}

/// Guards against datagrams of two rounds, or of two processes, that are put together.
#[rstest]
fn mixed_rounds() {
    let first = summary(3_000);
    let mut second = summary(3_001);
    second.round += 1;
    let (early, late) = (datagrams(&first), datagrams(&second));
    let mut assembler = SummaryAssembler::default();
    let mixed = [&early[0], &late[1], &early[2], &late[0]];
    assert!(collect(&mut assembler, &mixed).is_empty());
    let rest: Vec<&Vec<u8>> = late[2..].iter().collect();
    assert_eq!(
        sorted(collect(&mut assembler, &rest).remove(0)),
        sorted(second)
    );
    assert_eq!(assembler.waiting(), 0, "the earlier one is dropped");
}

/// Guards against memory that grows with what unknown senders begin.
#[rstest]
fn many_beginnings() {
    let mut assembler = SummaryAssembler::default();
    let now = Instant::now();
    let mut part = datagrams(&summary(3_000))[1][..60].to_vec();
    // The round follows the marker, the name and the incarnation; its second byte varies as well.
    part.splice(16..17, [0x80, 0]);
    for number in 0..400 {
        (part[16], part[17]) = (0x80 | number as u8, (number >> 7) as u8);
        let read = accept(&mut assembler, &part, now).expect("it is read");
        assert!(read.is_none());
    }
    assert_eq!(assembler.waiting(), MAX_INCOMPLETE);
    assert_eq!(assembler.drop_oldest(), Some(source()));
}

/// Guards against panics, and wrong rows, by datagrams that end early.
#[rstest]
fn truncated() {
    let sent = summary(2);
    let datagram = datagrams(&sent).remove(0);
    let fixed_bytes = postcard::to_stdvec(&sent).expect("it can be encoded").len();
    for length in 0..datagram.len() {
        let read = decode(&datagram[..length]);
        assert!(
            length < fixed_bytes + 3 || read.is_ok(),
            "{length}: {read:?}"
        );
        if let Ok(read) = read {
            assert_eq!(
                (read.from, read.admitted),
                (sent.from.clone(), sent.admitted.clone())
            );
        }
    }
}

/// Guards against panics by damaged datagrams, also in the sections that complete a summary.
#[rstest]
fn damaged_bytes() {
    let fixed = postcard::to_stdvec(&summary(1)).expect("it can be encoded");
    let mut first = datagrams(&summary(1)).remove(0);
    let sections = first[fixed.len() + 3..].to_vec();
    first[fixed.len() + 2] = 2;
    // The head of a further datagram has 18 bytes here.
    let part = [&datagrams(&summary(1_500))[1][..18], &sections].concat();
    let mut complete = 0;
    for (whole, damaged) in [(&part, &first), (&first, &part)] {
        for at in 0..damaged.len() {
            for value in [0, 1, 0x7F, 0x80, 0xFF] {
                let mut assembler = SummaryAssembler::default();
                let mut bytes = damaged.clone();
                bytes[at] = value;
                accept(&mut assembler, whole, Instant::now()).expect("it is read");
                let read = accept(&mut assembler, &bytes, Instant::now());
                complete += usize::from(read.is_ok_and(|read| read.is_some()));
            }
        }
    }
    assert!(complete > 500, "{complete} were put together");
}

/// Guards against memory reserved for rows that do not exist, and trailers that no build writes.
#[rstest]
fn hostile_trailers() {
    let fixed = postcard::to_stdvec(&summary(1)).expect("it can be encoded");
    let sent = datagrams(&summary(1)).remove(0);
    for section in [
        [2, 1, 5, 0xFF, 0xFF],
        [2, 1, 0xFF, 0xFF, 0x0F],
        [2, 1, 0, 0, 0],
    ] {
        let read = decode(&[&sent[..], &section].concat());
        assert_eq!(read, Ok(summary(1)));
    }
    for trailer in [
        &[0xB5, 0x4B][..],
        &[0xB5, 0x4B, 0],
        &[0xB5, 0x4B, 65],
        &[1, 2, 3],
    ] {
        assert!(decode(&[&fixed[..], trailer].concat()).is_err());
    }
}
