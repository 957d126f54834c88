//! RPC service that control replicas offer to each other and to every node.
//!
//! Changes, claims and reads are served by the leader; any other replica replies
//! [`ControlReply::NotLeader`]. A call whose reply was lost may be retried: changes carry an id,
//! claims a nonce, and everything else is idempotent.

use std::net::SocketAddr;

use masticsill_catalogue::{
    AuditRecord, CatalogueUpdate, Change, ChangeAnswer, Claim, ClaimAnswer, DocumentAnswer,
    OperatorScope, PackedPiece, PieceHash, PieceList, Reassign, Settle, StoredDocument,
    VersionedEntry,
};
use masticsill_quarantine::RequestRecord;
use masticsill_registry::{
    Announcement, AttemptKey, CachedTokens, EndpointId, EndpointLoad, EndpointRecord,
    EngineReservationRequest, HeartbeatAge, OriginReply, PromptPart, StreamOrigin, StreamRecord,
    Watcher,
};
use masticsill_rollout::{EvidenceReport, Rollout, RolloutNumber, RolloutOrder, ServingRollout};
use masticsill_types::{
    CatalogueVersion, EntryId, FencingNumber, NodeId, OperatorId, Term, ZoneId,
};
use serde::{Deserialize, Serialize};

/// Messages between two replicas, in the quorum's own encoding.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuorumBatch {
    /// RPC address of the sender.
    pub address: SocketAddr,
    /// The messages, oldest first.
    pub messages: Vec<Vec<u8>>,
    /// The sender.
    pub node: NodeId,
}

/// A replica's identity: its node id and the number assigned to its data folder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaIdentity {
    /// The data folder's number; with another folder it is another replica.
    pub folder: u64,
    /// Whether the data folder already belongs to a cluster.
    pub is_founded: bool,
    /// The node.
    pub node: NodeId,
}

/// How a process with the control role describes itself to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Introduction {
    /// RPC address of the process.
    pub address: SocketAddr,
    /// Whether its data folder already belongs to a cluster.
    pub is_founded: bool,
    /// Whether it stores state on disk and so may vote.
    pub keeps_state: bool,
    /// The node.
    pub node: NodeId,
}

/// The processes with the control role that one process knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Directory {
    /// Whether the replying process stores state itself; one that doesn't forwards calls.
    pub keeps_state: bool,
    /// The replying process.
    pub node: NodeId,
    /// Replicas that store state.
    pub replicas: Vec<(NodeId, SocketAddr)>,
}

/// A proposal to found a cluster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FoundingProposal {
    /// Distinguishes this attempt from other attempts of the proposer.
    pub number: u64,
    /// The replica that will found the cluster.
    pub proposer: NodeId,
}

/// Where the leader can be reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderHint {
    /// RPC address of the leader, if this replica knows it.
    pub address: Option<SocketAddr>,
    /// The leader.
    pub node: NodeId,
}

/// A replica's reply to a call that only the leader serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ControlReply<T> {
    /// The leader served the call.
    Done(T),
    /// This replica is not the leader, or can't prove that it is; nothing was done.
    NotLeader(Option<LeaderHint>),
    /// Leadership was lost before the call's outcome was known; retry the call.
    OutcomeUnknown,
    /// Too many calls are queued; nothing was done.
    Overloaded {
        /// Delay before the next retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The replica is shutting down; nothing was done.
    ShuttingDown,
}

impl<T> ControlReply<T> {
    /// Applies `then` to the leader's answer; every other reply is returned unchanged.
    pub fn and_then<U>(self, then: impl FnOnce(T) -> ControlReply<U>) -> ControlReply<U> {
        match self {
            Self::Done(answer) => then(answer),
            Self::NotLeader(hint) => ControlReply::NotLeader(hint),
            Self::OutcomeUnknown => ControlReply::OutcomeUnknown,
            Self::Overloaded { retry_after_ms } => ControlReply::Overloaded { retry_after_ms },
            Self::ShuttingDown => ControlReply::ShuttingDown,
        }
    }
}

