//! The control service as implemented by a replica.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use masticsill_catalogue::{
    Action, ChangeAnswer, Claim, ClaimAnswer, CommandAnswer, DocumentAnswer, PackedPiece,
    PieceHash, PieceList, Reassign, Settle,
};
use masticsill_control_client::{AddressBook, ControlClient, ControlUnavailable};
use masticsill_quarantine::RequestRecord;
use masticsill_quorum::{FolderId, FoundingReservation, VoterId, decode_message};
use masticsill_registry::{
    Announcement, AttemptKey, CachedTokens, EndpointId, EndpointLoad, EngineReservationRequest,
    OriginReply, PromptPart, StreamRecord, Watcher,
};
use masticsill_rollout::EvidenceReport;
use masticsill_types::{MonotonicClock, NodeId, log_event};
use masticsill_wire::control::{
    ChangeRequest, ControlReply, ControlService, Directory, DocumentChange, FoundingProposal,
    Introduction, QuorumBatch, ReadAnswer, ReadRequest, RenewReply, RenewRequest, ReplicaAction,
    ReplicaAnswer, ReplicaChange, ReplicaIdentity, RolloutAnswer, RolloutRequest, WatchReply,
    WatchRequest,
};
use tarpc::context::Context;

use super::introductions::{attempt_of, record_introduction};
use super::router::done_or_forwarded;
use crate::config::RolloutConfig;
use crate::document_pieces::DocumentPieces;
use crate::endpoints::EndpointHub;
use crate::events;
use crate::pauses::Pauses;
use crate::quorum::{
    JoiningReplica, MembershipRequest, PublishedState, QuorumHandle, Request, voter,
};
use crate::rollouts::ReceivedEvidence;

/// Answers calls of other processes. Each connection has a clone.
#[derive(Clone, Debug)]
pub(crate) struct ControlServer {
    pub(crate) book: AddressBook,
    pub(crate) client: ControlClient,
    pub(crate) clock: MonotonicClock,
    pub(crate) documents: DocumentPieces,
    pub(crate) endpoints: EndpointHub,
    pub(crate) evidence: ReceivedEvidence,
    /// The configured seeds, which are the same in every process when the cluster is first started.
    pub(crate) first_seeds: Arc<[SocketAddr]>,
    /// Whether the data folder was new when this process started.
    pub(crate) is_new: bool,
    pub(crate) lease_ms: u64,
    pub(crate) node: NodeId,
    pub(crate) pauses: Pauses,
    pub(crate) published: PublishedState,
    pub(crate) quorum: QuorumHandle,
    pub(crate) reservations: Arc<Mutex<FoundingReservation>>,
    pub(crate) rollouts: Option<RolloutConfig>,
}

impl ControlServer {
    pub(crate) async fn act(&self, action: Action) -> ControlReply<CommandAnswer> {
        self.quorum
            .ask(|reply_to| Request::Command(action, reply_to))
            .await
    }

    async fn act_on_claim(&self, action: Action) -> ControlReply<ClaimAnswer> {
        let reply = self.act(action).await;
        map_done(reply, |answer| match answer {
            CommandAnswer::Claim(answer) => Some(answer),
            _ => None,
        })
    }

    pub(crate) async fn change_locally(
        &self,
        request: ChangeRequest,
    ) -> ControlReply<ChangeAnswer> {
        let reply = self
            .act(Action::Change(request.change, request.scope))
            .await;
        map_done(reply, |answer| match answer {
            CommandAnswer::Change(answer) => Some(answer),
            _ => None,
        })
    }

    /// Puts a document in force. A document that is not newer than the one applied here changes
    /// nothing, so any replica can answer that it is superseded.
    pub(crate) async fn put_document_locally(
        &self,
        change: DocumentChange,
    ) -> ControlReply<DocumentAnswer> {
        let applied = self.published.document().map(|document| document.version);
        if let Some(in_force) = applied.filter(|version| *version >= change.document.version) {
            return ControlReply::Done(DocumentAnswer::Superseded { in_force });
        }
        let DocumentChange { document, operator } = change;
        let reply = self.act(Action::PutDocument { document, operator }).await;
        map_done(reply, |answer| match answer {
            CommandAnswer::Document(answer) => Some(answer),
            _ => None,
        })
    }

    pub(crate) async fn read_locally(&self, request: ReadRequest) -> ControlReply<ReadAnswer> {
        self.quorum
            .ask(|reply_to| Request::Read(request, reply_to))
            .await
    }

