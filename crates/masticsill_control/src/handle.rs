//! What the edges of the process ask of a control replica.

use masticsill_catalogue::{DocumentAnswer, StoredDocument};
use masticsill_control_client::ControlUnavailable;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_runtime::Ring;
use masticsill_wire::control::{DocumentChange, ReadAnswer, ReadRequest};
use tokio::sync::oneshot;

use crate::endpoints::EndpointHub;
use crate::rpc::{Forward, ForwardReply};
use crate::unreadable::{UnreadableWord, UnreadableWords};

/// Operators' and endpoints' calls, from any duty of the process. Clones share one replica.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(crate) calls: Ring<Forward>,
    pub(crate) heartbeats: HeartbeatSink,
    pub(crate) unreadable: UnreadableWords,
}

/// Where the heartbeats go that come to this process.
#[derive(Clone, Debug)]
pub(crate) enum HeartbeatSink {
    /// Into the registry of this process.
    Here(EndpointHub),
    /// On to a replica.
    Others,
}

impl ControlHandle {
    /// Puts the catalogue as one document in force; answered once that is durable.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] when no leader answered in time; sending it again is safe.
    pub async fn put_document(
        &self,
        change: DocumentChange,
    ) -> Result<DocumentAnswer, ControlUnavailable> {
        self.forward(|reply_to| Forward::Document(change, reply_to))
            .await
    }

    /// The document in force, as of some moment after this call began.
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

    /// Takes an endpoint's heartbeat.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] when it had to be passed on and no replica took it.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), ControlUnavailable> {
        match &self.heartbeats {
            HeartbeatSink::Here(endpoints) => {
                endpoints.announce(announcement).await;
                Ok(())
            }
            HeartbeatSink::Others => {
                self.forward(|reply_to| Forward::Announce(announcement, reply_to))
                    .await
            }
        }
    }

    /// Notes a heartbeat or a deregistration that was refused since it can't be read.
    pub fn note_unreadable(&self, endpoint: &EndpointId, cause: &str) {
        let word = UnreadableWord::Heartbeat;
        self.unreadable.note(word, endpoint, 1, cause);
    }

    /// Takes an endpoint's deregistration.
    ///
    /// # Errors
    ///
    /// As [`Self::announce`].
    pub async fn depart(&self, id: EndpointId) -> Result<(), ControlUnavailable> {
        match &self.heartbeats {
            HeartbeatSink::Here(endpoints) => {
                endpoints.depart(id).await;
                Ok(())
            }
            HeartbeatSink::Others => self.forward(|reply_to| Forward::Depart(id, reply_to)).await,
        }
    }

    async fn forward<T>(
        &self,
        call: impl FnOnce(ForwardReply<T>) -> Forward,
    ) -> Result<T, ControlUnavailable> {
        forward(&self.calls, call).await
    }
}

/// Has a call answered by the leader.
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
