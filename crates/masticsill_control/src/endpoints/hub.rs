//! The registry of this process, and the watchers that hear of its changes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_registry::{
    Announcement, EndpointId, EndpointRecord, EndpointState, Heard, Registry, RegistryPeriods,
};
use masticsill_types::{ClockMs, MonotonicClock, NodeId, ZoneId, log_event};
use masticsill_wire::control::{EndpointLoad, WatchReply, WatchRequest, Watcher};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

use crate::events;
use crate::quorum::PublishedState;

/// How long an endpoint of a former life is believed in without a heartbeat: two of them.
const RESTORED_MS: u64 = 2_500;
/// Longest wait of one watch, whatever it asks for.
const MAX_WAIT_MS: u64 = 2_000;
/// A watcher that asked for nothing in this time has gone: twice the usual wait, and an answer.
const WATCHER_GONE_MS: u64 = 2_500;
/// Longest wait for the watchers before a deregistration is acknowledged; senders give up after 1 s.
const TELL_BOUND: Duration = Duration::from_millis(400);

/// What a watcher has acknowledged and told.
#[derive(Clone, Debug)]
struct Seen {
    at: ClockMs,
    loads: Vec<EndpointLoad>,
    revision: u64,
}

#[derive(Debug)]
struct Shared {
    acknowledged: Notify,
    clock: MonotonicClock,
    /// Tells this registry from that of another life of the process.
    life: u64,
    registry: Mutex<Registry>,
    revision: watch::Sender<u64>,
    watchers: Mutex<IndexMap<Watcher, Seen>>,
    zone: ZoneId,
}

/// The registry and its watchers. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct EndpointHub {
    shared: Arc<Shared>,
}

