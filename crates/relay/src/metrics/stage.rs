//! The stages of a call whose durations are measured.

/// A measured stage of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Stage {
    /// From arrival to the choice of an upstream.
    Queue,
    /// Until a connection to the upstream is available.
    Connect,
    /// From the request to the first byte or event of the response.
    FirstByte,
    /// Between two events of a stream.
    EventGap,
    /// From arrival to the end of the response.
    Whole,
    /// From arrival to the end of the response, less the time spent on the upstream.
    Added,
    /// From the last event of a kept turn until the turn is stored.
    StoreTurn,
}

impl Stage {
    /// Returns the value of the label `stage`.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Connect => "connect",
            Self::FirstByte => "first_byte",
            Self::EventGap => "event_gap",
            Self::Whole => "whole",
            Self::Added => "added",
            Self::StoreTurn => "store_turn",
        }
    }
}
