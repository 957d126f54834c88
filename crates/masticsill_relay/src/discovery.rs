//! Watches the control replicas for the active document and the registered endpoints.
//!
//! All replicas are watched at once, so that an entry learns of a change directly from the replica
//! that acknowledged it. The document versions that the replicas report go to the duty that fetches
//! documents; the documents it has read become active here.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_catalogue::{DocumentSource, DocumentSources};
use masticsill_dispatch::EndpointTable;
use masticsill_registry::{EndpointId, ReportProgress, Watcher};
use masticsill_runtime::Ring;
use masticsill_types::{NodeId, ZoneId, log_event};
use masticsill_wire::control::{WatchReply, WatchRequest};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::documents::ParsedDocument;
use crate::events;
use crate::relay::Relay;
use crate::statements::note_reports;
use crate::stream_origins::report_stream_origins;
use crate::suspects::report_crashes;

/// Maximum wait for a watch reply, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 1_000;
/// Maximum wait for a watch reply of a replica in this zone, in milliseconds. Each watch request
/// carries this entry's loads and its reply the other entries' loads; the interval is about that
/// between requests for long generations.
const OWN_ZONE_WATCH_TIMEOUT_MS: u64 = 200;
/// Maximum wait for a watch reply while a roll-out is in progress, in milliseconds: a quarter of
/// the time for which the leader's word holds, so that it is renewed in time.
const ROLLOUT_WATCH_TIMEOUT_MS: u64 = 250;
/// Delay before changed loads are reported, so that simultaneous changes share a message.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(4);
/// Pause before an address is asked again whether it serves control, and which other replicas
/// exist.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a replica did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// State shared by the tasks that watch replicas.
struct Discovery {
    watched_addresses: RefCell<IndexSet<SocketAddr>>,
    relay: Rc<Relay>,
    /// Document versions per replica, for the duty that fetches documents.
    sources: watch::Sender<DocumentSources>,
}

/// Watches the seed addresses, every replica that they report, and addresses added later.
pub(crate) fn start_discovery(
    relay: &Rc<Relay>,
    new_seeds: Ring<SocketAddr>,
    sources: watch::Sender<DocumentSources>,
    parsed: Ring<ParsedDocument>,
) {
    let discovery = Rc::new(Discovery {
        watched_addresses: RefCell::default(),
        relay: Rc::clone(relay),
        sources,
    });
    spawn_local(install_documents(Rc::clone(relay), parsed));
    for seed in &relay.config.control_seeds {
        discovery.start_watching(*seed);
    }
    spawn_local(async move {
        while let Some(address) = new_seeds.pop().await {
            discovery.start_watching(address);
        }
    });
}

impl Discovery {
    fn start_watching(self: &Rc<Self>, address: SocketAddr) {
        if self.watched_addresses.borrow_mut().insert(address) {
            spawn_local(watch_replica(Rc::clone(self), address));
        }
    }

    /// Whether a control replica serves an address. A process without control state reports the
    /// replicas it knows, and these are watched.
    async fn is_replica(self: &Rc<Self>, address: SocketAddr) -> bool {
        let Some(directory) = self.relay.control.directory(address, None).await else {
            return false;
        };
        for (_, replica) in directory.replicas {
            self.start_watching(replica);
        }
        directory.keeps_state
    }

    /// Records which document version a replica has.
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

    /// Records that a replica doesn't answer.
    fn note_lost(&self, address: SocketAddr, node: &NodeId, revision: u64) {
        let mut endpoints = self.relay.endpoints.borrow_mut();
        for id in endpoints.note_control_lost(node) {
            log_endpoint(&endpoints, &id, node, revision);
        }
        drop(endpoints);
        self.relay.note_control_lost(&address);
        self.relay.notify_stream_reporters();
        self.relay.note_rollouts_lost(&address);
        self.sources.send_modify(|sources| sources.remove(&address));
    }

    fn merge_endpoints(&self, address: SocketAddr, node: &NodeId, reply: &WatchReply) {
        self.merge_records(node, reply);
        self.relay.note_reported_versions(address, reply);
    }

    fn merge_records(&self, node: &NodeId, reply: &WatchReply) {
        let mut endpoints = self.relay.endpoints.borrow_mut();
        for id in endpoints.merge(node, &reply.endpoints) {
            if endpoints.is_superseded(&id) {
                self.relay.retire_incarnation(&id);
            }
            log_endpoint(&endpoints, &id, node, reply.revision);
        }
    }
}

/// Logs what is known of an endpoint. A replica has reported on it, or answers no longer; `revision` is
/// the last one received from it.
fn log_endpoint(endpoints: &EndpointTable, id: &EndpointId, node: &NodeId, revision: u64) {
    let Some(endpoint) = endpoints.get(id) else {
        return;
    };
    log_event!(
        info,
        events::ENDPOINT_CHANGED,
        endpoint = id,
        life = id.incarnation,
        state = endpoint.announcement.state.name(),
        address = endpoint.announcement.address,
        address_state = endpoint.address_state().name(),
        is_silent = endpoint.is_silent(),
        zone = endpoint.announcement.zone,
        version = endpoint.announcement.version,
        sequence = endpoint.announcement.sequence,
        from = node,
        revision = revision
    );
}

