//! Handlers for roll-outs.

use masticsill_catalogue::OperatorScope;
use masticsill_rollout::RolloutOrder;
use masticsill_wire::admin::{
    ErrorJson, OrderRolloutJson, OrderedRolloutJson, RolloutJson, RolloutsJson,
};
use masticsill_wire::control::{ReadAnswer, ReadRequest, RolloutAnswer, RolloutRequest};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};

use super::auth::authenticate;
use super::operations::{read_state, unexpected};
use super::{HttpState, reply};
use crate::rpc::Forward;

/// The latest roll-out of each service, as confirmed by the leader.
pub(crate) async fn list(state: State<HttpState>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authenticate(&state, &request) {
        return refusal;
    }
    match read_state(&state, ReadRequest::Rollouts).await {
        Ok(ReadAnswer::Rollouts(rollouts)) => reply::ok(&RolloutsJson {
            rollouts: rollouts.iter().map(RolloutJson::from).collect(),
        }),
        Ok(_) => unexpected(),
        Err(refusal) => refusal,
    }
}

/// Orders a roll-out.
pub(crate) async fn order(
    state: State<HttpState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let operator = match authenticate(&state, &request) {
        Ok(operator) => operator,
        Err(refusal) => return refusal,
    };
    if operator.scope != OperatorScope::All {
        let message = "only an operator bound to all workspaces may order roll-outs; \
                       ask one, or change the operator's binding in the settings";
        return refuse(StatusCode::FORBIDDEN, "forbidden", message);
    }
    let json: OrderRolloutJson = match reply::parse(&body) {
        Ok(json) => json,
        Err(refusal) => return refusal,
    };
    let Some(order) = RolloutOrder::from_seconds(json.service, json.target, json.duration_s) else {
        return reply::bad_request("name a service, a target and a duration above zero");
    };
    let request = RolloutRequest {
        operator: operator.operator.clone(),
        order,
    };
    let answer = state.forward(|reply_to| Forward::OrderRollout(request, reply_to));
    match answer.await {
        Ok(RolloutAnswer::Accepted(number)) => reply::ok(&OrderedRolloutJson { number: number.0 }),
        Ok(RolloutAnswer::InProgress(number)) => {
            let message = format!("roll-out {number} of the service is in progress; wait for it");
            refuse(StatusCode::CONFLICT, "rollout_in_progress", &message)
        }
        Ok(RolloutAnswer::NoDocument) => {
            let message = "no document was accepted yet; send one";
            refuse(StatusCode::CONFLICT, "no_document", message)
        }
        Ok(RolloutAnswer::NotEnabled) => {
            let message = "the settings don't enable roll-outs; add `rollout` to `contracts`";
            refuse(StatusCode::CONFLICT, "rollouts_not_enabled", message)
        }
        Ok(RolloutAnswer::UnknownService) => {
            let message = "the document in force doesn't contain the service; correct its name";
            refuse(StatusCode::UNPROCESSABLE_ENTITY, "unknown_service", message)
        }
        Err(cause) => reply::unavailable(cause),
    }
}

fn refuse(status: StatusCode, reason: &str, message: &str) -> HttpResponse {
    reply::error(status, &ErrorJson::new(reason, message))
}
