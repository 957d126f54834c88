//! State shared by all connections of a relay.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::RouteIndex;
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_dispatch::{
    Dispatcher, Endpoint, EndpointTable, EntryCount, Failure, PriorWaitEstimator, RetryBudget,
    StopLimits, ZoneShare,
};
use masticsill_quarantine::{CrashLedger, Fingerprint};
use masticsill_registry::{
    Announcement, ConfirmedVersions, EndpointId, QuorumShare, ReportedVoters, StreamOrigins,
    Watcher,
};
use masticsill_rollout::Reporter;
use masticsill_runtime::ShutdownSignal;
use masticsill_types::{ClockMs, MonotonicClock, NodeId, ZoneId, log_event};
use masticsill_upstream::BufferBudget;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

use crate::config::RelayConfig;
use crate::crash_check::LeftRun;
use crate::dispatch_queue::Waiters;
use crate::events;
use crate::metrics::{CauseLabel, RelayMetrics};
use crate::pool::ConnectionPool;
use crate::rollouts::Rollouts;
use crate::server::SHUTDOWN_MARGIN;
use crate::stream_durations::StreamDurations;

/// Divisor of a request's remaining time that gives how long it may wait for the first document or
/// endpoint. The rest has to suffice to serve the request, or for its caller to retry elsewhere.
const DISCOVERY_WAIT_DIVISOR: u64 = 10;
/// Maximum wait for the first document or endpoint: an instance that starts learns both within one
/// or two seconds.
const MAX_DISCOVERY_WAIT_MS: u64 = 2_500;

/// Maximum age of the last answer of a control replica that tells of each change at once, in
/// milliseconds: without a change it answers once a second.
const MAX_REPLY_AGE_MS: u64 = 1_500;

/// Maximum wait for the first document or endpoint of a request that has `left_ms` milliseconds left.
pub(crate) fn discovery_wait_ms(left_ms: u64) -> u64 {
    (left_ms / DISCOVERY_WAIT_DIVISOR).min(MAX_DISCOVERY_WAIT_MS)
}

/// Time after the beginning of a shutdown in which new streams are still accepted: the load
/// balancer needs it to route callers elsewhere.
const NEW_STREAMS_AFTER_SHUTDOWN_MS: u64 = 1_200;

/// A report that endpoints are stalled. Requests that wait for them fail over sooner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StallAlert {
    /// One endpoint.
    Endpoint(EndpointId),
    /// The endpoints of a service in one zone.
    Zone { service: String, zone: ZoneId },
}

impl StallAlert {
    /// Whether the report covers an endpoint.
    pub(crate) fn applies_to(&self, endpoint: &Announcement) -> bool {
        match self {
            Self::Endpoint(id) => *id == endpoint.id,
            Self::Zone { service, zone } => *service == endpoint.service && *zone == endpoint.zone,
        }
    }
}

