//! Configuration of the entry role.

use std::net::SocketAddr;

use masticsill_types::{NodeId, ZoneId};

/// Configuration of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Time for which requests are still accepted after readiness was turned off, in milliseconds.
    pub balancer_grace_ms: u64,
    /// Maximum time to wait for open requests during a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Address of the HTTP listener for callers.
    pub http_address: SocketAddr,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Id of this node.
    pub node: NodeId,
    /// Time for which a generation continues after the connection of its caller was lost, in
    /// milliseconds.
    pub reattach_ms: u64,
    /// Silence of an agent after which its streams move to other agents, in milliseconds.
    pub silence_ms: u64,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Availability zone of this node.
    pub zone: ZoneId,
}