/// Activates the documents that were read, one after the other.
async fn install_documents(relay: Rc<Relay>, parsed: Ring<ParsedDocument>) {
    while let Some(document) = parsed.pop().await {
        let version = document.index.document().version;
        relay.install_index(document.index);
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

/// Maximum wait for the next reply of a replica, in milliseconds.
fn watch_timeout_ms(relay: &Relay, is_own_zone: bool) -> u64 {
    if is_own_zone {
        OWN_ZONE_WATCH_TIMEOUT_MS
    } else if relay.has_rollouts_in_progress() {
        ROLLOUT_WATCH_TIMEOUT_MS
    } else {
        WATCH_TIMEOUT_MS
    }
}

/// How far a control replica has been informed of what this relay records.
struct Reports {
    crashes: Rc<Cell<ReportProgress>>,
    streams: Rc<Cell<ReportProgress>>,
}

impl Reports {
    /// Starts to report to a replica, until the relay ends.
    fn start(relay: &Rc<Relay>, address: SocketAddr) -> Self {
        let (crashes, streams) = (Rc::default(), Rc::default());
        spawn_local(report_crashes(
            Rc::clone(relay),
            address,
            Rc::clone(&crashes),
        ));
        let reporting = report_stream_origins(Rc::clone(relay), address, Rc::clone(&streams));
        spawn_local(reporting);
        Self { crashes, streams }
    }

    /// Reports everything again.
    fn repeat(&self, relay: &Relay) {
        for reported in [&self.crashes, &self.streams] {
            let mut progress = reported.get();
            progress.restart();
            reported.set(progress);
        }
        relay.notify_reporters();
    }
}

/// Watches one replica until the relay ends.
async fn watch_replica(discovery: Rc<Discovery>, address: SocketAddr) {
    let relay = Rc::clone(&discovery.relay);
    while !discovery.is_replica(address).await {
        sleep(DIRECTORY_INTERVAL).await;
    }
    // The address serves as the replica's node id here: an entry has no use for the real one.
    let node = NodeId::new(address.to_string())
        .expect("a socket address contains only characters allowed in a node id");
    let watcher = relay.watcher();
    let mut request = WatchRequest {
        document_seen: None,
        loads: Vec::new(),
        loads_revision: 0,
        registry: 0,
        revision: 0,
        rollouts_revision: 0,
        suspects_revision: 0,
        versions_revision: 0,
        wait_ms: WATCH_TIMEOUT_MS,
        watcher: watcher.clone(),
    };
    let reports = Reports::start(&relay, address);
    let mut is_reached = false;
    let mut is_own_zone = false;
    let mut zone = None;
    loop {
        request.wait_ms = watch_timeout_ms(&relay, is_own_zone);
        if let Some(zone) = &zone {
            request.loads = relay.endpoints.borrow().loads_in(relay.now(), zone);
        }
        let asked_at = relay.now();
        let reply = relay.control.watch(address, &request).await;
        let Some(reply) = reply else {
            if is_reached {
                log_event!(warn, events::CONTROL_LOST, address = address);
            }
            is_reached = false;
            discovery.note_lost(address, &node, request.revision);
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
            relay.notify_reporters();
        }
        is_reached = true;
        relay.record_control_reply(address);
        relay
            .control_reached
            .borrow_mut()
            .insert(address, reply.zone.clone());
        let voters = reply.members.iter().map(|(_, voter)| *voter).collect();
        relay.note_voters(address, voters);
        relay
            .endpoints
            .borrow_mut()
            .update_loads(relay.now(), &reply.zone, &reply.loads);
        note_reports(&relay, &reply.loads);
        if zone.is_none() {
            let reporting = report_loads(
                Rc::clone(&discovery),
                address,
                reply.zone.clone(),
                watcher.clone(),
            );
            spawn_local(reporting);
        }
        zone = Some(reply.zone.clone());
        is_own_zone = reply.zone == relay.config.zone;
        request.document_seen = reply.document_version.max(request.document_seen);
        request.loads_revision = reply.loads_revision;
        relay.merge_crash_records(&reply.suspects);
        request.suspects_revision = reply.suspects_revision;
        if reply.registry != request.registry {
            // A restarted replica may have lost what was reported to it.
            reports.repeat(&relay);
        }
        request.registry = reply.registry;
        request.revision = reply.revision;
        request.versions_revision = reply.versions_revision;
        discovery.note_document(address, &reply);
        // Before the endpoints, so that no request is sent to a version by an outdated rule.
        relay.note_rollouts(address, asked_at, &reply);
        request.rollouts_revision = reply.rollouts_revision;
        discovery.merge_endpoints(address, &node, &reply);
        relay.note_entries(reply.entries);
        relay.update_zone_share(&reply.entries_nearby);
        if !reply.endpoints.is_empty() {
            relay.note_versions();
            relay.notify_discovery();
        }
        relay.capacity_changed.notify_one();
        for (_, member) in &reply.members {
            discovery.start_watching(*member);
        }
    }
}

/// Reports this entry's streams in a replica's zone to that replica whenever they change, until the
/// relay ends.
///
/// Watch requests carry the loads as well, but the next one may be a second away, and entries that
/// select endpoints by outdated loads send their prompts to the same engine.
async fn report_loads(
    discovery: Rc<Discovery>,
    address: SocketAddr,
    zone: ZoneId,
    watcher: Watcher,
) {
    let relay = &discovery.relay;
    let mut changes = relay.load_changes.subscribe();
    let mut reported = 0;
    while changes.changed().await.is_ok() {
        sleep(LOAD_REPORT_DELAY).await;
        let count = changes.borrow_and_update().get(&zone).copied();
        if count.is_none_or(|count| count == reported) {
            continue;
        }
        reported = count.unwrap_or_default();
        let loads = relay.endpoints.borrow().loads_in(relay.now(), &zone);
        // Loads that an unreachable replica misses are included in the next watch request.
        relay.control.tell_loads(address, &watcher, &loads).await;
    }
}
