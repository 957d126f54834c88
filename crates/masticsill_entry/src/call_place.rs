//! Places of plain calls at agents.

use std::rc::Rc;

use indexmap::IndexSet;
use masticsill_catalogue::AgentIncarnation;
use masticsill_routing::{BackEndTarget, WorkKind, WorkOutcome, WorkRequest};
use masticsill_types::{GenerationId, ModelId, NodeId, Refusal, RefusalKind};
use rand::Rng;

use crate::calls::PlainCall;
use crate::sessions_duty::Sessions;

const RETRY_AFTER_MS: u64 = 1_000;

/// A call's place at an agent; the router counts it there until [`Place::end`].
#[derive(Debug)]
pub(crate) struct Place {
    /// The agent.
    pub(crate) life: AgentIncarnation,
    /// The router's name of this work: two calls under one key may be open at once.
    work: GenerationId,
}

impl Place {
    /// Waits for a place outside `tried`.
    ///
    /// # Errors
    ///
    /// A refusal, *not run*, when there is none.
    pub(crate) async fn find(
        sessions: &Rc<Sessions>,
        call: &PlainCall,
        kind: WorkKind,
        tried: &IndexSet<NodeId>,
    ) -> Result<Self, Refusal> {
        let work = GenerationId(rand::rng().random());
        let request = WorkRequest {
            catalogue_entry: call.catalogue_entry.clone(),
            class: call.class,
            deadline: None,
            id: work,
            kind,
            max_tokens: 0,
            prefix: Vec::new(),
            prompt_tokens: 0,
            target: BackEndTarget::PlainService(call.service.clone()),
            tried: tried.iter().cloned().collect(),
            workspace: call.workspace.clone(),
        };
        let agent = sessions.place_call(request).await?;
        let Some(incarnation) = sessions.agent_life(&agent) else {
            sessions.end_call(work, WorkOutcome::Cancelled);
            return Err(no_endpoint(&call.service));
        };
        let life = AgentIncarnation { agent, incarnation };
        Ok(Self { life, work })
    }

    /// Finds the place after one whose agent did not run the call.
    ///
    /// # Errors
    ///
    /// A refusal, *not run*, when there is none or too many attempts failed lately.
    pub(crate) async fn find_next(
        sessions: &Rc<Sessions>,
        call: &PlainCall,
        failed: &NodeId,
        tried: &IndexSet<NodeId>,
    ) -> Result<Self, Refusal> {
        let failed = failed.clone();
        Self::find(sessions, call, WorkKind::Retry { failed }, tried).await
    }

    /// Gives the place back.
    pub(crate) fn end(self, sessions: &Rc<Sessions>, outcome: WorkOutcome) {
        sessions.end_call(self.work, outcome);
    }
}

/// The refusal of a call that no agent takes.
pub(crate) fn no_endpoint(service: &ModelId) -> Refusal {
    let detail = format!("no endpoint of service `{service}` takes the call");
    Refusal::not_run(RefusalKind::NoEndpoint, detail).retry_after(RETRY_AFTER_MS)
}