/// An operator's change, authenticated by the replica that received it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// The change.
    pub change: Change,
    /// What the operator may change.
    pub scope: OperatorScope,
}

/// Requests a catalogue update and a proof of freshness for a copy of the catalogue.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewRequest {
    /// Catalogue version of the requester's copy.
    pub have: CatalogueVersion,
}

/// A proof of freshness, relayed from the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewReply {
    /// Upper bound of the time since `version` contained every accepted change, in milliseconds;
    /// `None` without a proof.
    ///
    /// The requester counts it from when it sent the request, never from when the reply arrived.
    pub age_ms: Option<u64>,
    /// Changes missing from the requester's copy.
    pub update: Option<CatalogueUpdate>,
    /// Version of the replying node's copy.
    pub version: CatalogueVersion,
}

/// A read of the current state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReadRequest {
    /// Audit records after a sequence.
    Audit {
        /// The last sequence number that the reader has.
        after: u64,
        /// Maximum number of records.
        limit: u32,
    },
    /// Changes of the catalogue since a version.
    Catalogue {
        /// The version that the reader has; zero requests the whole catalogue.
        have: CatalogueVersion,
    },
    /// One entry of the catalogue.
    Entry {
        /// The entry.
        id: EntryId,
    },
    /// The catalogue as one document.
    Document,
    /// The highest fencing number of any order to engines.
    HighestOrder,
    /// The control replicas.
    Replicas,
    /// The latest roll-out of each service.
    Rollouts,
}

/// The result of a read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReadAnswer {
    /// Audit records.
    Audit(AuditPage),
    /// The catalogue's version, and an update if the reader's version is older.
    Catalogue(CatalogueVersion, Option<CatalogueUpdate>),
    /// The entry, if it is in force.
    Entry(Option<VersionedEntry>),
    /// The document in force, if there is one.
    Document(Option<StoredDocument>),
    /// The leader's term and the last sequence number issued; no number issued before is higher.
    HighestOrder(FencingNumber),
    /// The control replicas.
    Replicas(ReplicasView),
    /// The latest roll-out of each service.
    Rollouts(Vec<Rollout>),
}

/// An operator's catalogue as one document, validated by the replica that received it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DocumentChange {
    /// The document.
    pub document: StoredDocument,
    /// The operator, who must be bound to every workspace.
    pub operator: OperatorId,
}

/// An operator's order of a roll-out, in a valid form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutRequest {
    /// The operator.
    pub operator: OperatorId,
    /// The order.
    pub order: RolloutOrder,
}

/// The leader's answer to an order of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutAnswer {
    /// The roll-out began, or the same order had been accepted before.
    Accepted(RolloutNumber),
    /// A roll-out of the service to another version is in progress.
    InProgress(RolloutNumber),
    /// No document was accepted yet, so the service can't be known.
    NoDocument,
    /// The settings of the leader don't enable roll-outs.
    NotEnabled,
    /// The document in force does not contain the service.
    UnknownService,
}

/// A long poll for changes of the document and of the endpoints.
///
/// It also acknowledges the changes in the previous reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WatchRequest {
    /// Newest document version that the watcher knows of.
    pub document_seen: Option<u64>,
    /// The watcher's own requests at endpoints in the replica's zone.
    pub loads: Vec<EndpointLoad>,
    /// Revision of the other watchers' loads that the watcher has.
    pub loads_revision: u64,
    /// Id of the registry that `revision` belongs to; zero in the first request.
    pub registry: u64,
    /// Revision of the registry that the watcher has.
    pub revision: u64,
    /// Revision that the watcher has of the roll-outs.
    pub rollouts_revision: u64,
    /// Revision that the watcher has of the records of requests that crash endpoints.
    pub suspects_revision: u64,
    /// Revision that the watcher has of the stored versions.
    pub versions_revision: u64,
    /// Maximum wait for changes, in milliseconds.
    pub wait_ms: u64,
    /// The process that polls.
    pub watcher: Watcher,
}

