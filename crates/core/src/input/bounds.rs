//! Bounds of values from outside, within which the arithmetic of the systems does not overflow.

use std::net::{IpAddr, SocketAddr};

/// Limit for a number of tokens in a request, a configuration or a record.
pub const MAX_TOKENS: u64 = 1 << 32;

/// Limit for a duration in a request or a configuration: a year.
pub const MAX_DURATION_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// Returns whether a text is the `ip:port` of one host.
///
/// # Examples
///
/// ```
/// use knapweeddale_core::input::is_host_address;
///
/// assert!(is_host_address("127.0.0.1:80"));
/// assert!(!is_host_address("localhost:80"));
/// assert!(!is_host_address("127.0.0.1:0"));
/// assert!(!is_host_address("0.0.0.0:80"));
/// ```
pub fn is_host_address(text: &str) -> bool {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return false;
    };
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