    pub(crate) async fn change_replicas_locally(
        &self,
        change: ReplicaChange,
    ) -> ControlReply<ReplicaAnswer> {
        let operator = change.operator;
        let membership_request = match change.action {
            ReplicaAction::Join {
                address,
                node,
                replaces,
            } => {
                if !self.quorum.status().is_leading {
                    // The leader resolves the identity of the new replica itself.
                    return self.refuse_as_follower().await;
                }
                let id = match self.resolve_identity(&node, address).await {
                    Ok(id) => id,
                    Err(text) => return ControlReply::Done(ReplicaAnswer::Refused(text)),
                };
                MembershipRequest::Join {
                    replica: JoiningReplica { address, id },
                    operator,
                    replaces,
                }
            }
            ReplicaAction::Remove { node } => MembershipRequest::Remove { node, operator },
            ReplicaAction::Leave { folder, node } => MembershipRequest::RemoveSurplus {
                id: VoterId {
                    folder: FolderId(folder),
                    name: node,
                },
                operator,
            },
        };
        self.quorum
            .ask(|reply_to| Request::ChangeReplicas(membership_request, reply_to))
            .await
    }

    /// Changes the members here if this replica leads, and at the leader otherwise.
    pub(crate) async fn change_replicas_anywhere(
        &self,
        change: ReplicaChange,
        timeout_ms: u64,
    ) -> Result<ReplicaAnswer, ControlUnavailable> {
        let local_reply = self.change_replicas_locally(change.clone()).await;
        let forwarded = self.client.change_replicas(&change, timeout_ms);
        done_or_forwarded(local_reply, forwarded).await
    }

    /// The identity of a running replica, or a text that says why it is unknown and what to do.
    async fn resolve_identity(
        &self,
        node: &NodeId,
        address: Option<SocketAddr>,
    ) -> Result<VoterId, String> {
        let own = self.quorum.ask_any(Request::Identify).await;
        if let Some((own, _)) = own
            && own.node == *node
        {
            return Ok(voter(&own));
        }
        let address = address.or_else(|| self.book.get(node)).ok_or_else(|| {
            format!("no address of replica `{node}` is known; name its RPC address")
        })?;
        let identity = self.client.identify(address).await.ok_or_else(|| {
            format!(
                "replica `{node}` does not answer at {address}; \
                 start it there with an empty data folder, then send this again"
            )
        })?;
        if identity.node != *node {
            let found = identity.node;
            return Err(format!(
                "replica `{found}` answers at {address}, not `{node}`; name its address"
            ));
        }
        Ok(voter(&identity))
    }

    async fn refuse_as_follower<T>(&self) -> ControlReply<T> {
        let probe = self.read_locally(ReadRequest::Replicas).await;
        match probe {
            ControlReply::NotLeader(hint) => ControlReply::NotLeader(hint),
            _ => ControlReply::NotLeader(None),
        }
    }
}

/// Extracts the answer of the expected kind; an answer of another kind counts as an unknown
/// outcome.
fn map_done<T, U>(reply: ControlReply<T>, map: impl FnOnce(T) -> Option<U>) -> ControlReply<U> {
    reply.and_then(|answer| map(answer).map_or(ControlReply::OutcomeUnknown, ControlReply::Done))
}

impl ControlServer {
    /// The founding reservation that this process has granted.
    pub(crate) fn reservations(&self) -> MutexGuard<'_, FoundingReservation> {
        let reservations = self.reservations.lock();
        let mut reservations = reservations.unwrap_or_else(PoisonError::into_inner);
        if self.quorum.status().is_founded {
            reservations.note_cluster_exists();
        }
        reservations
    }
}

impl ControlServer {
    /// The voters of which a majority decides, with their addresses. Empty if this replica is not one
    /// of them, or doesn't know the address of each: its watchers then don't count it.
    fn counted_voters(&self) -> Vec<(NodeId, SocketAddr)> {
        let voters = self.quorum.status().voters;
        if !voters.includes_self {
            return Vec::new();
        }
        let voters = voters.names.into_iter();
        let located = voters.map(|voter| self.book.get(&voter).map(|address| (voter, address)));
        located.collect::<Option<Vec<_>>>().unwrap_or_default()
    }
}

impl ControlService for ControlServer {
    async fn quorum_messages(self, _: Context, batch: QuorumBatch) {
        self.book.record_announced(batch.node, batch.address);
        for bytes in batch.messages {
            match decode_message(&bytes) {
                // A full ring drops the message; the quorum tolerates lost messages.
                Ok(envelope) => drop(self.quorum.messages.push(envelope)),
                Err(error) => log_event!(warn, events::MESSAGE_UNREADABLE, cause = error),
            }
        }
    }

    async fn identify(self, _: Context) -> Option<ReplicaIdentity> {
        let (own, _) = self.quorum.ask_any(Request::Identify).await?;
        Some(own)
    }

    async fn found(self, _: Context, members: Vec<ReplicaIdentity>) -> bool {
        let reply = self
            .quorum
            .ask_any(|reply_to| Request::Found(members, reply_to))
            .await;
        reply.unwrap_or(false)
    }

