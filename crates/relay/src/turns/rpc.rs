//! The RPC interface of a VM with a disk for kept turns.

use std::fmt;
use std::sync::Arc;

use base64::Engine;
use base64::display::Base64Display;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use knapweeddale_core::turns::{Holders, OfferedChain, Offers, StoredTurn, TurnKey};
use knapweeddale_core::{AccountName, StorageVm, TurnId};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes that are Base64 text in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Content(pub Bytes);

impl Serialize for Content {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // Written in pieces: the whole text besides the request would add to its memory.
        serializer.collect_str(&Base64Display::new(&self.0, &STANDARD))
    }
}

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(ContentVisitor)
    }
}

/// Decodes the text of a [`Content`] where it is, without a copy of it.
struct ContentVisitor;

impl de::Visitor<'_> for ContentVisitor {
    type Value = Content;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Base64 text")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Content, E> {
        let bytes = STANDARD.decode(text).map_err(de::Error::custom)?;
        Ok(Content(Bytes::from(bytes)))
    }
}

/// Digests of turns, as Base64 text in JSON of eight little-endian bytes each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Digests(pub Vec<u64>);

impl Digests {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Digests {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = self.0.iter().flat_map(|row| row.to_le_bytes()).collect();
        serializer.serialize_str(&STANDARD.encode(bytes))
    }
}

impl<'de> Deserialize<'de> for Digests {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(de::Error::custom)?;
        let (rows, rest) = bytes.as_chunks::<8>();
        if !rest.is_empty() {
            return Err(de::Error::custom("digests have eight bytes each"));
        }
        Ok(Self(
            rows.iter().map(|row| u64::from_le_bytes(*row)).collect(),
        ))
    }
}

/// A turn as it is sent between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireTurn {
    /// The account of the turn.
    pub account: Option<AccountName>,
    /// The caller's ID of the turn.
    pub id: TurnId,
    /// The turn before it; `None` if the content begins the chain.
    pub previous: Option<TurnId>,
    /// Its input and output.
    pub content: Content,
    /// How long it is kept after its end.
    pub retention_ms: u64,
    /// Addresses of the VMs that were to get a copy, at first or later.
    pub copies: Holders,
}

impl From<WireTurn> for StoredTurn {
    fn from(turn: WireTurn) -> Self {
        Self {
            key: TurnKey {
                account: turn.account,
                id: turn.id,
            },
            previous: turn.previous,
            content: Arc::from(&*turn.content.0),
            retention_ms: turn.retention_ms,
            copies: turn.copies,
        }
    }
}

impl From<&StoredTurn> for WireTurn {
    fn from(turn: &StoredTurn) -> Self {
        Self {
            account: turn.key.account.clone(),
            id: turn.key.id.clone(),
            previous: turn.previous.clone(),
            content: Content(Bytes::from_owner(Arc::clone(&turn.content))),
            retention_ms: turn.retention_ms,
            copies: turn.copies.clone(),
        }
    }
}

/// The answer to a request to store turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AppendAnswer {
    /// All turns are on the disk.
    Stored,
    /// A turn that one of them goes on from is not stored.
    LacksPrevious,
}

/// The answer to a request for the chain of a turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FetchAnswer {
    /// The contents of all turns up to this one, the oldest first.
    Found(Content),
    /// The contents have more bytes than were asked for.
    TooLarge {
        /// Bytes of all contents.
        bytes: u64,
    },
    /// The turn was never stored here, or has expired.
    Absent,
    /// The turn is not stored here, but may have been before the disk was lost.
    Unknown,
}

/// A part of the turns of which a VM had a copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TurnPage {
    /// The turns, in the order in which they can be stored.
    pub turns: Vec<WireTurn>,
    /// Where the next page starts; `None` at the end.
    pub next: Option<u64>,
}

/// How far a VM has compared what another one offers with what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OfferCursor {
    /// Identifies the process that offers turns; another one numbers them anew.
    pub process: u64,
    /// Number of the first turn that was not compared.
    pub next_number: u64,
}

