//! The service that control replicas offer to each other and to every node.
//!
//! Changes, claims and reads are served by the leader; another replica answers
//! [`ControlReply::NotLeader`]. A call whose answer was lost may be sent again: changes carry an
//! id, claims a nonce, and everything else is idempotent.

use std::net::SocketAddr;

use masticsill_catalogue::{
    AuditRecord, CatalogueUpdate, Change, ChangeAnswer, Claim, ClaimAnswer, DocumentAnswer,
    OperatorScope, PackedPiece, PieceHash, PieceList, Reassign, Settle, StoredDocument,
    VersionedEntry,
};
use masticsill_quarantine::RequestRecord;
use masticsill_registry::{
    Announcement, CachedTokens, EndpointId, EndpointLoad, EndpointRecord, EngineReservationRequest,
    HeartbeatAge, PromptPart, Watcher,
};
use masticsill_types::{
    CatalogueVersion, EntryId, FencingNumber, NodeId, OperatorId, Term, ZoneId,
};
use serde::{Deserialize, Serialize};

/// Messages between two replicas, in the quorum's own encoding.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuorumBatch {
    /// Where the sender listens.
    pub address: SocketAddr,
    /// The messages, oldest first.
    pub messages: Vec<Vec<u8>>,
    /// The sender.
    pub node: NodeId,
}

/// A replica's identity: its name and the number that its data folder was given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaIdentity {
    /// The data folder's number; another folder makes another replica.
    pub folder: u64,
    /// Whether the folder belongs to a cluster already.
    pub is_founded: bool,
    /// The node.
    pub node: NodeId,
}

/// How a process that serves control introduces itself to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Introduction {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether its folder belongs to a cluster already.
    pub is_founded: bool,
    /// Whether it keeps state on a disk, and so may vote.
    pub keeps_state: bool,
    /// The node.
    pub node: NodeId,
}

/// Who serves control, as far as one process knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Directory {
    /// Whether the process that answers keeps state itself; one that doesn't passes calls on.
    pub keeps_state: bool,
    /// The process that answers.
    pub node: NodeId,
    /// Replicas that keep state.
    pub replicas: Vec<(NodeId, SocketAddr)>,
}

/// A founding that a replica is about to carry out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FoundingProposal {
    /// Tells this attempt from the proposer's others.
    pub number: u64,
    /// The replica that founds.
    pub proposer: NodeId,
}

/// Where the leader can be reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderHint {
    /// Its RPC address, if this replica knows it.
    pub address: Option<SocketAddr>,
    /// The leader.
    pub node: NodeId,
}

/// The answer of a replica to a call that only the leader serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ControlReply<T> {
    /// The leader's answer.
    Done(T),
    /// This replica does not lead, or can't prove that it does; nothing was done.
    NotLeader(Option<LeaderHint>),
    /// Leadership ended before the call's fate was known; send it again.
    OutcomeUnknown,
    /// Too many calls wait; nothing was done.
    Overloaded {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The replica is shutting down; nothing was done.
    ShuttingDown,
}

impl<T> ControlReply<T> {
    /// What follows from the leader's answer; every other reply stays as it is.
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

/// An operator's change, authenticated by the replica that took it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// The change.
    pub change: Change,
    /// What the operator may change.
    pub scope: OperatorScope,
}

/// Asks for what a copy of the catalogue lacks, and for a proof of freshness.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewRequest {
    /// The version that the asker has.
    pub have: CatalogueVersion,
}

/// A proof of freshness, relayed from the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewReply {
    /// How long ago, at most, `version` held every accepted change; none without a proof.
    ///
    /// The asker counts it from when it asked, never from when the answer came.
    pub age_ms: Option<u64>,
    /// What the asker lacks.
    pub update: Option<CatalogueUpdate>,
    /// The answering copy's version.
    pub version: CatalogueVersion,
}

