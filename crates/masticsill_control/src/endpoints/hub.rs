//! The registry of this process, and the watchers that hear of its changes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use masticsill_registry::{
    Announcement, CacheUpdate, CachedTokens, EndpointId, EndpointLoad, EndpointRecord,
    EndpointState, EngineReservationRequest, HeartbeatAge, LoadsChange, PromptCacheIndex,
    PromptPart, Registry, RegistryTimeouts, Watcher, WatcherTable,
};
use masticsill_types::{MonotonicClock, NodeId, ZoneId, log_event};
use masticsill_wire::control::{WatchReply, WatchRequest};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

use super::suspects::Suspects;
use crate::events;
use crate::quorum::PublishedState;
use crate::unreadable::{UnreadableWord, UnreadableWords};

/// How long an endpoint of a former life is believed in without a heartbeat: two of them.
pub(super) const RESTORED_MS: u64 = 2_500;
/// Longest wait of one watch, whatever it asks for.
const MAX_WAIT_MS: u64 = 2_000;
/// Longest wait for the watchers before a deregistration is acknowledged; senders give up after 1 s.
const TELL_BOUND: Duration = Duration::from_millis(400);
/// Tokens of a prompt that are worth a word: they are read in a few hundredths of a second.
const LEAST_KEPT_TOKENS: u64 = 256;
/// Pause for each watcher before news that can wait are told, those of loads and of endpoints that
/// began or fell silent, so that a replica with many watchers answers each less often: 16 ms for
/// the eight of a small system, 64 ms for 32. When a zone's endpoints begin anew within a second, each
/// watcher hears of them in a few answers instead of one for each.
const NEWS_PAUSE_MS: u64 = 2;
/// How many times longer watchers of another zone wait for loads: bytes between zones are dear, and
/// their requests seldom come here.
const FAR_PAUSES: u32 = 4;

