//! Calls of plain services.
//!
//! A call that may not be repeated is claimed at the control quorum before it is dispatched, and is
//! dispatched once per version of its claim. It moves to another agent only after the former agent
//! has confirmed that it did not run the call and never will.

use std::rc::Rc;

use indexmap::IndexSet;
use masticsill_catalogue::{
    AgentIncarnation, CallEnd, Claim, ClaimAnswer, ClaimRecord, Reassign, Settle, StoredAnswer,
    StoredBody,
};
use masticsill_routing::{WorkKind, WorkOutcome};
use masticsill_runtime::call_context;
use masticsill_types::{Class, EntryId, GenerationId, ModelId, Refusal, RefusalKind, WorkspaceId};
use masticsill_wire::agent::{BuryRequest, CallAnswer, CallReply, CallRequest};
use rand::Rng;
use tokio::task::spawn_local;

use crate::call_placement::{CallPlacement, no_endpoint};
use crate::claim_client::{ClaimCommand, send_command};
use crate::search::connect_agent;
use crate::sessions_duty::Sessions;

/// Timeout of one call to the service.
const CALL_TIMEOUT_MS: u64 = 30_000;
/// Timeout for an agent to answer what the outcome of a call is.
const RESOLVE_TIMEOUT_MS: u64 = 2_000;
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of agents tried for one call.
const MAX_AGENTS: usize = 4;

/// A call as the caller made it.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    /// Body of the call.
    pub(crate) body: Vec<u8>,
    /// The catalogue entry that the caller named.
    pub(crate) catalogue_entry: EntryId,
    /// Class of the catalogue entry.
    pub(crate) class: Class,
    /// `Content-Type` of the body.
    pub(crate) content_type: String,
    /// Id of the call.
    pub(crate) id: GenerationId,
    /// Whether the call may be repeated.
    pub(crate) is_repeatable: bool,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query of the request to the service.
    pub(crate) path: String,
    /// Name of the service.
    pub(crate) service: ModelId,
    /// The owner of the catalogue entry.
    pub(crate) workspace: WorkspaceId,
}

fn outcome_of(reply: &CallReply) -> WorkOutcome {
    match reply {
        CallReply::Answered(_) => WorkOutcome::Completed,
        CallReply::NotRun(_) | CallReply::OutcomeUnknown => WorkOutcome::Failed,
    }
}

/// Runs a call and returns its answer.
///
/// # Errors
///
/// Returns a refusal whose outcome states whether the call was run.
pub(crate) async fn run_call(
    sessions: &Rc<Sessions>,
    call: PlainCall,
) -> Result<CallAnswer, Refusal> {
    if call.is_repeatable {
        return run_repeatable(sessions, &call).await;
    }
    run_once(sessions, &call).await
}

async fn run_repeatable(sessions: &Rc<Sessions>, call: &PlainCall) -> Result<CallAnswer, Refusal> {
    let mut tried = IndexSet::new();
    let mut placement = CallPlacement::acquire(sessions, call, WorkKind::New, &tried).await?;
    let mut last_unknown = None;
    loop {
        let agent = placement.agent_incarnation.agent.clone();
        tried.insert(agent.clone());
        let reply = dispatch(sessions, call, &placement.agent_incarnation).await;
        placement.release(sessions, outcome_of(&reply));
        let refusal = match reply {
            CallReply::Answered(answer) => return Ok(answer),
            CallReply::NotRun(refusal) => refusal,
            CallReply::OutcomeUnknown => {
                let detail = "every endpoint tried broke off";
                let refusal = Refusal::failed(RefusalKind::BackEndFailed, detail);
                last_unknown.insert(refusal).clone()
            }
        };
        if tried.len() == MAX_AGENTS {
            return Err(last_unknown.unwrap_or(refusal));
        }
        placement = match CallPlacement::acquire_next(sessions, call, &agent, &tried).await {
            Ok(next) => next,
            Err(_) => return Err(last_unknown.unwrap_or(refusal)),
        };
    }
}

async fn run_once(sessions: &Rc<Sessions>, call: &PlainCall) -> Result<CallAnswer, Refusal> {
    let placement = CallPlacement::acquire(sessions, call, WorkKind::New, &IndexSet::new()).await?;
    match claim(sessions, call, &placement.agent_incarnation).await {
        Ok(Claimed::Granted(version)) => run_claimed(sessions, call, placement, version).await,
        Ok(Claimed::Existing(record)) => {
            placement.release(sessions, WorkOutcome::Cancelled);
            match take_over(sessions, call, &record).await? {
                TakenOver::Answered(answer) => Ok(answer),
                TakenOver::Reassigned(placement, version) => {
                    run_claimed(sessions, call, placement, version).await
                }
            }
        }
        Err(refusal) => {
            placement.release(sessions, WorkOutcome::Cancelled);
            Err(refusal)
        }
    }
}

