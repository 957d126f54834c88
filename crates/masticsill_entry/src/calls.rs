//! Calls of plain services.
//!
//! A call that may not be repeated is claimed at the control quorum before it is dispatched, and
//! it is dispatched once for each version of its claim. It moves to another agent only after the
//! former one has promised that it was not run and never will be.

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

use crate::call_place::{Place, no_endpoint};
use crate::control_client::{ClaimCommand, send_command};
use crate::search::connect_agent;
use crate::sessions_duty::Sessions;

/// Time for one call at the service, in milliseconds.
const CALL_DEADLINE_MS: u64 = 30_000;
/// Time for an agent to tell what became of a call, in milliseconds.
const BURY_DEADLINE_MS: u64 = 2_000;
const RETRY_AFTER_MS: u64 = 1_000;
/// Agents tried for one call at most.
const MAX_AGENTS: usize = 4;

/// A call as the caller made it.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    /// The call's body.
    pub(crate) body: Vec<u8>,
    /// The catalogue entry that the caller named.
    pub(crate) catalogue_entry: EntryId,
    /// Its class.
    pub(crate) class: Class,
    /// `Content-Type` of the body.
    pub(crate) content_type: String,
    /// The call's identity.
    pub(crate) id: GenerationId,
    /// Whether it may be repeated.
    pub(crate) is_repeatable: bool,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query at the service.
    pub(crate) path: String,
    /// The service's name.
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

/// Runs a call to its end.
///
/// # Errors
///
/// A refusal that says whether the call was run.
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
    let mut place = Place::find(sessions, call, WorkKind::New, &tried).await?;
    let mut broken = None;
    loop {
        let agent = place.life.agent.clone();
        tried.insert(agent.clone());
        let reply = dispatch(sessions, call, &place.life).await;
        place.end(sessions, outcome_of(&reply));
        let refusal = match reply {
            CallReply::Answered(answer) => return Ok(answer),
            CallReply::NotRun(refusal) => refusal,
            CallReply::OutcomeUnknown => {
                let detail = "every endpoint tried broke off";
                let refusal = Refusal::failed(RefusalKind::BackEndFailed, detail);
                broken.insert(refusal).clone()
            }
        };
        if tried.len() == MAX_AGENTS {
            return Err(broken.unwrap_or(refusal));
        }
        place = match Place::find_next(sessions, call, &agent, &tried).await {
            Ok(next) => next,
            Err(_) => return Err(broken.unwrap_or(refusal)),
        };
    }
}

async fn run_once(sessions: &Rc<Sessions>, call: &PlainCall) -> Result<CallAnswer, Refusal> {
    let place = Place::find(sessions, call, WorkKind::New, &IndexSet::new()).await?;
    match claim(sessions, call, &place.life).await {
        Ok(Claimed::Granted(version)) => run_claimed(sessions, call, place, version).await,
        Ok(Claimed::Before(record)) => {
            place.end(sessions, WorkOutcome::Cancelled);
            match take_over(sessions, call, &record).await? {
                TakenOver::Answered(answer) => Ok(answer),
                TakenOver::Reassigned(place, version) => {
                    run_claimed(sessions, call, place, version).await
                }
            }
        }
        Err(refusal) => {
            place.end(sessions, WorkOutcome::Cancelled);
            Err(refusal)
        }
    }
}

/// Runs a call that is claimed for its place.
async fn run_claimed(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    mut place: Place,
    mut version: u64,
) -> Result<CallAnswer, Refusal> {
    let mut tried = IndexSet::new();
    loop {
        let agent = place.life.agent.clone();
        let reply = dispatch_once(sessions, call, &place.life).await;
        place.end(sessions, outcome_of(&reply));
        let refusal = match reply {
            CallReply::Answered(answer) => {
                settle(sessions, call.id, version, answered(&answer));
                return Ok(answer);
            }
            CallReply::OutcomeUnknown => {
                settle(sessions, call.id, version, CallEnd::OutcomeUnknown);
                return Err(unknown());
            }
            CallReply::NotRun(refusal) => refusal,
        };
        tried.insert(agent.clone());
        let next = if tried.len() < MAX_AGENTS {
            Place::find_next(sessions, call, &agent, &tried).await.ok()
        } else {
            None
        };
        let Some(next) = next else {
            settle(sessions, call.id, version, CallEnd::NotRun);
            return Err(refusal);
        };
        (place, version) = reassign(sessions, call, next, version).await?;
    }
}

enum Claimed {
    Before(ClaimRecord),
    Granted(u64),
}

async fn claim(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    life: &AgentIncarnation,
) -> Result<Claimed, Refusal> {
    let command = ClaimCommand::Claim(Claim {
        agent: life.clone(),
        caller_wall_ms: None,
        fingerprint: fingerprint(call),
        id: call.id,
        nonce: rand::rng().random(),
        owner: sessions.config.node.clone(),
    });
    let Some(answer) = send_command(&sessions.mesh, &command).await else {
        return Err(no_leader());
    };
    match answer {
        ClaimAnswer::Granted { version } => Ok(Claimed::Granted(version)),
        ClaimAnswer::Existing(record) => Ok(Claimed::Before(record)),
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
        ClaimAnswer::Settled | ClaimAnswer::Unknown => Err(no_leader()),
    }
}