impl EndpointHub {
    pub(crate) fn new(clock: MonotonicClock, periods: RegistryPeriods, zone: ZoneId) -> Self {
        let shared = Shared {
            acknowledged: Notify::new(),
            clock,
            life: rand::random(),
            registry: Mutex::new(Registry::new(periods)),
            revision: watch::Sender::new(0),
            watchers: Mutex::default(),
            zone,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Takes a heartbeat. That of an endpoint which is leaving is done only once the watchers
    /// that can be reached hold it, so that they send it nothing new.
    pub(crate) async fn announce(&self, announcement: Announcement) {
        let now = self.shared.clock.now();
        let (is_changed, revision) = {
            let mut registry = self.registry();
            let is_changed = registry.announce(now, &announcement);
            (is_changed, registry.revision())
        };
        if !is_changed {
            return;
        }
        log_event!(
            info,
            events::ENDPOINT_HEARD,
            endpoint = announcement.id,
            service = announcement.service,
            address = announcement.address,
            zone = announcement.zone,
            state = announcement.state.name(),
            sequence = announcement.sequence,
            revision = revision
        );
        self.shared.revision.send_replace(revision);
        if announcement.state > EndpointState::Ready {
            self.await_watchers(revision).await;
        }
    }

    /// Takes an endpoint's deregistration, as [`Self::announce`].
    pub(crate) async fn depart(&self, id: EndpointId) {
        let now = self.shared.clock.now();
        let (is_changed, revision) = {
            let mut registry = self.registry();
            let is_changed = registry.depart(now, &id);
            (is_changed, registry.revision())
        };
        if is_changed {
            log_event!(
                info,
                events::ENDPOINT_LEFT,
                endpoint = id,
                revision = revision
            );
            self.shared.revision.send_replace(revision);
        }
        self.await_watchers(revision).await;
    }

    /// Takes the records of a former life of this replica.
    pub(crate) fn restore(&self, records: &[EndpointRecord]) {
        let mut registry = self.registry();
        let age_ms = registry.silence_ms().saturating_sub(RESTORED_MS);
        registry.restore(self.shared.clock.now(), records, age_ms);
        self.shared.revision.send_replace(registry.revision());
    }

    /// Every record that has not ended.
    pub(crate) fn records(&self) -> Vec<EndpointRecord> {
        let registry = self.registry();
        let lives = |it: &&EndpointRecord| it.announcement.state < EndpointState::Gone;
        registry.records().filter(lives).cloned().collect()
    }

    /// Follows the revision.
    pub(crate) fn revisions(&self) -> watch::Receiver<u64> {
        self.shared.revision.subscribe()
    }

    /// Joins what another replica told.
    pub(crate) fn merge(&self, records: &[EndpointRecord], heard: &[Heard]) {
        let now = self.shared.clock.now();
        let mut registry = self.registry();
        registry.note_heard(now, heard);
        if registry.merge(now, records) {
            self.shared.revision.send_replace(registry.revision());
        }
    }

    /// Marks endpoints that fell silent or are heard again.
    pub(crate) fn judge_silence(&self, can_judge: bool) {
        let now = self.shared.clock.now();
        let mut registry = self.registry();
        let before = registry.revision();
        if !registry.judge_silence(now, can_judge) {
            return;
        }
        let changes = registry.changes_since(before);
        self.shared.revision.send_replace(registry.revision());
        drop(registry);
        for record in changes {
            log_event!(
                info,
                events::ENDPOINT_SILENCE,
                endpoint = record.announcement.id,
                is_silent = record.is_silent,
                sequence = record.announcement.sequence
            );
        }
    }

    /// Answers a watcher once there is news, or its wait is over.
    pub(crate) async fn watch(
        &self,
        published: &PublishedState,
        members: Vec<(NodeId, std::net::SocketAddr)>,
        request: WatchRequest,
    ) -> WatchReply {
        self.note_watcher(&request);
        let mut revisions = self.shared.revision.subscribe();
        let mut documents = published.watch_document();
        let wait_ms = request.wait_ms.min(MAX_WAIT_MS);
        let bound = Instant::now() + Duration::from_millis(wait_ms);
        while !self.has_news(published, &request) {
            let change = async {
                tokio::select! {
                    _ = revisions.changed() => {}
                    _ = documents.changed() => {}
                }
            };
            if timeout_at(bound, change).await.is_err() {
                break;
            }
        }
        self.reply(published, members, &request)
    }

    fn has_news(&self, published: &PublishedState, request: &WatchRequest) -> bool {
        if !self.is_followed(request) || self.registry().revision() > request.revision {
            return true;
        }
        let version = *published.watch_document().borrow();
        let is_wanted = request.wants_document && version > request.document_held;
        is_wanted || version > request.document_seen
    }

    fn reply(
        &self,
        published: &PublishedState,
        members: Vec<(NodeId, std::net::SocketAddr)>,
        request: &WatchRequest,
    ) -> WatchReply {
        let document = published.document();
        let document_version = document.as_ref().map(|document| document.version);
        let is_wanted = request.wants_document && document_version > request.document_held;
        let (entries, entries_nearby) = self.entries(&request.watcher);
        let registry = self.registry();
        let heard = match request.watcher {
            Watcher::Entry { .. } => Vec::new(),
            Watcher::Replica(_) => registry.heard_here(self.shared.clock.now()),
        };
        WatchReply {
            document: document.filter(|_| is_wanted),
            document_version,
            entries,
            entries_nearby,
            endpoints: registry.changes_since(self.known_revision(request)),
            heard,
            loads: self.loads_of_others(&request.watcher),
            members,
            registry: self.shared.life,
            revision: registry.revision(),
            zone: self.shared.zone.clone(),
        }
    }

    /// The number of entries that watch, and the names of those in the watcher's zone.
    fn entries(&self, watcher: &Watcher) -> (u32, Vec<NodeId>) {
        let watchers = self.watchers();
        let entries = watchers.keys().filter_map(|it| match it {
            Watcher::Entry { node, zone } => Some((node, zone)),
            Watcher::Replica(_) => None,
        });
        let count = u32::try_from(entries.clone().count()).unwrap_or(u32::MAX);
        let Watcher::Entry { zone: near, .. } = watcher else {
            return (count, Vec::new());
        };
        let nearby = entries.filter(|(_, zone)| *zone == near);
        let mut nearby: Vec<NodeId> = nearby.map(|(node, _)| node.clone()).collect();
        nearby.sort();
        (count, nearby)
    }

    /// Requests that the other watchers told of, by endpoint.
    fn loads_of_others(&self, watcher: &Watcher) -> Vec<EndpointLoad> {
        let now = self.shared.clock.now();
        let watchers = self.watchers();
        let is_other = |(other, seen): &(&Watcher, &Seen)| {
            *other != watcher && now.since(seen.at) < WATCHER_GONE_MS
        };
        let mut sums: IndexMap<EndpointId, EndpointLoad> = IndexMap::new();
        for load in watchers
            .iter()
            .filter(is_other)
            .flat_map(|(_, seen)| &seen.loads)
        {
            let sum = sums.entry(load.id.clone()).or_insert_with(|| EndpointLoad {
                id: load.id.clone(),
                in_flight: 0,
                reading: 0,
            });
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.reading = sum.reading.saturating_add(load.reading);
        }
        sums.into_values().collect()
    }

    /// Whether a watcher goes on from this life of the registry.
    fn is_followed(&self, request: &WatchRequest) -> bool {
        request.registry == self.shared.life
    }

    /// The revision up to which a watcher holds this registry.
    fn known_revision(&self, request: &WatchRequest) -> u64 {
        if self.is_followed(request) {
            request.revision
        } else {
            0
        }
    }

    fn note_watcher(&self, request: &WatchRequest) {
        let seen = Seen {
            at: self.shared.clock.now(),
            loads: request.loads.clone(),
            revision: self.known_revision(request),
        };
        let mut watchers = self.watchers();
        watchers.retain(|_, other| seen.at.since(other.at) < WATCHER_GONE_MS);
        watchers.insert(request.watcher.clone(), seen);
        drop(watchers);
        self.shared.acknowledged.notify_waiters();
    }

    /// Waits until each watcher that still asks holds a revision, for a bounded time.
    async fn await_watchers(&self, revision: u64) {
        let bound = Instant::now() + TELL_BOUND;
        loop {
            let acknowledged = self.shared.acknowledged.notified();
            tokio::pin!(acknowledged);
            acknowledged.as_mut().enable();
            if self.have_all_seen(revision) {
                return;
            }
            if timeout_at(bound, acknowledged).await.is_err() {
                return;
            }
        }
    }

    fn have_all_seen(&self, revision: u64) -> bool {
        let now = self.shared.clock.now();
        let watchers = self.watchers();
        let has_seen =
            |seen: &Seen| seen.revision >= revision || now.since(seen.at) >= WATCHER_GONE_MS;
        watchers.values().all(has_seen)
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        let registry = self.shared.registry.lock();
        registry.unwrap_or_else(PoisonError::into_inner)
    }

    fn watchers(&self) -> MutexGuard<'_, IndexMap<Watcher, Seen>> {
        let watchers = self.shared.watchers.lock();
        watchers.unwrap_or_else(PoisonError::into_inner)
    }
}
