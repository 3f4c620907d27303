//! Signing and verification of values with the fleet's secret.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::encoding::{DecodeError, Decoder, Encoder};
use crate::value::SignedValue;

/// Version of the encoding. Tokens of other versions are rejected.
const VERSION: u8 = 1;

/// Length of an HMAC-SHA-256 tag.
const TAG_BYTES: usize = 32;

/// Minimum length of the secret: that of the hash function's output.
const MIN_SECRET_BYTES: usize = 32;

/// Maximum length of a token; names are short enough that no valid token is longer.
const MAX_TOKEN_BYTES: usize = 4_096;

/// Signs and verifies values with the fleet's secret.
///
/// # Examples
///
/// ```
/// use knapweeddale_core::input::Permit;
/// use knapweeddale_core::{Epoch, Incarnation, ProgramKey, VmName};
/// use knapweeddale_token::Signer;
///
/// let signer = Signer::new(b"a secret that all VMs of the fleet share")?;
/// let permit = Permit {
///     program: ProgramKey { account: "aller".into(), name: "tour".into() },
///     generation: 1,
///     turn: 2,
///     seq: 0,
///     home: VmName::from("vm-1"),
///     incarnation: Incarnation(3),
///     epoch: Epoch(4),
/// };
/// let token = signer.sign(&permit);
/// assert_eq!(signer.verify::<Permit>(&token)?, permit);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone)]
pub struct Signer(Hmac<Sha256>);

/// The fleet's secret is too short.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("the fleet secret has {len} bytes; use at least 32 random bytes")]
pub struct SecretError {
    /// The length of the secret in bytes.
    pub len: usize,
}

/// Why a token was rejected.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum TokenError {
    /// The text is too long or not base64url.
    #[display("{header} is not base64url text of at most 4096 bytes; send it as it was received")]
    Text {
        /// The header that carried the token.
        header: &'static str,
    },
    /// The signature was not made with this fleet's secret.
    #[display("the signature of {header} does not match; send it as it was received")]
    Signature {
        /// The header that carried the token.
        header: &'static str,
    },
    /// The token is of another kind or version.
    #[display("{header} carries another kind of token; check that headers are not swapped")]
    Kind {
        /// The header that carried the token.
        header: &'static str,
    },
    /// The signed bytes cannot be decoded.
    #[display("{header} cannot be read, {source}; ask for a new one")]
    Value {
        /// The header that carried the token.
        header: &'static str,
        /// What is wrong with the bytes.
        source: DecodeError,
    },
}

impl Signer {
    /// Creates a signer with the secret that all VMs of the fleet share.
    ///
    /// # Errors
    ///
    /// Fails if the secret is shorter than 32 bytes.
    pub fn new(secret: &[u8]) -> Result<Self, SecretError> {
        let len = secret.len();
        if len < MIN_SECRET_BYTES {
            return Err(SecretError { len });
        }
        Hmac::new_from_slice(secret)
            .map(Self)
            .map_err(|_| SecretError { len })
    }

    /// Encodes and signs a value and returns the token.
    pub fn sign<T: SignedValue>(&self, value: &T) -> String {
        let mut encoder = Encoder::default();
        encoder.byte(VERSION).byte(T::KIND);
        value.encode(&mut encoder);
        let mut bytes = encoder.into_bytes();
        let tag = self.mac(&bytes).finalize().into_bytes();
        bytes.extend(tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies a token and returns its value.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a token signed by this fleet or holds another kind
    /// of value. The signature is compared in constant time.
    pub fn verify<T: SignedValue>(&self, text: &str) -> Result<T, TokenError> {
        let header = T::HEADER;
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Text { header });
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Text { header })?;
        let (value, tag) = bytes
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(TokenError::Signature { header })?;
        self.mac(value)
            .verify_slice(tag)
            .map_err(|_| TokenError::Signature { header })?;
        read_value(value).map_err(|source| match source {
            None => TokenError::Kind { header },
            Some(source) => TokenError::Value { header, source },
        })
    }

    /// Starts the HMAC of `bytes`.
    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        self.0.clone().chain_update(bytes)
    }
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer(..)")
    }
}

/// Derives a secret for one purpose, which reveals nothing about other derived secrets.
///
/// # Errors
///
/// Fails if the secret is shorter than 32 bytes.
pub fn derive_secret(secret: &[u8], purpose: &str) -> Result<String, SecretError> {
    let tag = Signer::new(secret)?.mac(purpose.as_bytes()).finalize();
    let tag = tag.into_bytes();
    Ok(tag.iter().map(|byte| format!("{byte:02x}")).collect())
}

/// Decodes version, kind and fields; `Err(None)` means another version or kind.
fn read_value<T: SignedValue>(bytes: &[u8]) -> Result<T, Option<DecodeError>> {
    let mut decoder = Decoder::new(bytes);
    let version = decoder.byte().map_err(Some)?;
    let kind = decoder.byte().map_err(Some)?;
    if (version, kind) != (VERSION, T::KIND) {
        return Err(None);
    }
    let value = T::decode(&mut decoder).map_err(Some)?;
    decoder.end().map_err(Some)?;
    Ok(value)
}

/// Compares two secrets in time that depends on their lengths only.
pub fn secrets_match(left: &[u8], right: &[u8]) -> bool {
    Sha256::digest(left).ct_eq(&Sha256::digest(right)).into()
}
