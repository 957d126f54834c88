//! The control service as implemented by a forwarder.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use masticsill_catalogue::{
    ChangeAnswer, Claim, ClaimAnswer, DocumentAnswer, PackedPiece, PieceHash, PieceList, Reassign,
    Settle,
};
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_quarantine::RequestRecord;
use masticsill_quorum::FoundingReservation;
use masticsill_registry::{
    Announcement, AttemptKey, CachedTokens, EndpointId, EndpointLoad, EngineReservationRequest,
    OriginReply, PromptPart, StreamRecord, Watcher,
};
use masticsill_rollout::EvidenceReport;
use masticsill_types::{CatalogueVersion, MonotonicClock, NodeId, ZoneId};
use masticsill_wire::control::{
    ChangeRequest, ControlReply, ControlService, Directory, DocumentChange, FoundingProposal,
    Introduction, QuorumBatch, ReadAnswer, ReadRequest, RenewReply, RenewRequest, ReplicaAnswer,
    ReplicaChange, ReplicaIdentity, RolloutAnswer, RolloutRequest, WatchReply, WatchRequest,
};
use tarpc::context::Context;

use super::role::ForwarderConfig;
use crate::rpc::{attempt_of, record_introduction};

/// Answers calls of other processes. Each connection has a clone.
#[derive(Clone, Debug)]
pub(super) struct ForwarderServer {
    pub(super) client: ControlClient,
    clock: MonotonicClock,
    node: NodeId,
    reservations: Arc<Mutex<FoundingReservation>>,
    zone: ZoneId,
}

impl ForwarderServer {
    pub(super) fn new(config: &ForwarderConfig, book: AddressBook, clock: MonotonicClock) -> Self {
        let reservations = FoundingReservation::new(clock.now());
        Self {
            client: ControlClient::new(book),
            clock,
            node: config.node.clone(),
            reservations: Arc::new(Mutex::new(reservations)),
            zone: config.zone.clone(),
        }
    }

    fn reservations(&self) -> MutexGuard<'_, FoundingReservation> {
        let reservations = self.reservations.lock();
        reservations.unwrap_or_else(PoisonError::into_inner)
    }
}

impl ControlService for ForwarderServer {
    async fn quorum_messages(self, _: Context, _: QuorumBatch) {}

    async fn identify(self, _: Context) -> Option<ReplicaIdentity> {
        None
    }

    async fn found(self, _: Context, _: Vec<ReplicaIdentity>) -> bool {
        false
    }

    async fn directory(self, _: Context, introduction: Option<Introduction>) -> Directory {
        if let Some(introduction) = introduction {
            record_introduction(self.client.book(), &introduction);
            if introduction.is_founded {
                self.reservations().note_cluster_exists();
            }
        }
        Directory {
            keeps_state: false,
            node: self.node.clone(),
            replicas: self.client.replicas(),
        }
    }

    async fn reserve_founding(self, _: Context, proposal: FoundingProposal) -> bool {
        let now = self.clock.now();
        self.reservations().reserve(now, &attempt_of(proposal))
    }

    async fn release_founding(self, _: Context, proposal: FoundingProposal) {
        self.reservations().release(&attempt_of(proposal));
    }

    async fn announce(self, _: Context, _: Announcement) -> bool {
        false
    }

    async fn depart(self, _: Context, _: EndpointId) -> bool {
        false
    }

    async fn change(self, _: Context, _: ChangeRequest) -> ControlReply<ChangeAnswer> {
        ControlReply::NotLeader(None)
    }

    async fn claim(self, _: Context, _: Claim) -> ControlReply<ClaimAnswer> {
        ControlReply::NotLeader(None)
    }

    async fn reassign(self, _: Context, _: Reassign) -> ControlReply<ClaimAnswer> {
        ControlReply::NotLeader(None)
    }

    async fn settle(self, _: Context, _: Settle) -> ControlReply<ClaimAnswer> {
        ControlReply::NotLeader(None)
    }

    async fn read(self, _: Context, _: ReadRequest) -> ControlReply<ReadAnswer> {
        ControlReply::NotLeader(None)
    }

    async fn change_replicas(self, _: Context, _: ReplicaChange) -> ControlReply<ReplicaAnswer> {
        ControlReply::NotLeader(None)
    }

    async fn renew(self, _: Context, _: RenewRequest) -> RenewReply {
        RenewReply {
            age_ms: None,
            update: None,
            version: CatalogueVersion::default(),
        }
    }

    async fn put_document(self, _: Context, _: DocumentChange) -> ControlReply<DocumentAnswer> {
        ControlReply::NotLeader(None)
    }

    /// A forwarder has no registry; only callers that have not read the directory ask it.
    async fn watch(self, _: Context, _: WatchRequest) -> WatchReply {
        WatchReply {
            document_version: None,
            endpoints: Vec::new(),
            entries: 0,
            entries_nearby: Vec::new(),
            heard: Vec::new(),
            is_leading: false,
            loads: Vec::new(),
            loads_revision: 0,
            members: self.client.replicas(),
            registry: 0,
            revision: 0,
            rollouts: Vec::new(),
            rollouts_revision: 0,
            stored_versions: Vec::new(),
            suspects: Vec::new(),
            suspects_revision: 0,
            versions_revision: 0,
            zone: self.zone.clone(),
        }
    }

    async fn tell_loads(self, _: Context, _: Watcher, _: Vec<EndpointLoad>) {}

    async fn tell_crashes(self, _: Context, _: Vec<RequestRecord>) {}

    async fn tell_stream_origins(self, _: Context, _: Vec<StreamRecord>) -> bool {
        false
    }

    async fn find_stream_origin(self, _: Context, _: String, _: Option<AttemptKey>) -> OriginReply {
        OriginReply::default()
    }

    async fn tell_rollout_evidence(self, _: Context, _: Vec<EvidenceReport>) {}

    async fn find_kept(self, _: Context, _: Vec<PromptPart>) -> Vec<CachedTokens> {
        Vec::new()
    }

    async fn take_place(self, _: Context, _: EngineReservationRequest) -> Option<EndpointLoad> {
        None
    }

    async fn grant_request(self, _: Context, _: Vec<EndpointId>) -> Option<EndpointId> {
        None
    }

    async fn document_pieces(self, _: Context, _: u64) -> Option<PieceList> {
        None
    }

    async fn find_pieces(self, _: Context, _: Vec<PieceHash>) -> Vec<(PieceHash, PackedPiece)> {
        Vec::new()
    }

    async fn order_rollout(self, _: Context, _: RolloutRequest) -> ControlReply<RolloutAnswer> {
        ControlReply::NotLeader(None)
    }
}