/// Runs a call whose claim is granted for this placement.
async fn run_claimed(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    mut placement: CallPlacement,
    mut version: u64,
) -> Result<CallAnswer, Refusal> {
    let mut tried = IndexSet::new();
    loop {
        let agent = placement.agent_incarnation.agent.clone();
        let reply = dispatch_once(sessions, call, &placement.agent_incarnation).await;
        placement.release(sessions, outcome_of(&reply));
        let refusal = match reply {
            CallReply::Answered(answer) => {
                record_end(sessions, call.id, version, to_call_end(&answer));
                return Ok(answer);
            }
            CallReply::OutcomeUnknown => {
                record_end(sessions, call.id, version, CallEnd::OutcomeUnknown);
                return Err(outcome_unknown_refusal());
            }
            CallReply::NotRun(refusal) => refusal,
        };
        tried.insert(agent.clone());
        let next = if tried.len() < MAX_AGENTS {
            CallPlacement::acquire_next(sessions, call, &agent, &tried)
                .await
                .ok()
        } else {
            None
        };
        let Some(next) = next else {
            record_end(sessions, call.id, version, CallEnd::NotRun);
            return Err(refusal);
        };
        (placement, version) = reassign(sessions, call, next, version).await?;
    }
}

/// The result of a claim: either another claim exists, or this one is granted with a version.
enum Claimed {
    Existing(ClaimRecord),
    Granted(u64),
}

async fn claim(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    agent_incarnation: &AgentIncarnation,
) -> Result<Claimed, Refusal> {
    let command = ClaimCommand::Claim(Claim {
        agent: agent_incarnation.clone(),
        caller_wall_ms: None,
        fingerprint: fingerprint(call),
        id: call.id,
        nonce: rand::rng().random(),
        owner: sessions.config.node.clone(),
    });
    let Some(answer) = send_command(&sessions.mesh, &command).await else {
        return Err(claim_failed());
    };
    match answer {
        ClaimAnswer::Granted { version } => Ok(Claimed::Granted(version)),
        ClaimAnswer::Existing(record) => Ok(Claimed::Existing(record)),
        ClaimAnswer::FingerprintDiffers => Err(Refusal::not_run(
            RefusalKind::KeyReused,
            "the Idempotency-Key was used for another call",
        )),
        ClaimAnswer::Expired => Err(Refusal::not_run(
            RefusalKind::KeyExpired,
            "the Idempotency-Key is older than the key window; this request was not run",
        )),
        ClaimAnswer::Full => Err(Refusal::not_run(
            RefusalKind::Overloaded,
            "no room for another claim",
        )
        .retry_after(RETRY_AFTER_MS)),
        ClaimAnswer::Settled | ClaimAnswer::Unknown => Err(claim_failed()),
    }
}

/// The result of taking over a call that was claimed before.
enum TakenOver {
    Answered(CallAnswer),
    Reassigned(CallPlacement, u64),
}

/// Resolves the outcome of a call that was already claimed by this or another entry. If the call
/// was not run, moves its claim to a new placement.
async fn take_over(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    record: &ClaimRecord,
) -> Result<TakenOver, Refusal> {
    match &record.end {
        Some(CallEnd::Answered(answer)) => return replay_answer(answer).map(TakenOver::Answered),
        Some(CallEnd::OutcomeUnknown) => return Err(outcome_unknown_refusal()),
        Some(CallEnd::NotRun) => {}
        None => match resolve_outcome(sessions, call.id, &record.agent).await {
            CallReply::Answered(answer) => {
                record_end(sessions, call.id, record.version, to_call_end(&answer));
                return Ok(TakenOver::Answered(answer));
            }
            CallReply::OutcomeUnknown => return Err(outcome_unknown_refusal()),
            CallReply::NotRun(_) => {}
        },
    }
    let former_agent = &record.agent.agent;
    let tried = IndexSet::from([former_agent.clone()]);
    let next = CallPlacement::acquire_next(sessions, call, former_agent, &tried).await?;
    let (placement, version) = reassign(sessions, call, next, record.version).await?;
    Ok(TakenOver::Reassigned(placement, version))
}

