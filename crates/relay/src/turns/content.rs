//! The content of a kept turn while its response is under way.

use std::sync::Arc;

use derive_more::{Display, Error, From};
use knapweeddale_runtime::{MemoryExhausted, MemoryPermit, MemoryReservation};

use super::memory::HeldMemory;

/// Most output that is kept of a turn. A request to a storage VM takes 10 MB of Base64 text, which
/// is enough for this and a prompt of the longest size.
pub(crate) const MAX_OUTPUT_BYTES: usize = 2 * 1024 * 1024;

/// Memory that is reserved for the output of a turn that states no maximum.
const DEFAULT_OUTPUT_BYTES: usize = 64 * 1024;

/// Most memory that is reserved for an output. Many callers state a maximum far above what their
/// turns generate.
const MAX_RESERVED_OUTPUT_BYTES: usize = 256 * 1024;

/// Memory that is reserved for each event, besides its tokens.
const EVENT_BYTES: usize = 256;

/// Memory that is reserved for each token.
const TOKEN_BYTES: usize = 16;

/// Why output cannot be kept.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq, From)]
pub(crate) enum OutputError {
    /// The output of the turn exceeds its limit.
    #[display("the output of a turn may have {MAX_OUTPUT_BYTES} bytes")]
    TooLong,
    /// No memory is left for output beyond what was expected.
    #[display("{_0}")]
    OutOfMemory(MemoryExhausted),
}

/// Returns the memory to reserve for an output of up to `max_tokens`; 0 if that is not known.
pub(crate) fn expected_output_bytes(max_tokens: u64, tokens_per_event: u64) -> usize {
    if max_tokens == 0 {
        return DEFAULT_OUTPUT_BYTES;
    }
    let tokens = usize::try_from(max_tokens).unwrap_or(MAX_OUTPUT_BYTES);
    let events = tokens.div_ceil(usize::try_from(tokens_per_event.max(1)).unwrap_or(tokens));
    let bytes =
        (tokens.saturating_mul(TOKEN_BYTES)).saturating_add(events.saturating_mul(EVENT_BYTES));
    bytes.min(MAX_RESERVED_OUTPUT_BYTES)
}

/// The input of a kept turn and its output so far, within the memory for them.
#[derive(Debug)]
pub(crate) struct TurnContent {
    bytes: Vec<u8>,
    input_bytes: usize,
    /// Size up to which the content was expected to grow.
    expected_bytes: usize,
    memory: HeldMemory,
}

impl TurnContent {
    /// Creates a content without output.
    ///
    /// `reservation` covers the input and `expected_output_bytes`; `growth` is the permit for more.
    pub fn new(
        input: &[u8],
        expected_output_bytes: usize,
        reservation: MemoryReservation,
        growth: MemoryPermit,
    ) -> Self {
        let expected_bytes = input.len() + expected_output_bytes;
        let mut bytes = Vec::with_capacity(expected_bytes);
        bytes.extend_from_slice(input);
        Self {
            bytes,
            input_bytes: input.len(),
            expected_bytes,
            memory: HeldMemory {
                _reservation: reservation,
                growth,
            },
        }
    }

    /// Returns the size of the output so far.
    pub fn output_bytes(&self) -> usize {
        self.bytes.len() - self.input_bytes
    }

    /// Adds a line to the output.
    ///
    /// # Errors
    ///
    /// Fails if the output becomes too long, or exceeds what was expected and there is no memory.
    pub fn push_line(&mut self, line: &[u8]) -> Result<(), OutputError> {
        let output_bytes = self.output_bytes() + line.len() + 1;
        if output_bytes > MAX_OUTPUT_BYTES {
            return Err(OutputError::TooLong);
        }
        let len = self.input_bytes + output_bytes;
        if len > self.bytes.capacity() {
            let capacity = len + output_bytes;
            let unexpected_bytes = capacity.saturating_sub(self.expected_bytes);
            self.memory.growth.resize(unexpected_bytes)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(line);
        self.bytes.push(b'\n');
        Ok(())
    }

    /// Returns the bytes and the memory to keep for as long as they are used.
    pub fn into_parts(self) -> (Arc<[u8]>, HeldMemory) {
        (Arc::from(self.bytes), self.memory)
    }
}
