//! Counts of messages and bytes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Defines counters with a snapshot of the same fields.
macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counts of messages and bytes since the start of the process.
        #[derive(Debug, Default)]
        pub struct PeerCounts {
            $($name: AtomicU64,)+
        }

        /// The counts at one moment.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct CountsSnapshot {
            $($(#[$doc])* pub $name: u64,)+
        }

        impl PeerCounts {
            $(pub(crate) fn $name(&self, by: u64) {
                self.$name.fetch_add(by, Ordering::Relaxed);
            })+

            /// Returns the counts so far.
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
    /// Bytes of their bodies.
    sent_bytes,
    /// Messages dropped because the queue of their peer was full.
    dropped_full,
    /// Messages dropped because their request failed.
    dropped_failed,
    /// Messages dropped because they exceed the largest body.
    dropped_large,
    /// Messages received.
    received_messages,
    /// Messages received that this version cannot read.
    unreadable_messages,
    /// Requests refused for a missing or wrong secret.
    refused_secret,
    /// Connections closed after a silence.
    closed_idle,
}