/// Changes of the document and of the endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WatchReply {
    /// Version of the document that this replica has applied.
    pub document_version: Option<u64>,
    /// Number of entries that poll this replica; they share the endpoints' total capacity.
    pub entries: u32,
    /// The polling entries in the watcher's zone, in order.
    pub entries_nearby: Vec<NodeId>,
    /// Endpoint records changed since the watcher's revision.
    pub endpoints: Vec<EndpointRecord>,
    /// Ages of heartbeats that this replica received directly; only for other replicas.
    pub heard: Vec<HeartbeatAge>,
    /// Whether this replica leads the quorum, with its lease confirmed at the moment of the reply.
    pub is_leading: bool,
    /// Requests of the other entries, as last reported.
    pub loads: Vec<EndpointLoad>,
    /// Revision of these loads.
    pub loads_revision: u64,
    /// The voters of the control quorum, by this replica's log; empty if it is not one of them.
    pub members: Vec<(NodeId, SocketAddr)>,
    /// Id of the registry that `revision` belongs to; differs for each incarnation of the process.
    pub registry: u64,
    /// Revision of the registry.
    pub revision: u64,
    /// The latest roll-out of each service, as applied by this replica. While the watcher's revision
    /// is current, only those in progress, because the watcher's leases are renewed by them; empty
    /// for other replicas.
    pub rollouts: Vec<ServingRollout>,
    /// Revision of the roll-outs.
    pub rollouts_revision: u64,
    /// All versions of endpoints that this replica has stored, so that it knows them after any
    /// restart; empty while the watcher's revision is current.
    pub stored_versions: Vec<StreamOrigin>,
    /// Records of requests during which endpoints crashed, as far as every watcher needs them.
    pub suspects: Vec<RequestRecord>,
    /// Revision of these records.
    pub suspects_revision: u64,
    /// Revision of the stored versions.
    pub versions_revision: u64,
    /// Availability zone of this replica.
    pub zone: ZoneId,
}

/// A page of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditPage {
    /// The last sequence number of the whole trail.
    pub last_sequence: u64,
    /// Records, oldest first.
    pub records: Vec<AuditRecord>,
}

/// The control replicas as the leader sees them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicasView {
    /// The leader.
    pub leader: NodeId,
    /// The members.
    pub replicas: Vec<ReplicaView>,
    /// The leader's term.
    pub term: Term,
}

/// One control replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaView {
    /// Its RPC address, if known.
    pub address: Option<SocketAddr>,
    /// Its data folder's number.
    pub folder: u64,
    /// The node.
    pub node: NodeId,
    /// Role of the replica in the quorum.
    pub standing: ReplicaStanding,
}

/// The role of a replica in the quorum.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStanding {
    /// Catches up with the log and does not vote yet.
    Learner,
    /// Votes until its pending removal.
    Leaving,
    /// Votes.
    Voter,
}

/// An operator's change of the control replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaChange {
    /// The requested action.
    pub action: ReplicaAction,
    /// The operator, who must be bound to every workspace.
    pub operator: OperatorId,
}

/// A change of the set of control replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplicaAction {
    /// Admit a replica that runs with a new data folder.
    ///
    /// The replica joins as a learner and is promoted once it has caught up; only then is the
    /// replaced one removed. An accepted request is durable, and repeating it has no effect.
    Join {
        /// RPC address of the new replica; defaults to its address in the settings.
        address: Option<SocketAddr>,
        /// The new replica's node.
        node: NodeId,
        /// The replica to remove afterwards.
        replaces: Option<NodeId>,
    },
    /// Remove a replica.
    Remove {
        /// Its node.
        node: NodeId,
    },
    /// Remove a replica that is about to stop, unless it is needed as a voter.
    Leave {
        /// Its data folder.
        folder: u64,
        /// Its node.
        node: NodeId,
    },
}

/// The answer to a change of the control replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplicaAnswer {
    /// The change is durable and completes without further requests.
    Accepted,
    /// Nothing was changed; the text gives the reason and a remedy.
    Refused(String),
}

