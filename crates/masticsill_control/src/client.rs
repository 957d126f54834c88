//! A client that finds the leader and sends again what may be sent again.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use masticsill_catalogue::{ChangeAnswer, Claim, ClaimAnswer, Reassign, Settle};
use masticsill_runtime::connect_transport;
use masticsill_wire::ServiceKind;
use masticsill_wire::control::{
    ChangeRequest, ControlReply, ControlServiceClient, LeaderHint, ReadAnswer, ReadRequest,
    RenewReply, RenewRequest, ReplicaAnswer, ReplicaChange, ReplicaIdentity,
};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::book::AddressBook;

const CONNECT_TIMEOUT_MS: u64 = 500;
const ATTEMPT_TIMEOUT_MS: u64 = 1_000;
const RETRY_PAUSE_MS: u64 = 40;

/// No leader answered within the time allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlUnavailable {
    /// Whether the call may have been carried out; sending it again is safe.
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

#[derive(Debug, Default)]
struct Connections {
    by_address: IndexMap<SocketAddr, ControlServiceClient>,
    leader: Option<SocketAddr>,
    next_seed: usize,
}

/// Calls the control replicas. Clones share their connections.
///
/// Every call is safe to repeat (changes carry an id, claims a nonce, the rest is idempotent), so
/// a lost answer is asked for again until the bound. Needs a `tokio` runtime.
#[derive(Clone, Debug)]
pub struct ControlClient {
    book: AddressBook,
    connections: Arc<Mutex<Connections>>,
}

/// What became of one attempt.
enum Attempt<T> {
    Done(T),
    Lost,
    Refused { pause_ms: u64 },
}

impl ControlClient {
    /// A client for the replicas of a book.
    #[must_use]
    pub fn new(book: AddressBook) -> Self {
        Self {
            book,
            connections: Arc::default(),
        }
    }

