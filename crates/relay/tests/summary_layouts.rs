//! Guards against builds that cannot read each other's summaries while they run side by side.

mod support;

use knapweeddale_core::message::{ListVersion, ProgramUse, StatedLimit, SummaryAck, TunnelContact};
use knapweeddale_core::{
    AccountName, ContentDigest, Incarnation, Revision, Summary, UpstreamName, VmName,
};
use knapweeddale_relay::peers::encode_summary;
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use self::support::{decode, summary};

/// The layout of b587e6b.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Earliest {
    from: VmName,
    incarnation: Incarnation,
    address: String,
    round: u64,
    echo: Option<SummaryAck>,
    is_leaving: bool,
    knows_programs: bool,
    knows_keepers: bool,
    revision: Revision,
    config_age_us: Option<u64>,
    list: ListVersion,
    list_age_us: Option<u64>,
    admitted: Vec<(AccountName, u64)>,
    running: Vec<(UpstreamName, u32)>,
    programs: Vec<ProgramUse>,
    suspects: Vec<(ContentDigest, u32)>,
    quarantined: Vec<(ContentDigest, u64)>,
    others: Vec<(VmName, String)>,
}

/// The layout of 3796eed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Limits {
    earliest: Earliest,
    limits: Vec<StatedLimit>,
    uses_limited: bool,
    placed: Vec<(UpstreamName, u64)>,
}

/// The layout of d76c2de up to 11a1ca3.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Links {
    earliest: Earliest,
    limits: Vec<StatedLimit>,
    uses_limited: bool,
    contact: Option<TunnelContact>,
    is_cut_off: bool,
    lost_links: Vec<UpstreamName>,
    placed: Vec<(UpstreamName, u64)>,
}

/// Reads the layout of an earlier build off the fixed layout, of which it is a beginning.
fn read_fixed<T: DeserializeOwned>(summary: &Summary) -> T {
    let bytes = postcard::to_stdvec(summary).expect("it can be encoded");
    postcard::from_bytes(&bytes).expect("it is read")
}

fn limits_of(summary: &Summary) -> Limits {
    Limits {
        earliest: read_fixed(summary),
        limits: summary.limits.clone(),
        uses_limited: summary.uses_limited,
        placed: summary.placed.clone(),
    }
}

/// Guards against a layout that is taken for another one, or not read at all; which one it is
/// depends most on the rows of `placed`.
#[rstest]
fn earlier_senders(#[values(0, 1, 2, 40)] placed: usize, #[values(false, true)] uses: bool) {
    let mut sent = summary(2);
    let names = (0..placed).map(|row| (UpstreamName::from(format!("e{row}")), row as u64));
    sent.placed = names.collect();
    sent.uses_limited = uses;
    let bytes = postcard::to_stdvec(&sent).expect("it can be encoded");
    let read = decode(&bytes).expect("it is read");
    assert_eq!(read_fixed::<Links>(&read), read_fixed(&sent));

    let bytes = postcard::to_stdvec(&limits_of(&sent)).expect("it can be encoded");
    let read = decode(&bytes).expect("it is read");
    assert!(!read.omits_placed && !read.is_cut_off && read.lost_links.is_empty());
    assert_eq!(limits_of(&read), limits_of(&sent));

    let earliest: Earliest = read_fixed(&sent);
    let bytes = postcard::to_stdvec(&earliest).expect("it can be encoded");
    let read = decode(&bytes).expect("it is read");
    assert!(read.omits_placed && !read.uses_limited && read.placed.is_empty());
    assert!(read.limits.is_empty() && read.demand.is_empty() && read.paces.is_empty());
    assert_eq!(read_fixed::<Earliest>(&read), earliest);
}

/// Returns what an earlier build reads of the datagrams of a summary.
fn read_earlier<T: DeserializeOwned>(sent: &Summary) -> T {
    let encoded = encode_summary(sent).expect("it can be encoded");
    let (first, parts) = encoded.datagrams.split_first().expect("there is one");
    for part in parts {
        assert!(postcard::from_bytes::<T>(part).is_err());
    }
    postcard::from_bytes(first).expect("it is read")
}

/// Guards against datagrams that earlier builds cannot read, further ones that they take for
/// summaries, and summaries of several datagrams of which they lose more than programs.
#[rstest]
#[case(2, 2..=2)]
#[case(5_000, 600..=4_000)]
fn earlier_receivers(#[case] programs: usize, #[case] kept: std::ops::RangeInclusive<usize>) {
    let sent = summary(programs);
    let mut read = read_earlier::<Links>(&sent);
    assert!(kept.contains(&read.earliest.programs.len()));
    assert_eq!(read.earliest.programs.last(), sent.programs.last());
    read.earliest.programs.clone_from(&sent.programs);
    assert_eq!(read, read_fixed(&sent));
    read_earlier::<Earliest>(&sent);
    // The layout of d76c2de has fields before `placed`, which 3796eed reads as `placed`.
    let read = read_earlier::<Limits>(&sent);
    assert_eq!((read.limits, read.placed), (sent.limits, Vec::new()));
}

/// Guards against rows of sections that are lost or changed, and sections without rows.
#[rstest]
fn own_sections() {
    let mut sent = summary(3);
    let encode = |sent: &Summary| encode_summary(sent).expect("it can be encoded").datagrams;
    assert_eq!(decode(&encode(&sent)[0]), Ok(sent.clone()));
    sent.demand.clear();
    sent.reports.clear();
    assert_eq!(decode(&encode(&sent)[0]), Ok(sent.clone()));
    sent.paces.clear();
    let fixed = postcard::to_stdvec(&sent).expect("it can be encoded");
    assert_eq!(encode(&sent)[0].len(), fixed.len() + 3);
}

/// Guards against a later build whose sections this one cannot pass over.
#[rstest]
fn later_sections() {
    let sent = summary(1);
    let bytes = encode_summary(&sent).expect("it can be encoded").datagrams;
    let mut bytes = bytes[0].to_vec();
    // An unknown section, and demand of a higher version with one more column.
    bytes.extend([40, 1, 3, 0xFF, 0xFF, 0xFF]);
    bytes.extend([1, 2, 9, 1, 1, b's', 0, 5, 6, 0xFF, 0xFF, 0xFF]);
    let mut expected = sent.demand.clone();
    let read = decode(&bytes).expect("it is read");
    let later = read.demand.last().expect("there is one").clone();
    assert_eq!((later.timely_calls, later.late_calls), (5, 6));
    expected.push(later);
    assert_eq!(
        read,
        Summary {
            demand: expected,
            ..sent
        }
    );
}

/// Guards against a newer build's snapshot that is rejected, and an older one's without a field.
#[rstest]
fn snapshot_fields() {
    use knapweeddale_core::Snapshot;
    let newer = r#"{"config_age_us": 5, "added_later": {"rows": [1]}, "list": {"revision": 3,
        "upstreams": [{"service": "tool", "added_later": 1, "config": {"name": "a",
        "address": "10.0.0.1:80", "models": [], "min_running_calls": 1, "max_running_calls": 8,
        "checks_fencing": false, "leaving": false, "added_later": 2}}]}}"#;
    let read: Snapshot = serde_json::from_str(newer).expect("it is read");
    assert_eq!((read.config_age_us, read.list_age_us), (Some(5), None));
    let upstreams = &read.list.upstreams;
    assert_eq!(
        (upstreams.len(), upstreams[0].config.started_unix_ms),
        (1, 0)
    );
    assert!(read.fleet.is_none() && read.programs.is_empty() && read.keepers.is_empty());
}
