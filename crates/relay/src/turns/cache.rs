//! The chains of recent turns in the memory of an entry VM.

use bytes::Bytes;
use knapweeddale_core::turns::TurnKey;
use lru::LruCache;

/// Memory for cached chains.
const MAX_CACHED_BYTES: usize = 6 * 1024 * 1024;

/// The chains of the turns that were stored or read last.
///
/// A cached turn may have expired in the meantime, which only makes it live for longer.
#[derive(Debug)]
pub(super) struct ChainCache {
    chains: LruCache<TurnKey, Bytes>,
    bytes: usize,
}

impl Default for ChainCache {
    fn default() -> Self {
        Self {
            chains: LruCache::unbounded(),
            bytes: 0,
        }
    }
}

impl ChainCache {
    /// Returns the chain of a turn.
    pub fn get(&mut self, key: &TurnKey) -> Option<Bytes> {
        self.chains.get(key).cloned()
    }

    /// Adds the chain of a turn and removes the ones that were not used for the longest time.
    pub fn insert(&mut self, key: TurnKey, chain: Bytes) {
        if chain.len() > MAX_CACHED_BYTES {
            return;
        }
        self.bytes += chain.len();
        if let Some(replaced) = self.chains.put(key, chain) {
            self.bytes -= replaced.len();
        }
        while self.bytes > MAX_CACHED_BYTES
            && let Some((_, removed)) = self.chains.pop_lru()
        {
            self.bytes -= removed.len();
        }
    }
}