/// State shared by the tasks of a relay, which all run on one thread.
pub(crate) struct Relay {
    /// Number of requests being answered.
    pub(crate) active: Cell<u32>,
    pub(crate) stall_alerts: watch::Sender<Option<StallAlert>>,
    /// Memory for the bodies of requests.
    pub(crate) body_buffers: BufferBudget,
    /// Memory for the responses of endpoints.
    pub(crate) buffers: BufferBudget,
    pub(crate) budgets: RefCell<IndexMap<String, RetryBudget>>,
    pub(crate) clock: MonotonicClock,
    pub(crate) config: RelayConfig,
    pub(crate) control: ControlClient,
    /// Control replicas whose last reply arrived, with their zones.
    pub(crate) control_reached: RefCell<IndexMap<SocketAddr, ZoneId>>,
    /// The versions of services that a majority of the control replicas know.
    pub(crate) confirmed_versions: RefCell<ConfirmedVersions>,
    /// The voters that the control replicas report whose last reply arrived.
    pub(crate) control_voters: RefCell<ReportedVoters>,
    /// Requests whose endpoints are being probed for a crash, one entry per probe.
    pub(crate) crash_checks: RefCell<Vec<Fingerprint>>,
    /// Requests whose endpoints crashed.
    pub(crate) crashes: RefCell<CrashLedger>,
    /// The requests queued for an endpoint, in dispatch order.
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) endpoints: RefCell<EndpointTable>,
    /// Whether a document is active, for the readiness reported by other duties.
    pub(crate) has_document: Arc<AtomicBool>,
    /// Whether requests are being answered, for the duty that fetches documents.
    pub(crate) is_relaying: Arc<AtomicBool>,
    /// Number of changes of this entry's streams per zone, for the tasks that report loads to
    /// control replicas. Plain requests are left out, because they end sooner than a report would
    /// arrive.
    pub(crate) load_changes: watch::Sender<IndexMap<ZoneId, u64>>,
    /// The number of entries that share retry budgets and connection limits, this one included.
    pub(crate) entries: RefCell<EntryCount>,
    /// When anything was last received from an endpoint or a control replica.
    pub(crate) last_received_at: Cell<ClockMs>,
    pub(crate) metrics: RelayMetrics,
    /// Counts changes of the crash records, for the tasks that report them and the requests that
    /// wait for them.
    pub(crate) crash_changes: watch::Sender<u64>,
    /// When each control replica answered last.
    control_replied_at: RefCell<IndexMap<SocketAddr, ClockMs>>,
    /// The newest document version reported by any control replica.
    newest_document: Cell<Option<u64>>,
    /// Counts changes of the document and the endpoints, for requests that wait for them.
    pub(crate) discovery_changes: watch::Sender<u64>,
    /// The active document; replaced as a whole, so that no request sees two versions.
    pub(crate) index: RefCell<Option<Arc<RouteIndex>>>,
    /// Estimates from a caller's attempts how long it has waited in earlier ones.
    pub(crate) prior_wait_estimator: RefCell<PriorWaitEstimator>,
    pub(crate) pool: RefCell<ConnectionPool>,
    /// Roll-outs of versions, where they are enabled.
    pub(crate) rollouts: Option<Rollouts>,
    /// Notified whenever an endpoint may have capacity for a queued request.
    pub(crate) capacity_changed: Notify,
    /// This entry's rank among the entries of its zone.
    pub(crate) zone_share: Cell<ZoneShare>,
    pub(crate) stopping: ShutdownSignal,
    /// Requested shortly before the relay ends: requests without any response are refused then.
    pub(crate) ending: ShutdownSignal,
    /// Running requests under which an endpoint has crashed, and the endpoints that run them.
    pub(crate) suspect_runs: RefCell<Vec<(Fingerprint, EndpointId)>>,
    pub(crate) stream_durations: Cell<StreamDurations>,
    /// The origins of the streams that this relay has begun or continued.
    pub(crate) stream_origins: RefCell<StreamOrigins>,
    /// Counts the streams recorded, for the tasks that report them to control replicas.
    pub(crate) stream_origin_changes: watch::Sender<u64>,
    /// The newest revision of `stream_origins` that a control replica has received.
    pub(crate) stream_origins_stored: watch::Sender<u64>,
    /// Receivers of the results of queued requests.
    pub(crate) waiters: RefCell<Waiters>,
    /// When the graceful shutdown began.
    pub(crate) stopping_since: Cell<Option<ClockMs>>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Relay");
        shown.field("node", &self.config.node);
        shown.finish_non_exhaustive()
    }
}

