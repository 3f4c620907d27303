//! Digests of keys and content.

use std::fmt;

use subtle::ConstantTimeEq;

/// Defines digest types that are formatted as hexadecimal text.
macro_rules! digests {
    ($($(#[$doc:meta])* $name:ident = $len:literal),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(#[cfg_attr(feature = "serde", serde(with = "super::hex"))] pub [u8; $len]);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    )+};
}

digests! {
    /// Digest of a request's content, equal for all resends of it.
    ContentDigest = 16,
    /// Digest of a program's messages up to and including a turn.
    HistoryDigest = 32,
}

/// The SHA-256 digest of a caller's key.
///
/// Comparison takes constant time, and `Debug` does not show the digest.
#[derive(Clone, Copy)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Secret256(#[cfg_attr(feature = "serde", serde(with = "super::hex"))] pub [u8; 32]);

impl PartialEq for Secret256 {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Secret256 {}

impl fmt::Debug for Secret256 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret256(..)")
    }
}
