//! Requests to the router and its answers.

use masticsill_types::{
    Class, ClockMs, EntryId, GenerationId, ModelId, ModelTarget, NodeId, Refusal, WorkspaceId,
};

/// What a request needs an endpoint to serve.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum BackEndTarget {
    /// An engine with exactly this model, version and adapter loaded.
    Engine(ModelTarget),
    /// An instance of a plain service.
    PlainService(ModelId),
}

/// One prefix of a prompt. The prefixes of a prompt form a chain that ends at block boundaries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixBlock {
    /// Hash of the prompt up to the end of the block.
    pub hash: u64,
    /// Tokens of the prompt up to the end of the block.
    pub tokens: u32,
}

/// Whether a request is new, resumed or retried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A request that was not admitted before.
    New,
    /// A generation that was admitted before and continues on another endpoint.
    ///
    /// It starts before new requests, isn't counted against the request rate again and doesn't wait
    /// for the token rate.
    Resume,
    /// A request that did not run at one endpoint and is tried at another, within the retry
    /// budgets.
    Retry {
        /// The endpoint that failed.
        failed: NodeId,
    },
}

/// A request to be placed at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkRequest {
    /// The catalogue entry that the caller named.
    pub catalogue_entry: EntryId,
    /// Class of the request.
    pub class: Class,
    /// Time by which the request must be complete to be of use to the caller.
    pub deadline: Option<ClockMs>,
    /// Identifies the request in every later call.
    pub id: GenerationId,
    /// Whether it is new, resumed or retried.
    pub kind: WorkKind,
    /// Maximum number of tokens to generate; zero for calls of plain services.
    pub max_tokens: u32,
    /// The prompt's prefixes, shortest first; empty when unknown.
    pub prefix: Vec<PrefixBlock>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// What it needs an endpoint to serve.
    pub target: BackEndTarget,
    /// Endpoints that were tried already and are not used again.
    pub tried: Vec<NodeId>,
    /// Workspace that owns the catalogue entry.
    pub workspace: WorkspaceId,
}

impl WorkRequest {
    /// Cost of the request for fair queueing and wait estimates, in generated tokens. Eight prompt
    /// tokens cost as much as one generated token.
    #[must_use]
    pub fn cost(&self) -> u64 {
        let prompt = u64::from(self.prompt_tokens) / 8;
        (prompt + u64::from(self.max_tokens)).max(1)
    }
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Tokens of the prompt that are expected to be cached at the endpoint.
    pub cached_tokens: u32,
    /// Node of the endpoint's agent.
    pub node: NodeId,
}

/// The decision on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// Start it at this endpoint now.
    Start(Placement),
    /// It is queued; [`crate::Router::next_queued`] returns it once it starts or is refused.
    Queued,
    /// It is refused and doesn't run.
    Refused(Refusal),
}

/// A request that leaves the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// Start it at this endpoint now.
    Start(GenerationId, Placement),
    /// It is refused and doesn't run.
    Refused(GenerationId, Refusal),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkOutcome {
    /// It was cancelled, or moved to another endpoint because of a planned stop.
    Cancelled,
    /// It was completed.
    Completed,
    /// It failed because of the endpoint.
    Failed,
}

/// The end of a started request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkEnd {
    /// How it ended.
    pub outcome: WorkOutcome,
    /// Tokens generated since its start.
    pub tokens: u32,
}
