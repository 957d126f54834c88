//! A control replica that serves documents and nothing else, behind a fault proxy.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use masticsill_catalogue::{
    ChangeAnswer, Claim, ClaimAnswer, DocumentAnswer, PackedPiece, PieceHash, PieceList,
    PieceStore, Reassign, Settle, StoredDocument,
};
use masticsill_quarantine::RequestRecord;
use masticsill_registry::{
    Announcement, CachedTokens, EndpointId, EndpointLoad, EngineReservationRequest, PromptPart,
    Watcher,
};
use masticsill_rollout::EvidenceReport;
use masticsill_runtime::{DutyHandle, ShutdownSignal, listen, spawn_async_duty};
use masticsill_testkit::FaultProxy;
use masticsill_types::{NodeId, ZoneId};
use masticsill_wire::control::{
    ChangeRequest, ControlReply, ControlService, Directory, DocumentChange, FoundingProposal,
    Introduction, QuorumBatch, ReadAnswer, ReadRequest, RenewReply, RenewRequest, ReplicaAnswer,
    ReplicaChange, ReplicaIdentity, WatchReply, WatchRequest,
};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

#[derive(Debug)]
struct Shared {
    book: Mutex<PieceStore>,
    calls: AtomicU64,
    sent_bytes: AtomicU64,
    versions: watch::Sender<Option<u64>>,
    zone: ZoneId,
}

#[derive(Clone, Debug)]
struct Server {
    shared: Arc<Shared>,
}

/// A replica that answers a relay's calls about documents.
pub(crate) struct Replica {
    duty: Option<DutyHandle>,
    ended: ShutdownSignal,
    pub(crate) proxy: FaultProxy,
    shared: Arc<Shared>,
}

impl Replica {
    pub(crate) fn start(zone: &str) -> Self {
        let shared = Arc::new(Shared {
            book: Mutex::default(),
            calls: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            versions: watch::Sender::new(None),
            zone: zone.parse().unwrap(),
        });
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let proxy = FaultProxy::start(Some(listener.local_address().unwrap())).unwrap();
        let ended = ShutdownSignal::default();
        let (server, signal) = (Arc::clone(&shared), ended.clone());
        let duty = spawn_async_duty("replica", || async move {
            let serving = listener.serve(move |_, stream| {
                let transport = stream.into_transport().unwrap();
                let shared = Arc::clone(&server);
                let server = Server { shared };
                let calls = BaseChannel::with_defaults(transport).execute(server.serve());
                spawn_local(calls.for_each_concurrent(None, |call| call));
            });
            tokio::select! {
                end = serving => end.unwrap(),
                () = signal.requested() => {}
            }
        });
        Self {
            duty: Some(duty.unwrap()),
            ended,
            proxy,
            shared,
        }
    }

    pub(crate) fn apply(&self, version: u64, text: &str) {
        let document = StoredDocument::pack(text.as_bytes(), version);
        self.shared.book.lock().unwrap().add(&document).unwrap();
        self.shared.versions.send_replace(Some(version));
    }

    /// Reports a version whose pieces are not available yet.
    pub(crate) fn announce(&self, version: u64) {
        self.shared.versions.send_replace(Some(version));
    }

    /// Number of calls for pieces so far.
    pub(crate) fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Packed bytes of the pieces sent so far.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.ended.request();
        if let Some(duty) = self.duty.take() {
            let _ = duty.join();
        }
    }
}

impl ControlService for Server {
    async fn directory(self, _: Context, _: Option<Introduction>) -> Directory {
        Directory {
            keeps_state: true,
            node: "replica".parse().unwrap(),
            replicas: Vec::new(),
        }
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        let mut versions = self.shared.versions.subscribe();
        let is_news = versions.wait_for(|version| *version > request.document_seen);
        let _ = timeout(Duration::from_millis(request.wait_ms), is_news).await;
        let document_version = *self.shared.versions.borrow();
        WatchReply {
            document_version,
            endpoints: Vec::new(),
            entries: 1,
            entries_nearby: Vec::new(),
            heard: Vec::new(),
            is_leading: false,
            loads: Vec::new(),
            loads_revision: 0,
            members: Vec::new(),
            outages: None,
            outages_revision: 0,
            reached: Vec::new(),
            registry: 1,
            revision: 0,
            rollouts: Vec::new(),
            rollouts_revision: 0,
            suspects: Vec::new(),
            suspects_revision: 0,
            zone: self.shared.zone.clone(),
        }
    }

    async fn document_pieces(self, _: Context, version: u64) -> Option<PieceList> {
        let book = self.shared.book.lock().unwrap();
        let newest = book.newest().filter(|list| list.version >= version);
        newest.map(|list| PieceList::clone(list))
    }

    async fn find_pieces(
        self,
        _: Context,
        hashes: Vec<PieceHash>,
    ) -> Vec<(PieceHash, PackedPiece)> {
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let found = self.shared.book.lock().unwrap().find(&hashes);
        let bytes: usize = found.iter().map(|(_, piece)| piece.packed_bytes()).sum();
        self.shared
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        found
    }

    async fn tell_loads(self, _: Context, _: Watcher, _: Vec<EndpointLoad>) {}

    async fn tell_crashes(self, _: Context, _: Vec<RequestRecord>) {}

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

    async fn quorum_messages(self, _: Context, _: QuorumBatch) {}

    async fn identify(self, _: Context) -> Option<ReplicaIdentity> {
        None
    }

    async fn found(self, _: Context, _: Vec<ReplicaIdentity>) -> bool {
        false
    }

    async fn reserve_founding(self, _: Context, _: FoundingProposal) -> bool {
        false
    }

    async fn release_founding(self, _: Context, _: FoundingProposal) {}

    async fn announce(self, _: Context, _: Announcement) -> bool {
        false
    }

    async fn depart(self, _: Context, _: EndpointId) -> bool {
        false
    }

    async fn change(self, _: Context, _: ChangeRequest) -> ControlReply<ChangeAnswer> {
        ControlReply::ShuttingDown
    }

    async fn claim(self, _: Context, _: Claim) -> ControlReply<ClaimAnswer> {
        ControlReply::ShuttingDown
    }

    async fn reassign(self, _: Context, _: Reassign) -> ControlReply<ClaimAnswer> {
        ControlReply::ShuttingDown
    }

    async fn settle(self, _: Context, _: Settle) -> ControlReply<ClaimAnswer> {
        ControlReply::ShuttingDown
    }

    async fn read(self, _: Context, _: ReadRequest) -> ControlReply<ReadAnswer> {
        ControlReply::ShuttingDown
    }

    async fn change_replicas(self, _: Context, _: ReplicaChange) -> ControlReply<ReplicaAnswer> {
        ControlReply::ShuttingDown
    }

    async fn renew(self, _: Context, _: RenewRequest) -> RenewReply {
        unreachable!("a relay does not renew a catalogue")
    }

    async fn put_document(self, _: Context, _: DocumentChange) -> ControlReply<DocumentAnswer> {
        ControlReply::ShuttingDown
    }
}

/// Node id of the relay under test.
pub(crate) fn node() -> NodeId {
    "relay".parse().unwrap()
}
