//! Follows the control replicas: the document in force and the endpoints that registered.
//!
//! Every replica is followed at once, so that an entry in touch with the one that acknowledged
//! something hears of it directly. The document's bytes come from the replica of the own zone,
//! and from another one only when that is late.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_catalogue::{RouteIndex, StoredDocument};
use masticsill_registry::Watcher;
use masticsill_runtime::Ring;
use masticsill_types::{ClockMs, NodeId, ZoneId, log_event};
use masticsill_wire::control::{WatchReply, WatchRequest};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::events;
use crate::relay::Relay;

/// Longest wait for news.
const WAIT_MS: u64 = 1_000;
/// How often the own zone's replica is told of this entry's load and asked for the others':
/// about as often as requests for long generations come.
const LOADS_MS: u64 = 200;
/// Pause before changed loads are told, so that what happens at the same moment shares a message.
const LOADS_PAUSE: Duration = Duration::from_millis(4);
/// How long the own zone's replica may be behind before another is asked for the bytes.
const BEHIND_MS: u64 = 150;
/// Pause before an address is asked again whether it serves control, and who else does.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a replica did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What the followers share.
struct Discovery {
    followed: RefCell<IndexSet<SocketAddr>>,
    /// The newest version heard of, and when.
    newest: Cell<Option<(u64, ClockMs)>>,
    relay: Rc<Relay>,
}

/// Follows the seeds, every replica that they tell of, and those that are told later.
pub(crate) fn start_discovery(relay: &Rc<Relay>, told: Ring<SocketAddr>) {
    let discovery = Rc::new(Discovery {
        followed: RefCell::default(),
        newest: Cell::new(None),
        relay: Rc::clone(relay),
    });
    for seed in &relay.config.control_seeds {
        discovery.follow_once(*seed);
    }
    spawn_local(async move {
        while let Some(address) = told.pop().await {
            discovery.follow_once(address);
        }
    });
}

impl Discovery {
    fn follow_once(self: &Rc<Self>, address: SocketAddr) {
        if self.followed.borrow_mut().insert(address) {
            spawn_local(follow(Rc::clone(self), address));
        }
    }

    /// Whether a replica answers at an address. A process without state knows of the replicas, and
    /// they are followed.
    async fn is_replica(self: &Rc<Self>, address: SocketAddr) -> bool {
        let Some(directory) = self.relay.control.directory(address, None).await else {
            return false;
        };
        for (_, replica) in directory.replicas {
            self.follow_once(replica);
        }
        directory.keeps_state
    }

    fn held(&self) -> Option<u64> {
        let index = self.relay.index.borrow();
        index.as_ref().map(|index| index.document().version)
    }

    /// Whether a newer version has been known for a while and its bytes have not come.
    fn is_behind(&self) -> bool {
        let Some((newest, since)) = self.newest.get() else {
            return false;
        };
        Some(newest) > self.held() && self.relay.now().since(since) >= BEHIND_MS
    }

    fn note_newest(&self, version: Option<u64>) {
        let known = self.newest.get().map(|(version, _)| version);
        if let Some(version) = version.filter(|version| Some(*version) > known) {
            self.newest.set(Some((version, self.relay.now())));
        }
    }

    fn take_document(&self, document: &StoredDocument, from: SocketAddr) {
        if self.held() >= Some(document.version) {
            return;
        }
        let bytes = document.unpack().map_err(|error| error.to_string());
        let read = bytes.and_then(|bytes| (self.relay.config.read_document)(&bytes));
        match read {
            Ok(read) => {
                self.relay.take_index(RouteIndex::new(read));
                log_event!(
                    info,
                    events::DOCUMENT_TAKEN,
                    version = document.version,
                    from = from,
                    bytes = document.packed_bytes()
                );
            }
            Err(cause) => {
                log_event!(
                    error,
                    events::DOCUMENT_UNREADABLE,
                    version = document.version,
                    from = from,
                    cause = cause
                );
            }
        }
    }

    fn take_endpoints(&self, node: &NodeId, reply: &WatchReply) {
        let mut endpoints = self.relay.endpoints.borrow_mut();
        for id in endpoints.merge(node, &reply.endpoints) {
            let Some(endpoint) = endpoints.get(&id) else {
                continue;
            };
            if endpoints.is_outlived(&id) {
                self.relay.end_life(&id);
            }
            log_event!(
                info,
                events::ENDPOINT_CHANGED,
                endpoint = id,
                life = id.life,
                state = endpoint.announcement.state.name(),
                address = endpoint.announcement.address,
                zone = endpoint.announcement.zone,
                sequence = endpoint.announcement.sequence,
                from = node,
                revision = reply.revision
            );
        }
    }
}