/// Reads the state as it is now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReadRequest {
    /// Audit records after a sequence.
    Audit {
        /// The last sequence that the reader has.
        after: u64,
        /// Records at most.
        limit: u32,
    },
    /// What changed in the catalogue since a version.
    Catalogue {
        /// The version that the reader has, zero for everything.
        have: CatalogueVersion,
    },
    /// One entry of the catalogue.
    Entry {
        /// The entry.
        id: EntryId,
    },
    /// The catalogue as one document.
    Document,
    /// The highest number of any order to engines.
    HighestOrder,
    /// The control replicas.
    Replicas,
}

/// The answer to a read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReadAnswer {
    /// Audit records.
    Audit(AuditPage),
    /// The catalogue's version, and the update if the reader lacks something.
    Catalogue(CatalogueVersion, Option<CatalogueUpdate>),
    /// The entry, if it is in force.
    Entry(Option<VersionedEntry>),
    /// The document in force, if there is one.
    Document(Option<StoredDocument>),
    /// The leader's term and the last sequence drawn; every number drawn before is not higher.
    HighestOrder(FencingNumber),
    /// The control replicas.
    Replicas(ReplicasView),
}

/// An operator's catalogue as one document, checked by the replica that took it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DocumentChange {
    /// The document.
    pub document: StoredDocument,
    /// Who, bound to every workspace.
    pub operator: OperatorId,
}

/// Waits for news of the document and of the endpoints.
///
/// It also acknowledges the news of the reply before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WatchRequest {
    /// Newest version that the watcher knows of.
    pub document_seen: Option<u64>,
    /// The watcher's own requests at endpoints of the replica's zone.
    pub loads: Vec<EndpointLoad>,
    /// Revision of the other watchers' loads that the watcher has.
    pub loads_revision: u64,
    /// The registry that `revision` is of; zero at first.
    pub registry: u64,
    /// Revision of the registry that the watcher has.
    pub revision: u64,
    /// Revision that the watcher has of what is known of requests that crash endpoints.
    pub suspects_revision: u64,
    /// Longest wait for news.
    pub wait_ms: u64,
    /// Who watches.
    pub watcher: Watcher,
}

/// News of the document and of the endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WatchReply {
    /// Version of the document applied here.
    pub document_version: Option<u64>,
    /// Entries that watch here, to share what endpoints accept from all of them together.
    pub entries: u32,
    /// Those of the watcher's zone, in order.
    pub entries_nearby: Vec<NodeId>,
    /// What changed since the watcher's revision.
    pub endpoints: Vec<EndpointRecord>,
    /// Whom this replica heard lately; for other replicas only.
    pub heard: Vec<HeartbeatAge>,
    /// Requests of the other entries, as they told last.
    pub loads: Vec<EndpointLoad>,
    /// Revision of these loads.
    pub loads_revision: u64,
    /// Addresses of the control replicas known here.
    pub members: Vec<(NodeId, SocketAddr)>,
    /// The registry that `revision` is of: another number for each life of the process.
    pub registry: u64,
    /// Revision of the registry.
    pub revision: u64,
    /// Requests under which endpoints crashed, as far as all must know.
    pub suspects: Vec<RequestRecord>,
    /// Revision of these records.
    pub suspects_revision: u64,
    /// Availability zone of this replica.
    pub zone: ZoneId,
}

/// A part of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditPage {
    /// The trail's last sequence.
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
    /// What it does in the quorum.
    pub standing: ReplicaStanding,
}

/// What a replica does in the quorum.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStanding {
    /// Catches up and does not vote yet.
    Learner,
    /// Votes, and is to be removed.
    Leaving,
    /// Votes.
    Voter,
}

/// An operator's change of the control replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaChange {
    /// What to do.
    pub action: ReplicaAction,
    /// Who, bound to every workspace.
    pub operator: OperatorId,
}

