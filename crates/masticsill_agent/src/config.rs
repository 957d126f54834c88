//! What an agent needs to know to start.

use std::net::SocketAddr;

use masticsill_generation::{CallLimits, FreezeLimits, GenerationLimits};
use masticsill_types::{ModelId, NodeId};

/// Room for 1,000 running answers of 16,384 tokens each.
const MAX_RECORD_BYTES: usize = 1024 * 1024 * 1024;

/// What stands beside the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// A model engine.
    Engine {
        /// Whether it refuses orders with an old fencing number by itself.
        is_checking_fencing: bool,
    },
    /// A plain service.
    PlainService {
        /// Its name, as catalogue entries refer to it.
        service: ModelId,
    },
}

/// Periods and bounds of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentLimits {
    /// Bounds of the generations.
    pub generations: GenerationLimits,
    /// How long the agent waits for a plain service's answer, to store it for repeats, in
    /// milliseconds.
    pub call_timeout_ms: u64,
    /// Bounds of the plain calls.
    pub calls: CallLimits,
    /// How long running attempts may go on after the agent began to leave, in milliseconds.
    pub drain_ms: u64,
    /// When an engine is judged frozen.
    pub freeze: FreezeLimits,
    /// Bytes of a plain service's answer at most.
    pub max_answer_bytes: usize,
    /// How long a leaving agent stays at least, so that no view sends it work after its end, in
    /// milliseconds.
    pub min_leave_ms: u64,
    /// Between two polls of the engine's load, in milliseconds.
    pub poll_ms: u64,
    /// After which an unanswered poll is sent again, in milliseconds.
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

/// What an agent needs to know to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentConfig {
    /// What stands beside the agent.
    pub endpoint: Endpoint,
    /// Where the endpoint listens.
    pub endpoint_address: SocketAddr,
    /// Periods and bounds.
    pub limits: AgentLimits,
    /// This node.
    pub node: NodeId,
}