/// Follows one replica for good.
async fn follow(discovery: Rc<Discovery>, address: SocketAddr) {
    let relay = Rc::clone(&discovery.relay);
    while !discovery.is_replica(address).await {
        sleep(DIRECTORY_INTERVAL).await;
    }
    // The replica is named by its address here: its node is of no use to an entry.
    let node = NodeId::new(address.to_string()).expect("an address holds allowed characters");
    let watcher = Watcher::Entry {
        node: relay.config.node.clone(),
        zone: relay.config.zone.clone(),
    };
    let mut request = WatchRequest {
        document_held: None,
        document_seen: None,
        loads: Vec::new(),
        loads_revision: 0,
        registry: 0,
        revision: 0,
        wait_ms: WAIT_MS,
        wants_document: true,
        watcher: watcher.clone(),
    };
    let mut is_reached = false;
    let mut is_own_zone = false;
    let mut zone = None;
    loop {
        request.document_held = discovery.held();
        let is_behind = discovery.is_behind();
        request.wants_document = is_own_zone || is_behind || request.document_held.is_none();
        let has_newer = discovery.newest.get().map(|(version, _)| version) > request.document_held;
        request.wait_ms = match (has_newer && !is_behind, is_own_zone) {
            (true, _) => BEHIND_MS,
            (false, true) => LOADS_MS,
            (false, false) => WAIT_MS,
        };
        if let Some(zone) = &zone {
            request.loads = relay.endpoints.borrow().loads_in(zone);
        }
        let reply = relay.control.watch(address, &request).await;
        let Some(reply) = reply else {
            if is_reached {
                log_event!(warn, events::CONTROL_LOST, address = address);
            }
            is_reached = false;
            relay.control_reached.borrow_mut().swap_remove(&address);
            sleep(RETRY_PAUSE).await;
            continue;
        };
        if !is_reached {
            log_event!(
                info,
                events::CONTROL_REACHED,
                address = address,
                zone = reply.zone
            );
        }
        is_reached = true;
        relay.control_reached.borrow_mut().insert(address);
        relay
            .endpoints
            .borrow_mut()
            .take_loads(relay.now(), &reply.zone, &reply.loads);
        if zone.is_none() {
            let telling = tell_loads(
                Rc::clone(&discovery),
                address,
                reply.zone.clone(),
                watcher.clone(),
            );
            spawn_local(telling);
        }
        zone = Some(reply.zone.clone());
        is_own_zone = reply.zone == relay.config.zone;
        request.document_seen = reply.document_version.max(request.document_seen);
        request.loads_revision = reply.loads_revision;
        request.registry = reply.registry;
        request.revision = reply.revision;
        discovery.note_newest(reply.document_version);
        discovery.take_endpoints(&node, &reply);
        if let Some(document) = &reply.document {
            discovery.take_document(document, address);
        }
        relay.entries.borrow_mut().note(relay.now(), reply.entries);
        relay.take_nearby(&reply.entries_nearby);
        if !reply.endpoints.is_empty() {
            relay.note_news();
        }
        relay.room_changed.notify_one();
        for (_, member) in &reply.members {
            discovery.follow_once(*member);
        }
    }
}

/// Tells a replica of this entry's streams in its zone whenever they change, for good.
///
/// A question brings the loads along as well, but the next one may be a second away, and entries
/// that choose on old loads send their prompts to the same engine.
async fn tell_loads(discovery: Rc<Discovery>, address: SocketAddr, zone: ZoneId, watcher: Watcher) {
    let relay = &discovery.relay;
    let mut changes = relay.load_changes.subscribe();
    let mut told = 0;
    while changes.changed().await.is_ok() {
        sleep(LOADS_PAUSE).await;
        let count = changes.borrow_and_update().get(&zone).copied();
        if count.is_none_or(|count| count == told) {
            continue;
        }
        told = count.unwrap_or_default();
        let loads = relay.endpoints.borrow().loads_in(&zone);
        // What a replica that can't be reached misses comes with the next question.
        relay.control.tell_loads(address, &watcher, &loads).await;
    }
}