/// Moves a claim to another placement. If the control quorum does not grant this, the placement is
/// released.
async fn reassign(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    next: CallPlacement,
    expected_version: u64,
) -> Result<(CallPlacement, u64), Refusal> {
    let command = ClaimCommand::Reassign(Reassign {
        agent: next.agent_incarnation.clone(),
        expected_version,
        id: call.id,
        nonce: rand::rng().random(),
        owner: sessions.config.node.clone(),
    });
    let refusal = match send_command(&sessions.mesh, &command).await {
        Some(ClaimAnswer::Granted { version }) => return Ok((next, version)),
        Some(ClaimAnswer::Existing(_)) => claimed_elsewhere(),
        Some(_) | None => claim_failed(),
    };
    next.release(sessions, WorkOutcome::Cancelled);
    Err(refusal)
}

/// Records the end of a call in the background, so that the caller does not wait for it.
///
/// If no leader accepts the record, or this entry stops before, a repetition of the call asks the
/// agent for the outcome instead.
fn record_end(sessions: &Rc<Sessions>, id: GenerationId, version: u64, end: CallEnd) {
    let command = ClaimCommand::Settle(Settle { end, id, version });
    let mesh = sessions.mesh.clone();
    spawn_local(async move {
        let _ = send_command(&mesh, &command).await;
    });
}

/// Sends the call at most once for one version of its claim. If the outcome is unknown, asks the
/// agent for it.
async fn dispatch_once(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    agent_incarnation: &AgentIncarnation,
) -> CallReply {
    match dispatch(sessions, call, agent_incarnation).await {
        CallReply::OutcomeUnknown => resolve_outcome(sessions, call.id, agent_incarnation).await,
        known => known,
    }
}

async fn dispatch(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    agent_incarnation: &AgentIncarnation,
) -> CallReply {
    let Some(address) = sessions.agent_address(&agent_incarnation.agent) else {
        return CallReply::NotRun(no_endpoint(&call.service));
    };
    let Some(client) = connect_agent(address).await else {
        return CallReply::NotRun(no_endpoint(&call.service));
    };
    let request = CallRequest {
        body: call.body.clone(),
        content_type: call.content_type.clone(),
        deadline_ms: CALL_TIMEOUT_MS,
        id: call.id,
        incarnation: agent_incarnation.incarnation,
        is_repeatable: call.is_repeatable,
        method: call.method.clone(),
        path: call.path.clone(),
    };
    let reply = client.call(call_context(CALL_TIMEOUT_MS), request).await;
    reply.unwrap_or(CallReply::OutcomeUnknown)
}

/// Asks an agent for the outcome of a call. An agent that did not run the call refuses to run it
/// from then on.
async fn resolve_outcome(
    sessions: &Rc<Sessions>,
    id: GenerationId,
    agent_incarnation: &AgentIncarnation,
) -> CallReply {
    let Some(address) = sessions.agent_address(&agent_incarnation.agent) else {
        return CallReply::OutcomeUnknown;
    };
    let Some(client) = connect_agent(address).await else {
        return CallReply::OutcomeUnknown;
    };
    let request = BuryRequest {
        id,
        incarnation: agent_incarnation.incarnation,
    };
    let reply = client.bury(call_context(RESOLVE_TIMEOUT_MS), request).await;
    reply.unwrap_or(CallReply::OutcomeUnknown)
}

fn replay_answer(answer: &StoredAnswer) -> Result<CallAnswer, Refusal> {
    match &answer.body {
        StoredBody::Kept(body) => Ok(CallAnswer {
            body: body.clone(),
            content_type: answer.content_type.clone(),
            status: answer.status,
        }),
        StoredBody::Digest { size_bytes, .. } => Err(Refusal::failed(
            RefusalKind::BackEndFailed,
            format!("the call ran and was answered; its {size_bytes} bytes are no longer kept"),
        )),
    }
}

fn to_call_end(answer: &CallAnswer) -> CallEnd {
    CallEnd::Answered(StoredAnswer {
        body: StoredBody::Kept(answer.body.clone()),
        content_type: answer.content_type.clone(),
        status: answer.status,
    })
}

fn fingerprint(call: &PlainCall) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in [&call.method, &call.path, &call.content_type] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&call.body);
    let mut digest = [0; 16];
    hasher.finalize_xof().fill(&mut digest);
    u128::from_be_bytes(digest)
}

fn claim_failed() -> Refusal {
    let detail = "the control quorum did not grant the call; it was not sent";
    Refusal::not_run(RefusalKind::Overloaded, detail).retry_after(RETRY_AFTER_MS)
}

fn claimed_elsewhere() -> Refusal {
    let detail = "the same call is being run through another entry; ask again for its answer";
    Refusal::outcome_unknown(detail).retry_after(RETRY_AFTER_MS)
}

fn outcome_unknown_refusal() -> Refusal {
    Refusal::outcome_unknown("the service was sent the call and its answer is not known")
}
