//! Divides the memory of a process among the bytes that others send.

/// Part of the memory of a process that the buffers of requests may use, as a divisor; those of
/// responses may use as much again.
const BUFFERS_DIVISOR: usize = 6;

/// Part of the memory of a process that the connections of callers may use, as a divisor.
const CONNECTIONS_DIVISOR: usize = 4;

/// Part of the memory of a process that waiting summaries may have as datagrams, as a divisor;
/// decoded, they take a few times as much.
const SUMMARIES_DIVISOR: usize = 32;

/// Parts of the memory of a process that the prompts and contents of ordinary kept turns under way
/// may use.
const HELD_TURNS_PARTS: usize = 3;

/// Parts that those of long kept turns may use.
const LONG_HELD_TURNS_PARTS: usize = 5;

/// Parts that lookups of ordinary chains may use.
const LOOKUPS_PARTS: usize = 1;

/// Parts that requests which store ordinary turns may use.
const STORES_PARTS: usize = 2;

/// Parts that transfers of long turns and chains may use.
const LONG_TRANSFERS_PARTS: usize = 6;

/// Parts that the cached chains of turns may use.
const CACHED_TURNS_PARTS: usize = 4;

/// Number of the parts above that make up the memory of a process.
const PARTS: usize = 64;

/// Most memory for cached chains; callers soon go on from a turn, or never.
const MAX_CACHED_TURN_BYTES: usize = 6 * 1024 * 1024;

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
    /// Limits for kept turns.
    pub turns: TurnMemoryPlan,
    /// Limit for the connections of callers.
    connections_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory that a process may use.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            buffer_bytes: memory_bytes / BUFFERS_DIVISOR,
            summary_bytes: memory_bytes / SUMMARIES_DIVISOR,
            turns: TurnMemoryPlan::new(memory_bytes),
            connections_bytes: memory_bytes / CONNECTIONS_DIVISOR,
        }
    }

    /// Returns the limit for connections of callers whose heads have up to `head_bytes`.
    pub fn max_connections(&self, head_bytes: usize) -> usize {
        let bytes = CONNECTION_BYTES + head_bytes.min(MAX_COUNTED_HEAD_BYTES);
        (self.connections_bytes / bytes).max(1)
    }
}

/// How the memory of an entry VM for kept turns is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TurnMemoryPlan {
    /// Limit for the prompts and contents of ordinary turns under way.
    pub held_bytes: usize,
    /// Limit for the prompts and contents of long turns under way.
    pub long_held_bytes: usize,
    /// Limit for the answers to lookups of ordinary chains.
    pub lookup_bytes: usize,
    /// Limit for the requests that store ordinary turns.
    pub store_bytes: usize,
    /// Limit for the transfers of long turns and chains.
    pub long_transfer_bytes: usize,
    /// Limit for cached chains.
    pub cache_bytes: usize,
}

impl TurnMemoryPlan {
    fn new(memory_bytes: usize) -> Self {
        let part_bytes = memory_bytes / PARTS;
        Self {
            held_bytes: part_bytes * HELD_TURNS_PARTS,
            long_held_bytes: part_bytes * LONG_HELD_TURNS_PARTS,
            lookup_bytes: part_bytes * LOOKUPS_PARTS,
            store_bytes: part_bytes * STORES_PARTS,
            long_transfer_bytes: part_bytes * LONG_TRANSFERS_PARTS,
            cache_bytes: (part_bytes * CACHED_TURNS_PARTS).min(MAX_CACHED_TURN_BYTES),
        }
    }
}

/// Part of the memory of a storage VM that requests under way may use, as a divisor.
const REQUESTS_DIVISOR: usize = 4;

/// Part of the memory of a storage VM that long requests may use, as a divisor; long answers may use
/// as much again.
const LONG_REQUESTS_DIVISOR: usize = 16;

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
    /// Limit for long requests under way.
    pub long_request_bytes: usize,
    /// Limit for long answers that are being encoded.
    pub long_answer_bytes: usize,
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
            long_request_bytes: memory_bytes / LONG_REQUESTS_DIVISOR,
            long_answer_bytes: memory_bytes / LONG_REQUESTS_DIVISOR,
        }
    }
}