/// RPC methods of a control replica.
#[tarpc::service]
pub trait ControlService {
    /// Receives quorum messages of another replica.
    async fn quorum_messages(batch: QuorumBatch);
    /// Returns this replica's identity; `None` when it has stopped or is overloaded.
    async fn identify() -> Option<ReplicaIdentity>;
    /// Sends the founding members to a replica with a new data folder; returns whether it
    /// accepted them.
    async fn found(members: Vec<ReplicaIdentity>) -> bool;
    /// Returns the known processes with the control role; `introduction` is set if the requester
    /// has that role itself.
    async fn directory(introduction: Option<Introduction>) -> Directory;
    /// Reserves this process for one founding attempt for a few seconds; returns whether the
    /// reservation succeeded.
    async fn reserve_founding(proposal: FoundingProposal) -> bool;
    /// Releases a reservation made by [`ControlService::reserve_founding`].
    async fn release_founding(proposal: FoundingProposal);
    /// Receives an endpoint's heartbeat forwarded by a process without state; returns whether it
    /// was accepted.
    async fn announce(announcement: Announcement) -> bool;
    /// Receives a forwarded deregistration of an endpoint, like [`ControlService::announce`].
    async fn depart(id: EndpointId) -> bool;
    /// Changes the catalogue.
    async fn change(request: ChangeRequest) -> ControlReply<ChangeAnswer>;
    /// Claims a call that may not be repeated.
    async fn claim(claim: Claim) -> ControlReply<ClaimAnswer>;
    /// Reassigns a claim.
    async fn reassign(reassign: Reassign) -> ControlReply<ClaimAnswer>;
    /// Settles a claim.
    async fn settle(settle: Settle) -> ControlReply<ClaimAnswer>;
    /// Reads the current state.
    async fn read(request: ReadRequest) -> ControlReply<ReadAnswer>;
    /// Changes the control replicas.
    async fn change_replicas(change: ReplicaChange) -> ControlReply<ReplicaAnswer>;
    /// Renews a copy of the catalogue; served by every replica.
    async fn renew(request: RenewRequest) -> RenewReply;
    /// Replaces the catalogue by one document.
    async fn put_document(change: DocumentChange) -> ControlReply<DocumentAnswer>;
    /// Waits for changes of the document and of the endpoints; served by every replica.
    async fn watch(request: WatchRequest) -> WatchReply;
    /// Receives a watcher's requests at endpoints in the replica's zone as soon as they change.
    async fn tell_loads(watcher: Watcher, loads: Vec<EndpointLoad>);
    /// Receives a watcher's records of requests during which endpoints crashed.
    async fn tell_crashes(records: Vec<RequestRecord>);
    /// Receives what entries have seen of roll-outs in progress; only the leader uses it.
    async fn tell_rollout_evidence(reports: Vec<EvidenceReport>);
    /// Finds the engines in the replica's zone that have a prefix of the prompt cached.
    async fn find_kept(prompt: Vec<PromptPart>) -> Vec<CachedTokens>;
    /// Reserves an engine in the replica's zone that is not processing a prompt; returns the other
    /// watchers' load there.
    async fn take_place(request: EngineReservationRequest) -> Option<EndpointLoad>;
    /// Grants one request at one of the endpoints, which are in the replica's zone and state limits of
    /// requests per second.
    async fn grant_request(endpoints: Vec<EndpointId>) -> Option<EndpointId>;
    /// Lists the pieces of the newest document applied by this replica; `None` when it is older
    /// than `version`.
    async fn document_pieces(version: u64) -> Option<PieceList>;
    /// Returns pieces of the most recent documents; pieces no longer stored are omitted.
    async fn find_pieces(hashes: Vec<PieceHash>) -> Vec<(PieceHash, PackedPiece)>;
    /// Orders a roll-out.
    async fn order_rollout(request: RolloutRequest) -> ControlReply<RolloutAnswer>;
    /// Receives the origins of streams whose first events an entry has received; returns whether they
    /// are stored, so that the replica knows them after any restart.
    async fn tell_stream_origins(streams: Vec<StreamRecord>) -> bool;
    /// Returns what the replica knows of the origin of a stream, by the attempt that brought its
    /// first event, if its caller named that.
    async fn find_stream_origin(service: String, attempt: Option<AttemptKey>) -> OriginReply;
}
