//! Calls of plain services.
//!
//! A call that may not be repeated is claimed at the control quorum before it is dispatched, and
//! it is dispatched once for each version of its claim. It moves to another agent only after the
//! former one has promised that it was not run and never will be.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use masticsill_catalogue::{
    AgentLife, CallEnd, Claim, ClaimAnswer, ClaimRecord, Reassign, Settle, StoredAnswer, StoredBody,
};
use masticsill_types::{GenerationId, ModelId, Refusal, RefusalKind};
use masticsill_wire::agent::{BuryRequest, CallAnswer, CallReply, CallRequest};
use rand::Rng;
use tarpc::context;

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
    let mut last = None;
    while tried.len() < MAX_AGENTS {
        let Some(life) = sessions.choose_service(&call.service, &tried) else {
            break;
        };
        tried.insert(life.agent.clone());
        match dispatch(sessions, call, &life).await {
            CallReply::Answered(answer) => return Ok(answer),
            CallReply::NotRun(refusal) => last = Some(refusal),
            CallReply::OutcomeUnknown => {
                let detail = "every endpoint tried broke off";
                last = Some(Refusal::failed(RefusalKind::BackEndFailed, detail));
            }
        }
    }
    Err(last.unwrap_or_else(|| no_endpoint(&call.service)))
}

async fn run_once(sessions: &Rc<Sessions>, call: &PlainCall) -> Result<CallAnswer, Refusal> {
    let mut tried = IndexSet::new();
    let Some(mut life) = sessions.choose_service(&call.service, &tried) else {
        return Err(no_endpoint(&call.service));
    };
    let mut version = match claim(sessions, call, &life).await? {
        Claimed::Granted(version) => version,
        Claimed::Before(record) => {
            let moved = take_over(sessions, call, &record).await?;
            let (new_life, version) = match moved {
                TakenOver::Answered(answer) => return Ok(answer),
                TakenOver::Reassigned(life, version) => (life, version),
            };
            life = new_life;
            version
        }
    };
    loop {
        let refusal = match dispatch_once(sessions, call, &life).await {
            CallReply::Answered(answer) => {
                settle(sessions, call.id, version, answered(&answer)).await;
                return Ok(answer);
            }
            CallReply::OutcomeUnknown => {
                settle(sessions, call.id, version, CallEnd::OutcomeUnknown).await;
                return Err(unknown());
            }
            CallReply::NotRun(refusal) => refusal,
        };
        tried.insert(life.agent.clone());
        let next = sessions.choose_service(&call.service, &tried);
        let Some(next) = next.filter(|_| tried.len() < MAX_AGENTS) else {
            settle(sessions, call.id, version, CallEnd::NotRun).await;
            return Err(refusal);
        };
        version = reassign(sessions, call, &next, version).await?;
        life = next;
    }
}

enum Claimed {
    Before(ClaimRecord),
    Granted(u64),
}

async fn claim(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    life: &AgentLife,
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
    Reassigned(AgentLife, u64),
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
                settle(sessions, call.id, record.version, answered(&answer)).await;
                return Ok(TakenOver::Answered(answer));
            }
            CallReply::OutcomeUnknown => return Err(unknown()),
            CallReply::NotRun(_) => {}
        },
    }
    let tried = IndexSet::from([record.agent.agent.clone()]);
    let Some(next) = sessions.choose_service(&call.service, &tried) else {
        return Err(no_endpoint(&call.service));
    };
    let version = reassign(sessions, call, &next, record.version).await?;
    Ok(TakenOver::Reassigned(next, version))
}

async fn reassign(
    sessions: &Rc<Sessions>,
    call: &PlainCall,
    next: &AgentLife,
    expected_version: u64,
) -> Result<u64, Refusal> {
    let command = ClaimCommand::Reassign(Reassign {
        agent: next.clone(),
        expected_version,
        id: call.id,
        nonce: rand::rng().random(),
        owner: sessions.config.node.clone(),
    });
    match send_command(&sessions.mesh, &command).await {
        Some(ClaimAnswer::Granted { version }) => Ok(version),
        Some(ClaimAnswer::Existing(_)) => Err(raced()),
        Some(_) | None => Err(no_leader()),
    }
}

/// Records a call's end; if no leader takes it, a repeat asks the agent instead.
async fn settle(sessions: &Rc<Sessions>, id: GenerationId, version: u64, end: CallEnd) {
    let command = ClaimCommand::Settle(Settle { end, id, version });
    let _ = send_command(&sessions.mesh, &command).await;
}

/// Sends the call under one version of its claim, never twice.
async fn dispatch_once(sessions: &Rc<Sessions>, call: &PlainCall, life: &AgentLife) -> CallReply {
    match dispatch(sessions, call, life).await {
        CallReply::OutcomeUnknown => bury(sessions, call.id, life).await,
        known => known,
    }
}

async fn dispatch(sessions: &Rc<Sessions>, call: &PlainCall, life: &AgentLife) -> CallReply {
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
    sessions.begin_work(&life.agent);
    let reply = client.call(deadline(CALL_DEADLINE_MS), request).await;
    sessions.end_work(&life.agent);
    reply.unwrap_or(CallReply::OutcomeUnknown)
}

async fn bury(sessions: &Rc<Sessions>, id: GenerationId, life: &AgentLife) -> CallReply {
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
    let reply = client.bury(deadline(BURY_DEADLINE_MS), request).await;
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

fn deadline(duration_ms: u64) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(duration_ms);
    context
}

fn no_endpoint(service: &ModelId) -> Refusal {
    let detail = format!("no endpoint of service `{service}` takes the call");
    Refusal::not_run(RefusalKind::NoEndpoint, detail).retry_after(RETRY_AFTER_MS)
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
