//! Calls to control from other parts of the process.

use masticsill_catalogue::{DocumentAnswer, StoredDocument};
use masticsill_control_client::ControlUnavailable;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_rollout::Rollout;
use masticsill_runtime::Ring;
use masticsill_wire::control::{
    DocumentChange, ReadAnswer, ReadRequest, RolloutAnswer, RolloutRequest,
};
use tokio::sync::oneshot;

use crate::endpoints::EndpointHub;
use crate::rpc::{Forward, ForwardReply};
use crate::unreadable::{UnreadableMessage, UnreadableMessages};

/// Sends operators' and endpoints' calls to control, from any duty of the process. Clones share one
/// replica.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(crate) calls: Ring<Forward>,
    pub(crate) heartbeats: HeartbeatSink,
    pub(crate) unreadable: UnreadableMessages,
}

/// Destination of the heartbeats that this process receives.
#[derive(Clone, Debug)]
pub(crate) enum HeartbeatSink {
    /// The registry of this process.
    Local(EndpointHub),
    /// A replica in another process.
    Replicas,
}

impl ControlHandle {
    /// Puts a catalogue document in force; returns once the change is durable.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] when no leader answered in time; retrying is safe.
    pub async fn put_document(
        &self,
        change: DocumentChange,
    ) -> Result<DocumentAnswer, ControlUnavailable> {
        self.forward(|reply_to| Forward::Document(change, reply_to))
            .await
    }

    /// The document in force at some moment after this call began.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] when no leader answered in time.
    pub async fn read_document(&self) -> Result<Option<StoredDocument>, ControlUnavailable> {
        let read = |reply_to| Forward::Read(ReadRequest::Document, reply_to);
        match self.forward(read).await? {
            ReadAnswer::Document(document) => Ok(document),
            _ => Err(ControlUnavailable {
                is_outcome_unknown: true,
            }),
        }
    }

    /// Orders a roll-out; returns once the order is durable.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] when no leader answered within a second; a repetition of the order
    /// begins no second roll-out while it is repeatable.
    pub async fn order_rollout(
        &self,
        request: RolloutRequest,
    ) -> Result<RolloutAnswer, ControlUnavailable> {
        self.forward(|reply_to| Forward::OrderRollout(request, reply_to))
            .await
    }

    /// The latest roll-out of a service at some moment after this call began.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] when no leader answered in time.
    pub async fn read_rollout(&self, service: &str) -> Result<Option<Rollout>, ControlUnavailable> {
        let read = |reply_to| Forward::Read(ReadRequest::Rollouts, reply_to);
        match self.forward(read).await? {
            ReadAnswer::Rollouts(rollouts) => {
                let mut rollouts = rollouts.into_iter();
                Ok(rollouts.find(|it| it.order.service == service))
            }
            _ => Err(ControlUnavailable {
                is_outcome_unknown: true,
            }),
        }
    }

    /// Records an endpoint's heartbeat, or forwards the heartbeat to a replica.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] when the heartbeat had to be forwarded and no replica accepted it.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), ControlUnavailable> {
        match &self.heartbeats {
            HeartbeatSink::Local(endpoints) => {
                endpoints.announce(announcement).await;
                Ok(())
            }
            HeartbeatSink::Replicas => {
                self.forward(|reply_to| Forward::Announce(announcement, reply_to))
                    .await
            }
        }
    }

    /// Counts and logs a heartbeat or a deregistration that was refused because it could not be
    /// parsed.
    pub fn note_unreadable(&self, endpoint: &EndpointId, cause: &str) {
        let message = UnreadableMessage::Heartbeat;
        self.unreadable.record(message, endpoint, 1, cause);
    }

    /// Records an endpoint's deregistration, or forwards it to a replica.
    ///
    /// # Errors
    ///
    /// As [`Self::announce`].
    pub async fn depart(&self, id: EndpointId) -> Result<(), ControlUnavailable> {
        match &self.heartbeats {
            HeartbeatSink::Local(endpoints) => {
                endpoints.depart(id).await;
                Ok(())
            }
            HeartbeatSink::Replicas => self.forward(|reply_to| Forward::Depart(id, reply_to)).await,
        }
    }

    async fn forward<T>(
        &self,
        call: impl FnOnce(ForwardReply<T>) -> Forward,
    ) -> Result<T, ControlUnavailable> {
        forward(&self.calls, call).await
    }
}

/// Queues a call for the router, which gets the leader's answer, and waits for the answer.
pub(crate) async fn forward<T>(
    calls: &Ring<Forward>,
    call: impl FnOnce(ForwardReply<T>) -> Forward,
) -> Result<T, ControlUnavailable> {
    let (reply_to, reply) = oneshot::channel();
    if calls.push(call(reply_to)).is_err() {
        return Err(ControlUnavailable {
            is_outcome_unknown: false,
        });
    }
    let lost = ControlUnavailable {
        is_outcome_unknown: true,
    };
    reply.await.unwrap_or(Err(lost))
}
