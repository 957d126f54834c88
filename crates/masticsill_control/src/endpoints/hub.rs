//! The registry of this process, and the watchers that are notified of its changes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_registry::{
    Announcement, AttemptKey, CacheUpdate, CachedTokens, EndpointId, EndpointLoad, EndpointRecord,
    EndpointState, EngineReservationRequest, HeartbeatAge, LoadsChange, OriginReply,
    PromptCacheIndex, PromptPart, Registry, RegistryTimeouts, StoredStream, StreamOrigin,
    StreamOrigins, StreamRecord, Watcher, WatcherTable,
};
use masticsill_rollout::{Rollout, Rollouts, ServingRollout};
use masticsill_types::{ClockMs, MonotonicClock, ZoneId, log_event};
use masticsill_wire::control::{WatchReply, WatchRequest};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::suspects::Suspects;
use crate::events;
use crate::quorum::PublishedState;
use crate::unreadable::{UnreadableMessage, UnreadableMessages};

/// Longest wait of one watch, even if the request asks for more.
const MAX_WAIT_MS: u64 = 2_000;
/// Longest wait of an entry's watch while a roll-out is in progress: an entry's lease lasts 1 s, so
/// that several answers may be lost before it expires.
const MAX_ROLLOUT_WAIT_MS: u64 = 250;
/// Longest wait for the watchers' acknowledgement of a deregistration; senders give up after 1 s.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the origins of streams to be stored; entries wait less.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest cached prefix of a prompt that is reported, in tokens: prefilling fewer takes only a
/// few hundredths of a second.
const MIN_CACHED_TOKENS: u64 = 256;
/// Delay for each watcher before updates that are not urgent are sent: those of loads, and of
/// endpoints that registered or fell silent. It lets a replica with many watchers answer each less
/// often: after 16 ms with the eight watchers of a small system, after 64 ms with 32. When the
/// endpoints of a zone restart within a second, each watcher receives them in a few answers instead
/// of one for each endpoint.
const UPDATE_DELAY_PER_WATCHER_MS: u64 = 2;
/// Factor by which the delay of loads is longer for watchers of another zone: traffic between zones
/// is expensive, and such watchers seldom send requests to this zone.
const REMOTE_ZONE_DELAY_FACTOR: u32 = 4;

#[derive(Debug)]
struct Shared {
    acknowledged: Notify,
    clock: MonotonicClock,
    /// Whether this replica knows the endpoints that the quorum knew before it started.
    knows_past: watch::Sender<bool>,
    prompt_cache: Mutex<PromptCacheIndex>,
    /// Random number that distinguishes this incarnation of the registry from those before a
    /// restart.
    incarnation: u64,
    /// Counter of changes to any watcher's loads.
    loads: watch::Sender<u64>,
    registry: Mutex<Registry>,
    revision: watch::Sender<u64>,
    started_at: ClockMs,
    stored_versions: watch::Sender<StoredVersions>,
    streams: Mutex<StreamOrigins>,
    stream_revision: watch::Sender<u64>,
    /// The revision up to which the origins of streams are stored.
    stored_stream_revision: watch::Sender<u64>,
    suspects: Suspects,
    unreadable: UnreadableMessages,
    watchers: Mutex<WatcherTable>,
    zone: ZoneId,
}

/// The versions of endpoints that this replica knows after any restart.
#[derive(Clone, Debug, Default)]
struct StoredVersions {
    revision: u64,
    versions: IndexSet<StreamOrigin>,
}

/// The roll-outs for a watcher: all of them if it has another revision, or else those in progress,
/// whose leases its answer renews.
fn serving_rollouts(rollouts: &Rollouts, request: &WatchRequest) -> Vec<ServingRollout> {
    match request.watcher {
        Watcher::Entry { .. } => {
            let is_current = rollouts.revision() == request.rollouts_revision;
            let is_needed = |it: &&Rollout| !is_current || !it.phase.is_ended();
            let needed = rollouts.iter().filter(is_needed);
            needed.map(ServingRollout::from).collect()
        }
        Watcher::Replica(_) => Vec::new(),
    }
}

/// The service and version of an endpoint; none if only its deregistration is known.
fn version_of(record: &EndpointRecord) -> Option<StreamOrigin> {
    let Announcement {
        service, version, ..
    } = &record.announcement;
    let origin = StreamOrigin {
        service: service.clone(),
        version: version.clone(),
    };
    (!service.is_empty()).then_some(origin)
}

