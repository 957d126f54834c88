//! What callers of the router say and hear.

use masticsill_types::{
    Class, ClockMs, EntryId, GenerationId, ModelId, ModelTarget, NodeId, Refusal, WorkspaceId,
};

/// What a request needs an endpoint to have.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum BackEndTarget {
    /// An engine with exactly this model, version and adapter loaded.
    Engine(ModelTarget),
    /// An instance of a plain service.
    PlainService(ModelId),
}

/// One step of a prompt's chain of prefixes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixBlock {
    /// Hash of the prompt up to the block's end.
    pub hash: u64,
    /// Tokens of the prompt up to the block's end.
    pub tokens: u32,
}

/// Why a request comes to the router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// For the first time.
    New,
    /// A generation that was admitted before continues on another endpoint.
    ///
    /// It goes before new work and is not counted against limits again.
    Resume,
    /// Work that did not run at an endpoint is to be tried at another; budgets bound this.
    Retry {
        /// The endpoint that failed.
        failed: NodeId,
    },
}

/// A request for a place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkRequest {
    /// The catalogue entry that the caller named.
    pub catalogue_entry: EntryId,
    /// Its class.
    pub class: Class,
    /// The latest useful end.
    pub deadline: Option<ClockMs>,
    /// The request's identity; it names the work in every later call.
    pub id: GenerationId,
    /// Why it comes.
    pub kind: WorkKind,
    /// Tokens to generate at most; zero for calls of plain services.
    pub max_tokens: u32,
    /// The prompt's prefixes, shortest first; empty when unknown.
    pub prefix: Vec<PrefixBlock>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// What it needs.
    pub target: BackEndTarget,
    /// Endpoints not to use.
    pub tried: Vec<NodeId>,
    /// Owner of the catalogue entry.
    pub workspace: WorkspaceId,
}

impl WorkRequest {
    /// What the request costs in turns and time, in generated tokens; eight tokens of a prompt
    /// cost as much as one that is generated.
    #[must_use]
    pub fn cost(&self) -> u64 {
        let prompt = u64::from(self.prompt_tokens) / 8;
        (prompt + u64::from(self.max_tokens)).max(1)
    }
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Tokens of the prompt that the endpoint is expected to have cached.
    pub cached_tokens: u32,
    /// The endpoint's agent.
    pub node: NodeId,
}

/// The router's answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// Start it there now.
    Start(Placement),
    /// It waits; [`crate::Router::next_queued`] tells its end of waiting.
    Queued,
    /// It is refused and not run.
    Refused(Refusal),
}

/// The end of a request's wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// Start it there now.
    Start(GenerationId, Placement),
    /// It is refused and not run.
    Refused(GenerationId, Refusal),
}

/// How work ended at its endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkOutcome {
    /// It was cancelled, or moved away by a planned stop.
    Cancelled,
    /// It was answered.
    Completed,
    /// The endpoint failed it.
    Failed,
}

/// The end of started work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkEnd {
    /// How it ended.
    pub outcome: WorkOutcome,
    /// Tokens generated since it was started.
    pub tokens: u32,
}
