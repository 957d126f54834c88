//! Handlers for the audit trail, the control replicas and the health of this replica.

use masticsill_catalogue::OperatorScope;
use masticsill_types::NodeId;
use masticsill_wire::admin::{AuditJson, ErrorJson, JoinJson, ReplicasJson};
use masticsill_wire::control::{
    ReadAnswer, ReadRequest, ReplicaAction, ReplicaAnswer, ReplicaChange,
};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::Deserialize;

use super::auth::authenticate;
use super::{HttpState, reply};
use crate::config::OperatorConfig;
use crate::rpc::Forward;

const DEFAULT_AUDIT_LIMIT: u32 = 100;
const MAX_AUDIT_LIMIT: u32 = 1_000;

/// Query of `GET /v1/audit`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditQuery {
    after: Option<u64>,
    limit: Option<u32>,
}

pub(crate) async fn audit(state: State<HttpState>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authenticate(&state, &request) {
        return refusal;
    }
    let query = match Query::<AuditQuery>::from_query(request.query_string()) {
        Ok(query) => query.into_inner(),
        Err(error) => {
            return reply::bad_request(format!("{error}; use `after=SEQUENCE` and `limit=N`"));
        }
    };
    let read = ReadRequest::Audit {
        after: query.after.unwrap_or(0),
        limit: query
            .limit
            .unwrap_or(DEFAULT_AUDIT_LIMIT)
            .min(MAX_AUDIT_LIMIT),
    };
    match read_state(&state, read).await {
        Ok(ReadAnswer::Audit(page)) => reply::ok(&AuditJson::from(&page)),
        Ok(_) => unexpected(),
        Err(refusal) => refusal,
    }
}

pub(crate) async fn replicas(state: State<HttpState>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authenticate(&state, &request) {
        return refusal;
    }
    match read_state(&state, ReadRequest::Replicas).await {
        Ok(ReadAnswer::Replicas(view)) => reply::ok(&ReplicasJson::from(&view)),
        Ok(_) => unexpected(),
        Err(refusal) => refusal,
    }
}

pub(super) async fn read_state(
    state: &HttpState,
    request: ReadRequest,
) -> Result<ReadAnswer, HttpResponse> {
    let answer = state.forward(|reply_to| Forward::Read(request, reply_to));
    answer.await.map_err(reply::unavailable)
}

pub(super) fn unexpected() -> HttpResponse {
    let message = "the leader answered something else; run the same version on every instance";
    let error = ErrorJson::new("wrong_answer", message);
    reply::error(StatusCode::BAD_GATEWAY, &error)
}

pub(crate) async fn join(
    state: State<HttpState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let operator = match authenticate_for_replicas(&state, &request) {
        Ok(operator) => operator,
        Err(refusal) => return refusal,
    };
    let json: JoinJson = match reply::parse(&body) {
        Ok(json) => json,
        Err(refusal) => return refusal,
    };
    let action = match join_action(&json) {
        Ok(action) => action,
        Err(message) => return reply::bad_request(message),
    };
    change_replicas(&state, operator, action).await
}

fn join_action(json: &JoinJson) -> Result<ReplicaAction, String> {
    let node = |text: &str| text.parse::<NodeId>().map_err(|error| error.to_string());
    let address = match &json.address {
        Some(text) => {
            let remedy = |_| format!("`address` is `{text}`: use an IP address and a port");
            Some(text.parse().map_err(remedy)?)
        }
        None => None,
    };
    Ok(ReplicaAction::Join {
        address,
        node: node(&json.node)?,
        replaces: json.replaces.as_deref().map(node).transpose()?,
    })
}

pub(crate) async fn remove(
    state: State<HttpState>,
    request: HttpRequest,
    node: Path<String>,
) -> HttpResponse {
    let operator = match authenticate_for_replicas(&state, &request) {
        Ok(operator) => operator,
        Err(refusal) => return refusal,
    };
    let node = match node.parse() {
        Ok(node) => node,
        Err(error) => return reply::bad_request(format!("{error}")),
    };
    change_replicas(&state, operator, ReplicaAction::Remove { node }).await
}

fn authenticate_for_replicas<'a>(
    state: &'a HttpState,
    request: &HttpRequest,
) -> Result<&'a OperatorConfig, HttpResponse> {
    let operator = authenticate(state, request)?;
    if operator.scope == OperatorScope::All {
        return Ok(operator);
    }
    let message = "only an operator bound to all workspaces may change the replicas; \
                   ask one, or change the operator's binding in the settings";
    let error = ErrorJson::new("forbidden", message);
    Err(reply::error(StatusCode::FORBIDDEN, &error))
}

async fn change_replicas(
    state: &HttpState,
    operator: &OperatorConfig,
    action: ReplicaAction,
) -> HttpResponse {
    let operator = operator.operator.clone();
    let change = ReplicaChange { action, operator };
    let answer = state
        .forward(|reply_to| Forward::Replicas(change, reply_to))
        .await;
    match answer {
        Ok(ReplicaAnswer::Accepted) => {
            let text = "the change is durable and goes on by itself; watch GET /v1/replicas";
            let body = serde_json::json!({ "message": text });
            reply::finish(HttpResponse::build(StatusCode::ACCEPTED), &body)
        }
        Ok(ReplicaAnswer::Refused(text)) => {
            let error = ErrorJson::new("replica_refused", text);
            reply::error(StatusCode::CONFLICT, &error)
        }
        Err(cause) => reply::unavailable(cause),
    }
}

/// Liveness: fails when the process must be restarted.
pub(crate) async fn health(state: State<HttpState>) -> HttpResponse {
    if state.quorum.status().has_failed {
        let message = "storage or state failed; read the log and restart the process";
        let error = ErrorJson::new("failed", message);
        return reply::error(StatusCode::INTERNAL_SERVER_ERROR, &error);
    }
    reply::ok(&serde_json::json!({ "status": "ok" }))
}

/// Readiness: whether operators' calls should be sent to this replica.
pub(crate) async fn readiness(state: State<HttpState>) -> HttpResponse {
    let status = state.quorum.status();
    let cause = if state.stopping.is_requested() {
        "this instance is shutting down; use another"
    } else if status.has_failed {
        "storage or state failed; read the log and restart the process"
    } else if !status.is_founded {
        "the data folder belongs to no cluster; found the cluster or replace a replica by this one"
    } else if status.leader.is_none() {
        "no leader is known; check that a majority of the control instances is up"
    } else {
        let leader = status.leader.map(|leader| leader.to_string());
        let body = serde_json::json!({
            "is_leading": status.is_leading,
            "leader": leader,
            "term": status.term.0,
            "version": status.version.0,
        });
        return reply::ok(&body);
    };
    let error = ErrorJson::new("not_ready", cause);
    reply::error(StatusCode::SERVICE_UNAVAILABLE, &error)
}
