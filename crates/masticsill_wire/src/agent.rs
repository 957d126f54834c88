//! The service that agents offer to entries.
//!
//! Tokens travel by pull: one outstanding call for each (entry, agent) pair names every stream
//! and the next index wanted. A pull is idempotent, so it is repeated after any lost answer.

use masticsill_types::{
    AttemptState, FencingNumber, GenerationId, GenerationSpec, Incarnation, Lineage, LoadReport,
    NodeId, Refusal, Segment, Token, TokenIndex,
};
use serde::{Deserialize, Serialize};

use crate::engine::EngineOrder;

/// Starts one attempt of a generation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartRequest {
    /// Tokens accepted under earlier attempts; the engine continues after them.
    pub accepted: Vec<Token>,
    /// The owner.
    pub entry: NodeId,
    /// The record's history; the last segment is the attempt to start.
    pub history: Vec<Segment>,
    /// What to generate.
    pub spec: GenerationSpec,
}

/// The answer to a start. Repeating a start gives the same answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StartReply {
    /// The attempt runs, or ran before.
    Accepted,
    /// A higher lineage of this generation is known here.
    Fenced(Lineage),
    /// Nothing was sent to the engine.
    Refused(Refusal),
}

/// Where an entry stands in one stream.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullCursor {
    /// The generation.
    pub id: GenerationId,
    /// The lineage that the entry follows.
    pub lineage: Lineage,
    /// The next token index wanted, counted over the whole answer.
    pub next_index: TokenIndex,
}

/// Asks for the tokens of many streams at once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullRequest {
    /// One cursor for each stream that the entry follows at this agent.
    pub cursors: Vec<PullCursor>,
    /// The entry that pulls.
    pub entry: NodeId,
    /// How long the agent may wait for the first token, in milliseconds.
    pub wait_ms: u64,
}

/// News of one stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Index of the first token below.
    pub first_index: TokenIndex,
    /// The generation.
    pub id: GenerationId,
    /// The lineage that produced the tokens.
    pub lineage: Lineage,
    /// Where the attempt stands once the tokens below are taken.
    pub state: ProgressState,
    /// The tokens from `first_index` on.
    pub tokens: Vec<Token>,
}

/// Where a stream stands, seen from the agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgressState {
    /// The attempt's own state.
    Attempt(AttemptState),
    /// Another entry owns the generation under the lineage given.
    Fenced(Lineage),
    /// The agent has no such generation: it was restarted or the generation expired.
    Unknown,
}

/// The answer to a pull, sent at the first news or when the wait is over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullReply {
    /// The agent's life; a change means that it forgot all streams.
    pub incarnation: Incarnation,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
    /// The engine's last load report.
    pub load: LoadReport,
    /// News, one for each stream that has some.
    pub progress: Vec<Progress>,
}

/// Takes a generation over for a new owner and fences the former one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttachRequest {
    /// The new owner.
    pub entry: NodeId,
    /// The generation.
    pub id: GenerationId,
    /// The next token index that the caller wants.
    pub next_index: TokenIndex,
    /// Random number of the new owner, part of its epoch.
    pub nonce: u32,
    /// The lineage under which the caller received its last token.
    pub seen: Lineage,
}

/// A record as handed to a new owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordSnapshot {
    /// The record's history; the last segment is the new owner's.
    pub history: Vec<Segment>,
    /// What is generated.
    pub spec: GenerationSpec,
    /// Where the attempt stands.
    pub state: AttemptState,
    /// Every token of the answer so far, from index zero.
    pub tokens: Vec<Token>,
}

/// The answer to an attach.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AttachReply {
    /// The caller's entry owns the generation from now on.
    Attached(Box<RecordSnapshot>),
    /// The record here does not contain what the caller has seen.
    Behind,
    /// No record here.
    Unknown,
}

/// Ends a generation that its caller no longer wants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The generation.
    pub id: GenerationId,
    /// The canceller's lineage; a lower one than the record's is ignored.
    pub lineage: Lineage,
}

/// One call of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRequest {
    /// Time left for the whole call, in milliseconds.
    pub deadline_ms: u64,
    /// The call's body.
    pub body: Vec<u8>,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// The call's identity.
    pub id: GenerationId,
    /// The agent's life that the call is meant for; another life refuses it.
    pub incarnation: Incarnation,
    /// Whether the call may be repeated.
    pub is_repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
}

/// A whole answer of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallAnswer {
    /// The answer's body.
    pub body: Vec<u8>,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// HTTP status.
    pub status: u16,
}

/// The three ends of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallReply {
    /// The service answered.
    Answered(CallAnswer),
    /// The call was not sent and, at this agent, never will be.
    NotRun(Refusal),
    /// The call was sent and its end is not known.
    OutcomeUnknown,
}

/// Asks what became of a call, and makes sure that it is not sent later.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BuryRequest {
    /// The call's identity.
    pub id: GenerationId,
    /// The agent's life that the call was meant for.
    ///
    /// A later life can't know what an earlier one sent: it answers [`CallReply::OutcomeUnknown`].
    pub incarnation: Incarnation,
}

/// An order of the control leader to the engine beside an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderRequest {
    /// The order's number; only a higher one than the agent has seen is passed on.
    pub fencing: FencingNumber,
    /// What the engine is to do.
    pub order: EngineOrder,
}

/// The end of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OrderReply {
    /// The engine took the order.
    Done,
    /// An order or leader with this higher number is known here; nothing was sent.
    Fenced(FencingNumber),
    /// The order was sent and its end is not known.
    OutcomeUnknown,
    /// Nothing took effect.
    Refused(OrderRefusal),
}

/// Why an order had no effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderRefusal {
    /// Another order is under way at this engine.
    Busy,
    /// The agent has not yet been told the highest number drawn.
    Closed,
    /// The engine itself refused the number as old.
    EngineFenced,
    /// The engine refused the order for another reason, or there is none.
    EngineRefused,
    /// The engine gives no sign of life.
    EngineUnavailable,
    /// Generations run on the target that is to be unloaded.
    InUse,
}

/// What an agent tells a new leader that fences its predecessors.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FenceReply {
    /// The highest number known here now; orders up to it are refused.
    pub highest: FencingNumber,
    /// The order that was passed to the engine and has not ended.
    pub under_way: Option<EngineOrder>,
}

/// Operations of an agent.
#[tarpc::service]
pub trait AgentService {
    /// Starts an attempt.
    async fn start(request: StartRequest) -> StartReply;
    /// Waits for tokens of many streams.
    async fn pull(request: PullRequest) -> PullReply;
    /// Takes a generation over.
    async fn attach(request: AttachRequest) -> AttachReply;
    /// Cancels a generation.
    async fn cancel(request: CancelRequest);
    /// Calls a plain service.
    async fn call(request: CallRequest) -> CallReply;
    /// Sets a tombstone for a call, or tells its end.
    async fn bury(request: BuryRequest) -> CallReply;
    /// Passes an order on to the engine.
    async fn order(request: OrderRequest) -> OrderReply;
    /// Refuses orders up to a number from now on, and tells what is under way.
    async fn fence(fencing: FencingNumber) -> FenceReply;
}
