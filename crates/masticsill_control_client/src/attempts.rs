//! Attempts of a call: which replica to call, and when to retry.

use std::net::SocketAddr;
use std::sync::{MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use masticsill_runtime::{call_context, connect_transport};
use masticsill_wire::ServiceKind;
use masticsill_wire::control::{ControlReply, ControlServiceClient, LeaderHint};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::client::{ControlClient, ControlUnavailable};

/// Connect timeout: twice a pause of 100 ms plus the latency between regions. A machine that has
/// lost power answers nothing, and once it is back only a new attempt finds it soon.
const CONNECT_TIMEOUT_MS: u64 = 250;
pub(crate) const ATTEMPT_TIMEOUT_MS: u64 = 1_000;
const RETRY_PAUSE_MS: u64 = 40;

/// Open connections, and the replica to call next.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    by_address: IndexMap<SocketAddr, ControlServiceClient>,
    leader: Option<SocketAddr>,
    next_seed: usize,
}

/// Outcome of one attempt.
enum Attempt<T> {
    Done(T),
    Lost,
    Refused { pause_ms: u64 },
}

impl ControlClient {
    pub(crate) async fn call_once<T>(
        &self,
        address: SocketAddr,
        send: impl AsyncFn(ControlServiceClient, Context) -> Result<T, RpcError>,
    ) -> Option<T> {
        self.call_within(address, ATTEMPT_TIMEOUT_MS, send).await
    }

    /// Calls the replica at an address, with a timeout for each attempt. Retries once if the call
    /// used an open connection.
    pub(crate) async fn call_within<T>(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
        send: impl AsyncFn(ControlServiceClient, Context) -> Result<T, RpcError>,
    ) -> Option<T> {
        // An open connection may lead to a process that has ended since.
        let attempts = if self.is_connected(address) { 2 } else { 1 };
        for _ in 0..attempts {
            if let Some(reply) = self.try_within(address, timeout_ms, &send).await {
                return Some(reply);
            }
        }
        None
    }

    /// Calls the replica at an address once, with a timeout.
    pub(crate) async fn try_within<T>(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
        send: &impl AsyncFn(ControlServiceClient, Context) -> Result<T, RpcError>,
    ) -> Option<T> {
        let client = self.connect(address).await?;
        let reply = send(client, call_context(timeout_ms)).await;
        if reply.is_err() {
            self.disconnect(address);
        }
        reply.ok()
    }

    fn is_connected(&self, address: SocketAddr) -> bool {
        self.lock().by_address.contains_key(&address)
    }

    pub(crate) async fn call_leader<T>(
        &self,
        total_timeout_ms: u64,
        send: impl AsyncFn(ControlServiceClient, Context) -> Result<ControlReply<T>, RpcError>,
    ) -> Result<T, ControlUnavailable> {
        self.call_leader_within(total_timeout_ms, ATTEMPT_TIMEOUT_MS, send)
            .await
    }

    /// Calls the leader, with a timeout for all attempts and one for each of them.
    pub(crate) async fn call_leader_within<T>(
        &self,
        total_timeout_ms: u64,
        attempt_timeout_ms: u64,
        send: impl AsyncFn(ControlServiceClient, Context) -> Result<ControlReply<T>, RpcError>,
    ) -> Result<T, ControlUnavailable> {
        let deadline = Instant::now() + Duration::from_millis(total_timeout_ms);
        let mut is_outcome_unknown = false;
        loop {
            let remaining_ms = duration_ms(deadline.saturating_duration_since(Instant::now()));
            if remaining_ms == 0 {
                return Err(ControlUnavailable { is_outcome_unknown });
            }
            let timeout_ms = remaining_ms.min(attempt_timeout_ms);
            let pause_ms = match self.attempt(timeout_ms, &send).await {
                Attempt::Done(answer) => return Ok(answer),
                Attempt::Lost => {
                    is_outcome_unknown = true;
                    RETRY_PAUSE_MS
                }
                Attempt::Refused { pause_ms } => pause_ms,
            };
            tokio::time::sleep(Duration::from_millis(pause_ms.min(remaining_ms))).await;
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
        match send(client, call_context(timeout_ms)).await {
            Ok(ControlReply::Done(answer)) => {
                self.lock().leader = Some(address);
                Attempt::Done(answer)
            }
            Ok(ControlReply::NotLeader(hint)) => Attempt::Refused {
                pause_ms: self.follow_leader_hint(address, hint),
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

    /// The leader if it is known, else the next replica in round-robin order.
    fn choose(&self) -> Option<SocketAddr> {
        // At an address without a known node there may be a process that only forwards calls.
        let named = self.book.named().into_iter().map(|(_, address)| address);
        let mut all: Vec<SocketAddr> = named.collect();
        if all.is_empty() {
            all = self.book.all();
        }
        let mut connections = self.lock();
        if let Some(leader) = connections.leader {
            return Some(leader);
        }
        connections.next_seed += 1;
        let position = connections.next_seed.checked_rem(all.len())?;
        all.get(position).copied()
    }

    /// Calls this leader next: a replica in this process knows it from the quorum.
    pub fn note_leader(&self, hint: &LeaderHint) {
        if let Some(address) = self.book.get(&hint.node).or(hint.address) {
            self.lock().leader = Some(address);
        }
    }

    /// Sets the leader to the one that a replica named; returns the pause before the next attempt,
    /// in milliseconds.
    fn follow_leader_hint(&self, called: SocketAddr, hint: Option<LeaderHint>) -> u64 {
        let address = hint.and_then(|hint| self.book.get(&hint.node).or(hint.address));
        let leader = address.filter(|leader| *leader != called);
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

/// Connects to the control replica at an address; `None` when the replica can't be reached in time.
pub async fn connect(address: SocketAddr) -> Option<ControlServiceClient> {
    let transport = connect_transport(address, ServiceKind::Control, CONNECT_TIMEOUT_MS);
    let transport = transport.await.ok()?;
    let config = tarpc::client::Config::default();
    Some(ControlServiceClient::new(config, transport).spawn())
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
