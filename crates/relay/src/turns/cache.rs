//! The chains of recent turns in the memory of an entry VM.

use bytes::Bytes;
use knapweeddale_core::turns::TurnKey;
use lru::LruCache;

/// The chains of the turns that were stored or read last.
///
/// A cached turn may have expired in the meantime, which only makes it live for longer.
#[derive(Debug)]
pub(super) struct ChainCache {
    chains: LruCache<TurnKey, Bytes>,
    bytes: usize,
    max_bytes: usize,
}

impl ChainCache {
    /// Creates an empty cache for chains of up to `max_bytes` together.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            chains: LruCache::unbounded(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns the size of all cached chains.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether a chain of this size can be cached.
    pub fn accepts(&self, chain_bytes: usize) -> bool {
        chain_bytes <= self.max_bytes
    }

    /// Returns the size of the chain of a turn.
    pub fn chain_bytes(&self, key: &TurnKey) -> Option<usize> {
        self.chains.peek(key).map(Bytes::len)
    }

    /// Returns the chain of a turn.
    pub fn get(&mut self, key: &TurnKey) -> Option<Bytes> {
        self.chains.get(key).cloned()
    }

    /// Adds the chain of a turn and removes the ones that were not used for the longest time.
    pub fn insert(&mut self, key: TurnKey, chain: Bytes) {
        if !self.accepts(chain.len()) {
            return;
        }
        self.bytes += chain.len();
        if let Some(replaced) = self.chains.put(key, chain) {
            self.bytes -= replaced.len();
        }
        while self.bytes > self.max_bytes
            && let Some((_, removed)) = self.chains.pop_lru()
        {
            self.bytes -= removed.len();
        }
    }
}