    /// Changes the catalogue.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] after `bound_ms`.
    pub async fn change(
        &self,
        request: &ChangeRequest,
        bound_ms: u64,
    ) -> Result<ChangeAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.change(context, request.clone()).await
        };
        self.call_leader(bound_ms, send).await
    }

    /// Claims a call that may not be repeated.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] after `bound_ms`.
    pub async fn claim(
        &self,
        claim: &Claim,
        bound_ms: u64,
    ) -> Result<ClaimAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.claim(context, claim.clone()).await
        };
        self.call_leader(bound_ms, send).await
    }

    /// Moves a claim.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] after `bound_ms`.
    pub async fn reassign(
        &self,
        reassign: &Reassign,
        bound_ms: u64,
    ) -> Result<ClaimAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.reassign(context, reassign.clone()).await
        };
        self.call_leader(bound_ms, send).await
    }

    /// Settles a claim. Bodies too large to keep are cut to their digests before they are sent.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] after `bound_ms`.
    pub async fn settle(
        &self,
        settle: Settle,
        bound_ms: u64,
    ) -> Result<ClaimAnswer, ControlUnavailable> {
        let settle = settle.trimmed();
        let send = async |client: ControlServiceClient, context| {
            client.settle(context, settle.clone()).await
        };
        self.call_leader(bound_ms, send).await
    }

    /// Reads the state as it is now.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] after `bound_ms`.
    pub async fn read(
        &self,
        request: &ReadRequest,
        bound_ms: u64,
    ) -> Result<ReadAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.read(context, request.clone()).await
        };
        self.call_leader(bound_ms, send).await
    }

    /// Changes the control replicas.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`] after `bound_ms`.
    pub async fn change_replicas(
        &self,
        change: &ReplicaChange,
        bound_ms: u64,
    ) -> Result<ReplicaAnswer, ControlUnavailable> {
        let send = async |client: ControlServiceClient, context| {
            client.change_replicas(context, change.clone()).await
        };
        self.call_leader(bound_ms, send).await
    }

    /// Asks the replica at an address for a proof of freshness; `None` when it does not answer.
    pub async fn renew(&self, address: SocketAddr, request: RenewRequest) -> Option<RenewReply> {
        let send =
            async |client: ControlServiceClient, context| client.renew(context, request).await;
        self.call_once(address, send).await
    }

    /// Asks the replica at an address who it is; `None` when it does not answer.
    pub(crate) async fn identify(&self, address: SocketAddr) -> Option<ReplicaIdentity> {
        let send = async |client: ControlServiceClient, context| client.identify(context).await;
        self.call_once(address, send).await.flatten()
    }

    /// Gives the founding members to the replica at an address.
    pub(crate) async fn found(&self, address: SocketAddr, members: &[ReplicaIdentity]) -> bool {
        let send = async |client: ControlServiceClient, context| {
            client.found(context, members.to_vec()).await
        };
        self.call_once(address, send).await == Some(true)
    }

    async fn call_once<T>(
        &self,
        address: SocketAddr,
        send: impl AsyncFn(ControlServiceClient, Context) -> Result<T, RpcError>,
    ) -> Option<T> {
        // A connection from before may lead to a process that has ended since.
        let attempts = if self.is_connected(address) { 2 } else { 1 };
        for _ in 0..attempts {
            let client = self.connect(address).await?;
            let reply = send(client, context_of(ATTEMPT_TIMEOUT_MS)).await;
            if let Ok(reply) = reply {
                return Some(reply);
            }
            self.disconnect(address);
        }
        None
    }

    fn is_connected(&self, address: SocketAddr) -> bool {
        self.lock().by_address.contains_key(&address)
    }

    async fn call_leader<T>(
        &self,
        bound_ms: u64,
        send: impl AsyncFn(ControlServiceClient, Context) -> Result<ControlReply<T>, RpcError>,
    ) -> Result<T, ControlUnavailable> {
        let bound = Instant::now() + Duration::from_millis(bound_ms);
        let mut is_outcome_unknown = false;
        loop {
            let left_ms = duration_ms(bound.saturating_duration_since(Instant::now()));
            if left_ms == 0 {
                return Err(ControlUnavailable { is_outcome_unknown });
            }
            let timeout_ms = left_ms.min(ATTEMPT_TIMEOUT_MS);
            let pause_ms = match self.attempt(timeout_ms, &send).await {
                Attempt::Done(answer) => return Ok(answer),
                Attempt::Lost => {
                    is_outcome_unknown = true;
                    RETRY_PAUSE_MS
                }
                Attempt::Refused { pause_ms } => pause_ms,
            };
            tokio::time::sleep(Duration::from_millis(pause_ms.min(left_ms))).await;
        }
    }

    async fn attempt<T>(
        &self,
        timeout_ms: u64,
        send: impl AsyncFn(ControlServiceClient, Context) -> Result<ControlReply<T>, RpcError>,
    ) -> Attempt<T> {
        let pause_ms = RETRY_PAUSE_MS;
        let Some(address) = self.choose() else {
            return Attempt::Refused { pause_ms };
        };
        let Some(client) = self.connect(address).await else {
            self.forget_leader();
            return Attempt::Refused { pause_ms };
        };
        match send(client, context_of(timeout_ms)).await {
            Ok(ControlReply::Done(answer)) => {
                self.lock().leader = Some(address);
                Attempt::Done(answer)
            }
            Ok(ControlReply::NotLeader(hint)) => Attempt::Refused {
                pause_ms: self.follow(address, hint),
            },
            Ok(ControlReply::OutcomeUnknown) => {
                self.forget_leader();
                Attempt::Lost
            }
            Ok(ControlReply::Overloaded { retry_after_ms }) => Attempt::Refused {
                pause_ms: retry_after_ms,
            },
            Ok(ControlReply::ShuttingDown) => {
                self.forget_leader();
                Attempt::Refused { pause_ms }
            }
            Err(_) => {
                self.disconnect(address);
                Attempt::Lost
            }
        }
    }

    /// The leader if it is known, else the next replica in turn.
    fn choose(&self) -> Option<SocketAddr> {
        let all = self.book.all();
        let mut connections = self.lock();
        if let Some(leader) = connections.leader {
            return Some(leader);
        }
        connections.next_seed += 1;
        let position = connections.next_seed.checked_rem(all.len())?;
        all.get(position).copied()
    }

    /// Turns to the leader that a replica named; returns the pause before, in milliseconds.
    fn follow(&self, asked: SocketAddr, hint: Option<LeaderHint>) -> u64 {
        let address = hint.and_then(|hint| self.book.get(&hint.node).or(hint.address));
        let leader = address.filter(|leader| *leader != asked);
        self.lock().leader = leader;
        if leader.is_some() { 1 } else { RETRY_PAUSE_MS }
    }

    async fn connect(&self, address: SocketAddr) -> Option<ControlServiceClient> {
        if let Some(client) = self.lock().by_address.get(&address) {
            return Some(client.clone());
        }
        let client = connect(address).await?;
        self.lock().by_address.insert(address, client.clone());
        Some(client)
    }

    fn disconnect(&self, address: SocketAddr) {
        let mut connections = self.lock();
        connections.by_address.swap_remove(&address);
        if connections.leader == Some(address) {
            connections.leader = None;
        }
    }

    fn forget_leader(&self) {
        self.lock().leader = None;
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) async fn connect(address: SocketAddr) -> Option<ControlServiceClient> {
    let transport = connect_transport(address, ServiceKind::Control, CONNECT_TIMEOUT_MS);
    let transport = transport.await.ok()?;
    let config = tarpc::client::Config::default();
    Some(ControlServiceClient::new(config, transport).spawn())
}

fn context_of(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
