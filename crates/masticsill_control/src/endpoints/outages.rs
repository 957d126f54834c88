//! Finds out which endpoints of this replica's zone are down, by connecting to those that relays
//! report as failing.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use masticsill_registry::{
    ConnectResult, EndpointId, EndpointLoad, HeartbeatAge, OutageChange, OutageTable,
};
use masticsill_types::{MonotonicClock, log_event};
use masticsill_upstream::dial;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::EndpointHub;
use super::hub::RESTORED_GRACE_MS;
use crate::events;

/// How long the checks sleep while no endpoint has to be checked; a report wakes them.
const IDLE_INTERVAL: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    revision: watch::Sender<u64>,
    table: Mutex<OutageTable>,
    /// Notified when an attempt may be due earlier than before, or has ended.
    woken: Notify,
}

/// The endpoints of this zone that are down. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Outages {
    shared: Arc<Shared>,
}

impl Outages {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        let declares_from = clock.now() + RESTORED_GRACE_MS;
        let shared = Shared {
            clock,
            revision: watch::Sender::new(0),
            table: Mutex::new(OutageTable::new(declares_from)),
            woken: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Records which endpoints have just failed a relay.
    pub(crate) fn report(&self, loads: &[EndpointLoad]) {
        let mut failing = loads.iter().filter(|load| load.is_failing).peekable();
        if failing.peek().is_none() {
            return;
        }
        let now = self.shared.clock.now();
        let mut table = self.table();
        let mut is_due = false;
        for load in failing {
            is_due |= table.report(now, &load.id);
        }
        if is_due {
            self.shared.woken.notify_one();
        }
    }

    /// Records a heartbeat.
    pub(crate) fn note_heartbeat(&self, id: &EndpointId) {
        let mut table = self.table();
        if table.is_down(id) {
            table.note_heartbeat(self.shared.clock.now(), id);
            self.shared.woken.notify_one();
        }
    }

    /// Records the connections of another replica. Those to endpoints of other zones have no effect.
    pub(crate) fn note_peer(&self, reached: &[HeartbeatAge]) {
        if reached.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let mut table = self.table();
        for HeartbeatAge { age_ms, id } in reached {
            table.note_peer_reached(now, id, *age_ms);
        }
        self.shared.woken.notify_one();
    }

    /// Ages of this replica's connections, for the other replicas.
    pub(crate) fn reached_ages(&self) -> Vec<HeartbeatAge> {
        self.table().reached_ages(self.shared.clock.now())
    }

    /// The endpoints that are down, and their revision.
    pub(crate) fn snapshot(&self) -> (Vec<EndpointId>, u64) {
        let table = self.table();
        (table.down().cloned().collect(), table.revision())
    }

    /// Revision of the endpoints that are down.
    pub(crate) fn revision(&self) -> u64 {
        self.table().revision()
    }

    /// Subscribes to that revision.
    pub(crate) fn watch_revision(&self) -> watch::Receiver<u64> {
        self.shared.revision.subscribe()
    }

    fn decide(&self, was_isolated: bool) -> bool {
        let mut table = self.table();
        let changes = table.decide(self.shared.clock.now());
        let (is_isolated, revision) = (table.is_isolated(), table.revision());
        drop(table);
        if is_isolated != was_isolated {
            log_event!(info, events::ZONE_UNREACHABLE, is_isolated = is_isolated);
        }
        for change in &changes {
            log_change(change);
        }
        self.shared.revision.send_if_modified(|known| {
            let is_changed = *known != revision;
            *known = revision;
            is_changed
        });
        is_isolated
    }

    fn table(&self) -> MutexGuard<'_, OutageTable> {
        let table = self.shared.table.lock();
        table.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects to the endpoints of the zone that have to be checked; never returns.
pub(crate) async fn run_outage_checks(endpoints: EndpointHub) {
    let outages = endpoints.outages().clone();
    let mut is_isolated = false;
    loop {
        let next_ms = outages
            .table()
            .next_attempt_in_ms(outages.shared.clock.now());
        let pause = next_ms.map_or(IDLE_INTERVAL, Duration::from_millis);
        // A report or the end of an attempt may require another one sooner.
        let _ = timeout(pause, outages.shared.woken.notified()).await;
        if outages.table().is_empty() {
            continue;
        }
        is_isolated = outages.decide(is_isolated);
        for (id, address) in begin_attempts(&endpoints) {
            spawn_local(attempt(outages.clone(), id, address));
        }
    }
}

/// The endpoints to connect to now, with their addresses.
fn begin_attempts(endpoints: &EndpointHub) -> Vec<(EndpointId, SocketAddr)> {
    let ready = endpoints.ready_in_zone();
    let ids: Vec<&EndpointId> = ready.iter().map(|(id, _)| id).collect();
    let outages = endpoints.outages();
    let now = outages.shared.clock.now();
    let begun = outages.table().begin_attempts(now, &ids);
    let address_of = |begun: &EndpointId| ready.iter().find(|(id, _)| id == begun);
    begun.iter().filter_map(address_of).cloned().collect()
}

async fn attempt(outages: Outages, id: EndpointId, address: SocketAddr) {
    let result = dial(address, OutageTable::ATTEMPT_TIMEOUT_MS).await;
    let result = result.map_or_else(|error| result_of(&error), |_| ConnectResult::Reached);
    let now = outages.shared.clock.now();
    outages.table().note_attempt(now, &id, result);
    outages.shared.woken.notify_one();
}

fn result_of(error: &io::Error) -> ConnectResult {
    match error.kind() {
        ErrorKind::ConnectionRefused => ConnectResult::Refused,
        // An endpoint at its limit of connections resets further ones.
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe => {
            ConnectResult::Reached
        }
        ErrorKind::TimedOut | ErrorKind::HostUnreachable => ConnectResult::TimedOut,
        _ => ConnectResult::Inconclusive,
    }
}

fn log_change(change: &OutageChange) {
    log_event!(
        info,
        events::ENDPOINT_OUTAGE,
        endpoint = change.id,
        life = change.id.incarnation,
        is_down = change.is_down,
        attempt = change.last.map_or("none", ConnectResult::name),
        failed_attempts = change.failed_attempts,
        is_reported = change.is_reported,
        lasted_ms = change.lasted_ms
    );
}
