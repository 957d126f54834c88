//! Requests of other duties to the quorum duty, and the status that it publishes.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_catalogue::{Action, CommandAnswer};
use masticsill_quorum::{Envelope, LogIndex, Replica, VoterId};
use masticsill_runtime::Ring;
use masticsill_types::{CatalogueVersion, ClockMs, NodeId, OperatorId, Term};
use masticsill_wire::control::{
    ControlReply, ReadAnswer, ReadRequest, ReplicaAnswer, ReplicaIdentity,
};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::admission::Departure;

const OVERLOADED_RETRY_AFTER_MS: u64 = 200;
/// Longest wait for the quorum duty; after that the outcome of a command is unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Channel for the reply to one request.
pub(crate) type ReplyTo<T> = oneshot::Sender<ControlReply<T>>;

/// A request of another duty to the quorum duty.
#[derive(Debug)]
pub(crate) enum Request {
    /// Append a command to the log.
    Command(Action, ReplyTo<CommandAnswer>),
    /// Change the members.
    ChangeReplicas(MembershipRequest, ReplyTo<ReplicaAnswer>),
    /// Store the founding members; replies whether this replica belongs to a cluster afterwards.
    Found(Vec<ReplicaIdentity>, oneshot::Sender<bool>),
    /// Give up a founding whose log is still empty; replies whether it was given up.
    GiveUpFounding(oneshot::Sender<bool>),
    /// Report this replica's identity, and the founding members while no later membership has
    /// replaced them.
    Identify(oneshot::Sender<(ReplicaIdentity, Vec<ReplicaIdentity>)>),
    /// Apply a proof of freshness from the leader.
    Proof {
        /// The version that the proof applies to.
        version: CatalogueVersion,
        /// Time at which that version held every accepted change.
        as_of: ClockMs,
    },
    /// Read the current state.
    Read(ReadRequest, ReplyTo<ReadAnswer>),
    /// A snapshot of the state was encoded.
    SnapshotTaken(LogIndex, Vec<u8>),
    /// Transfer leadership and accept no more commands.
    Stop,
}

/// A requested change of the members, with the identities resolved.
#[derive(Debug)]
pub(crate) enum MembershipRequest {
    Join {
        replica: JoiningReplica,
        operator: OperatorId,
        replaces: Option<NodeId>,
    },
    Remove {
        node: NodeId,
        operator: OperatorId,
    },
    /// Remove the member with this identity, unless it is needed as a voter. Another member may have
    /// the same name.
    RemoveSurplus {
        id: VoterId,
        operator: OperatorId,
    },
}

/// A replica that is to be admitted.
#[derive(Clone, Debug)]
pub(crate) struct JoiningReplica {
    /// RPC address that the operator gave.
    pub(crate) address: Option<SocketAddr>,
    /// Identity of the replica's folder.
    pub(crate) id: VoterId,
}

/// Status that the quorum duty publishes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Status {
    /// Whether storage failed or the state was unreadable, and the replica has stopped.
    pub(crate) has_failed: bool,
    /// Whether the replica leads and has confirmed its lease.
    pub(crate) is_leading: bool,
    /// Whether the folder belongs to a cluster.
    pub(crate) is_founded: bool,
    /// Index of the last entry of the log.
    pub(crate) last_index: LogIndex,
    /// The leader, if known.
    pub(crate) leader: Option<NodeId>,
    /// Silent members that the quorum may remove by itself; only known while this replica leads.
    pub(crate) removable_members: Vec<VoterId>,
    /// Whether the replica can tell that it is a member of the quorum.
    pub(crate) standing: Standing,
    /// The current term.
    pub(crate) term: Term,
    /// The version of the applied catalogue.
    pub(crate) version: CatalogueVersion,
    /// The voters of the newest membership of the log.
    pub(crate) voters: Voters,
}

/// What a replica can tell of its own membership.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Standing {
    /// It is a member by its log, and leads or has heard from a leader within an election timeout.
    Member,
    /// It may have been removed.
    #[default]
    Uncertain,
}

impl Standing {
    pub(crate) fn of(replica: &Replica, now: ClockMs) -> Self {
        if replica.membership().is_member(replica.id()) && replica.has_recent_leader_contact(now) {
            Self::Member
        } else {
            Self::Uncertain
        }
    }
}

/// The voters of a membership.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Voters {
    /// Whether this replica is one of them, with the folder that it has now.
    pub(crate) includes_self: bool,
    /// Their names. A name occurs twice while a voter that has lost its folder is being replaced.
    pub(crate) names: Vec<NodeId>,
}

impl Voters {
    /// The voters among the members that `replica` knows.
    pub(crate) fn of(replica: &Replica) -> Self {
        let membership = replica.membership();
        let names = membership.voters.iter().map(|voter| voter.name.clone());
        Self {
            includes_self: membership.is_voter(replica.id()),
            names: names.collect(),
        }
    }

    /// The names of the voters except this replica, whose name is `own`.
    pub(crate) fn without(mut self, own: &NodeId) -> Vec<NodeId> {
        let position = self.names.iter().position(|name| name == own);
        if let Some(position) = position.filter(|_| self.includes_self) {
            self.names.remove(position);
        }
        self.names
    }
}

/// Handle through which other duties send requests to the quorum duty.
#[derive(Clone, Debug)]
pub(crate) struct QuorumHandle {
    /// The departure of this replica from the quorum, if it is about to stop.
    pub(crate) departure: Departure,
    /// Messages of other replicas; in a separate queue, so that many callers can't delay
    /// heartbeats.
    pub(crate) messages: Ring<Envelope>,
    pub(crate) requests: Ring<Request>,
    pub(crate) status: watch::Receiver<Status>,
}

impl QuorumHandle {
    /// Sends a request that only the leader answers.
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
        let reply = timeout(ANSWER_TIMEOUT, reply).await;
        reply.map_or(ControlReply::OutcomeUnknown, |reply| {
            reply.unwrap_or(ControlReply::OutcomeUnknown)
        })
    }

    /// Sends a request that every replica answers; `None` when the replica has stopped, is
    /// overloaded or does not answer in time.
    pub(crate) async fn ask_any<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> Request,
    ) -> Option<T> {
        let (reply_to, reply) = oneshot::channel();
        self.requests.push(request(reply_to)).ok()?;
        timeout(ANSWER_TIMEOUT, reply).await.ok()?.ok()
    }

    pub(crate) fn status(&self) -> Status {
        self.status.borrow().clone()
    }
}