impl Relay {
    pub(crate) fn new(
        config: RelayConfig,
        clock: MonotonicClock,
        stopping: ShutdownSignal,
        has_document: Arc<AtomicBool>,
        is_relaying: Arc<AtomicBool>,
        metrics: RelayMetrics,
    ) -> Self {
        let last_received_at = Cell::new(clock.now());
        let reporter = || Reporter {
            incarnation: rand::random(),
            node: config.node.clone(),
        };
        let rollouts = config
            .rollouts
            .map(|settings| Rollouts::new(settings, reporter()));
        Self {
            active: Cell::new(0),
            stall_alerts: watch::Sender::new(None),
            body_buffers: BufferBudget::new(config.body_buffer_bytes),
            buffers: BufferBudget::new(config.buffer_bytes),
            budgets: RefCell::default(),
            clock,
            config,
            control: ControlClient::new(AddressBook::default()),
            control_reached: RefCell::default(),
            confirmed_versions: RefCell::default(),
            control_replied_at: RefCell::default(),
            control_voters: RefCell::default(),
            crash_checks: RefCell::default(),
            crashes: RefCell::default(),
            dispatcher: RefCell::default(),
            endpoints: RefCell::default(),
            has_document,
            is_relaying,
            load_changes: watch::Sender::default(),
            entries: RefCell::default(),
            last_received_at,
            metrics,
            newest_document: Cell::new(None),
            crash_changes: watch::Sender::new(0),
            discovery_changes: watch::Sender::new(0),
            index: RefCell::new(None),
            prior_wait_estimator: RefCell::default(),
            pool: RefCell::default(),
            rollouts,
            capacity_changed: Notify::new(),
            zone_share: Cell::new(ZoneShare::default()),
            stopping,
            ending: ShutdownSignal::default(),
            suspect_runs: RefCell::default(),
            stream_durations: Cell::default(),
            stream_origins: RefCell::default(),
            stream_origin_changes: watch::Sender::new(0),
            stream_origins_stored: watch::Sender::new(0),
            waiters: RefCell::default(),
            stopping_since: Cell::new(None),
        }
    }

    pub(crate) fn now(&self) -> ClockMs {
        self.clock.now()
    }

    pub(crate) fn index(&self) -> Option<Arc<RouteIndex>> {
        self.index.borrow().clone()
    }

    /// Activates a document.
    pub(crate) fn install_index(&self, index: RouteIndex) {
        self.metrics.document_version.set(index.document().version);
        *self.index.borrow_mut() = Some(Arc::new(index));
        self.has_document.store(true, Ordering::Release);
        self.notify_discovery();
    }

    /// Records the document version that a control replica has.
    pub(crate) fn note_document_version(&self, version: Option<u64>) {
        let newest = self.newest_document.get();
        self.newest_document.set(newest.max(version));
    }

    /// Whether a newer document than the active one is known.
    pub(crate) fn is_behind_document(&self) -> bool {
        let index = self.index.borrow();
        let held = index.as_ref().map(|index| index.document().version);
        self.newest_document.get() > held
    }

    /// Wakes the requests that wait for a document or an endpoint.
    pub(crate) fn notify_discovery(&self) {
        self.discovery_changes.send_modify(|count| *count += 1);
    }

    /// Waits until `find` returns a value, `bound_ms` milliseconds at most.
    ///
    /// An instance that has just started will know its document and endpoints in a moment. A
    /// request is better served here after a short wait than sent away.
    pub(crate) async fn wait_for_discovery<T>(
        &self,
        bound_ms: u64,
        mut find: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        let mut discovery_changes = self.discovery_changes.subscribe();
        let bound = Instant::now() + Duration::from_millis(bound_ms);
        loop {
            if let Some(found) = find() {
                return Some(found);
            }
            if timeout_at(bound, discovery_changes.changed())
                .await
                .is_err()
            {
                return None;
            }
        }
    }

    /// Updates this entry's rank from the node ids of the entries in its zone.
    pub(crate) fn update_zone_share(&self, nearby: &[NodeId]) {
        let rank = nearby.iter().position(|node| *node == self.config.node);
        if let Some(rank) = rank {
            let entries = nearby.len();
            self.zone_share.set(ZoneShare { entries, rank });
        }
    }

    /// Time since the graceful shutdown began, in milliseconds; `None` if none has begun.
    pub(crate) fn stopping_for_ms(&self) -> Option<u64> {
        let since = self.stopping_since.get()?;
        Some(self.now().since(since))
    }

    /// Begins the graceful shutdown; answers have to be complete within `serving_time`.
    pub(crate) fn begin_stop(&self, serving_time: Duration) {
        let now = self.now();
        self.stopping_since.set(Some(now));
        let serving_ms = u64::try_from(serving_time.as_millis()).unwrap_or(u64::MAX);
        let ends_at = now + serving_ms;
        let stream_ms = self.stream_durations.get().expected_ms();
        let limits = StopLimits { ends_at, stream_ms };
        self.dispatcher.borrow_mut().begin_stop(limits);
        self.capacity_changed.notify_one();
    }

