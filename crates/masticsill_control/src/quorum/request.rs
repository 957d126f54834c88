//! What other duties ask of the quorum duty, and what it publishes.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_catalogue::{Action, CommandAnswer};
use masticsill_quorum::{Envelope, LogIndex, VoterId};
use masticsill_runtime::Ring;
use masticsill_types::{CatalogueVersion, ClockMs, NodeId, OperatorId, Term};
use masticsill_wire::control::{
    ControlReply, ReadAnswer, ReadRequest, ReplicaAnswer, ReplicaIdentity,
};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

const OVERLOADED_RETRY_AFTER_MS: u64 = 200;
/// Longest wait for the quorum duty; its answer to a command is not known after that.
const ANSWER_BOUND: Duration = Duration::from_secs(5);

/// Where an answer goes.
pub(crate) type ReplyTo<T> = oneshot::Sender<ControlReply<T>>;

/// What other duties ask of the quorum duty.
#[derive(Debug)]
pub(crate) enum Request {
    /// Put a command into the log.
    Act(Action, ReplyTo<CommandAnswer>),
    /// Change the members.
    ChangeReplicas(ReplicaOrder, ReplyTo<ReplicaAnswer>),
    /// Take the founding members.
    Found(Vec<ReplicaIdentity>, oneshot::Sender<bool>),
    /// Give up a founding of which nothing came; tells whether it was.
    GiveUpFounding(oneshot::Sender<bool>),
    /// Tell who this replica is, and the founding members while nothing has changed them.
    Identify(oneshot::Sender<(ReplicaIdentity, Vec<ReplicaIdentity>)>),
    /// A proof of freshness that the leader gave this replica.
    Proof {
        /// The version that the proof is about.
        version: CatalogueVersion,
        /// When that version held every accepted change.
        as_of: ClockMs,
    },
    /// Read the state as it is now.
    Read(ReadRequest, ReplyTo<ReadAnswer>),
    /// A snapshot of the state was serialised.
    SnapshotTaken(LogIndex, Vec<u8>),
    /// Hand leadership over and accept nothing more.
    Stop,
}

/// A change of the members, with the identities looked up.
#[derive(Debug)]
pub(crate) enum ReplicaOrder {
    Join {
        replica: JoiningReplica,
        operator: OperatorId,
        replaces: Option<NodeId>,
    },
    Remove {
        node: NodeId,
        operator: OperatorId,
    },
    /// Remove exactly this member, which may share its name with another.
    Trim {
        id: VoterId,
        operator: OperatorId,
    },
}

/// A replica that is to be admitted.
#[derive(Clone, Debug)]
pub(crate) struct JoiningReplica {
    /// The address that the operator named.
    pub(crate) address: Option<SocketAddr>,
    /// Its identity.
    pub(crate) id: VoterId,
}

/// What the quorum duty publishes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Status {
    /// Whether storage or state failed, and the replica has stopped.
    pub(crate) has_failed: bool,
    /// Whether the replica leads and has proved it.
    pub(crate) is_leading: bool,
    /// Whether the folder belongs to a cluster.
    pub(crate) is_founded: bool,
    /// The last entry of the log.
    pub(crate) last_index: LogIndex,
    /// The leader, if known.
    pub(crate) leader: Option<NodeId>,
    /// Silent members that the quorum removes itself, while this replica leads.
    pub(crate) spare_members: Vec<VoterId>,
    /// The term.
    pub(crate) term: Term,
    /// The version of the applied catalogue.
    pub(crate) version: CatalogueVersion,
    /// Voters of the newest membership.
    pub(crate) voters: usize,
}

/// The other duties' end of the quorum duty.
#[derive(Clone, Debug)]
pub(crate) struct QuorumHandle {
    /// Messages of other replicas; apart, so that no crowd of callers keeps heartbeats out.
    pub(crate) messages: Ring<Envelope>,
    pub(crate) requests: Ring<Request>,
    pub(crate) status: watch::Receiver<Status>,
}

impl QuorumHandle {
    /// Asks something that only the leader answers.
    pub(crate) async fn ask<T>(
        &self,
        request: impl FnOnce(ReplyTo<T>) -> Request,
    ) -> ControlReply<T> {
        let (reply_to, reply) = oneshot::channel();
        if self.requests.push(request(reply_to)).is_err() {
            return if self.requests.is_closed() {
                ControlReply::ShuttingDown
            } else {
                ControlReply::Overloaded {
                    retry_after_ms: OVERLOADED_RETRY_AFTER_MS,
                }
            };
        }
        let reply = timeout(ANSWER_BOUND, reply).await;
        reply.map_or(ControlReply::OutcomeUnknown, |reply| {
            reply.unwrap_or(ControlReply::OutcomeUnknown)
        })
    }

    /// Asks something that every replica answers; `None` when it has stopped or is overloaded.
    pub(crate) async fn ask_any<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> Request,
    ) -> Option<T> {
        let (reply_to, reply) = oneshot::channel();
        self.requests.push(request(reply_to)).ok()?;
        timeout(ANSWER_BOUND, reply).await.ok()?.ok()
    }

    pub(crate) fn status(&self) -> Status {
        self.status.borrow().clone()
    }
}
