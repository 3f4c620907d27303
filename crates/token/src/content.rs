//! Digests of request content.

use knapweeddale_core::ContentDigest;
use sha2::{Digest, Sha256};

/// Returns the digest of a request's parts, such as target and body.
///
/// Each part is hashed after its length, so that moving bytes from one part to
/// the next changes the digest.
///
/// # Examples
///
/// ```
/// use knapweeddale_token::content_digest;
///
/// assert_ne!(content_digest(["ab", "c"]), content_digest(["a", "bc"]));
/// ```
pub fn content_digest<T: AsRef<[u8]>>(parts: impl IntoIterator<Item = T>) -> ContentDigest {
    let mut hasher = Sha256::new();
    for part in parts {
        let part = part.as_ref();
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let mut digest = ContentDigest::default();
    let len = digest.0.len();
    digest.0.copy_from_slice(&hash[..len]);
    digest
}
