//! Follows the control replicas: the document in force and the endpoints that registered.
//!
//! Every replica is followed at once, so that an entry in touch with the one that acknowledged
//! something hears of it directly. What they tell of the document's version goes to the duty that
//! fetches it, and what that has read comes into force here.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_catalogue::{DocumentSource, DocumentSources};
use masticsill_registry::Watcher;
use masticsill_runtime::Ring;
use masticsill_types::{NodeId, ZoneId, log_event};
use masticsill_wire::control::{WatchReply, WatchRequest};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::documents::ReadDocument;
use crate::events;
use crate::relay::Relay;
use crate::suspects::{Told, tell_crashes};

/// Longest wait for news.
const WAIT_MS: u64 = 1_000;
/// How often the own zone's replica is told of this entry's load and asked for the others':
/// about as often as requests for long generations come.
const LOADS_MS: u64 = 200;
/// Pause before changed loads are told, so that what happens at the same moment shares a message.
const LOADS_PAUSE: Duration = Duration::from_millis(4);
/// Pause before an address is asked again whether it serves control, and who else does.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a replica did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What the followers share.
struct Discovery {
    followed: RefCell<IndexSet<SocketAddr>>,
    relay: Rc<Relay>,
    /// For the duty that fetches documents.
    sources: watch::Sender<DocumentSources>,
}

/// Follows the seeds, every replica that they tell of, and those that are told later.
pub(crate) fn start_discovery(
    relay: &Rc<Relay>,
    told: Ring<SocketAddr>,
    sources: watch::Sender<DocumentSources>,
    read: Ring<ReadDocument>,
) {
    let discovery = Rc::new(Discovery {
        followed: RefCell::default(),
        relay: Rc::clone(relay),
        sources,
    });
    spawn_local(take_documents(Rc::clone(relay), read));
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

    /// Notes which version a replica has.
    fn note_document(&self, address: SocketAddr, reply: &WatchReply) {
        let source = DocumentSource {
            is_same_zone: reply.zone == self.relay.config.zone,
            version: reply.document_version,
        };
        self.sources.send_if_modified(|sources| {
            let before = sources.get(&address);
            sources.record_answer(self.relay.now(), address, source);
            before != Some(source)
        });
        self.relay.note_document_version(reply.document_version);
    }

    fn forget_source(&self, address: SocketAddr) {
        self.sources.send_modify(|sources| sources.remove(&address));
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

/// Puts the documents that were read in force, one after the other.
async fn take_documents(relay: Rc<Relay>, read: Ring<ReadDocument>) {
    while let Some(document) = read.pop().await {
        let version = document.index.document().version;
        relay.take_index(document.index);
        log_event!(
            info,
            events::DOCUMENT_TAKEN,
            version = version,
            from = document.from,
            bytes = document.fetched_bytes,
            pieces = document.fetched_pieces,
            reused = document.reused_pieces,
            fetch_ms = document.fetch_ms,
            read_ms = document.read_ms
        );
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
    let watcher = relay.watcher();
    let mut request = WatchRequest {
        document_seen: None,
        loads: Vec::new(),
        loads_revision: 0,
        registry: 0,
        revision: 0,
        suspects_revision: 0,
        wait_ms: WAIT_MS,
        watcher: watcher.clone(),
    };
    let told = Told::default();
    spawn_local(tell_crashes(Rc::clone(&relay), address, told.clone()));
    let mut is_reached = false;
    let mut is_own_zone = false;
    let mut zone = None;
    loop {
        request.wait_ms = if is_own_zone { LOADS_MS } else { WAIT_MS };
        if let Some(zone) = &zone {
            request.loads = relay.endpoints.borrow().loads_in(relay.now(), zone);
        }
        let reply = relay.control.watch(address, &request).await;
        let Some(reply) = reply else {
            if is_reached {
                log_event!(warn, events::CONTROL_LOST, address = address);
            }
            is_reached = false;
            relay.note_control_lost(&address);
            discovery.forget_source(address);
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
            relay.wake_tellers();
        }
        is_reached = true;
        relay.note_control_heard();
        relay
            .control_reached
            .borrow_mut()
            .insert(address, reply.zone.clone());
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
        relay.take_suspects(&reply.suspects);
        request.suspects_revision = reply.suspects_revision;
        if reply.registry != request.registry {
            // Another life of the replica may have forgotten what it was told.
            told.begin_anew();
            relay.wake_tellers();
        }
        request.registry = reply.registry;
        request.revision = reply.revision;
        discovery.note_document(address, &reply);
        discovery.take_endpoints(&node, &reply);
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
        let loads = relay.endpoints.borrow().loads_in(relay.now(), &zone);
        // What a replica that can't be reached misses comes with the next question.
        relay.control.tell_loads(address, &watcher, &loads).await;
    }
}
