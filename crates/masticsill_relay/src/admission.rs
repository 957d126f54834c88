//! Admission checks that a request passes before it is sent to an endpoint: route, workspace and
//! deadline.

use std::sync::Arc;

use bytes::Bytes;
use masticsill_catalogue::{Route, RouteIndex, WorkspaceEntry};
use masticsill_dispatch::PriorWaitEstimator;
use masticsill_http1::RequestHead;
use masticsill_quarantine::{Fingerprint, RequestContent};
use masticsill_types::{ClockMs, Priority};

use crate::config::HeaderNames;
use crate::request::RelayRequest;
use crate::request_stage::RequestStage;
use crate::response::Refusal;

/// The route and workspace that a document assigns to a request.
pub(crate) struct Authorized {
    priority: Priority,
    route: Arc<Route>,
    /// The workspace that owns the caller's API key.
    workspace: Option<String>,
}

impl Authorized {
    pub(crate) fn route(&self) -> &Arc<Route> {
        &self.route
    }
}

/// Looks up the route and the workspace of a request in one document.
///
/// # Errors
///
/// The refusal to answer with: malformed request, unknown route or unknown API key.
pub(crate) fn authorize(
    index: &RouteIndex,
    names: &HeaderNames,
    head: &RequestHead,
) -> Result<Authorized, Refusal> {
    let host = head.headers.text("host").ok_or(Refusal::Malformed)?;
    if head.headers.all("host").count() > 1 || !head.target.starts_with('/') {
        return Err(Refusal::Malformed);
    }
    let host = host.split(':').next().unwrap_or(host);
    let path = head.target.split('?').next().unwrap_or(&head.target);
    let route = index.find(host, path).ok_or(Refusal::NoRoute)?;
    let workspace = workspace_of(index, names, route, head)?;
    let priority = workspace.and_then(|it| it.priority);
    Ok(Authorized {
        priority: Priority::new(priority, route.priority),
        route: Arc::clone(route),
        workspace: workspace.map(|it| it.name.clone()),
    })
}

/// Builds the relayed request from an authorized, completely read request.
pub(crate) fn admit(
    authorized: Authorized,
    names: &HeaderNames,
    prior_wait_estimator: &mut PriorWaitEstimator,
    received_at: ClockMs,
    head: RequestHead,
    body: Bytes,
    stage: RequestStage,
) -> RelayRequest {
    let Authorized {
        priority,
        route,
        workspace,
    } = authorized;
    let asked_ms = head.headers.number(&names.deadline_ms);
    let had_waited_ms = asked_ms.map_or(0, |given_ms| {
        prior_wait_estimator.record(received_at, &route.name, given_ms)
    });
    let timeout_ms = asked_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let content = RequestContent {
        body: &body,
        host: head.headers.text("host").unwrap_or_default(),
        method: &head.method,
        target: &head.target,
        workspace: workspace.as_deref(),
    };
    RelayRequest {
        fingerprint: Fingerprint::from(content),
        body,
        caller_leaves_at: received_at + asked_ms.unwrap_or(timeout_ms),
        deadline_at: received_at + timeout_ms,
        had_waited_ms,
        id: names.request_id_of(&head).to_owned(),
        priority,
        received_at,
        service: choose_service(&route, rand::random()),
        route,
        stage,
        workspace,
        head,
    }
}

fn workspace_of<'a>(
    index: &'a RouteIndex,
    names: &HeaderNames,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<&'a WorkspaceEntry>, Refusal> {
    if route.is_anonymous || !index.has_workspaces() {
        return Ok(None);
    }
    let key = head
        .headers
        .text(&names.api_key)
        .ok_or(Refusal::UnknownKey)?;
    let workspace = index.workspace_of_key(key);
    workspace.map(Some).ok_or(Refusal::UnknownKey)
}

/// Picks one of the route's services according to their weights; `random` is any random number.
fn choose_service(route: &Route, random: u64) -> String {
    let total: u64 = route.services.iter().map(|share| share.weight).sum();
    let mut left = random % total.max(1);
    for share in &route.services {
        if left < share.weight {
            return share.service.clone();
        }
        left -= share.weight;
    }
    String::new()
}
