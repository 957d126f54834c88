//! Configuration of the entry role.

use std::net::SocketAddr;

use masticsill_types::{NodeId, ZoneId};

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// How long requests are still accepted after readiness is off, in milliseconds.
    pub balancer_grace_ms: u64,
    /// Longest wait for running streams at a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Where callers reach the entry.
    pub http_address: SocketAddr,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The entry's name.
    pub node: NodeId,
    /// How long a generation goes on after its caller's connection is lost, in milliseconds.
    pub reattach_ms: u64,
    /// Silence of an agent after which its streams are moved, in milliseconds.
    pub silence_ms: u64,
    /// Threads that serve callers.
    pub workers: usize,
    /// The entry's availability zone.
    pub zone: ZoneId,
}
