//! Parsing and hashing of callers' keys.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use knapweeddale_core::{KeyId, PresentedKey, Secret256};
use sha2::{Digest, Sha256};

/// Prefix of every key, which secret scanners can search for.
const PREFIX: &str = "kwd_";

/// Maximum length of a key's ID.
const MAX_ID_BYTES: usize = 32;

/// Minimum length of a key's secret; 32 alphanumeric characters hold 190 random bits.
const MIN_SECRET_BYTES: usize = 32;

/// Maximum length of a key's secret, which bounds the cost of hashing.
const MAX_SECRET_BYTES: usize = 128;

/// A caller's key, in the form `kwd_<id>_<secret>`.
///
/// The ID consists of lower-case letters, digits and `-`, the secret of letters
/// and digits. `Debug` shows the ID only.
///
/// # Examples
///
/// ```
/// use knapweeddale_token::CallerKey;
///
/// let key: CallerKey = "kwd_desk_0123456789abcdefghijABCDEFGHIJ01".parse()?;
/// assert_eq!(format!("{key:?}"), "CallerKey(desk)");
/// # Ok::<(), knapweeddale_token::KeyError>(())
/// ```
#[derive(Clone)]
pub struct CallerKey {
    id: KeyId,
    text: String,
}

/// Why a text is not a valid key. The messages never show the text.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum KeyError {
    /// The text does not start with the prefix.
    #[display("the key does not start with `kwd_`; copy the whole key")]
    Prefix,
    /// The ID is empty, too long or has characters that are not allowed.
    #[display("the id of the key is not 1 to 32 of a-z, 0-9 and `-`; copy the whole key")]
    Id,
    /// The secret has the wrong length or characters that are not allowed.
    #[display("the secret of the key is not 32 to 128 letters and digits; copy the whole key")]
    Secret,
}

impl CallerKey {
    /// Returns the ID, which is public.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Returns the whole key, which must not reach any log, metric, peer or upstream.
    pub fn expose(&self) -> &str {
        &self.text
    }

    /// Returns the SHA-256 digest of the whole key.
    pub fn digest(&self) -> Secret256 {
        Secret256(Sha256::digest(self.text.as_bytes()).into())
    }

    /// Returns the digest in hexadecimal, as in account and keys files.
    pub fn digest_hex(&self) -> String {
        let digest = self.digest();
        digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the ID and digest, which the core checks.
    pub fn presented(&self) -> PresentedKey {
        PresentedKey {
            id: self.id.clone(),
            sha256: self.digest(),
        }
    }
}

impl FromStr for CallerKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix(PREFIX).ok_or(KeyError::Prefix)?;
        let (id, secret) = rest.split_once('_').ok_or(KeyError::Secret)?;
        let is_id_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_id_byte) {
            return Err(KeyError::Id);
        }
        let has_length = (MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&secret.len());
        if !has_length || !secret.bytes().all(|b| b.is_ascii_alphanumeric()) {
            return Err(KeyError::Secret);
        }
        Ok(Self {
            id: KeyId::from(id),
            text: text.to_owned(),
        })
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerKey({})", self.id)
    }
}