/// The registry and its watchers. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct EndpointHub {
    shared: Arc<Shared>,
}

impl EndpointHub {
    pub(crate) fn new(
        clock: MonotonicClock,
        periods: RegistryTimeouts,
        zone: ZoneId,
        unreadable: UnreadableMessages,
    ) -> Self {
        let shared = Shared {
            acknowledged: Notify::new(),
            clock,
            knows_past: watch::Sender::new(false),
            prompt_cache: Mutex::default(),
            incarnation: rand::random(),
            loads: watch::Sender::new(0),
            registry: Mutex::new(Registry::new(periods)),
            revision: watch::Sender::new(0),
            started_at: clock.now(),
            stored_stream_revision: watch::Sender::new(0),
            stored_versions: watch::Sender::default(),
            streams: Mutex::default(),
            stream_revision: watch::Sender::new(0),
            suspects: Suspects::new(clock),
            unreadable,
            watchers: Mutex::default(),
            zone,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The requests during which endpoints crashed.
    pub(crate) fn suspects(&self) -> &Suspects {
        &self.shared.suspects
    }

    /// Records a heartbeat. For a leaving endpoint, returns only once all reachable watchers have
    /// received the change, so that they send the endpoint no new requests, or after a bounded
    /// wait.
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
            life = announcement.id.incarnation,
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

    /// Records an endpoint's deregistration, waiting for the watchers as [`Self::announce`] does.
    pub(crate) async fn depart(&self, id: EndpointId) {
        let now = self.shared.clock.now();
        let (is_changed, revision) = {
            let mut registry = self.registry();
            let is_changed = registry.deregister(now, &id);
            (is_changed, registry.revision())
        };
        if is_changed {
            log_event!(
                info,
                events::ENDPOINT_LEFT,
                endpoint = id,
                life = id.incarnation,
                revision = revision
            );
            self.shared.revision.send_replace(revision);
        }
        self.await_watchers(revision).await;
    }

    /// Restores the records that a former process of this replica persisted.
    pub(crate) fn restore(&self, records: &[EndpointRecord]) {
        let mut registry = self.registry();
        registry.merge(self.shared.clock.now(), records);
        self.shared.revision.send_replace(registry.revision());
    }

    /// All records, including those of ended endpoints that are still retained, in the order of their
    /// last heartbeats.
    pub(crate) fn all_records(&self) -> Vec<EndpointRecord> {
        self.registry().changes_since(0)
    }

    /// The records of endpoints that have not ended.
    pub(crate) fn records(&self) -> Vec<EndpointRecord> {
        let registry = self.registry();
        let is_live = |it: &&EndpointRecord| it.announcement.state < EndpointState::Gone;
        registry.records().filter(is_live).cloned().collect()
    }

    /// Records that the versions of these endpoints are stored.
    pub(crate) fn note_versions_stored(&self, records: &[EndpointRecord]) {
        let versions = records.iter().filter_map(version_of).collect();
        self.shared.stored_versions.send_if_modified(|stored| {
            let is_changed = stored.versions != versions;
            stored.versions = versions;
            stored.revision += u64::from(is_changed);
            is_changed
        });
    }

    /// Waits until an endpoint has a version that is not stored.
    pub(crate) async fn await_unstored_version(&self) {
        let mut revisions = self.revisions();
        while !self.has_unstored_version() {
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }

    fn has_unstored_version(&self) -> bool {
        let stored = self.shared.stored_versions.borrow().versions.clone();
        let registry = self.registry();
        let mut announcements = registry.records().map(|record| &record.announcement);
        announcements.any(|announcement| {
            let mut stored = stored.iter();
            let is_stored = stored
                .any(|it| it.service == announcement.service && it.version == announcement.version);
            !announcement.service.is_empty() && !is_stored
        })
    }

    /// Subscribes to the registry's revision.
    pub(crate) fn revisions(&self) -> watch::Receiver<u64> {
        self.shared.revision.subscribe()
    }

    /// Merges the records and heartbeat ages of another replica.
    pub(crate) fn merge(&self, records: &[EndpointRecord], heard: &[HeartbeatAge]) {
        let now = self.shared.clock.now();
        let mut registry = self.registry();
        let is_changed = registry.merge(now, records);
        // After the records, as the ages of incarnations unknown before would be ignored.
        registry.apply_heartbeat_ages(now, heard);
        if is_changed {
            self.shared.revision.send_replace(registry.revision());
        }
    }

    /// Marks endpoints that fell silent or are heard again. `is_silence_conclusive` is false while
    /// missing heartbeats may be due to this replica's own start or isolation.
    pub(crate) fn update_silence(&self, is_silence_conclusive: bool) {
        let now = self.shared.clock.now();
        let mut registry = self.registry();
        let before = registry.revision();
        if !registry.update_silence(now, is_silence_conclusive) {
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

    /// Answers a watcher once there is an update, or when the wait is over. The caller adds the
    /// members, whose change ends the wait.
    pub(crate) async fn watch(
        &self,
        published: &PublishedState,
        lease_ms: u64,
        voters_change: impl Future<Output = ()>,
        request: WatchRequest,
    ) -> WatchReply {
        self.record_watcher(&request);
        let mut revisions = self.shared.revision.subscribe();
        let mut documents = published.watch_document();
        let mut loads = self.shared.loads.subscribe();
        let mut suspects = self.suspects().watch_broadcast_revision();
        let mut rollouts = published.watch_rollouts();
        let mut versions = self.shared.stored_versions.subscribe();
        let wait_ms = request
            .wait_ms
            .min(self.max_wait_ms(published, lease_ms, &request));
        let began = Instant::now();
        let mut deadline = began + Duration::from_millis(wait_ms);
        tokio::pin!(voters_change);
        while !self.has_urgent_update(published, &request) {
            let has_stored = self.has_stored_since(&request);
            if has_stored || self.registry().revision() > request.revision {
                deadline = deadline.min(began + self.update_delay());
            }
            if self.have_loads_changed(&request) {
                deadline = deadline.min(began + self.loads_delay(&request.watcher));
            }
            let change = async {
                tokio::select! {
                    _ = revisions.changed() => {}
                    _ = documents.changed() => {}
                    _ = loads.changed() => {}
                    _ = rollouts.changed() => {}
                    _ = suspects.changed() => {}
                    _ = versions.changed() => {}
                    () = &mut voters_change => return true,
                }
                false
            };
            if timeout_at(deadline, change).await.unwrap_or(true) {
                break;
            }
        }
        self.reply(published, lease_ms, &request)
    }

    /// The engines of this zone that take requests and report their prompt cache.
    pub(crate) fn prompt_caching_engines(&self) -> Vec<Announcement> {
        let registry = self.registry();
        let is_engine = |it: &&EndpointRecord| {
            let announcement = &it.announcement;
            let is_ready = announcement.state == EndpointState::Ready && !it.is_silent;
            is_ready && announcement.keeps_prompts && announcement.zone == self.shared.zone
        };
        let engines = registry.records().filter(is_engine);
        engines.map(|it| it.announcement.clone()).collect()
    }

    /// The numbers of a service's endpoints that take requests: those of any version but `target`, and
    /// those of `target`.
    pub(crate) fn ready_by_version(&self, service: &str, target: &str) -> (u32, u32) {
        let registry = self.registry();
        let takes_requests = |it: &&EndpointRecord| {
            let is_ready = it.announcement.state == EndpointState::Ready && !it.is_silent;
            is_ready && it.announcement.service == service
        };
        let mut ready = (0, 0);
        for record in registry.records().filter(takes_requests) {
            if record.announcement.version == target {
                ready.1 += 1;
            } else {
                ready.0 += 1;
            }
        }
        ready
    }

    /// Whether an endpoint takes requests, according to this registry.
    pub(crate) fn takes_requests(&self, id: &EndpointId) -> bool {
        let registry = self.registry();
        let record = registry.get(id);
        record.is_some_and(|it| it.announcement.state == EndpointState::Ready && !it.is_silent)
    }

    /// The position from which an engine's prompt cache updates continue.
    pub(crate) fn prompt_cache_position(&self, endpoint: &EndpointId) -> u64 {
        self.prompt_cache().position(endpoint)
    }

    /// Applies an update of an engine's prompt cache.
    pub(crate) fn apply_prompt_cache_update(&self, endpoint: &EndpointId, update: CacheUpdate) {
        self.prompt_cache().apply(endpoint, update);
    }

    /// Replaces an engine's prompt cache by a full list.
    pub(crate) fn replace_prompt_cache(&self, endpoint: &EndpointId, list: CacheUpdate) {
        self.prompt_cache().replace(endpoint, list);
    }

    /// Counts entries of an engine's prompt cache updates that could not be parsed.
    pub(crate) fn record_unreadable_updates(&self, endpoint: &EndpointId, entries: u64) {
        let message = UnreadableMessage::PromptCacheUpdate;
        let cause = "prompt cache entries of an unknown form; they are skipped";
        self.shared
            .unreadable
            .record(message, endpoint, entries, cause);
    }

    /// Removes an engine's prompt cache from the index.
    pub(crate) fn forget_prompt_cache(&self, endpoint: &EndpointId) {
        self.prompt_cache().forget(endpoint);
    }

    /// The engines of this zone that have a prefix of the prompt in their cache.
    pub(crate) fn find_cached(&self, prompt: &[PromptPart]) -> Vec<CachedTokens> {
        self.prompt_cache().find(prompt, MIN_CACHED_TOKENS)
    }

    /// Records a watcher's loads: its requests at the endpoints of this zone.
    pub(crate) fn record_loads(&self, watcher: &Watcher, loads: &[EndpointLoad]) {
        let now = self.shared.clock.now();
        let change = self.watchers().take_loads(now, watcher, loads);
        self.notify_loads_change(change);
    }

    /// Records the origins of streams that an entry has begun; returns the revision that includes them.
    pub(crate) fn record_stream_origins(&self, records: &[StreamRecord]) -> u64 {
        let now = self.shared.clock.now();
        let mut streams = self.streams();
        for record in records {
            streams.record(now, record);
        }
        let revision = streams.revision();
        self.shared.stream_revision.send_if_modified(|known| {
            let is_newer = revision > *known;
            *known = revision;
            is_newer
        });
        revision
    }

    /// Waits until the origins of streams are stored up to a revision, for a bounded time; returns
    /// whether they are.
    pub(crate) async fn await_streams_stored(&self, revision: u64) -> bool {
        let mut stored = self.shared.stored_stream_revision.subscribe();
        let stored = stored.wait_for(|stored| *stored >= revision);
        matches!(timeout(STORE_TIMEOUT, stored).await, Ok(Ok(_)))
    }

    /// Records that the origins of streams are stored up to a revision.
    pub(crate) fn note_streams_stored(&self, revision: u64) {
        self.shared.stored_stream_revision.send_replace(revision);
    }

    /// The origins of all streams that may still be continued.
    pub(crate) fn stream_origins(&self) -> Vec<StreamRecord> {
        let now = self.shared.clock.now();
        self.streams().since(now, 0)
    }

    /// Restores the origins of streams that a former process of this replica stored.
    pub(crate) fn restore_streams(&self, stored: &[StoredStream]) {
        let now = self.shared.clock.now();
        self.streams().restore(now, stored);
    }

    /// The origins of streams that changed after a revision, oldest first, and the revision that
    /// includes them.
    pub(crate) fn streams_since(&self, revision: u64) -> (u64, Vec<StoredStream>) {
        let now = self.shared.clock.now();
        let streams = self.streams();
        let mut changed = streams.stored_since(now, revision);
        changed.reverse();
        (streams.revision(), changed)
    }

    /// Subscribes to the revision of the streams' origins.
    pub(crate) fn watch_stream_revision(&self) -> watch::Receiver<u64> {
        self.shared.stream_revision.subscribe()
    }

    /// For how long ended endpoints are remembered, in milliseconds.
    pub(crate) fn forget_ms(&self) -> u64 {
        self.registry().forget_ms()
    }

    /// Whether this replica knows the endpoints that the quorum knew before it started.
    pub(crate) fn knows_past(&self) -> bool {
        *self.shared.knows_past.borrow()
    }

    /// Subscribes to whether this replica knows the endpoints that the quorum knew before it started.
    pub(crate) fn watch_knows_past(&self) -> watch::Receiver<bool> {
        self.shared.knows_past.subscribe()
    }

    /// Records that this replica knows the endpoints that the quorum knew before it started.
    pub(crate) fn note_past_known(&self) {
        self.set_knows_past(true);
    }

    /// Records that the quorum may know endpoints that this replica does not.
    pub(crate) fn forget_past(&self) {
        self.set_knows_past(false);
    }

    fn set_knows_past(&self, knows_past: bool) {
        self.shared.knows_past.send_if_modified(|known| {
            let is_changed = *known != knows_past;
            *known = knows_past;
            is_changed
        });
    }

    /// What is known here of the origin of a stream.
    pub(crate) fn find_stream_origin(
        &self,
        service: &str,
        attempt: Option<AttemptKey>,
    ) -> OriginReply {
        let now = self.shared.clock.now();
        let origin = attempt.and_then(|attempt| self.streams().find(now, &attempt).cloned());
        let registry = self.registry();
        OriginReply {
            origin,
            versions: registry.versions_of(service),
            versions_kept_ms: if self.knows_past() {
                registry.forget_ms()
            } else {
                0
            },
            uptime_ms: now.since(self.shared.started_at),
        }
    }

    /// Reserves a slot at an engine of this zone; returns the engine with the other watchers' load
    /// there, or `None` if no engine can be reserved.
    pub(crate) fn reserve_engine(
        &self,
        request: &EngineReservationRequest,
    ) -> Option<EndpointLoad> {
        let now = self.shared.clock.now();
        let registry = self.registry();
        let mut engines = registry.ready_endpoints(&request.service, &self.shared.zone);
        if !request.versions.is_unrestricted() {
            let is_allowed = |it: &EndpointRecord| {
                let version = &it.announcement.version;
                request.versions.allows(version)
            };
            engines.retain(|id| registry.get(id).is_some_and(is_allowed));
        }
        self.watchers().reserve_engine(now, request, &engines)
    }

    /// Grants one request at one of the endpoints, which state limits; `None` if none accepts more.
    pub(crate) fn grant_request(&self, endpoints: &[EndpointId]) -> Option<EndpointId> {
        let now = self.shared.clock.now();
        self.watchers().grant_request(now, endpoints)
    }

    fn notify_loads_change(&self, change: LoadsChange) {
        match change {
            LoadsChange::Changed => self.shared.loads.send_modify(|changes| *changes += 1),
            LoadsChange::None => {}
        }
    }

    fn have_loads_changed(&self, request: &WatchRequest) -> bool {
        let watchers = self.watchers();
        watchers.have_other_loads_changed(&request.watcher, request.loads_revision)
    }

    /// Delay of updates that are not urgent, counted from the request, so that many updates share
    /// one answer.
    fn update_delay(&self) -> Duration {
        let watchers = u32::try_from(self.watchers().len()).unwrap_or(u32::MAX);
        Duration::from_millis(UPDATE_DELAY_PER_WATCHER_MS) * watchers
    }

    /// Delay of changed loads, counted in the same way.
    fn loads_delay(&self, watcher: &Watcher) -> Duration {
        let is_near = matches!(watcher, Watcher::Entry { zone, .. } if *zone == self.shared.zone);
        let factor = if is_near { 1 } else { REMOTE_ZONE_DELAY_FACTOR };
        self.update_delay() * factor
    }

    /// Whether an update must be sent at once: an endpoint that leaves, a new document, a step of a
    /// roll-out, or a request that crashes endpoints.
    fn has_urgent_update(&self, published: &PublishedState, request: &WatchRequest) -> bool {
        if !self.is_same_incarnation(request)
            || self.registry().has_departure_since(request.revision)
        {
            return true;
        }
        if self.suspects().broadcast_revision() > request.suspects_revision {
            return true;
        }
        let takes_rollouts = matches!(request.watcher, Watcher::Entry { .. });
        if takes_rollouts && *published.watch_rollouts().borrow() > request.rollouts_revision {
            return true;
        }
        *published.watch_document().borrow() > request.document_seen
    }

    fn reply(
        &self,
        published: &PublishedState,
        lease_ms: u64,
        request: &WatchRequest,
    ) -> WatchReply {
        let now = self.shared.clock.now();
        let (rollouts, led_term) = published.rollouts(now, lease_ms);
        let watchers = self.watchers();
        let (entries, entries_nearby) = watchers.entries(&request.watcher);
        let loads = watchers.loads_of_others(now, &request.watcher);
        let loads_revision = watchers.loads_revision();
        drop(watchers);
        let suspects_revision = self.suspects().broadcast_revision();
        let suspects = self
            .suspects()
            .broadcast_since(self.known_suspects(request));
        let stored = self.shared.stored_versions.borrow().clone();
        let stored_versions = if stored.revision > self.known_versions_revision(request) {
            stored.versions.into_iter().collect()
        } else {
            Vec::new()
        };
        let registry = self.registry();
        let heard = match request.watcher {
            Watcher::Entry { .. } => Vec::new(),
            Watcher::Replica(_) => registry.direct_heartbeat_ages(now),
        };
        WatchReply {
            document_version: *published.watch_document().borrow(),
            entries,
            entries_nearby,
            endpoints: registry.changes_since(self.known_revision(request)),
            heard,
            is_leading: led_term.is_some(),
            loads,
            loads_revision,
            members: Vec::new(),
            registry: self.shared.incarnation,
            revision: registry.revision(),
            rollouts: serving_rollouts(&rollouts, request),
            rollouts_revision: rollouts.revision(),
            stored_versions,
            suspects,
            suspects_revision,
            versions_revision: stored.revision,
            zone: self.shared.zone.clone(),
        }
    }

    /// Longest wait for a watcher's answer. While a roll-out is in progress, entries are answered more
    /// often, so that their leases are renewed.
    fn max_wait_ms(
        &self,
        published: &PublishedState,
        lease_ms: u64,
        request: &WatchRequest,
    ) -> u64 {
        match request.watcher {
            Watcher::Entry { .. } => {
                let (rollouts, _) = published.rollouts(self.shared.clock.now(), lease_ms);
                let is_in_progress = rollouts.iter().any(|it| !it.phase.is_ended());
                if is_in_progress {
                    MAX_ROLLOUT_WAIT_MS
                } else {
                    MAX_WAIT_MS
                }
            }
            Watcher::Replica(_) => MAX_WAIT_MS,
        }
    }

    /// Whether a watcher's revisions refer to this incarnation of the registry.
    fn is_same_incarnation(&self, request: &WatchRequest) -> bool {
        request.registry == self.shared.incarnation
    }

    /// The revision of this registry up to which a watcher is current.
    fn known_revision(&self, request: &WatchRequest) -> u64 {
        if self.is_same_incarnation(request) {
            request.revision
        } else {
            0
        }
    }

    /// Whether versions have been stored that an entry does not know to be stored.
    fn has_stored_since(&self, request: &WatchRequest) -> bool {
        let is_entry = matches!(request.watcher, Watcher::Entry { .. });
        let revision = self.shared.stored_versions.borrow().revision;
        is_entry && revision > self.known_versions_revision(request)
    }

    /// The revision of the stored versions that a watcher has.
    fn known_versions_revision(&self, request: &WatchRequest) -> u64 {
        if self.is_same_incarnation(request) {
            request.versions_revision
        } else {
            0
        }
    }

    /// The revision up to which a watcher knows the requests that crash endpoints.
    fn known_suspects(&self, request: &WatchRequest) -> u64 {
        if self.is_same_incarnation(request) {
            request.suspects_revision
        } else {
            0
        }
    }

    fn record_watcher(&self, request: &WatchRequest) {
        let now = self.shared.clock.now();
        let revision = self.known_revision(request);
        let change = self
            .watchers()
            .record_poll(now, &request.watcher, revision, &request.loads);
        self.notify_loads_change(change);
        self.shared.acknowledged.notify_waiters();
    }

    /// Waits until each active watcher has received a revision, for a bounded time.
    async fn await_watchers(&self, revision: u64) {
        let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
        loop {
            let acknowledged = self.shared.acknowledged.notified();
            tokio::pin!(acknowledged);
            acknowledged.as_mut().enable();
            if self.have_all_seen(revision) {
                return;
            }
            if timeout_at(deadline, acknowledged).await.is_err() {
                return;
            }
        }
    }

    fn have_all_seen(&self, revision: u64) -> bool {
        let now = self.shared.clock.now();
        self.watchers().is_acknowledged_by_all(now, revision)
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        let registry = self.shared.registry.lock();
        registry.unwrap_or_else(PoisonError::into_inner)
    }

    fn streams(&self) -> MutexGuard<'_, StreamOrigins> {
        let streams = self.shared.streams.lock();
        streams.unwrap_or_else(PoisonError::into_inner)
    }

    fn prompt_cache(&self) -> MutexGuard<'_, PromptCacheIndex> {
        let prompt_cache = self.shared.prompt_cache.lock();
        prompt_cache.unwrap_or_else(PoisonError::into_inner)
    }

    fn watchers(&self) -> MutexGuard<'_, WatcherTable> {
        let watchers = self.shared.watchers.lock();
        watchers.unwrap_or_else(PoisonError::into_inner)
    }
}
