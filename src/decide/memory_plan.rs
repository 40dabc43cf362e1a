//! Division of an instance's memory limit between its own state, connections and requests.

/// Bytes of one request besides its head and body: its tasks, its place in the queue, the read
/// buffer that its head lies in, and its connection to an upstream.
const REQUEST_BYTES: u64 = 40 * 1024;

/// Bytes of the buffers of an event stream whose caller reads slowly.
pub const STREAM_BYTES: u64 = 64 * 1024;

/// Bytes of one connection of a caller without a request.
pub const CONNECTION_BYTES: u64 = 20 * 1024;

/// Bytes of an instance without callers: code, configuration, upstreams, prefix index and log.
const BASE_BYTES: u64 = 24 * 1024 * 1024;

/// Share of the limit that is planned for, in percent; the rest is for fragmentation and for bytes
/// that the kernel has received and the process has not read.
const PLANNED_PERCENT: u64 = 80;

/// Share of what is left beside the base that connections get, in percent; requests get the rest.
const CONNECTION_PERCENT: u64 = 45;

/// Smallest number of bytes for connections and requests together.
const MIN_DIVIDED_BYTES: u64 = 8 * 1024 * 1024;

/// Returns the bytes that a request occupies. Its body counts half as much again, because the
/// allocator rounds large blocks up and parts of the body lie in read buffers before they are
/// copied.
#[must_use]
pub const fn request_bytes(head_bytes: usize, body_bytes: usize) -> u64 {
    REQUEST_BYTES + (head_bytes + body_bytes + body_bytes / 2) as u64
}

/// Bounds that keep an instance below its memory limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Most connections of callers at the same time.
    pub max_connections: usize,
    /// Bytes that requests may hold together.
    pub request_bytes: u64,
}

impl MemoryPlan {
    /// Divides a memory limit.
    #[must_use]
    pub fn for_limit(limit_bytes: u64) -> Self {
        let planned = limit_bytes / 100 * PLANNED_PERCENT;
        let divided = planned.saturating_sub(BASE_BYTES).max(MIN_DIVIDED_BYTES);
        let connections = divided * CONNECTION_PERCENT / 100;
        Self {
            max_connections: usize::try_from(connections / CONNECTION_BYTES).unwrap_or(usize::MAX),
            request_bytes: divided - connections,
        }
    }
}
