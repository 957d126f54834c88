//! Execution of one order at the engine.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_runtime::is_unsent;
use masticsill_types::{ModelTarget, log_event};
use masticsill_wire::agent::{OrderRefusal, OrderReply};
use masticsill_wire::engine::{EngineOrder, OrderBody};
use ntex::client::Client;
use ntex::http::StatusCode;
use tokio::time::timeout;

use super::OrderCommand;
use crate::endpoint_duty::ActiveRuns;

use crate::events;

/// Timeout of an order at the engine, which may have to load a model, in milliseconds.
const ENGINE_ORDER_TIMEOUT_MS: u64 = 100_000;

/// Sends an admitted order, unless it has been fenced in the meantime, and reports its end.
pub(crate) async fn run_engine_order(
    client: Client,
    address: SocketAddr,
    runs: ActiveRuns,
    command: OrderCommand,
) {
    let fencing = command.request.fencing;
    let reply = send(&client, address, &runs, &command).await;
    command.gate.lock().finish(fencing);
    log_event!(
        info,
        events::ORDER_ENDED,
        term = fencing.term,
        sequence = fencing.sequence,
        order = format!("{:?}", command.request.order),
        end = format!("{reply:?}")
    );
    let _ = command.reply_to.send(reply);
}

async fn send(
    client: &Client,
    address: SocketAddr,
    runs: &ActiveRuns,
    command: &OrderCommand,
) -> OrderReply {
    let request = &command.request;
    if let EngineOrder::Unload(target) = &request.order
        && is_in_use(runs, target)
    {
        return OrderReply::Refused(OrderRefusal::InUse);
    }
    {
        let gate = command.gate.lock();
        if !gate.may_send(request.fencing) {
            return OrderReply::Fenced(gate.highest());
        }
    }
    let body = OrderBody {
        fencing: request.fencing,
        order: request.order.clone(),
    };
    let url = format!("http://{address}/v1/orders");
    let prepared = client.post(url).force_close().no_decompress();
    let order_timeout = Duration::from_millis(ENGINE_ORDER_TIMEOUT_MS);
    match timeout(order_timeout, prepared.send_json(&body)).await {
        Ok(Ok(response)) => read_status(response.status()),
        Ok(Err(error)) if is_unsent(&error) => OrderReply::Refused(OrderRefusal::EngineUnavailable),
        Ok(Err(_)) | Err(_) => OrderReply::OutcomeUnknown,
    }
}

/// Whether a run uses the target. Generations are pinned to their target, so a target in use is not
/// unloaded.
fn is_in_use(runs: &ActiveRuns, target: &ModelTarget) -> bool {
    let runs = runs.borrow();
    runs.values().any(|run| run.target == *target)
}

fn read_status(status: StatusCode) -> OrderReply {
    match status {
        status if status.is_success() => OrderReply::Done,
        StatusCode::CONFLICT => OrderReply::Refused(OrderRefusal::EngineFenced),
        status if status.is_client_error() => OrderReply::Refused(OrderRefusal::EngineRefused),
        _ => OrderReply::OutcomeUnknown,
    }
}