/// What to do with the control replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplicaAction {
    /// Admit a replica that runs with a new folder.
    ///
    /// It learns, is promoted once it has caught up, and only then the replaced one leaves. The
    /// request is durable once accepted, and sending it again changes nothing.
    Join {
        /// Where the new replica listens; its address in the settings if left out.
        address: Option<SocketAddr>,
        /// The new replica's node.
        node: NodeId,
        /// The replica that leaves afterwards.
        replaces: Option<NodeId>,
    },
    /// Remove a replica.
    Remove {
        /// Its node.
        node: NodeId,
    },
}

/// The answer to a change of the control replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplicaAnswer {
    /// The change is durable and goes on by itself.
    Accepted,
    /// Nothing was changed; the text says why and what to do.
    Refused(String),
}

/// Operations of a control replica.
#[tarpc::service]
pub trait ControlService {
    /// Takes messages of another replica.
    async fn quorum_messages(batch: QuorumBatch);
    /// Tells who this replica is; none when it has stopped or is overloaded.
    async fn identify() -> Option<ReplicaIdentity>;
    /// Gives a replica with a new folder the founding members; returns whether it took them.
    async fn found(members: Vec<ReplicaIdentity>) -> bool;
    /// Tells who serves control; `introduction` is that of a process that serves it itself.
    async fn directory(introduction: Option<Introduction>) -> Directory;
    /// Reserves this process for one founding for a few seconds; returns whether it is.
    async fn reserve_founding(proposal: FoundingProposal) -> bool;
    /// Gives a reservation up.
    async fn release_founding(proposal: FoundingProposal);
    /// Takes an endpoint's heartbeat that came to a process without state; returns whether it did.
    async fn announce(announcement: Announcement) -> bool;
    /// Takes an endpoint's deregistration, as [`ControlService::announce`].
    async fn depart(id: EndpointId) -> bool;
    /// Changes the catalogue.
    async fn change(request: ChangeRequest) -> ControlReply<ChangeAnswer>;
    /// Claims a call that may not be repeated.
    async fn claim(claim: Claim) -> ControlReply<ClaimAnswer>;
    /// Moves a claim.
    async fn reassign(reassign: Reassign) -> ControlReply<ClaimAnswer>;
    /// Settles a claim.
    async fn settle(settle: Settle) -> ControlReply<ClaimAnswer>;
    /// Reads the state as it is now.
    async fn read(request: ReadRequest) -> ControlReply<ReadAnswer>;
    /// Changes the control replicas.
    async fn change_replicas(change: ReplicaChange) -> ControlReply<ReplicaAnswer>;
    /// Renews a copy of the catalogue; served by every replica.
    async fn renew(request: RenewRequest) -> RenewReply;
    /// Puts the catalogue as one document in force.
    async fn put_document(change: DocumentChange) -> ControlReply<DocumentAnswer>;
    /// Waits for news of the document and of the endpoints; served by every replica.
    async fn watch(request: WatchRequest) -> WatchReply;
    /// Takes a watcher's requests at endpoints of the replica's zone, as soon as they change.
    async fn tell_loads(watcher: Watcher, loads: Vec<EndpointLoad>);
    /// Takes what a watcher noted of requests under which endpoints crashed.
    async fn tell_crashes(records: Vec<RequestRecord>);
    /// Finds the engines of the replica's zone that keep the beginning of a prompt.
    async fn find_kept(prompt: Vec<PromptPart>) -> Vec<CachedTokens>;
    /// Hands out a place at an engine of the replica's zone that reads no prompt, and tells what the
    /// other watchers have there.
    async fn take_place(request: EngineReservationRequest) -> Option<EndpointLoad>;
    /// Tells what the newest document applied here consists of; none when it is older than
    /// `version`.
    async fn document_pieces(version: u64) -> Option<PieceList>;
    /// Gives pieces of the last documents; those that are not kept are left out.
    async fn find_pieces(hashes: Vec<PieceHash>) -> Vec<(PieceHash, PackedPiece)>;
}
