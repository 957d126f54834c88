//! Answers operators' orders.

use std::time::{Duration, Instant};

use masticsill_catalogue::{Action, CommandAnswer};
use masticsill_control_client::{ControlUnavailable, ORDER_TIMEOUT_MS};
use masticsill_rollout::{OrderAnswer, RolloutOrder};
use masticsill_types::log_event;
use masticsill_wire::control::{
    ControlReply, ReadAnswer, ReadRequest, RolloutAnswer, RolloutRequest,
};
use tokio::time::timeout;

use crate::events;
use crate::rpc::ControlServer;

const RETRY_AFTER_PAUSE_MS: u64 = 200;

impl ControlServer {
    /// Answers an order here if this replica leads, or else forwards it to the leader, within
    /// [`ORDER_TIMEOUT_MS`] in total.
    pub(crate) async fn order_rollout_anywhere(
        &self,
        request: RolloutRequest,
    ) -> Result<RolloutAnswer, ControlUnavailable> {
        // A repetition that arrives long after the others would begin a new roll-out, so that none is
        // accepted that may have been held up by a pause of this process. The caller resends it.
        if self.pauses.has_just_resumed() {
            return Err(ControlUnavailable {
                is_outcome_unknown: false,
            });
        }
        let began = Instant::now();
        let local_reply = self.order_rollout_locally(request.clone());
        let local_reply = timeout(Duration::from_millis(ORDER_TIMEOUT_MS), local_reply).await;
        match local_reply.unwrap_or(ControlReply::OutcomeUnknown) {
            ControlReply::Done(answer) => return Ok(answer),
            ControlReply::NotLeader(Some(hint)) => self.client.note_leader(&hint),
            _ => {}
        }
        let elapsed_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        let remaining_ms = ORDER_TIMEOUT_MS.saturating_sub(elapsed_ms);
        self.client.order_rollout(&request, remaining_ms).await
    }

    /// Answers an order if this replica leads; the answer is durable.
    pub(crate) async fn order_rollout_locally(
        &self,
        request: RolloutRequest,
    ) -> ControlReply<RolloutAnswer> {
        let Some(config) = self.rollouts else {
            let reply = self.read_locally(ReadRequest::Rollouts).await;
            return reply.and_then(|_| ControlReply::Done(RolloutAnswer::NotEnabled));
        };
        let reply = self.read_locally(ReadRequest::Document).await;
        let document = match reply.and_then(|answer| match answer {
            ReadAnswer::Document(document) => ControlReply::Done(document),
            _ => ControlReply::OutcomeUnknown,
        }) {
            ControlReply::Done(document) => document,
            refused => return refused.and_then(|_| ControlReply::OutcomeUnknown),
        };
        // Checked after the read, during which this process may have been frozen.
        if self.pauses.has_just_resumed() {
            return ControlReply::Overloaded {
                retry_after_ms: RETRY_AFTER_PAUSE_MS,
            };
        }
        let bytes = document.map(|document| document.unpack());
        let answer = match bytes {
            Some(Ok(bytes)) if (config.has_service)(&bytes, &request.order.service) => {
                self.propose_order(request.clone()).await
            }
            Some(Ok(_)) => {
                self.refuse_order(&request, RolloutAnswer::UnknownService)
                    .await
            }
            Some(Err(_)) | None => self.refuse_order(&request, RolloutAnswer::NoDocument).await,
        };
        if let ControlReply::Done(answer) = &answer {
            log_order(&request, *answer);
        }
        answer
    }

    async fn propose_order(&self, request: RolloutRequest) -> ControlReply<RolloutAnswer> {
        let RolloutRequest { operator, order } = request;
        let reply = self.act(Action::OrderRollout { operator, order }).await;
        reply.and_then(|answer| match answer {
            CommandAnswer::Rollout(OrderAnswer::Accepted(number)) => {
                ControlReply::Done(RolloutAnswer::Accepted(number))
            }
            CommandAnswer::Rollout(OrderAnswer::InProgress(number)) => {
                ControlReply::Done(RolloutAnswer::InProgress(number))
            }
            _ => ControlReply::OutcomeUnknown,
        })
    }

    /// Refuses an order, unless it repeats one that was accepted before: a document without the
    /// service may have come into force since.
    async fn refuse_order(
        &self,
        request: &RolloutRequest,
        refusal: RolloutAnswer,
    ) -> ControlReply<RolloutAnswer> {
        let reply = self.read_locally(ReadRequest::Rollouts).await;
        reply.and_then(|answer| {
            let ReadAnswer::Rollouts(rollouts) = answer else {
                return ControlReply::OutcomeUnknown;
            };
            let mut latest = rollouts.iter();
            let latest = latest.find(|it| it.order.service == request.order.service);
            let repeated = latest.filter(|it| {
                it.order == request.order && (it.is_repeatable || !it.phase.is_ended())
            });
            ControlReply::Done(repeated.map_or(refusal, |it| RolloutAnswer::Accepted(it.number)))
        })
    }
}

fn log_order(request: &RolloutRequest, answer: RolloutAnswer) {
    let (outcome, number) = match answer {
        RolloutAnswer::Accepted(number) => ("accepted", number.0),
        RolloutAnswer::InProgress(number) => ("in_progress", number.0),
        RolloutAnswer::NoDocument => ("no_document", 0),
        RolloutAnswer::NotEnabled => ("not_enabled", 0),
        RolloutAnswer::UnknownService => ("unknown_service", 0),
    };
    let RolloutOrder {
        duration_ms,
        service,
        target,
    } = &request.order;
    log_event!(
        info,
        events::ROLLOUT_ORDERED,
        service = service,
        target = target,
        duration_ms = duration_ms,
        outcome = outcome,
        rollout = number,
        operator = request.operator
    );
}