    async fn directory(self, _: Context, introduction: Option<Introduction>) -> Directory {
        if let Some(introduction) = introduction {
            record_introduction(&self.book, &introduction);
            if introduction.is_founded {
                self.reservations().note_cluster_exists();
            }
        }
        Directory {
            keeps_state: true,
            node: self.node,
            replicas: self.book.named(),
        }
    }

    async fn reserve_founding(self, _: Context, proposal: FoundingProposal) -> bool {
        let now = self.clock.now();
        self.reservations().reserve(now, &attempt_of(proposal))
    }

    async fn release_founding(self, _: Context, proposal: FoundingProposal) {
        self.reservations().release(&attempt_of(proposal));
    }

    async fn announce(self, _: Context, announcement: Announcement) -> bool {
        self.endpoints.announce(announcement).await;
        true
    }

    async fn depart(self, _: Context, id: EndpointId) -> bool {
        self.endpoints.depart(id).await;
        true
    }

    async fn change(self, _: Context, request: ChangeRequest) -> ControlReply<ChangeAnswer> {
        self.change_locally(request).await
    }

    async fn claim(self, _: Context, claim: Claim) -> ControlReply<ClaimAnswer> {
        self.act_on_claim(Action::Claim(claim)).await
    }

    async fn reassign(self, _: Context, reassign: Reassign) -> ControlReply<ClaimAnswer> {
        self.act_on_claim(Action::Reassign(reassign)).await
    }

    async fn settle(self, _: Context, settle: Settle) -> ControlReply<ClaimAnswer> {
        self.act_on_claim(Action::Settle(settle.with_bounded_body()))
            .await
    }

    async fn read(self, _: Context, request: ReadRequest) -> ControlReply<ReadAnswer> {
        self.read_locally(request).await
    }

    async fn change_replicas(
        self,
        _: Context,
        change: ReplicaChange,
    ) -> ControlReply<ReplicaAnswer> {
        self.change_replicas_locally(change).await
    }

    async fn renew(self, _: Context, request: RenewRequest) -> RenewReply {
        self.published.answer_renewal(self.clock.now(), request)
    }

    async fn put_document(
        self,
        _: Context,
        change: DocumentChange,
    ) -> ControlReply<DocumentAnswer> {
        self.put_document_locally(change).await
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        let mut status = self.quorum.status.clone();
        let voters = self.quorum.status().voters;
        let change = async {
            if status.wait_for(|it| it.voters != voters).await.is_err() {
                // The quorum duty has ended.
                pending::<()>().await;
            }
        };
        let replied = self
            .endpoints
            .watch(&self.published, self.lease_ms, change, request);
        WatchReply {
            members: self.counted_voters(),
            ..replied.await
        }
    }

    async fn tell_loads(self, _: Context, watcher: Watcher, loads: Vec<EndpointLoad>) {
        self.endpoints.record_loads(&watcher, &loads);
    }

    async fn tell_crashes(self, _: Context, records: Vec<RequestRecord>) {
        self.endpoints.suspects().merge(&records);
    }

    async fn tell_stream_origins(self, _: Context, streams: Vec<StreamRecord>) -> bool {
        let revision = self.endpoints.record_stream_origins(&streams);
        self.endpoints.await_streams_stored(revision).await
    }

    async fn find_stream_origin(
        self,
        _: Context,
        service: String,
        attempt: Option<AttemptKey>,
    ) -> OriginReply {
        self.endpoints.find_stream_origin(&service, attempt)
    }

    async fn tell_rollout_evidence(self, _: Context, reports: Vec<EvidenceReport>) {
        let now = self.clock.now();
        let (rollouts, _) = self.published.rollouts(now, self.lease_ms);
        self.evidence.note(now, reports, &rollouts);
    }

    async fn find_kept(self, _: Context, prompt: Vec<PromptPart>) -> Vec<CachedTokens> {
        self.endpoints.find_cached(&prompt)
    }

    async fn take_place(
        self,
        _: Context,
        request: EngineReservationRequest,
    ) -> Option<EndpointLoad> {
        self.endpoints.reserve_engine(&request)
    }

    async fn grant_request(self, _: Context, endpoints: Vec<EndpointId>) -> Option<EndpointId> {
        self.endpoints.grant_request(&endpoints)
    }

    async fn document_pieces(self, _: Context, version: u64) -> Option<PieceList> {
        self.documents.list(version).await
    }

    async fn find_pieces(
        self,
        _: Context,
        hashes: Vec<PieceHash>,
    ) -> Vec<(PieceHash, PackedPiece)> {
        self.documents.pieces(&hashes)
    }

    async fn order_rollout(
        self,
        _: Context,
        request: RolloutRequest,
    ) -> ControlReply<RolloutAnswer> {
        self.order_rollout_locally(request).await
    }
}
