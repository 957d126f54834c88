//! What the connections of one relay share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use indexmap::IndexMap;
use masticsill_catalogue::RouteIndex;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_runtime::ShutdownSignal;
use masticsill_types::{ClockMs, MonotonicClock, ZoneId, log_event};
use tokio::sync::watch;

use crate::budget::RetryBudget;
use crate::config::RelayConfig;
use crate::endpoints::EndpointTable;
use crate::entries::EntryCount;
use crate::events;
use crate::health::Failure;
use crate::placement::{Choice, Wanted, choose};
use crate::pool::Pool;

/// Part of the connections that an endpoint accepts which the entries use: health checks and
/// connections that are just closing take the rest.
const USED_PERCENT: u32 = 85;

/// Endpoints that stand still: those who wait for them turn elsewhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Alarm {
    /// One endpoint.
    Endpoint(EndpointId),
    /// Those of a service in a zone.
    Zone { service: String, zone: ZoneId },
}

impl Alarm {
    /// Whether it tells of an endpoint.
    pub(crate) fn is_about(&self, endpoint: &Announcement) -> bool {
        match self {
            Self::Endpoint(id) => *id == endpoint.id,
            Self::Zone { service, zone } => *service == endpoint.service && *zone == endpoint.zone,
        }
    }
}

/// What the tasks of one relay share; all run on one thread.
#[derive(Debug)]
pub(crate) struct Relay {
    /// Requests that are being answered.
    pub(crate) active: Cell<u32>,
    pub(crate) alarms: watch::Sender<Option<Alarm>>,
    pub(crate) budgets: RefCell<IndexMap<String, RetryBudget>>,
    pub(crate) clock: MonotonicClock,
    pub(crate) config: RelayConfig,
    pub(crate) endpoints: RefCell<EndpointTable>,
    /// Whether a document is in force here, for the readiness that other duties tell.
    pub(crate) has_document: Arc<AtomicBool>,
    /// Entries that share budgets and connections, this one included.
    pub(crate) entries: RefCell<EntryCount>,
    /// The document in force here; swapped as a whole, so that no request sees two versions.
    pub(crate) index: RefCell<Option<Arc<RouteIndex>>>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) stopping: ShutdownSignal,
    /// When the graceful shutdown began.
    pub(crate) stopping_since: Cell<Option<ClockMs>>,
}

impl Relay {
    pub(crate) fn new(
        config: RelayConfig,
        clock: MonotonicClock,
        stopping: ShutdownSignal,
        has_document: Arc<AtomicBool>,
    ) -> Self {
        Self {
            active: Cell::new(0),
            alarms: watch::Sender::new(None),
            budgets: RefCell::default(),
            clock,
            config,
            endpoints: RefCell::default(),
            has_document,
            entries: RefCell::default(),
            index: RefCell::new(None),
            pool: RefCell::default(),
            stopping,
            stopping_since: Cell::new(None),
        }
    }

    pub(crate) fn now(&self) -> ClockMs {
        self.clock.now()
    }

    pub(crate) fn index(&self) -> Option<Arc<RouteIndex>> {
        self.index.borrow().clone()
    }

    /// Puts a document in force here.
    pub(crate) fn take_index(&self, index: RouteIndex) {
        *self.index.borrow_mut() = Some(Arc::new(index));
        self.has_document.store(true, Ordering::Release);
    }

    /// How long the graceful shutdown has lasted; `None` while there is none.
    pub(crate) fn stopping_for_ms(&self) -> Option<u64> {
        let since = self.stopping_since.get()?;
        Some(self.now().since(since))
    }

    /// Chooses an endpoint and returns what it said of itself.
    pub(crate) fn choose(&self, wanted: &Wanted<'_>) -> Option<(Choice, Announcement)> {
        let endpoints = self.endpoints.borrow();
        let full = self.full_endpoints(&endpoints, wanted.service);
        let excluded = [wanted.excluded, &full].concat();
        let wanted = Wanted {
            excluded: &excluded,
            ..wanted.clone()
        };
        let choice = choose(&endpoints, self.now(), &wanted, rand::random)?;
        let endpoint = endpoints.get(&choice.id)?;
        Some((choice, endpoint.announcement.clone()))
    }

    /// Endpoints that accept no more connections of this entry: all entries share what one
    /// accepts, and it resets what is beyond.
    fn full_endpoints(&self, endpoints: &EndpointTable, service: &str) -> Vec<EndpointId> {
        let index = self.index();
        let accepted = index.and_then(|index| index.service(service)?.max_connections);
        let Some(accepted) = accepted else {
            return Vec::new();
        };
        let limit = (accepted * USED_PERCENT / 100 / self.entry_count()).max(1);
        let pool = self.pool.borrow();
        let of_service = endpoints
            .iter()
            .filter(|it| it.announcement.service == service);
        let ids = of_service.map(|it| &it.announcement.id);
        ids.filter(|id| !pool.has_room(id, limit))
            .cloned()
            .collect()
    }

    /// Whether an endpoint takes requests and is not left alone after a failure.
    pub(crate) fn is_usable(&self, id: &EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(id);
        endpoint.is_some_and(|it| it.is_ready() && !it.health.is_held(self.now()))
    }

    pub(crate) fn note_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.note_request(now));
    }

    fn entry_count(&self) -> u32 {
        self.entries.borrow().highest(self.now())
    }

    /// Whether one more send of a request fits into the retry budget; it is spent then.
    pub(crate) fn try_spend(&self, service: &str) -> bool {
        let (now, entries) = (self.now(), self.entry_count());
        self.with_budget(service, |budget| budget.try_spend(now, entries))
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let settings = self.config.budget;
        let budget = budgets.entry(service.to_owned());
        act(budget.or_insert_with(|| RetryBudget::new(settings)))
    }

    /// Notes a failed exchange with an endpoint, and what that says of its zone.
    pub(crate) fn note_failure(&self, endpoint: &Announcement, failure: Failure) {
        let now = self.now();
        let id = &endpoint.id;
        let is_zone_still = self.endpoints.borrow_mut().note_failure(now, id, failure);
        self.pool.borrow_mut().drop_endpoint(id);
        if failure != Failure::Stalled {
            return;
        }
        let alarm = if is_zone_still {
            log_event!(
                warn,
                events::ZONE_SUSPECT,
                zone = endpoint.zone,
                service = endpoint.service,
                endpoint = endpoint.id
            );
            Alarm::Zone {
                service: endpoint.service.clone(),
                zone: endpoint.zone.clone(),
            }
        } else {
            Alarm::Endpoint(id.clone())
        };
        self.alarms.send_replace(Some(alarm));
    }

    /// Notes that a byte of an endpoint's answer came.
    pub(crate) fn note_heard(&self, id: &EndpointId) {
        let now = self.now();
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            endpoint.health.note_heard(now);
        }
    }

    /// Notes the head of an answer.
    pub(crate) fn note_answer(&self, id: &EndpointId, status: u16) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            endpoint.health.note_answer(status >= 500);
        }
    }

    /// Notes the time that one unit of an endpoint's work took.
    pub(crate) fn note_pace(&self, id: &EndpointId, pace_ms: u64) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            endpoint.health.note_pace(pace_ms);
        }
    }
}

/// Counts a request as being answered, until it is dropped.
#[derive(Debug)]
pub(crate) struct Active {
    relay: Rc<Relay>,
}

impl Active {
    pub(crate) fn begin(relay: &Rc<Relay>) -> Self {
        relay.active.set(relay.active.get() + 1);
        Self {
            relay: Rc::clone(relay),
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.relay.active.set(self.relay.active.get() - 1);
    }
}
