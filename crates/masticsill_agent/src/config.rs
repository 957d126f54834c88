//! Configuration of an agent.

use std::net::SocketAddr;

use masticsill_generation::{CallLimits, FreezeLimits, GenerationLimits};
use masticsill_types::{ModelId, NodeId};

/// Maximum memory of the generation records: 1,000 running answers of 16,384 tokens each fit.
const MAX_RECORD_BYTES: usize = 1024 * 1024 * 1024;

/// The endpoint that the agent serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// A model engine.
    Engine {
        /// Whether the engine itself refuses orders with an outdated fencing number.
        is_checking_fencing: bool,
    },
    /// A plain service.
    PlainService {
        /// The name of the service, as catalogue entries refer to it.
        service: ModelId,
    },
}

/// Time and size limits of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentLimits {
    /// Limits of the generations.
    pub generations: GenerationLimits,
    /// How long the agent waits for a plain service's answer, which it stores for repeated calls,
    /// in milliseconds.
    pub call_timeout_ms: u64,
    /// Limits of the plain calls.
    pub calls: CallLimits,
    /// How long running attempts may continue after the agent begins to leave, in milliseconds.
    pub drain_ms: u64,
    /// When an engine counts as frozen.
    pub freeze: FreezeLimits,
    /// Maximum size of the body of a plain service's answer, in bytes.
    pub max_answer_bytes: usize,
    /// Minimum time that a leaving agent keeps running, so that no entry with an older membership
    /// view sends it work after it has stopped, in milliseconds.
    pub min_leave_ms: u64,
    /// Pause between two polls of the engine, in milliseconds.
    pub poll_ms: u64,
    /// Timeout of a poll, after which an unanswered poll is sent again, in milliseconds.
    pub poll_timeout_ms: u64,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            generations: GenerationLimits {
                batch_delay_ms: 2,
                retention_ms: 60_000,
                max_bytes: MAX_RECORD_BYTES,
                max_records: 4_096,
                orphan_ms: 15_000,
                retry_after_ms: 1_000,
            },
            call_timeout_ms: 60_000,
            calls: CallLimits {
                key_window_ms: 3_600_000,
                max_answer_bytes: 32 * 1024 * 1024,
                max_calls: 1_000_000,
                retry_after_ms: 1_000,
            },
            drain_ms: 30_000,
            freeze: FreezeLimits::default(),
            max_answer_bytes: 4 * 1024 * 1024,
            min_leave_ms: 2_000,
            poll_ms: 100,
            poll_timeout_ms: 1_000,
        }
    }
}

/// Configuration of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentConfig {
    /// The endpoint that the agent serves.
    pub endpoint: Endpoint,
    /// The address at which the endpoint listens.
    pub endpoint_address: SocketAddr,
    /// Time and size limits.
    pub limits: AgentLimits,
    /// The id of the node that the agent runs on.
    pub node: NodeId,
}
