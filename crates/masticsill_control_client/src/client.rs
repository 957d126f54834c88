//! A client that finds the leader and retries calls that are safe to repeat.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use masticsill_catalogue::{
    ChangeAnswer, Claim, ClaimAnswer, DocumentAnswer, PackedPiece, PieceHash, PieceList, Reassign,
    Settle,
};
use masticsill_quarantine::RequestRecord;
use masticsill_registry::{
    Announcement, AttemptKey, CachedTokens, EndpointId, EndpointLoad, EngineReservationRequest,
    OriginReply, PromptPart, StreamRecord, Watcher,
};
use masticsill_rollout::EvidenceReport;
use masticsill_types::NodeId;
use masticsill_wire::control::{
    ChangeRequest, ControlServiceClient, Directory, DocumentChange, FoundingProposal, Introduction,
    ReadAnswer, ReadRequest, RenewReply, RenewRequest, ReplicaAnswer, ReplicaChange,
    ReplicaIdentity, RolloutAnswer, RolloutRequest, WatchReply, WatchRequest,
};

use crate::address_book::AddressBook;
use crate::attempts::{ATTEMPT_TIMEOUT_MS, Connections};

/// Timeout of an order of a roll-out including its retries. Operators send it to another process
/// after this time.
pub const ORDER_TIMEOUT_MS: u64 = 1_000;
/// Timeout of one attempt of an order: several times what the quorum takes to accept it, and short
/// enough that another replica is tried within [`ORDER_TIMEOUT_MS`].
const ORDER_ATTEMPT_TIMEOUT_MS: u64 = 400;

/// No leader answered within the time allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlUnavailable {
    /// Whether the call may have been carried out; retrying is safe.
    pub is_outcome_unknown: bool,
}

impl fmt::Display for ControlUnavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let done = if self.is_outcome_unknown {
            "the call may have been carried out"
        } else {
            "nothing was done"
        };
        write!(
            formatter,
            "no control leader answered in time; {done}; send it again with the same id"
        )
    }
}

impl std::error::Error for ControlUnavailable {}

/// Calls the control replicas. Clones share their connections.
///
/// Every call is safe to repeat (changes carry an id, claims a nonce, the rest is idempotent), so
/// calls to the leader are retried after a lost answer until the timeout. Requires a `tokio`
/// runtime.
#[derive(Clone, Debug)]
pub struct ControlClient {
    pub(crate) book: AddressBook,
    pub(crate) connections: Arc<Mutex<Connections>>,
}

impl ControlClient {
    /// Creates a client for the replicas of an address book.
    #[must_use]
    pub fn new(book: AddressBook) -> Self {
        Self {
            book,
            connections: Arc::default(),
        }
    }

    /// The address book of this client.
    #[must_use]
    pub fn book(&self) -> &AddressBook {
        &self.book
    }

    /// The replicas with a known address, and that address.
    #[must_use]
    pub fn replicas(&self) -> Vec<(NodeId, SocketAddr)> {
        self.book.named()
    }