    /// Records the duration of a completed stream.
    pub(crate) fn note_stream_ms(&self, took_ms: u64) {
        let mut times = self.stream_durations.get();
        times.record(took_ms);
        self.stream_durations.set(times);
    }

    /// Whether a stream may still be started: a graceful shutdown must not cut it.
    pub(crate) fn accepts_streams(&self) -> bool {
        let Some(stopping_for_ms) = self.stopping_for_ms() else {
            return true;
        };
        let left = Duration::from_millis(self.config.grace_ms.saturating_sub(stopping_for_ms));
        let left = left.saturating_sub(SHUTDOWN_MARGIN);
        stopping_for_ms <= NEW_STREAMS_AFTER_SHUTDOWN_MS
            && self.stream_durations.get().fits_within(left)
    }

    /// This entry's identity towards control replicas.
    pub(crate) fn watcher(&self) -> Watcher {
        Watcher::Entry {
            node: self.config.node.clone(),
            zone: self.config.zone.clone(),
        }
    }

    /// Records that a stream in a zone starts, ends its prefill, or ends.
    pub(crate) fn note_load_change(&self, zone: &ZoneId) {
        self.load_changes.send_modify(|changes| {
            if let Some(count) = changes.get_mut(zone) {
                *count += 1;
            } else {
                changes.insert(zone.clone(), 1);
            }
        });
    }

    /// Whether an endpoint accepts requests, as far as is known.
    pub(crate) fn is_ready(&self, id: &EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        endpoints.get(id).is_some_and(Endpoint::is_ready)
    }

    /// Whether an endpoint that had been chosen wants no request any more.
    pub(crate) fn has_withdrawn(&self, id: &EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(id);
        endpoint.is_some_and(|it| !it.may_be_tried() || it.is_resting(self.now()))
    }

    /// Whether an endpoint's incarnation is known to have ended, so that nothing more can arrive
    /// from it.
    pub(crate) fn has_incarnation_ended(&self, id: &EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        endpoints.is_superseded(id) || endpoints.get(id).is_some_and(Endpoint::is_replaced)
    }

