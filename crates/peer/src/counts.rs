//! Counters of the messages, bytes and connections between VMs.

use std::sync::atomic::{AtomicU64, Ordering};

/// Defines the counters, an increment method for each, and a snapshot with the same fields.
macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counters of peer traffic since the start of the process.
        #[derive(Debug, Default)]
        pub struct PeerCounts {
            $($name: AtomicU64,)+
        }

        /// Values of [`PeerCounts`] at one moment.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct CountsSnapshot {
            $($(#[$doc])* pub $name: u64,)+
        }

        impl PeerCounts {
            $(pub(crate) fn $name(&self, by: u64) {
                self.$name.fetch_add(by, Ordering::Relaxed);
            })+

            /// Returns the current values.
            pub fn snapshot(&self) -> CountsSnapshot {
                CountsSnapshot {
                    $($name: self.$name.load(Ordering::Relaxed),)+
                }
            }
        }
    };
}

counts! {
    /// Messages that a peer confirmed.
    sent_messages,
    /// Encoded bytes of the messages that a peer confirmed.
    sent_bytes,
    /// Messages dropped because the queue to their peer was full.
    dropped_full,
    /// Messages dropped because their request failed.
    dropped_failed,
    /// Messages dropped because they exceed the largest request body.
    dropped_large,
    /// Messages received and decoded.
    received_messages,
    /// Messages received that this version cannot decode.
    unreadable_messages,
    /// Requests refused for a missing or wrong secret.
    refused_secret,
    /// Connections closed by the idle timeout.
    closed_idle,
}
