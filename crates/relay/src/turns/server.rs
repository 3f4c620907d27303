//! The RPC server of a VM with a disk for kept turns.

use std::sync::Arc;

use bytes::Bytes;
use jsonrpsee::Extensions;
use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use knapweeddale_core::turns::{RejectedTurn, StoredTurn, TurnAnswer, TurnKey};
use knapweeddale_core::{AccountName, StorageVm, TurnId};

use super::replication::{CopyCounts, TurnReplicator};
use super::rpc::{
    AppendAnswer, Content, Digests, FetchAnswer, OfferCursor, TurnPage, TurnRpcServer, WireOffers,
    WireTurn,
};
use super::store::{AppendError, TurnStore};
use crate::storage::AnswerMemory;

/// JSON-RPC error code for turns that were not stored; the sender may use another VM.
const NOT_STORED_CODE: i32 = -32_002;

/// Size of a page of turns for a VM that has lost its disk.
const PAGE_BYTES: usize = 1024 * 1024;

/// Size of a page of turns for a VM that lacks them; a larger one holds up callers' turns for
/// longer.
const READ_BYTES: usize = 256 * 1024;

/// Serves the turns of this VM to others.
#[derive(Clone)]
pub(crate) struct TurnServer {
    pub store: Arc<TurnStore>,
    pub replicator: TurnReplicator,
}

#[jsonrpsee::core::async_trait]
impl TurnRpcServer for TurnServer {
    async fn append(&self, turns: Vec<WireTurn>) -> RpcResult<AppendAnswer> {
        let turns = turns.into_iter().map(StoredTurn::from).collect();
        match self.store.append(turns).await {
            Ok(()) => Ok(AppendAnswer::Stored),
            Err(AppendError::Rejected(RejectedTurn::LacksPrevious)) => {
                Ok(AppendAnswer::LacksPrevious)
            }
            Err(error) => {
                tracing::warn!("turns: not stored ({error})");
                let text = error.to_string();
                Err(ErrorObjectOwned::owned(NOT_STORED_CODE, text, None::<()>))
            }
        }
    }

    async fn fetch(
        &self,
        extensions: &Extensions,
        account: Option<AccountName>,
        id: TurnId,
        max_bytes: Option<u64>,
    ) -> RpcResult<FetchAnswer> {
        let (answer, contents) = self.store.find(&TurnKey { account, id });
        let bytes: usize = contents.iter().map(|content| content.len()).sum();
        let is_too_large = max_bytes.is_some_and(|max_bytes| bytes as u64 > max_bytes);
        if !is_too_large {
            reserve_answer(extensions, bytes).await;
        }
        Ok(match answer {
            TurnAnswer::Found if is_too_large => FetchAnswer::TooLarge {
                bytes: bytes as u64,
            },
            TurnAnswer::Found => FetchAnswer::Found(Content(Bytes::from(contents.concat()))),
            TurnAnswer::Absent => FetchAnswer::Absent,
            TurnAnswer::Unknown => FetchAnswer::Unknown,
        })
    }

    async fn copies(
        &self,
        extensions: &Extensions,
        address: String,
        from: u64,
    ) -> RpcResult<TurnPage> {
        let (turns, next) = self.store.turns().copies_of(&address, from, PAGE_BYTES);
        let turns = to_wire(extensions, &turns).await;
        Ok(TurnPage { turns, next })
    }

    async fn offers(&self, asking: StorageVm, lost: Vec<Arc<str>>) -> RpcResult<Digests> {
        Ok(Digests(self.replicator.offers(&asking, &lost)))
    }

    async fn offered_chains(
        &self,
        asking: StorageVm,
        lost: Vec<Arc<str>>,
        cursor: Option<OfferCursor>,
    ) -> RpcResult<WireOffers> {
        Ok(self.replicator.offered_chains(&asking, &lost, cursor))
    }

    async fn read_turns(
        &self,
        extensions: &Extensions,
        digests: Digests,
    ) -> RpcResult<Vec<WireTurn>> {
        let digests = digests.0.into_iter().collect();
        let turns = self.store.turns().turns_of(&digests, READ_BYTES);
        Ok(to_wire(extensions, &turns).await)
    }

    async fn add_holder(&self, address: Arc<str>, digests: Digests) -> RpcResult<()> {
        self.replicator.add_holder(&address, digests);
        Ok(())
    }

    async fn read(&self, extensions: &Extensions, digests: Digests) -> RpcResult<Vec<WireTurn>> {
        let digests = digests.0.into_iter().collect();
        let turns = self.store.turns().chains_of(&digests, PAGE_BYTES);
        Ok(to_wire(extensions, &turns).await)
    }

    async fn take_over(&self, leaving: StorageVm) -> RpcResult<usize> {
        let result = self.replicator.take_over(&leaving).await;
        match &result {
            Ok(received) => {
                let CopyCounts {
                    turns,
                    bytes,
                    duplicates,
                } = *received;
                tracing::info!(vm = %leaving.vm, turns, bytes, duplicates, "turns: taken over");
            }
            Err(error) => tracing::warn!(vm = %leaving.vm, "turns: not taken over ({error})"),
        }
        let turns = result.map(|received| received.turns);
        turns.map_err(|error| ErrorObjectOwned::owned(NOT_STORED_CODE, error, None::<()>))
    }
}

/// Converts turns to the form in which they are sent, once there is memory for the answer.
async fn to_wire(extensions: &Extensions, turns: &[StoredTurn]) -> Vec<WireTurn> {
    let bytes = turns.iter().map(|turn| turn.content.len()).sum();
    reserve_answer(extensions, bytes).await;
    turns.iter().map(WireTurn::from).collect()
}

/// Waits for the memory of an answer with contents of this size.
async fn reserve_answer(extensions: &Extensions, content_bytes: usize) {
    if let Some(memory) = extensions.get::<AnswerMemory>() {
        memory.reserve(content_bytes).await;
    }
}
