//! Digests of a program's messages.

use knapweeddale_core::HistoryDigest;
use sha2::{Digest, Sha256};

/// Domain separator: the same bytes hashed for another purpose give another digest.
const DOMAIN: &[u8] = b"kwd-history-1";

/// The digest of a sequence of messages, extended one message at a time.
///
/// Extending hashes the new message only, so that a response can be added to a
/// long history without hashing the history again.
///
/// # Examples
///
/// ```
/// use knapweeddale_token::HistoryChain;
///
/// let mut whole = HistoryChain::default();
/// whole.extend(b"question");
/// let mut later = HistoryChain::from(whole.digest());
/// whole.extend(b"answer");
/// later.extend(b"answer");
/// assert_eq!(whole, later);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HistoryChain(HistoryDigest);

impl HistoryChain {
    /// Appends a message, given in its canonical form.
    pub fn extend(&mut self, message: &[u8]) {
        let mut hasher = Sha256::new();
        hasher.update(DOMAIN);
        hasher.update(self.0.0);
        hasher.update(message);
        self.0 = HistoryDigest(hasher.finalize().into());
    }

    /// Returns the digest of the messages so far.
    pub fn digest(&self) -> HistoryDigest {
        self.0
    }
}

impl From<HistoryDigest> for HistoryChain {
    fn from(digest: HistoryDigest) -> Self {
        Self(digest)
    }
}
