//! `rollouts`: shows and orders roll-outs.

use masticsill_wire::admin::{OrderRolloutJson, OrderedRolloutJson, RolloutJson, RolloutsJson};
use ntex::http::Method;

use crate::api::Api;
use crate::failure::Failure;
use crate::output::Output;

/// Longest time for which an order is repeated without an answer. The control instances recognize
/// a repetition for 6 s with the default settings; a later one would begin a new roll-out.
pub(crate) const MAX_ORDER_TIMEOUT_S: u64 = 5;

/// Shows the latest roll-out of each service that had one.
pub(crate) async fn list(api: &Api, output: Output) -> eyre::Result<()> {
    let view: RolloutsJson = api.get("/v1/rollouts").await?;
    output.show(&view, || {
        let lines: Vec<String> = view.rollouts.iter().map(rollout_line).collect();
        lines.join("\n")
    })
}

fn rollout_line(rollout: &RolloutJson) -> String {
    let RolloutJson {
        duration_ms,
        elapsed_ms,
        number,
        phase,
        service,
        share_permille,
        step,
        target,
        ..
    } = rollout;
    format!(
        "{service}  to {target}  {phase}  {share_permille}/1000 of new requests  \
         after {elapsed_ms} of {duration_ms} ms  number {number}  step {step}"
    )
}

/// Orders a roll-out.
pub(crate) async fn order(api: &Api, output: Output, order: OrderRolloutJson) -> eyre::Result<()> {
    let answer = api.send(Method::POST, "/v1/rollouts", &order).await;
    let ordered: Result<OrderedRolloutJson, _> = answer.map_err(Failure::from)?;
    let ordered = ordered.map_err(Failure::Refused)?;
    output.show(&ordered, || {
        let OrderRolloutJson {
            service, target, ..
        } = &order;
        format!("roll-out {} of `{service}` to `{target}`", ordered.number)
    })
}
