//! Sends messages to the other replicas, and requests proofs of freshness from the leader.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_control_client::{AddressBook, connect};
use masticsill_runtime::{Ring, call_context};
use masticsill_types::NodeId;
use masticsill_wire::control::{ControlServiceClient, QuorumBatch, RenewRequest};

use super::service::ControlServer;
use crate::quorum::{Outgoing, Request};

const BATCH_TIMEOUT_MS: u64 = 1_000;
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
const PROOF_INTERVAL: Duration = Duration::from_millis(250);
/// Most messages queued for one peer; the quorum resends what is dropped.
const PEER_QUEUE_CAPACITY: usize = 4_096;
/// Message bytes after which no further message is added to a call.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Name and address of this replica, sent with every batch.
#[derive(Clone, Debug)]
pub(crate) struct LocalReplica {
    pub(crate) address: SocketAddr,
    pub(crate) node: NodeId,
}

impl LocalReplica {
    fn batch(&self, messages: Vec<Vec<u8>>) -> QuorumBatch {
        QuorumBatch {
            address: self.address,
            messages,
            node: self.node.clone(),
        }
    }
}

/// Sends messages through a queue and a task for each peer, so that a slow peer does not delay
/// others.
pub(crate) async fn run_outgoing(local: LocalReplica, book: AddressBook, outgoing: Ring<Outgoing>) {
    let mut queues: IndexMap<NodeId, Ring<Vec<u8>>> = IndexMap::new();
    while let Some(Outgoing { message, to }) = outgoing.pop().await {
        let queue = queues.entry(to.clone()).or_insert_with(|| {
            let queue = Ring::with_capacity(PEER_QUEUE_CAPACITY);
            let peer = Peer {
                book: book.clone(),
                connection: None,
                node: to,
                queue: queue.clone(),
                local: local.clone(),
            };
            tokio::task::spawn_local(peer.run());
            queue
        });
        // A message that doesn't fit is dropped, as a network may do.
        let _ = queue.push(message);
    }
}

struct Peer {
    book: AddressBook,
    connection: Option<(SocketAddr, ControlServiceClient)>,
    node: NodeId,
    queue: Ring<Vec<u8>>,
    local: LocalReplica,
}

impl Peer {
    async fn run(mut self) {
        while let Some(first) = self.queue.pop().await {
            let batch = self.local.batch(self.take_batch(first));
            if !self.send(batch).await {
                self.connection = None;
                // Messages queued meanwhile are outdated for a peer that was unreachable.
                while self.queue.try_pop().is_some() {}
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }

    fn take_batch(&self, first: Vec<u8>) -> Vec<Vec<u8>> {
        let mut size_bytes = first.len();
        let mut messages = vec![first];
        while size_bytes < MAX_BATCH_BYTES
            && let Some(message) = self.queue.try_pop()
        {
            size_bytes += message.len();
            messages.push(message);
        }
        messages
    }

    async fn send(&mut self, batch: QuorumBatch) -> bool {
        let Some(address) = self.book.get(&self.node) else {
            return false;
        };
        let connected = self.connection.take().filter(|(to, _)| *to == address);
        let client = match connected {
            Some((_, client)) => client,
            None => match connect(address).await {
                Some(client) => client,
                None => return false,
            },
        };
        let is_sent = send_batch(&client, batch).await;
        self.connection = Some((address, client));
        is_sent
    }
}

async fn send_batch(client: &ControlServiceClient, batch: QuorumBatch) -> bool {
    let context = call_context(BATCH_TIMEOUT_MS);
    client.quorum_messages(context, batch).await.is_ok()
}

/// Requests proofs of freshness from the leader while this replica does not lead.
pub(crate) async fn run_proofs(server: ControlServer) {
    loop {
        tokio::time::sleep(PROOF_INTERVAL).await;
        let status = server.quorum.status();
        if status.is_leading {
            continue;
        }
        let leader = status.leader.and_then(|leader| server.book.get(&leader));
        let Some(address) = leader else {
            continue;
        };
        // The age is subtracted from the time of sending, as the answer may have been delayed in
        // the network.
        let sent_at = server.clock.now();
        let have = status.version;
        let Some(reply) = server.client.renew(address, RenewRequest { have }).await else {
            continue;
        };
        if let Some(age_ms) = reply.age_ms {
            let proof = Request::Proof {
                version: reply.version,
                as_of: sent_at.before(age_ms),
            };
            let _ = server.quorum.requests.push(proof);
        }
    }
}
