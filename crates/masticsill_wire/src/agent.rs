//! RPC service of agents.
//!
//! Entries pull tokens: each (entry, agent) pair has one call in flight, which lists every stream
//! and the next token index wanted. A pull is idempotent and is retried when its reply is lost.

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
    /// The entry that owns the generation.
    pub entry: NodeId,
    /// The record's segments in order; the last one is the attempt to start.
    pub history: Vec<Segment>,
    /// Specification of the generation.
    pub spec: GenerationSpec,
}

/// The reply to a start. A repeated start gets the same reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StartReply {
    /// The attempt is running, or has already run.
    Accepted,
    /// The agent has seen this higher lineage of the generation.
    Fenced(Lineage),
    /// Nothing was sent to the engine.
    Refused(Refusal),
}

/// An entry's position in one stream.
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

/// New tokens and state of one stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Index of the first token in `tokens`.
    pub first_index: TokenIndex,
    /// The generation.
    pub id: GenerationId,
    /// The lineage that produced the tokens.
    pub lineage: Lineage,
    /// State of the attempt after the tokens in `tokens`.
    pub state: ProgressState,
    /// The tokens from `first_index` on.
    pub tokens: Vec<Token>,
}

/// The state of a stream as the agent knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgressState {
    /// The attempt's own state.
    Attempt(AttemptState),
    /// Another entry owns the generation under the lineage given.
    Fenced(Lineage),
    /// The agent has no such generation: it was restarted or the generation expired.
    Unknown,
}

/// The reply to a pull, sent on the first progress or after `wait_ms`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullReply {
    /// The agent's incarnation; a new one has lost all streams of the one before.
    pub incarnation: Incarnation,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
    /// The engine's last load report.
    pub load: LoadReport,
    /// One item for each stream with progress since its cursor.
    pub progress: Vec<Progress>,
}

/// Transfers a generation to a new owner and fences the previous one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttachRequest {
    /// The new owner.
    pub entry: NodeId,
    /// The generation.
    pub id: GenerationId,
    /// The next token index that the caller wants.
    pub next_index: TokenIndex,
    /// Random nonce of the new owner, part of its epoch.
    pub nonce: u32,
    /// The lineage under which the caller received its last token.
    pub seen: Lineage,
}

/// A generation's record as sent to its new owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordSnapshot {
    /// The record's segments in order; the last one is the new owner's.
    pub history: Vec<Segment>,
    /// Specification of the generation.
    pub spec: GenerationSpec,
    /// State of the attempt.
    pub state: AttemptState,
    /// Every token of the answer so far, from index zero.
    pub tokens: Vec<Token>,
}

/// The reply to an attach.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AttachReply {
    /// The requesting entry owns the generation from now on.
    Attached(Box<RecordSnapshot>),
    /// The agent's record does not contain the tokens that the caller has received.
    Behind,
    /// The agent has no record of the generation.
    Unknown,
}

/// Cancels a generation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The generation.
    pub id: GenerationId,
    /// Lineage of the entry that cancels; ignored if lower than the record's.
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
    /// The agent's incarnation that the call is meant for; any other refuses the call.
    pub incarnation: Incarnation,
    /// Whether the call may be repeated.
    pub is_repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
}

/// A complete response of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallAnswer {
    /// Body of the response.
    pub body: Vec<u8>,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// HTTP status.
    pub status: u16,
}

/// The outcome of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallReply {
    /// The service answered.
    Answered(CallAnswer),
    /// The call was not sent and, at this agent, never will be.
    NotRun(Refusal),
    /// The call was sent and its outcome is unknown.
    OutcomeUnknown,
}

/// Asks for the outcome of a call and prevents the agent from sending it later.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BuryRequest {
    /// The call's identity.
    pub id: GenerationId,
    /// The agent's incarnation that the call was meant for.
    ///
    /// A later incarnation can't know what an earlier one sent, so it replies
    /// [`CallReply::OutcomeUnknown`].
    pub incarnation: Incarnation,
}

/// An order of the control leader to the agent's engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderRequest {
    /// Fencing number; the agent forwards only orders with a higher one than it has seen.
    pub fencing: FencingNumber,
    /// What the engine is to do.
    pub order: EngineOrder,
}

/// The outcome of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OrderReply {
    /// The engine accepted the order.
    Done,
    /// The agent has seen this higher number of an order or leader; nothing was sent.
    Fenced(FencingNumber),
    /// The order was sent and its outcome is unknown.
    OutcomeUnknown,
    /// Nothing took effect.
    Refused(OrderRefusal),
}

/// Why an order had no effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderRefusal {
    /// Another order to this engine is in flight.
    Busy,
    /// The agent has not yet received the highest fencing number issued.
    Closed,
    /// The engine refused the fencing number as stale.
    EngineFenced,
    /// The engine refused the order for another reason, or the agent has no engine.
    EngineRefused,
    /// The engine is frozen or lost, or no connection could be made; nothing was sent.
    EngineUnavailable,
    /// Generations run on the target that is to be unloaded.
    InUse,
}

/// The reply to a new leader that fences its predecessors.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FenceReply {
    /// The highest number that the agent has seen; orders up to it are refused.
    pub highest: FencingNumber,
    /// The order in flight at the engine, if any.
    pub under_way: Option<EngineOrder>,
}

/// RPC methods of an agent.
#[tarpc::service]
pub trait AgentService {
    /// Starts an attempt.
    async fn start(request: StartRequest) -> StartReply;
    /// Waits for progress of any of the listed streams.
    async fn pull(request: PullRequest) -> PullReply;
    /// Transfers a generation to a new owner.
    async fn attach(request: AttachRequest) -> AttachReply;
    /// Cancels a generation.
    async fn cancel(request: CancelRequest);
    /// Calls a plain service.
    async fn call(request: CallRequest) -> CallReply;
    /// Returns the outcome of a call, or sets a tombstone so that it is never sent.
    async fn bury(request: BuryRequest) -> CallReply;
    /// Forwards an order to the engine.
    async fn order(request: OrderRequest) -> OrderReply;
    /// Refuses orders up to `fencing` from now on and returns the order in flight.
    async fn fence(fencing: FencingNumber) -> FenceReply;
}
