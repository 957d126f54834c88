//! Placement of plain calls at agents.

use std::rc::Rc;

use indexmap::IndexSet;
use masticsill_catalogue::AgentIncarnation;
use masticsill_routing::{BackEndTarget, WorkKind, WorkOutcome, WorkRequest};
use masticsill_types::{GenerationId, ModelId, NodeId, Refusal, RefusalKind};
use rand::Rng;

use crate::calls::PlainCall;
use crate::sessions_duty::Sessions;

const RETRY_AFTER_MS: u64 = 1_000;

/// The placement of a call at an agent. The router counts the call there until
/// [`CallPlacement::release`].
#[derive(Debug)]
pub(crate) struct CallPlacement {
    /// The agent and its incarnation.
    pub(crate) agent_incarnation: AgentIncarnation,
    /// The id of this work in the router. It differs from the id of the call, because two calls
    /// with one key may be open at the same time.
    work: GenerationId,
}

impl CallPlacement {
    /// Waits for a placement at an agent that is not in `tried`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the outcome *not run* if no agent accepts the call.
    pub(crate) async fn acquire(
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
        let Some(incarnation) = sessions.current_incarnation(&agent) else {
            sessions.end_call(work, WorkOutcome::Cancelled);
            return Err(no_endpoint(&call.service));
        };
        let agent_incarnation = AgentIncarnation { agent, incarnation };
        Ok(Self {
            agent_incarnation,
            work,
        })
    }

    /// Waits for another placement after the agent `failed` did not run the call.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the outcome *not run* if no agent accepts the call or too many recent
    /// attempts failed.
    pub(crate) async fn acquire_next(
        sessions: &Rc<Sessions>,
        call: &PlainCall,
        failed: &NodeId,
        tried: &IndexSet<NodeId>,
    ) -> Result<Self, Refusal> {
        let failed = failed.clone();
        Self::acquire(sessions, call, WorkKind::Retry { failed }, tried).await
    }

    /// Releases the placement and reports the outcome of the work to the router.
    pub(crate) fn release(self, sessions: &Rc<Sessions>, outcome: WorkOutcome) {
        sessions.end_call(self.work, outcome);
    }
}

/// Returns the refusal of a call that no agent accepts.
pub(crate) fn no_endpoint(service: &ModelId) -> Refusal {
    let detail = format!("no endpoint of service `{service}` takes the call");
    Refusal::not_run(RefusalKind::NoEndpoint, detail).retry_after(RETRY_AFTER_MS)
}
