//! Summaries and their datagrams, for tests of the format.

use std::net::SocketAddr;
use std::time::Instant;

use knapweeddale_core::message::{PoolDemand, ProgramUse, UpstreamPace, UpstreamReport};
use knapweeddale_core::{
    AccountName, ModelName, PoolKey, ProgramKey, ProgramName, ServiceName, Summary, UpstreamName,
};
use knapweeddale_relay::peers::{AssembledSummary, SummaryAssembler, UnreadableDatagram};

/// The address from which all datagrams of a test come.
pub fn source() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7780))
}

/// Hands a datagram to an assembler whose permits have no limit.
pub fn accept(
    assembler: &mut SummaryAssembler<()>,
    datagram: &[u8],
    now: Instant,
) -> Result<Option<AssembledSummary<()>>, UnreadableDatagram> {
    assembler.accept(source(), datagram, (), now)
}

/// Decodes a datagram that is a summary of its own.
pub fn decode(datagram: &[u8]) -> Result<Summary, UnreadableDatagram> {
    let mut assembler = SummaryAssembler::default();
    let assembled = accept(&mut assembler, datagram, Instant::now())?;
    Ok(*assembled.expect("it has one datagram").summary)
}

/// A summary with rows of all kinds but programs, without its sections.
const FIXED: &str = r#"{"from": "vm-1", "incarnation": 7, "address": "10.0.0.1:7780", "round": 41,
    "echo": {"incarnation": 3, "round": 40}, "is_leaving": false, "knows_programs": true,
    "knows_keepers": true, "revision": 12, "config_age_us": 450000,
    "list": {"revision": 99, "digest": 18446744073709551615}, "list_age_us": 300000,
    "admitted": [["bus", 1234]], "running": [["engine-1", 3]], "programs": [],
    "suspects": [["09090909090909090909090909090909", 1]],
    "quarantined": [["08080808080808080808080808080808", 60000]],
    "others": [["vm-2", "10.0.0.2:7780"]], "limits": [{"upstream": "engine-2",
    "started_unix_ms": 1700000000000, "limit_mcalls_per_s": 2000, "age_us": 5}],
    "uses_limited": true, "contact": null, "is_cut_off": true, "lost_links": ["engine-3"],
    "placed": [["engine-2", 17], ["engine-4", 2]]}"#;

/// Creates a summary with rows of all kinds and a number of programs.
pub fn summary(programs: usize) -> Summary {
    let mut summary: Summary = serde_json::from_str(FIXED).expect("it is valid");
    summary.programs = (0..programs).map(program).collect();
    summary.demand.push(PoolDemand {
        pool: PoolKey {
            service: ServiceName::from("chat"),
            model: Some(ModelName::from("m")),
        },
        timely_calls: 300,
        late_calls: 2,
    });
    summary.reports.extend((0..3).map(|number| UpstreamReport {
        upstream: UpstreamName::from(format!("engine-{number}")),
        started_unix_ms: 1_700_000_000_000 - number,
        responses: 20,
        busy_us: 9_000_000,
        read_tokens: 40_000,
        read_us: 300_000,
        rejections: 0,
    }));
    summary.paces.push(UpstreamPace {
        upstream: UpstreamName::from("engine-5"),
        started_unix_ms: u64::MAX,
        age_us: 1_000,
        responses: 6,
        setbacks: 1,
    });
    summary
}

fn program(number: usize) -> ProgramUse {
    ProgramUse {
        program: ProgramKey {
            account: AccountName::from("bus"),
            name: ProgramName::from(format!("program-{number:030}")),
        },
        main_line: Some(number as u64),
        tokens: 900,
        is_stopped: false,
        has_record: false,
        cached: Some((UpstreamName::from("engine-1"), 300)),
    }
}