enum TakenOver {
    Answered(CallAnswer),
    Reassigned(Place, u64),
}

/// Ends or takes over a call that was claimed before, by this entry or another.
async fn take_over(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    record: &ClaimRecord,
) -> Result<TakenOver, Refusal> {
    match &record.end {
        Some(CallEnd::Answered(answer)) => return repeat_answer(answer).map(TakenOver::Answered),
        Some(CallEnd::OutcomeUnknown) => return Err(unknown()),
        Some(CallEnd::NotRun) => {}
        None => match bury(sessions, call.id, &record.agent).await {
            CallReply::Answered(answer) => {
                settle(sessions, call.id, record.version, answered(&answer));
                return Ok(TakenOver::Answered(answer));
            }
            CallReply::OutcomeUnknown => return Err(unknown()),
            CallReply::NotRun(_) => {}
        },
    }
    let former = &record.agent.agent;
    let tried = IndexSet::from([former.clone()]);
    let next = Place::find_next(sessions, call, former, &tried).await?;
    let (place, version) = reassign(sessions, call, next, record.version).await?;
    Ok(TakenOver::Reassigned(place, version))
}

/// Moves a claim to another place; without the grant the place is given back.
async fn reassign(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    next: Place,
    expected_version: u64,
) -> Result<(Place, u64), Refusal> {
    let command = ClaimCommand::Reassign(Reassign {
        agent: next.life.clone(),
        expected_version,
        id: call.id,
        nonce: rand::rng().random(),
        owner: sessions.config.node.clone(),
    });
    let refusal = match send_command(&sessions.mesh, &command).await {
        Some(ClaimAnswer::Granted { version }) => return Ok((next, version)),
        Some(ClaimAnswer::Existing(_)) => raced(),
        Some(_) | None => no_leader(),
    };
    next.end(sessions, WorkOutcome::Cancelled);
    Err(refusal)
}

/// Records a call's end, without letting the caller wait for it.
///
/// If no leader takes it, or this entry dies before, a repeat asks the agent instead.
fn settle(sessions: &Rc<Sessions>, id: GenerationId, version: u64, end: CallEnd) {
    let command = ClaimCommand::Settle(Settle { end, id, version });
    let mesh = sessions.mesh.clone();
    spawn_local(async move {
        let _ = send_command(&mesh, &command).await;
    });
}

/// Sends the call under one version of its claim, never twice.
async fn dispatch_once(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    life: &AgentIncarnation,
) -> CallReply {
    match dispatch(sessions, call, life).await {
        CallReply::OutcomeUnknown => bury(sessions, call.id, life).await,
        known => known,
    }
}

async fn dispatch(sessions: &Rc<Sessions>, call: &PlainCall, life: &AgentIncarnation) -> CallReply {
    let Some(address) = sessions.agent_address(&life.agent) else {
        return CallReply::NotRun(no_endpoint(&call.service));
    };
    let Some(client) = connect_agent(address).await else {
        return CallReply::NotRun(no_endpoint(&call.service));
    };
    let request = CallRequest {
        body: call.body.clone(),
        content_type: call.content_type.clone(),
        deadline_ms: CALL_DEADLINE_MS,
        id: call.id,
        incarnation: life.incarnation,
        is_repeatable: call.is_repeatable,
        method: call.method.clone(),
        path: call.path.clone(),
    };
    let reply = client.call(call_context(CALL_DEADLINE_MS), request).await;
    reply.unwrap_or(CallReply::OutcomeUnknown)
}

async fn bury(sessions: &Rc<Sessions>, id: GenerationId, life: &AgentIncarnation) -> CallReply {
    let Some(address) = sessions.agent_address(&life.agent) else {
        return CallReply::OutcomeUnknown;
    };
    let Some(client) = connect_agent(address).await else {
        return CallReply::OutcomeUnknown;
    };
    let request = BuryRequest {
        id,
        incarnation: life.incarnation,
    };
    let reply = client.bury(call_context(BURY_DEADLINE_MS), request).await;
    reply.unwrap_or(CallReply::OutcomeUnknown)
}

fn repeat_answer(answer: &StoredAnswer) -> Result<CallAnswer, Refusal> {
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

fn answered(answer: &CallAnswer) -> CallEnd {
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

fn no_leader() -> Refusal {
    let detail = "the control quorum did not grant the call; it was not sent";
    Refusal::not_run(RefusalKind::Overloaded, detail).retry_after(RETRY_AFTER_MS)
}

fn raced() -> Refusal {
    let detail = "the same call is being run through another entry; ask again for its answer";
    Refusal::outcome_unknown(detail).retry_after(RETRY_AFTER_MS)
}

fn unknown() -> Refusal {
    Refusal::outcome_unknown("the service was sent the call and its answer is not known")
}