/// Turns that a VM is to hold, with the turns before them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireChain {
    /// The turns that the VM is to hold, each of which goes on from the next one.
    pub offered: Digests,
    /// The turns before them that it needs only with them.
    #[serde(default, skip_serializing_if = "Digests::is_empty")]
    pub before: Digests,
}

/// The turns that a VM is to hold and may lack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireOffers {
    /// Where to go on once the VM has what it lacks of these.
    pub cursor: OfferCursor,
    /// The turns, the youngest first.
    pub chains: Vec<WireChain>,
    /// Those that do not name the VM as one of their holders.
    pub unnamed: Digests,
}

impl WireOffers {
    /// Creates the answer of a process.
    pub fn new(offers: Offers, process: u64) -> Self {
        let chains = offers.chains.into_iter().map(|chain| WireChain {
            offered: Digests(chain.offered),
            before: Digests(chain.before),
        });
        Self {
            cursor: OfferCursor {
                process,
                next_number: offers.next_number,
            },
            chains: chains.collect(),
            unnamed: Digests(offers.unnamed),
        }
    }
}

impl From<WireOffers> for Offers {
    fn from(offers: WireOffers) -> Self {
        let chains = offers.chains.into_iter().map(|chain| OfferedChain {
            offered: chain.offered.0,
            before: chain.before.0,
        });
        Self {
            chains: chains.collect(),
            unnamed: offers.unnamed.0,
            next_number: offers.cursor.next_number,
        }
    }
}

/// The RPC interface of a VM with a disk.
#[rpc(client, server, namespace = "turns")]
pub(crate) trait TurnRpc {
    /// Stores turns, each after the one it goes on from; returns once they are synced to the disk.
    #[method(name = "append")]
    async fn append(&self, turns: Vec<WireTurn>) -> RpcResult<AppendAnswer>;

    /// Returns the chain of a turn, or only its size if it has more than `max_bytes`. Earlier builds
    /// state no maximum, and return chains of any size.
    #[method(name = "fetch", with_extensions)]
    async fn fetch(
        &self,
        account: Option<AccountName>,
        id: TurnId,
        max_bytes: Option<u64>,
    ) -> RpcResult<FetchAnswer>;

    /// Returns turns of which the VM at `address` had a copy, from a position on.
    #[method(name = "copies", with_extensions)]
    async fn copies(&self, address: String, from: u64) -> RpcResult<TurnPage>;

    /// Returns the digests of the turns that the VM `asking` is to hold if those at the `lost`
    /// addresses do not answer, the youngest first.
    #[method(name = "offers")]
    async fn offers(&self, asking: StorageVm, lost: Vec<Arc<str>>) -> RpcResult<Digests>;

    /// Returns the turns that the VM `asking` is to hold if those at the `lost` addresses do not
    /// answer, with the turns before them; only those since `cursor` that name it already.
    #[method(name = "offered_chains")]
    async fn offered_chains(
        &self,
        asking: StorageVm,
        lost: Vec<Arc<str>>,
        cursor: Option<OfferCursor>,
    ) -> RpcResult<WireOffers>;

    /// Returns turns without those before them, each after the one it goes on from; the first of
    /// them if they are too large for one answer, and none of those that have expired.
    #[method(name = "read_turns", with_extensions)]
    async fn read_turns(&self, digests: Digests) -> RpcResult<Vec<WireTurn>>;

    /// Names the VM at `address` as a holder of turns that it has synced to its disk.
    #[method(name = "add_holder")]
    async fn add_holder(&self, address: Arc<str>, digests: Digests) -> RpcResult<()>;

    /// Returns turns with their chains, each after the one it goes on from; the youngest chains if
    /// they are too large for one answer, and none of those that have expired. Earlier builds ask
    /// for these.
    #[method(name = "read", with_extensions)]
    async fn read(&self, digests: Digests) -> RpcResult<Vec<WireTurn>>;

    /// Copies what this VM is to hold when the VM `leaving` has stopped; returns how many turns
    /// once they are synced to the disk.
    #[method(name = "take_over")]
    async fn take_over(&self, leaving: StorageVm) -> RpcResult<usize>;
}
