//! A control replica behind a fault proxy. It serves documents, and reports the endpoints and
//! roll-outs that a test sets.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub(crate) mod endpoint;

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
    Announcement, AttemptKey, CachedTokens, EndpointId, EndpointLoad, EndpointRecord,
    EngineReservationRequest, OriginReply, PromptPart, StreamOrigin, StreamOrigins, StreamRecord,
    Watcher,
};
use masticsill_rollout::{EvidenceReport, ServingRollout};
use masticsill_runtime::{DutyHandle, ShutdownSignal, listen, spawn_async_duty};
use masticsill_testkit::FaultProxy;
use masticsill_types::{ClockMs, NodeId, ZoneId};
use masticsill_wire::control::{
    ChangeRequest, ControlReply, ControlService, Directory, DocumentChange, FoundingProposal,
    Introduction, QuorumBatch, ReadAnswer, ReadRequest, RenewReply, RenewRequest, ReplicaAnswer,
    ReplicaChange, ReplicaIdentity, RolloutAnswer, RolloutRequest, WatchReply, WatchRequest,
};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The replica's clock stands still, so that it keeps all that entries report.
const NOW: ClockMs = ClockMs(0);

/// What the replica reports beside documents.
#[derive(Clone, Debug, Default)]
struct News {
    endpoints: Vec<EndpointRecord>,
    is_leading: bool,
    /// Counts all changes.
    revision: u64,
    rollouts: Vec<ServingRollout>,
}

#[derive(Debug)]
struct Shared {
    /// Where relays reach the replica, the only voter.
    address: SocketAddr,
    book: Mutex<PieceStore>,
    calls: AtomicU64,
    evidence: Mutex<Vec<EvidenceReport>>,
    news: watch::Sender<News>,
    origins: Mutex<StreamOrigins>,
    reservations: Mutex<Vec<EngineReservationRequest>>,
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
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let proxy = FaultProxy::start(Some(listener.local_address().unwrap())).unwrap();
        let shared = Arc::new(Shared {
            address: proxy.address(),
            book: Mutex::default(),
            calls: AtomicU64::new(0),
            evidence: Mutex::default(),
            news: watch::Sender::default(),
            origins: Mutex::default(),
            reservations: Mutex::default(),
            sent_bytes: AtomicU64::new(0),
            versions: watch::Sender::new(None),
            zone: zone.parse().unwrap(),
        });
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
        self.apply_packed(&StoredDocument::pack(text.as_bytes(), version));
    }

    pub(crate) fn apply_packed(&self, document: &StoredDocument) {
        self.shared.book.lock().unwrap().add(document).unwrap();
        self.shared.versions.send_replace(Some(document.version));
    }

    /// Reports a version whose pieces are not available yet.
    pub(crate) fn announce(&self, version: u64) {
        self.shared.versions.send_replace(Some(version));
    }

    /// Reports endpoints in place of the former ones.
    pub(crate) fn report_endpoints(&self, endpoints: Vec<EndpointRecord>) {
        self.change(|news| news.endpoints = endpoints);
    }

    /// Reports roll-outs in place of the former ones.
    pub(crate) fn report_rollouts(&self, rollouts: Vec<ServingRollout>) {
        self.change(|news| news.rollouts = rollouts);
    }

    /// Sets whether the replica leads.
    pub(crate) fn set_leading(&self, is_leading: bool) {
        self.change(|news| news.is_leading = is_leading);
    }

    fn change(&self, change: impl FnOnce(&mut News)) {
        self.shared.news.send_modify(|news| {
            change(news);
            news.revision += 1;
        });
    }

    /// The reports of evidence received so far.
    pub(crate) fn evidence(&self) -> Vec<EvidenceReport> {
        self.shared.evidence.lock().unwrap().clone()
    }

    /// The requests for reservations received so far.
    pub(crate) fn reservations(&self) -> Vec<EngineReservationRequest> {
        self.shared.reservations.lock().unwrap().clone()
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
        let mut news = self.shared.news.subscribe();
        let is_newer = |news: &News| {
            news.revision > request.revision || news.revision > request.rollouts_revision
        };
        let changed = async {
            tokio::select! {
                _ = versions.wait_for(|version| *version > request.document_seen) => {}
                _ = news.wait_for(is_newer) => {}
            }
        };
        let _ = timeout(Duration::from_millis(request.wait_ms), changed).await;
        let document_version = *self.shared.versions.borrow();
        let news = self.shared.news.borrow().clone();
        let endpoints = if news.revision > request.revision {
            news.endpoints
        } else {
            Vec::new()
        };
        let stored = endpoints.iter().map(|it| StreamOrigin {
            service: it.announcement.service.clone(),
            version: it.announcement.version.clone(),
        });
        let stored_versions = stored.collect();
        WatchReply {
            document_version,
            endpoints,
            entries: 1,
            entries_nearby: Vec::new(),
            heard: Vec::new(),
            is_leading: news.is_leading,
            loads: Vec::new(),
            loads_revision: 0,
            members: vec![("replica".parse().unwrap(), self.shared.address)],
            registry: 1,
            revision: news.revision,
            rollouts: news.rollouts,
            rollouts_revision: news.revision,
            stored_versions,
            suspects: Vec::new(),
            suspects_revision: 0,
            versions_revision: news.revision,
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

    async fn tell_stream_origins(self, _: Context, streams: Vec<StreamRecord>) -> bool {
        let mut origins = self.shared.origins.lock().unwrap();
        for record in &streams {
            origins.record(NOW, record);
        }
        true
    }

    async fn find_stream_origin(
        self,
        _: Context,
        service: String,
        attempt: Option<AttemptKey>,
    ) -> OriginReply {
        let origins = self.shared.origins.lock().unwrap();
        let announcements = self.shared.news.borrow().endpoints.clone();
        let announcements = announcements.into_iter().map(|it| it.announcement);
        let of_service = announcements.filter(|it| it.service == service);
        OriginReply {
            origin: attempt.and_then(|it| origins.find(NOW, &it).cloned()),
            versions: of_service.map(|it| it.version).collect(),
            versions_kept_ms: 60_000,
            uptime_ms: 60_000,
        }
    }

    async fn tell_rollout_evidence(self, _: Context, reports: Vec<EvidenceReport>) {
        self.shared.evidence.lock().unwrap().extend(reports);
    }

    async fn find_kept(self, _: Context, _: Vec<PromptPart>) -> Vec<CachedTokens> {
        Vec::new()
    }

    async fn take_place(
        self,
        _: Context,
        request: EngineReservationRequest,
    ) -> Option<EndpointLoad> {
        self.shared.reservations.lock().unwrap().push(request);
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

    async fn order_rollout(self, _: Context, _: RolloutRequest) -> ControlReply<RolloutAnswer> {
        ControlReply::ShuttingDown
    }
}

/// Node id of the relay under test.
pub(crate) fn node() -> NodeId {
    "relay".parse().unwrap()
}
