//! Division of what the host's process may use: memory and file descriptors.

use elmstream_http::ConnectionBounds;
use serde::Deserialize;

/// Memory and file descriptors that the process may use; 0 for no bound.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Bytes of memory, those that wait unread in sockets included.
    pub memory_bytes: u64,
    /// File descriptors.
    pub file_descriptors: u64,
}

/// Part of the memory that requests under way may take, without the bodies, which
/// `buffers.total_bytes` bounds.
const REQUESTS_MEMORY_SHARE: f64 = 0.4;
/// Part of the memory that servers' answers may take together.
const ANSWERS_MEMORY_SHARE: f64 = 0.3;
/// Memory of a request under way: its connection, its state and the connection to a server, without
/// bodies. The test `connection_memory` checks it.
pub const REQUEST_BYTES: u64 = 64 << 10;
/// Memory of an idle connection, checked by the same test.
pub const IDLE_CONNECTION_BYTES: u64 = 8 << 10;
/// File descriptors for files, listeners, other hosts and the store.
const OTHER_DESCRIPTORS: u64 = 300;
/// Part of the other descriptors that callers' connections may take, and number of requests under way
/// as a part of them. Each request also takes a connection to a server, and these are kept for a
/// while.
const CALLERS_DESCRIPTORS_SHARE: f64 = 0.5;
const REQUESTS_DESCRIPTORS_SHARE: f64 = 0.25;
/// Smallest bounds.
const BUSY_MIN: usize = 16;
const OPEN_MIN: usize = 64;

impl Resources {
    /// Bound on the bytes of all answers that are held; 0 for none.
    pub fn answer_bytes_max(&self) -> u64 {
        (self.memory_bytes as f64 * ANSWERS_MEMORY_SHARE) as u64
    }

    /// Bounds on callers' connections.
    pub fn connection_bounds(&self) -> ConnectionBounds {
        let descriptors = self.file_descriptors.saturating_sub(OTHER_DESCRIPTORS) as f64;
        let requests_bytes = self.memory_bytes as f64 * REQUESTS_MEMORY_SHARE;
        let by_memory = (self.memory_bytes > 0).then_some(requests_bytes / REQUEST_BYTES as f64);
        let has_descriptors = self.file_descriptors > 0;
        let by_descriptors = has_descriptors.then_some(descriptors * REQUESTS_DESCRIPTORS_SHARE);
        let busy = by_memory.into_iter().chain(by_descriptors).reduce(f64::min);
        let open = has_descriptors.then_some(descriptors * CALLERS_DESCRIPTORS_SHARE);
        ConnectionBounds {
            open: open.map_or(0, |open| (open as usize).max(OPEN_MIN)),
            busy: busy.map_or(0, |busy| (busy as usize).max(BUSY_MIN)),
        }
    }
}
