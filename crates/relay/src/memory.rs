//! Divides the memory of a process among the bytes that others send.

/// Part of the memory of a process that the buffers of requests may use, as a divisor; those of
/// responses may use as much again.
const BUFFERS_DIVISOR: usize = 6;

/// Part of the memory of a process that the connections of callers may use, as a divisor.
const CONNECTIONS_DIVISOR: usize = 4;

/// Part of the memory of a process that waiting summaries may have as datagrams, as a divisor;
/// decoded, they take a few times as much.
const SUMMARIES_DIVISOR: usize = 32;

/// Memory of a connection besides the buffer for the head of a request: its socket, task and timer.
const CONNECTION_BYTES: usize = 8 * 1024;

/// Highest published size of a head that is counted for each connection. Beyond it, the limit would
/// leave too few connections for the short heads that most requests have.
const MAX_COUNTED_HEAD_BYTES: usize = 64 * 1024;

/// Part of the memory of a storage VM that kept turns may use, as a divisor. A third of it again can
/// be expired turns that the disk still has when the process starts.
const TURNS_DIVISOR: usize = 2;

/// Part of the memory for kept turns that those which wait for the disk may use, as a divisor; they
/// take three times as much until they are synced.
const WRITES_DIVISOR: usize = 16;

/// Part of the memory of a storage VM that claims on budgets may use, as a divisor.
const CLAIMS_DIVISOR: usize = 10;

/// How the memory of a process is divided among the bytes of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemoryPlan {
    /// Limit for the buffers of request bodies, and for those of responses.
    pub buffer_bytes: usize,
    /// Limit for the summaries of other VMs that wait for the control thread or the rest of their
    /// datagrams, as datagrams.
    pub summary_bytes: usize,
    /// Limit for the connections of callers.
    connections_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory that a process may use.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            buffer_bytes: memory_bytes / BUFFERS_DIVISOR,
            summary_bytes: memory_bytes / SUMMARIES_DIVISOR,
            connections_bytes: memory_bytes / CONNECTIONS_DIVISOR,
        }
    }

    /// Returns the limit for connections of callers whose heads have up to `head_bytes`.
    pub fn max_connections(&self, head_bytes: usize) -> usize {
        let bytes = CONNECTION_BYTES + head_bytes.min(MAX_COUNTED_HEAD_BYTES);
        (self.connections_bytes / bytes).max(1)
    }
}

/// Part of the memory of a storage VM that requests under way may use, as a divisor.
const REQUESTS_DIVISOR: usize = 4;

/// Memory of a request under way: a turn of 10 KB as text, decoded, encoded for the disk, and its
/// connection.
const REQUEST_BYTES: usize = 64 * 1024;

/// How the memory of a storage VM is divided among what it holds for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StorageMemoryPlan {
    /// Limit for kept turns, with their rows and indexes.
    pub turn_bytes: usize,
    /// Limit for the turns of callers that wait for the disk.
    pub write_bytes: usize,
    /// Limit for claims on budgets, with their rows and indexes.
    pub claim_bytes: usize,
    /// Limit for the requests that are under way at the same time.
    pub max_requests: u32,
}

impl StorageMemoryPlan {
    /// Divides the memory that a storage VM may use.
    pub fn new(memory_bytes: usize) -> Self {
        let turn_bytes = memory_bytes / TURNS_DIVISOR;
        Self {
            turn_bytes,
            write_bytes: turn_bytes / WRITES_DIVISOR,
            claim_bytes: memory_bytes / CLAIMS_DIVISOR,
            max_requests: (memory_bytes / REQUESTS_DIVISOR / REQUEST_BYTES).max(1) as u32,
        }
    }
}
