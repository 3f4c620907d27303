//! Layouts of summaries that builds before the sections send.
//!
//! Each of them is decoded to the exact end of the datagram. A later layout has more fields, so
//! that none decodes as a later one, and the latest is tried first.

use knapweeddale_core::message::{ListVersion, ProgramUse, StatedLimit, SummaryAck};
use knapweeddale_core::{
    AccountName, ContentDigest, Incarnation, Revision, Summary, UpstreamName, VmName,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// The earliest layout, of b587e6b: it tells nothing of limited upstreams.
#[derive(Deserialize)]
struct EarliestLayout {
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

/// The layout of 3796eed, which tells of limited upstreams, but nothing of tunnels and links.
#[derive(Deserialize)]
struct LimitsLayout {
    earliest: EarliestLayout,
    limits: Vec<StatedLimit>,
    uses_limited: bool,
    placed: Vec<(UpstreamName, u64)>,
}

impl From<EarliestLayout> for Summary {
    fn from(layout: EarliestLayout) -> Self {
        Self {
            from: layout.from,
            incarnation: layout.incarnation,
            address: layout.address,
            round: layout.round,
            echo: layout.echo,
            is_leaving: layout.is_leaving,
            knows_programs: layout.knows_programs,
            knows_keepers: layout.knows_keepers,
            revision: layout.revision,
            config_age_us: layout.config_age_us,
            list: layout.list,
            list_age_us: layout.list_age_us,
            admitted: layout.admitted,
            running: layout.running,
            programs: layout.programs,
            suspects: layout.suspects,
            quarantined: layout.quarantined,
            others: layout.others,
            limits: Vec::new(),
            uses_limited: false,
            contact: None,
            is_cut_off: false,
            lost_links: Vec::new(),
            placed: Vec::new(),
            demand: Vec::new(),
            reports: Vec::new(),
            paces: Vec::new(),
            omits_placed: true,
        }
    }
}

impl From<LimitsLayout> for Summary {
    fn from(layout: LimitsLayout) -> Self {
        Self {
            limits: layout.limits,
            uses_limited: layout.uses_limited,
            placed: layout.placed,
            omits_placed: false,
            ..Self::from(layout.earliest)
        }
    }
}

/// Decodes a datagram of an earlier build that lacks fields of the fixed layout.
pub(super) fn decode_earlier(bytes: &[u8]) -> Option<Summary> {
    let limits = decode_exactly::<LimitsLayout>(bytes).map(Summary::from);
    limits.or_else(|| decode_exactly::<EarliestLayout>(bytes).map(Summary::from))
}

/// Decodes a value that ends with the last byte.
fn decode_exactly<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}
