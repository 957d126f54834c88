//! Messages to the other replicas, and the proofs of freshness that the leader gives.

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
/// Messages that may wait for one peer; the quorum sends again what is dropped.
const QUEUE_MESSAGES: usize = 4_096;
/// Message bytes in one call.
const BATCH_BYTES: usize = 1024 * 1024;

/// This replica, as it introduces itself.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) address: SocketAddr,
    pub(crate) node: NodeId,
}

impl Sender {
    fn batch(&self, messages: Vec<Vec<u8>>) -> QuorumBatch {
        QuorumBatch {
            address: self.address,
            messages,
            node: self.node.clone(),
        }
    }
}

/// Gives each peer a queue and a task of its own, so that none waits for another.
pub(crate) async fn run_outgoing(sender: Sender, book: AddressBook, outgoing: Ring<Outgoing>) {
    let mut queues: IndexMap<NodeId, Ring<Vec<u8>>> = IndexMap::new();
    while let Some(Outgoing { message, to }) = outgoing.pop().await {
        let queue = queues.entry(to.clone()).or_insert_with(|| {
            let queue = Ring::with_capacity(QUEUE_MESSAGES);
            let peer = Peer {
                book: book.clone(),
                connection: None,
                node: to,
                queue: queue.clone(),
                sender: sender.clone(),
            };
            tokio::task::spawn_local(peer.run());
            queue
        });
        // What doesn't fit is lost, as on a network.
        let _ = queue.push(message);
    }
}

struct Peer {
    book: AddressBook,
    connection: Option<(SocketAddr, ControlServiceClient)>,
    node: NodeId,
    queue: Ring<Vec<u8>>,
    sender: Sender,
}

impl Peer {
    async fn run(mut self) {
        while let Some(first) = self.queue.pop().await {
            let batch = self.sender.batch(self.take_batch(first));
            if !self.send(batch).await {
                self.connection = None;
                // Old messages are of no use to a peer that was away.
                while self.queue.try_pop().is_some() {}
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }

    fn take_batch(&self, first: Vec<u8>) -> Vec<Vec<u8>> {
        let mut size_bytes = first.len();
        let mut messages = vec![first];
        while size_bytes < BATCH_BYTES
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

/// Asks the leader for proofs of freshness while this replica does not lead.
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
        // The proof counts from here: the network may hold the answer back.
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