    pub(crate) fn note_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.note_request(now));
    }

    /// Records the number of entries that a control replica reports.
    pub(crate) fn note_entries(&self, entries: u32) {
        let now = self.now();
        self.entries.borrow_mut().note(now, entries);
        let entries = self.entry_count();
        self.endpoints.borrow_mut().set_entries(now, entries);
    }

    pub(crate) fn entry_count(&self) -> u32 {
        self.entries.borrow().highest()
    }

    /// Whether the retry budget allows another attempt.
    pub(crate) fn has_retries_left(&self, service: &str) -> bool {
        let (now, entries) = (self.now(), self.entry_count());
        self.with_budget(service, |budget| budget.left(now, entries) > 0)
    }

    /// Spends retry budget for another attempt; false if the budget is exhausted.
    pub(crate) fn try_spend(&self, service: &str) -> bool {
        let (now, entries) = (self.now(), self.entry_count());
        let is_spent = self.with_budget(service, |budget| budget.try_spend(now, entries));
        if !is_spent {
            self.note_retry_refused(service);
        }
        is_spent
    }

    /// Records that the retry budget did not allow another attempt.
    pub(crate) fn note_retry_refused(&self, service: &str) {
        self.metrics.retries_refused.inc();
        log_event!(
            warn,
            events::RETRY_REFUSED,
            service = service,
            entries = self.entry_count()
        );
    }

    /// Updates the gauges of values that change too often to be counted at each change.
    pub(crate) fn update_gauges(&self) {
        let (now, entries) = (self.now(), self.entry_count());
        self.metrics.active.set(i64::from(self.active.get()));
        let is_behind = self.is_behind_document();
        self.metrics.document_behind.set(i64::from(is_behind));
        self.metrics.note_endpoints(&self.endpoints.borrow());
        let quarantined = self.crashes.borrow().quarantined(now);
        let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.metrics.quarantined.set(quarantined);
        let budgets = self.budgets.borrow();
        let left = budgets
            .values()
            .map(|budget| budget.left(now, entries))
            .min();
        self.metrics.retries_left.set(left.map_or(0, i64::from));
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let settings = self.config.retry_budget;
        let budget = budgets.entry(service.to_owned());
        act(budget.or_insert_with(|| RetryBudget::new(settings)))
    }

    /// Records a failed exchange with an endpoint, and reports a stall of the endpoint or its zone.
    pub(crate) fn note_failure(&self, endpoint: &Announcement, failure: Failure) {
        let now = self.now();
        let id = &endpoint.id;
        let cause = failure.name();
        self.metrics
            .attempt_failures
            .get_or_create(&CauseLabel { cause })
            .inc();
        let is_zone_stalled = self.endpoints.borrow_mut().note_failure(now, id, failure);
        self.pool.borrow_mut().drop_endpoint(id);
        self.note_load_change(&endpoint.zone);
        if failure != Failure::Stalled {
            return;
        }
        let alert = if is_zone_stalled {
            log_event!(
                warn,
                events::ZONE_SUSPECT,
                zone = endpoint.zone,
                service = endpoint.service,
                endpoint = endpoint.id
            );
            StallAlert::Zone {
                service: endpoint.service.clone(),
                zone: endpoint.zone.clone(),
            }
        } else {
            StallAlert::Endpoint(id.clone())
        };
        self.stall_alerts.send_replace(Some(alert));
    }

    /// Retires an incarnation of an endpoint that has restarted under the same id: nothing more
    /// will arrive from it.
    ///
    /// Its connections lead nowhere, or to the new incarnation. Requests sent on them may have run.
    pub(crate) fn retire_incarnation(&self, id: &EndpointId) {
        self.pool.borrow_mut().drop_endpoint(id);
        self.stall_alerts
            .send_replace(Some(StallAlert::Endpoint(id.clone())));
    }

    /// Records that an endpoint refused a request for lack of capacity.
    pub(crate) fn note_full(&self, id: &EndpointId) {
        let now = self.now();
        self.with_concurrency(id, |it| {
            it.note_full(now);
            let usual_ms = it.health.pace_ms().unwrap_or(1.0);
            let in_flight = it.in_flight;
            it.concurrency.note_full(now, usual_ms, in_flight);
        });
    }

    /// Records that a control replica answered.
    pub(crate) fn record_control_reply(&self, address: SocketAddr) {
        let now = self.now();
        self.last_received_at.set(now);
        self.control_replied_at.borrow_mut().insert(address, now);
    }

    /// Whether a majority of the control quorum has answered so lately that this relay would know of an
    /// endpoint that has restarted.
    pub(crate) fn is_informed(&self) -> bool {
        let now = self.now();
        let replied_at = self.control_replied_at.borrow();
        let voters = self.control_voters.borrow();
        let has_replied = |replica: &SocketAddr| {
            let at = replied_at.get(replica);
            at.is_some_and(|at| now.since(*at) < MAX_REPLY_AGE_MS)
        };
        voters.share(has_replied) >= QuorumShare::Majority
    }

    /// Records that a control replica stopped answering. If no other replica of its zone answers,
    /// the loads of the other entries in that zone are unknown from now on.
    pub(crate) fn note_control_lost(&self, address: &SocketAddr) {
        self.control_replied_at.borrow_mut().swap_remove(address);
        if self.control_voters.borrow_mut().remove(address) {
            self.confirm_versions();
        }
        let mut reached = self.control_reached.borrow_mut();
        let Some(zone) = reached.swap_remove(address) else {
            return;
        };
        if !reached.values().any(|other| *other == zone) {
            self.endpoints.borrow_mut().forget_loads(&zone);
        }
    }

    /// Wakes the tasks that report to control replicas what this relay records.
    pub(crate) fn notify_reporters(&self) {
        self.notify_crash_reporters();
        self.notify_stream_reporters();
    }

    /// Records the voters of the control quorum that a replica reported.
    pub(crate) fn note_voters(&self, replica: SocketAddr, voters: Vec<SocketAddr>) {
        if self.control_voters.borrow_mut().note(replica, voters) {
            self.confirm_versions();
            self.notify_stream_reporters();
        }
    }

    /// The voters of the control quorum that any reached replica reports.
    pub(crate) fn known_voters(&self) -> IndexSet<SocketAddr> {
        self.control_voters.borrow().voters()
    }

    /// Whether all voters of the control quorum answer.
    pub(crate) fn reaches_all_voters(&self) -> bool {
        self.reached_share() == QuorumShare::All
    }

    /// How much of the control quorum answers.
    pub(crate) fn reached_share(&self) -> QuorumShare {
        let reached = self.control_reached.borrow();
        let voters = self.control_voters.borrow();
        voters.share(|replica| reached.contains_key(replica))
    }

    /// Time since anything was received from an endpoint or control replica, in milliseconds.
    pub(crate) fn silent_ms(&self) -> u64 {
        self.now().since(self.last_received_at.get())
    }

    /// Records that bytes of a response were received from an endpoint.
    pub(crate) fn record_received(&self, id: &EndpointId) {
        let now = self.now();
        self.last_received_at.set(now);
        self.with_endpoint(id, |it| it.health.note_heard(now));
    }

    /// Records the status of a response.
    pub(crate) fn note_answer(&self, id: &EndpointId, status: u16) {
        self.with_endpoint(id, |it| it.health.note_answer(status >= 500));
    }

    /// Records how long an endpoint took for a complete response, and the route's latency target.
    pub(crate) fn note_answer_ms(&self, id: &EndpointId, answer_ms: u64, target_latency_ms: u64) {
        let now = self.now();
        self.with_concurrency(id, |it| {
            it.health.note_pace(answer_ms);
            let usual_ms = it.health.pace_ms().unwrap_or_default();
            let in_flight = it.in_flight;
            it.concurrency
                .note_answer(now, usual_ms, target_latency_ms, in_flight);
        });
    }

    /// Applies an update that may limit an endpoint's concurrency or lift the limit, and logs such
    /// a change.
    fn with_concurrency(&self, id: &EndpointId, note: impl FnOnce(&mut Endpoint)) {
        self.with_endpoint(id, |it| {
            let was_limited = it.concurrency.is_limited();
            note(it);
            let is_limited = it.concurrency.is_limited();
            if is_limited != was_limited {
                log_event!(
                    info,
                    events::ENDPOINT_LIMITED,
                    endpoint = id,
                    is_limited = is_limited,
                    usual_ms = it.health.pace_ms().unwrap_or_default().round(),
                    in_flight = it.in_flight
                );
            }
        });
    }

    /// Records the time between two events of a stream.
    pub(crate) fn note_event_gap(&self, id: &EndpointId, gap_ms: u64) {
        self.with_endpoint(id, |it| it.health.note_pace(gap_ms));
        let now = self.now();
        self.endpoints.borrow_mut().note_event_gap(now, id, gap_ms);
    }

    /// Records that a silent run was left although its endpoint accepts connections.
    pub(crate) fn note_left_alive(&self, id: &EndpointId, left: LeftRun) {
        self.metrics.runs_left_alive.inc();
        let again = &self.metrics.tokens_prefilled_again;
        again.inc_by(left.prompt_tokens_again);
        if left.is_stalled {
            let now = self.now();
            let mut endpoints = self.endpoints.borrow_mut();
            endpoints.note_event_gap(now, id, left.silent_ms);
        }
    }

    /// Whether the zone of an endpoint appears to be down.
    pub(crate) fn is_zone_stalled(&self, endpoint: &Announcement) -> bool {
        let now = self.now();
        self.endpoints.borrow().is_zone_stalled(now, endpoint)
    }

    /// Updates an endpoint, unless it has been evicted.
    pub(crate) fn with_endpoint(&self, id: &EndpointId, note: impl FnOnce(&mut Endpoint)) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            note(endpoint);
        }
    }
}

/// Counts a request as being answered until this value is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    relay: Rc<Relay>,
}

impl ActiveRequest {
    pub(crate) fn begin(relay: &Rc<Relay>) -> Self {
        relay.active.set(relay.active.get() + 1);
        relay.is_relaying.store(true, Ordering::Relaxed);
        Self {
            relay: Rc::clone(relay),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let left = self.relay.active.get() - 1;
        self.relay.active.set(left);
        self.relay.is_relaying.store(left > 0, Ordering::Relaxed);
    }
}