    /// Changes the catalogue.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn change(
        &self,
        request: &ChangeRequest,
        timeout_ms: u64,
    ) -> Result<ChangeAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.change(context, request.clone()).await
        };
        self.call_leader(timeout_ms, send).await
    }

    /// Claims a call that must not be executed twice.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn claim(
        &self,
        claim: &Claim,
        timeout_ms: u64,
    ) -> Result<ClaimAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.claim(context, claim.clone()).await
        };
        self.call_leader(timeout_ms, send).await
    }

    /// Reassigns a claim to another agent.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn reassign(
        &self,
        reassign: &Reassign,
        timeout_ms: u64,
    ) -> Result<ClaimAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.reassign(context, reassign.clone()).await
        };
        self.call_leader(timeout_ms, send).await
    }

    /// Settles a claim. Bodies that are too large to store are replaced by their digests before
    /// sending.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn settle(
        &self,
        settle: Settle,
        timeout_ms: u64,
    ) -> Result<ClaimAnswer, ControlUnavailable> {
        let settle = settle.with_bounded_body();
        let send = async |client: ControlServiceClient, context| {
            client.settle(context, settle.clone()).await
        };
        self.call_leader(timeout_ms, send).await
    }

    /// Reads the current state.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn read(
        &self,
        request: &ReadRequest,
        timeout_ms: u64,
    ) -> Result<ReadAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.read(context, request.clone()).await
        };
        self.call_leader(timeout_ms, send).await
    }

    /// Changes the members of the control quorum.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn change_replicas(
        &self,
        change: &ReplicaChange,
        timeout_ms: u64,
    ) -> Result<ReplicaAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.change_replicas(context, change.clone()).await
        };
        self.call_leader(timeout_ms, send).await
    }

    /// Puts a catalogue document in force.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn put_document(
        &self,
        change: &DocumentChange,
        timeout_ms: u64,
    ) -> Result<DocumentAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.put_document(context, change.clone()).await
        };
        self.call_leader(timeout_ms, send).await
    }

    /// Orders a roll-out. An attempt without an answer is soon repeated at another replica, because
    /// the caller itself moves on after [`ORDER_TIMEOUT_MS`].
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] if no leader answered within `timeout_ms`.
    pub async fn order_rollout(
        &self,
        request: &RolloutRequest,
        timeout_ms: u64,
    ) -> Result<RolloutAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.order_rollout(context, request.clone()).await
        };
        self.call_leader_within(timeout_ms, ORDER_ATTEMPT_TIMEOUT_MS, send)
            .await
    }

    /// Requests a proof of freshness from the replica at an address; `None` when it does not
    /// answer.
    pub async fn renew(&self, address: SocketAddr, request: RenewRequest) -> Option<RenewReply> {
        let send =
            async |client: ControlServiceClient, context| client.renew(context, request).await;
        self.call_once(address, send).await
    }

    /// Waits for updates from the replica at an address; `None` when it does not answer.
    pub async fn watch(&self, address: SocketAddr, request: &WatchRequest) -> Option<WatchReply> {
        let timeout_ms = request.wait_ms + ATTEMPT_TIMEOUT_MS;
        let send = async |client: ControlServiceClient, context| {
            client.watch(context, request.clone()).await
        };
        self.call_within(address, timeout_ms, send).await
    }

    /// Sends the replica at an address the load that a watcher causes at the endpoints of its zone;
    /// returns whether the replica received it.
    pub async fn tell_loads(
        &self,
        address: SocketAddr,
        watcher: &Watcher,
        loads: &[EndpointLoad],
    ) -> bool {
        let send = async |client: ControlServiceClient, context| {
            client
                .tell_loads(context, watcher.clone(), loads.to_vec())
                .await
        };
        self.call_once(address, send).await.is_some()
    }

    /// Sends the replica at an address the records of requests during which endpoints crashed;
    /// returns whether the replica received them.
    pub async fn tell_crashes(&self, address: SocketAddr, records: &[RequestRecord]) -> bool {
        let send = async |client: ControlServiceClient, context| {
            client.tell_crashes(context, records.to_vec()).await
        };
        self.call_once(address, send).await.is_some()
    }

    /// Sends the replica at an address the origins of streams; returns whether it has stored them, or
    /// `None` if it may not have received them.
    pub async fn tell_stream_origins(
        &self,
        address: SocketAddr,
        streams: &[StreamRecord],
    ) -> Option<bool> {
        let send = async |client: ControlServiceClient, context| {
            client.tell_stream_origins(context, streams.to_vec()).await
        };
        self.call_once(address, send).await
    }

    /// Asks the replica at an address where a stream of a service began; `None` when it does not
    /// answer within `timeout_ms`.
    pub async fn find_stream_origin(
        &self,
        address: SocketAddr,
        service: &str,
        attempt: Option<AttemptKey>,
        timeout_ms: u64,
    ) -> Option<OriginReply> {
        let send = async |client: ControlServiceClient, context| {
            client
                .find_stream_origin(context, service.to_owned(), attempt)
                .await
        };
        self.try_within(address, timeout_ms, &send).await
    }

    /// Sends the replica at an address what this entry has seen of roll-outs in progress; returns
    /// whether the replica received it.
    pub async fn tell_rollout_evidence(
        &self,
        address: SocketAddr,
        reports: &[EvidenceReport],
    ) -> bool {
        let send = async |client: ControlServiceClient, context| {
            client
                .tell_rollout_evidence(context, reports.to_vec())
                .await
        };
        self.call_once(address, send).await.is_some()
    }

    /// Asks the replica at an address which engines of its zone have a prefix of a prompt in their
    /// cache; `None` when it does not answer.
    pub async fn find_kept(
        &self,
        address: SocketAddr,
        prompt: &[PromptPart],
    ) -> Option<Vec<CachedTokens>> {
        let send = async |client: ControlServiceClient, context| {
            client.find_kept(context, prompt.to_vec()).await
        };
        self.call_once(address, send).await
    }

    /// Reserves a slot at an engine of the zone of the replica at an address; `None` when the
    /// replica does not answer or has no engine to reserve.
    pub async fn take_place(
        &self,
        address: SocketAddr,
        request: &EngineReservationRequest,
    ) -> Option<EndpointLoad> {
        let send = async |client: ControlServiceClient, context| {
            client.take_place(context, request.clone()).await
        };
        self.call_once(address, send).await.flatten()
    }

    /// Requests a permit for one request at one of the endpoints in the zone of the replica at an
    /// address; `None` when the replica does not answer or grants none.
    pub async fn grant_request(
        &self,
        address: SocketAddr,
        endpoints: &[EndpointId],
    ) -> Option<EndpointId> {
        let send = async |client: ControlServiceClient, context| {
            client.grant_request(context, endpoints.to_vec()).await
        };
        self.call_once(address, send).await.flatten()
    }

    /// Asks the replica at an address for the list of pieces of its document, of version `version`
    /// or newer; `None` when it does not answer within `timeout_ms` or has no such document.
    pub async fn document_pieces(
        &self,
        address: SocketAddr,
        version: u64,
        timeout_ms: u64,
    ) -> Option<PieceList> {
        let send = async |client: ControlServiceClient, context| {
            client.document_pieces(context, version).await
        };
        self.try_within(address, timeout_ms, &send).await.flatten()
    }

    /// Fetches pieces of a document from the replica at an address; `None` when it does not answer
    /// within `timeout_ms`.
    pub async fn find_pieces(
        &self,
        address: SocketAddr,
        hashes: &[PieceHash],
        timeout_ms: u64,
    ) -> Option<Vec<(PieceHash, PackedPiece)>> {
        let send = async |client: ControlServiceClient, context| {
            client.find_pieces(context, hashes.to_vec()).await
        };
        self.try_within(address, timeout_ms, &send).await
    }

    /// Asks the replica at an address for its identity; `None` when it does not answer.
    pub async fn identify(&self, address: SocketAddr) -> Option<ReplicaIdentity> {
        let send = async |client: ControlServiceClient, context| client.identify(context).await;
        self.call_once(address, send).await.flatten()
    }

    /// Asks the process at an address which replicas it knows, and introduces this process if
    /// `introduction` is given; `None` when it does not answer.
    pub async fn directory(
        &self,
        address: SocketAddr,
        introduction: Option<&Introduction>,
    ) -> Option<Directory> {
        let send = async |client: ControlServiceClient, context| {
            client.directory(context, introduction.cloned()).await
        };
        self.call_once(address, send).await
    }

    /// Reserves the process at an address for a founding; returns whether the reservation was
    /// granted.
    pub async fn reserve_founding(&self, address: SocketAddr, proposal: &FoundingProposal) -> bool {
        let send = async |client: ControlServiceClient, context| {
            client.reserve_founding(context, proposal.clone()).await
        };
        self.call_once(address, send).await == Some(true)
    }

    /// Releases the reservation of the process at an address.
    pub async fn release_founding(&self, address: SocketAddr, proposal: &FoundingProposal) {
        let send = async |client: ControlServiceClient, context| {
            client.release_founding(context, proposal.clone()).await
        };
        // The reservation of an unreachable process expires by itself.
        let _ = self.call_once(address, send).await;
    }

    /// Forwards an endpoint's heartbeat to the replica at an address; returns whether the replica
    /// accepted it.
    pub async fn announce(
        &self,
        address: SocketAddr,
        announcement: &Announcement,
        timeout_ms: u64,
    ) -> bool {
        let send = async |client: ControlServiceClient, context| {
            client.announce(context, announcement.clone()).await
        };
        self.call_within(address, timeout_ms, send).await == Some(true)
    }

    /// Forwards an endpoint's deregistration, as [`Self::announce`] does for a heartbeat.
    pub async fn depart(&self, address: SocketAddr, id: &EndpointId, timeout_ms: u64) -> bool {
        let send =
            async |client: ControlServiceClient, context| client.depart(context, id.clone()).await;
        self.call_within(address, timeout_ms, send).await == Some(true)
    }

    /// Sends the founding members to the replica at an address; returns whether the replica belongs
    /// to a cluster afterwards.
    pub async fn found(&self, address: SocketAddr, members: &[ReplicaIdentity]) -> bool {
        let send = async |client: ControlServiceClient, context| {
            client.found(context, members.to_vec()).await
        };
        self.call_once(address, send).await == Some(true)
    }
}