#[derive(Debug)]
struct Shared {
    acknowledged: Notify,
    clock: MonotonicClock,
    kept: Mutex<PromptCacheIndex>,
    /// Tells this registry from that of another life of the process.
    life: u64,
    /// Raised when some watcher's loads change.
    loads: watch::Sender<u64>,
    registry: Mutex<Registry>,
    revision: watch::Sender<u64>,
    suspects: Suspects,
    unreadable: UnreadableWords,
    watchers: Mutex<WatcherTable>,
    zone: ZoneId,
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
        unreadable: UnreadableWords,
    ) -> Self {
        let shared = Shared {
            acknowledged: Notify::new(),
            clock,
            kept: Mutex::default(),
            life: rand::random(),
            loads: watch::Sender::new(0),
            registry: Mutex::new(Registry::new(periods)),
            revision: watch::Sender::new(0),
            suspects: Suspects::new(clock),
            unreadable,
            watchers: Mutex::default(),
            zone,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Requests under which endpoints crashed.
    pub(crate) fn suspects(&self) -> &Suspects {
        &self.shared.suspects
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

    /// Takes an endpoint's deregistration, as [`Self::announce`].
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

    /// Takes the records of a former life of this replica.
    pub(crate) fn restore(&self, records: &[EndpointRecord]) {
        let mut registry = self.registry();
        let age_ms = registry.silence_ms().saturating_sub(RESTORED_MS);
        registry.restore(self.shared.clock.now(), records, age_ms);
        self.shared.revision.send_replace(registry.revision());
    }

    /// Every record, ended ones that are still remembered included.
    pub(crate) fn all_records(&self) -> Vec<EndpointRecord> {
        self.registry().records().cloned().collect()
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
    pub(crate) fn merge(&self, records: &[EndpointRecord], heard: &[HeartbeatAge]) {
        let now = self.shared.clock.now();
        let mut registry = self.registry();
        registry.apply_heartbeat_ages(now, heard);
        if registry.merge(now, records) {
            self.shared.revision.send_replace(registry.revision());
        }
    }

    /// Marks endpoints that fell silent or are heard again.
    pub(crate) fn judge_silence(&self, can_judge: bool) {
        let now = self.shared.clock.now();
        let mut registry = self.registry();
        let before = registry.revision();
        if !registry.update_silence(now, can_judge) {
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
        let mut loads = self.shared.loads.subscribe();
        let mut suspects = self.suspects().spread_revisions();
        let wait_ms = request.wait_ms.min(MAX_WAIT_MS);
        let began = Instant::now();
        let mut bound = began + Duration::from_millis(wait_ms);
        while !self.has_urgent_news(published, &request) {
            if self.registry().revision() > request.revision {
                bound = bound.min(began + self.news_pause());
            }
            if self.have_loads_changed(&request) {
                bound = bound.min(began + self.loads_pause(&request.watcher));
            }
            let change = async {
                tokio::select! {
                    _ = revisions.changed() => {}
                    _ = documents.changed() => {}
                    _ = loads.changed() => {}
                    _ = suspects.changed() => {}
                }
            };
            if timeout_at(bound, change).await.is_err() {
                break;
            }
        }
        self.reply(published, members, &request)
    }

    /// Engines of this zone that take requests and tell what they keep of prompts.
    pub(crate) fn keeping_engines(&self) -> Vec<Announcement> {
        let registry = self.registry();
        let is_engine = |it: &&EndpointRecord| {
            let said = &it.announcement;
            let is_ready = said.state == EndpointState::Ready && !it.is_silent;
            is_ready && said.keeps_prompts && said.zone == self.shared.zone
        };
        let engines = registry.records().filter(is_engine);
        engines.map(|it| it.announcement.clone()).collect()
    }

    /// Whether an endpoint takes requests, as far as is known.
    pub(crate) fn takes_requests(&self, id: &EndpointId) -> bool {
        let registry = self.registry();
        let record = registry.get(id);
        record.is_some_and(|it| it.announcement.state == EndpointState::Ready && !it.is_silent)
    }

    /// From where an engine's news of prompts go on.
    pub(crate) fn kept_position(&self, endpoint: &EndpointId) -> u64 {
        self.kept().position(endpoint)
    }

    /// Takes an engine's news of the prompts that it keeps.
    pub(crate) fn take_kept(&self, endpoint: &EndpointId, news: CacheUpdate) {
        self.kept().apply(endpoint, news);
    }

    /// Takes the whole list of the prompts that an engine keeps.
    pub(crate) fn take_all_kept(&self, endpoint: &EndpointId, list: CacheUpdate) {
        self.kept().replace(endpoint, list);
    }

    /// Notes entries of an engine's news of prompts that could not be read.
    pub(crate) fn note_unreadable_news(&self, endpoint: &EndpointId, entries: u64) {
        let word = UnreadableWord::PromptNews;
        let cause = "entries of its news are of another form; they are passed over";
        self.shared.unreadable.note(word, endpoint, entries, cause);
    }

    /// Forgets what an engine kept.
    pub(crate) fn forget_kept(&self, endpoint: &EndpointId) {
        self.kept().forget(endpoint);
    }

    /// Engines of this zone that keep the beginning of a prompt.
    pub(crate) fn find_kept(&self, prompt: &[PromptPart]) -> Vec<CachedTokens> {
        self.kept().find(prompt, LEAST_KEPT_TOKENS)
    }

    /// Takes a watcher's requests at the endpoints of this zone.
    pub(crate) fn take_loads(&self, watcher: &Watcher, loads: &[EndpointLoad]) {
        let now = self.shared.clock.now();
        let change = self.watchers().take_loads(now, watcher, loads);
        self.tell_of_loads(change);
    }

    /// Hands out a place at an engine of this zone; tells what the other watchers have there.
    pub(crate) fn take_place(&self, request: &EngineReservationRequest) -> Option<EndpointLoad> {
        let now = self.shared.clock.now();
        let registry = self.registry();
        let engines = registry.ready_endpoints(&request.service, &self.shared.zone);
        self.watchers().reserve_engine(now, request, &engines)
    }

    fn tell_of_loads(&self, change: LoadsChange) {
        match change {
            LoadsChange::Changed => self.shared.loads.send_modify(|changes| *changes += 1),
            LoadsChange::None => {}
        }
    }

    fn have_loads_changed(&self, request: &WatchRequest) -> bool {
        let watchers = self.watchers();
        watchers.have_other_loads_changed(&request.watcher, request.loads_revision)
    }

    /// How long news that are not urgent wait, counted from the question, so that many share one
    /// answer.
    fn news_pause(&self) -> Duration {
        let watchers = u32::try_from(self.watchers().len()).unwrap_or(u32::MAX);
        Duration::from_millis(NEWS_PAUSE_MS) * watchers
    }

    /// How long changed loads wait, likewise.
    fn loads_pause(&self, watcher: &Watcher) -> Duration {
        let is_near = matches!(watcher, Watcher::Entry { zone, .. } if *zone == self.shared.zone);
        let pauses = if is_near { 1 } else { FAR_PAUSES };
        self.news_pause() * pauses
    }

    /// Whether a watcher must hear at once: of an endpoint that leaves, of a document, or of a request
    /// that crashes endpoints.
    fn has_urgent_news(&self, published: &PublishedState, request: &WatchRequest) -> bool {
        if !self.is_followed(request) || self.registry().has_departure_since(request.revision) {
            return true;
        }
        if self.suspects().broadcast_revision() > request.suspects_revision {
            return true;
        }
        *published.watch_document().borrow() > request.document_seen
    }

    fn reply(
        &self,
        published: &PublishedState,
        members: Vec<(NodeId, std::net::SocketAddr)>,
        request: &WatchRequest,
    ) -> WatchReply {
        let now = self.shared.clock.now();
        let watchers = self.watchers();
        let (entries, entries_nearby) = watchers.entries(&request.watcher);
        let loads = watchers.loads_of_others(now, &request.watcher);
        let loads_revision = watchers.loads_revision();
        drop(watchers);
        let suspects_revision = self.suspects().broadcast_revision();
        let suspects = self
            .suspects()
            .broadcast_since(self.known_suspects(request));
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
            loads,
            loads_revision,
            members,
            registry: self.shared.life,
            revision: registry.revision(),
            suspects,
            suspects_revision,
            zone: self.shared.zone.clone(),
        }
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

    /// The revision up to which a watcher knows of requests that crash endpoints.
    fn known_suspects(&self, request: &WatchRequest) -> u64 {
        if self.is_followed(request) {
            request.suspects_revision
        } else {
            0
        }
    }

    fn note_watcher(&self, request: &WatchRequest) {
        let now = self.shared.clock.now();
        let revision = self.known_revision(request);
        let change = self
            .watchers()
            .record_poll(now, &request.watcher, revision, &request.loads);
        self.tell_of_loads(change);
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
        self.watchers().is_acknowledged_by_all(now, revision)
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        let registry = self.shared.registry.lock();
        registry.unwrap_or_else(PoisonError::into_inner)
    }

    fn kept(&self) -> MutexGuard<'_, PromptCacheIndex> {
        let kept = self.shared.kept.lock();
        kept.unwrap_or_else(PoisonError::into_inner)
    }

    fn watchers(&self) -> MutexGuard<'_, WatcherTable> {
        let watchers = self.shared.watchers.lock();
        watchers.unwrap_or_else(PoisonError::into_inner)
    }
}
