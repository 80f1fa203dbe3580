//! Limits of a process on what clients may make it hold.

use std::time::Duration;

/// Part of the memory of the process for the bytes of unfinished requests, as a divisor. A quarter leaves room for the
/// state of the role, and fits one body of 4 MiB with its decoded form from 48 MiB on.
const REQUEST_SHARE: usize = 4;
/// Part of the memory of the process for the fixed cost of connections, in percent.
const CONNECTION_SHARE_PERCENT: usize = 40;
/// Largest memory that a connection takes without asking the budget: its head, its read buffer, the allotment of its
/// body and its receive buffer, which Linux allocates with twice the size that is set.
const CONNECTION_BYTES: usize = 96 * 1024;
/// Part of the descriptors of the process for HTTP connections, as a divisor; links and files need the others.
const CONNECTION_FD_SHARE: usize = 2;
/// Part of the descriptors of the process for links that are not authenticated, as a divisor.
const LINK_FD_SHARE: usize = 8;
/// Part of the memory of the process for links that are not authenticated, in percent.
const LINK_SHARE_PERCENT: usize = 20;
/// Largest memory of a link that is not authenticated: its receive buffer, which Linux gives 128 KiB before the process
/// has read from it, and the buffers of a message of 4 KiB.
const LINK_BYTES: usize = 144 * 1024;
/// Smallest limit on heads that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Largest limit on heads that may be set while the process runs, in bytes; the memory of a connection allows for it.
const MAX_CHANGED_HEAD_BYTES: usize = 32 * 1024;
/// Size of the receive buffer of a connection in bytes. At a round trip of 1 ms it permits 32 MB/s, above what the
/// network of any machine carries.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Memory and descriptors that a process may use, from its settings.
///
/// # Examples
///
/// ```
/// use chestnutfork_net::ProcessLimits;
///
/// let limits = ProcessLimits::new(120, 3_075);
/// assert_eq!(limits.max_request_bytes(), 30 * 1024 * 1024);
/// assert_eq!(limits.max_connections(), 512);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    memory_mb: usize,
    max_fds: usize,
    max_head: usize,
}

impl ProcessLimits {
    /// Memory of a process whose settings state none, in MiB.
    pub const DEFAULT_MEMORY_MB: usize = 256;
    /// Descriptors of a process whose settings state none.
    pub const DEFAULT_MAX_FDS: usize = 4_096;
    /// Largest head of a request in bytes, as the users' interface states it.
    pub const DEFAULT_MAX_HEAD_BYTES: usize = 16_384;

    /// Returns the limits for a memory in MiB and a number of descriptors.
    #[must_use]
    pub const fn new(memory_mb: usize, max_fds: usize) -> Self {
        Self {
            memory_mb,
            max_fds,
            max_head: Self::DEFAULT_MAX_HEAD_BYTES,
        }
    }

    /// Sets the limit on the head of a request in bytes. The HTTP library reads at least 8 KiB.
    #[must_use]
    pub fn max_head(self, bytes: usize) -> Self {
        Self {
            max_head: bytes.max(MIN_HEAD_BYTES),
            ..self
        }
    }

    /// Returns the limits of a server that only monitors of the process use: 34 connections and 2 MiB.
    ///
    /// Such a server has a budget of its own, so that it answers when the callers' connections are all in use.
    #[must_use]
    pub const fn monitoring() -> Self {
        Self::new(8, 68)
    }

    /// Returns the limit on the bytes of unfinished requests, beyond the allotments of connections.
    #[must_use]
    pub const fn max_request_bytes(self) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024) / REQUEST_SHARE
    }

    /// Returns the limit on HTTP connections.
    #[must_use]
    pub fn max_connections(self) -> usize {
        let by_memory = self.memory_share(CONNECTION_SHARE_PERCENT) / CONNECTION_BYTES;
        by_memory.min(self.max_fds / CONNECTION_FD_SHARE).max(1)
    }

    /// Returns the limit on links that are not authenticated.
    #[must_use]
    pub fn max_unauthenticated_links(self) -> usize {
        let by_memory = self.memory_share(LINK_SHARE_PERCENT) / LINK_BYTES;
        by_memory.min(self.max_fds / LINK_FD_SHARE).max(1)
    }

    /// Returns a part of the memory in bytes.
    const fn memory_share(self, percent: usize) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024).saturating_mul(percent) / 100
    }

    /// Returns the limit on the head of a request in bytes.
    pub(crate) const fn head_bytes(self) -> usize {
        self.max_head
    }
}

/// Returns the limit on heads that is in force for one that was set while the process runs.
pub(crate) fn clamp_head(bytes: usize) -> usize {
    bytes.clamp(MIN_HEAD_BYTES, MAX_CHANGED_HEAD_BYTES)
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self::new(Self::DEFAULT_MEMORY_MB, Self::DEFAULT_MAX_FDS)
    }
}

/// Bytes of a body that a connection holds without asking the budget. Bodies of ordinary requests are smaller.
pub(crate) const ALLOTMENT_BYTES: usize = 8 * 1024;
/// Time in which an evicted connection must send its response.
pub(crate) const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);
