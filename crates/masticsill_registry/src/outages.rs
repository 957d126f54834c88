//! Endpoints that are down, as found out by a control replica of their zone.
//!
//! A relay that reports a failure makes the replica connect to the endpoint itself. Only if that
//! fails as well is the endpoint down for every relay. A lossy link between zones, or a relay that
//! is cut off, therefore never takes an endpoint away from others.

use indexmap::{IndexMap, IndexSet};
use masticsill_types::ClockMs;

use crate::id::EndpointId;
use crate::record::HeartbeatAge;

/// Time after which an attempt to connect counts as failed: a running endpoint of the same zone
/// accepts within a few milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 120;
/// An attempt that took this much longer than its timeout is ignored: the replica itself did not run
/// in the meantime.
const MAX_ATTEMPT_DELAY_MS: u64 = 100;
/// Interval between attempts at one endpoint, doubled up to the maximum while the result is the same.
const MIN_INTERVAL_MS: u64 = 250;
/// Longest interval between attempts at one endpoint.
const MAX_INTERVAL_MS: u64 = 1_000;
/// Concurrent attempts: 250 endpoints that don't answer are all tried within a second.
const MAX_CONCURRENT_ATTEMPTS: usize = 32;
/// Failed attempts after which an endpoint is down that no relay has reported: a relay's report is
/// the second piece of evidence otherwise.
const MIN_UNREPORTED_FAILURES: u32 = 2;
/// Number of unreachable endpoints from which every endpoint of the zone is tried, because endpoints
/// often fail together.
const MIN_UNREACHABLE_FOR_SCAN: usize = 3;
/// Number of other endpoints that are tried if fewer are unreachable, as a check of the replica's own
/// network.
const SELF_CHECK_ATTEMPTS: usize = 2;
/// Unreachable endpoints for each reachable one up to which the replica trusts its own attempts. Six
/// tenths of a zone's engines have been down at once; a replica that is cut off reaches none.
const MAX_UNREACHABLE_RATIO: usize = 4;
/// How long an endpoint that the zone's other replica reaches, and this one doesn't, is left to the
/// other replica: this one's link to the endpoint is the likelier fault.
const CONTESTED_TTL_MS: u64 = 60_000;
/// How long a report counts, and how long an endpoint that turned out to be reachable is kept.
const REPORT_TTL_MS: u64 = 3_000;

/// The result of a replica's attempt to connect to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectResult {
    /// The attempt failed for a local reason, which says nothing about the endpoint.
    Inconclusive,
    /// The endpoint accepted the connection, even if it reset it at once.
    Reached,
    /// The endpoint's machine refused the connection.
    Refused,
    /// There was no answer within the timeout.
    TimedOut,
}

impl ConnectResult {
    /// The name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Inconclusive => "inconclusive",
            Self::Reached => "reached",
            Self::Refused => "refused",
            Self::TimedOut => "timed_out",
        }
    }
}

/// The beginning or the end of an outage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutageChange {
    /// Attempts that failed in a row.
    pub failed_attempts: u32,
    /// The endpoint.
    pub id: EndpointId,
    /// Whether the endpoint is down now.
    pub is_down: bool,
    /// Whether a relay has reported a failure of the endpoint lately.
    pub is_reported: bool,
    /// The result of the last attempt; none if the other replica's or no attempt ended the outage.
    pub last: Option<ConnectResult>,
    /// How long the outage lasted, in milliseconds; zero at its beginning.
    pub lasted_ms: u64,
}

/// An endpoint to which the replica connects.
#[derive(Clone, Debug)]
struct Tracked {
    /// Start of the attempt in progress.
    attempt_began_at: Option<ClockMs>,
    /// When the zone's other replica reached the endpoint while this one's attempts failed.
    contested_at: Option<ClockMs>,
    down_since: Option<ClockMs>,
    failed_attempts: u32,
    /// Start of the first of the failed attempts.
    failing_since: ClockMs,
    interval_ms: u64,
    last: Option<ConnectResult>,
    /// Start of the last attempt.
    last_attempt_at: Option<ClockMs>,
    next_attempt_at: ClockMs,
    reached_at: Option<ClockMs>,
    reported_at: Option<ClockMs>,
}

impl Tracked {
    fn new(now: ClockMs) -> Self {
        Self {
            attempt_began_at: None,
            contested_at: None,
            down_since: None,
            failed_attempts: 0,
            failing_since: now,
            interval_ms: MIN_INTERVAL_MS,
            last: None,
            last_attempt_at: None,
            next_attempt_at: now,
            reached_at: None,
            reported_at: None,
        }
    }

    fn is_reported(&self, now: ClockMs) -> bool {
        is_within(now, self.reported_at, REPORT_TTL_MS)
    }

    /// Whether the last attempt succeeded. Attempts are repeated for as long as any endpoint is
    /// unreachable.
    fn is_reached(&self) -> bool {
        self.failed_attempts == 0 && self.reached_at.is_some()
    }

    /// Whether the evidence suffices, provided that the replica's own network works.
    fn seems_down(&self, now: ClockMs) -> bool {
        let is_known = self.down_since.is_some() || self.is_reported(now);
        let needed = if is_known { 1 } else { MIN_UNREPORTED_FAILURES };
        self.failed_attempts >= needed && !is_within(now, self.contested_at, CONTESTED_TTL_MS)
    }
}

fn is_within(now: ClockMs, at: Option<ClockMs>, time_ms: u64) -> bool {
    at.is_some_and(|at| now.since(at) < time_ms)
}

/// The endpoints of one zone that a control replica can't reach, and those that it checks.
///
/// The caller connects to the endpoints that [`Self::begin_attempts`] returns and reports the
/// results. While no relay reports a failure, the table is empty and costs nothing.
#[derive(Clone, Debug)]
pub struct OutageTable {
    /// Before this, the replica has just started and reports no outage.
    declares_from: ClockMs,
    /// Whether the replica reached enough endpoints to trust its own failed attempts.
    is_network_trusted: bool,
    revision: u64,
    tracked: IndexMap<EndpointId, Tracked>,
}

impl OutageTable {
    /// Timeout of each attempt, in milliseconds.
    pub const ATTEMPT_TIMEOUT_MS: u64 = ATTEMPT_TIMEOUT_MS;

    /// An empty table, which reports no outage before `declares_from`.
    #[must_use]
    pub fn new(declares_from: ClockMs) -> Self {
        Self {
            declares_from,
            is_network_trusted: true,
            revision: 0,
            tracked: IndexMap::new(),
        }
    }

    /// Whether no endpoint is being checked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Revision of the set of endpoints that are down.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether an endpoint is down.
    #[must_use]
    pub fn is_down(&self, id: &EndpointId) -> bool {
        let tracked = self.tracked.get(id);
        tracked.is_some_and(|it| it.down_since.is_some())
    }

    /// The endpoints that are down.
    pub fn down(&self) -> impl Iterator<Item = &EndpointId> {
        let down = self.tracked.iter();
        let down = down.filter(|(_, it)| it.down_since.is_some());
        down.map(|(id, _)| id)
    }

    /// Whether the replica can reach so few endpoints of its zone that it may be cut off itself.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        !self.is_network_trusted
    }

    /// Records that a relay reported a failure of an endpoint. Returns whether the endpoint has to be
    /// tried, or decided on, sooner than before.
    pub fn report(&mut self, now: ClockMs, id: &EndpointId) -> bool {
        if let Some(tracked) = self.tracked.get_mut(id) {
            let is_first = !tracked.is_reported(now) && tracked.down_since.is_none();
            if is_first {
                let earliest = tracked.last_attempt_at.map(|at| at + MIN_INTERVAL_MS);
                let due_at = earliest.unwrap_or(now).max(now);
                tracked.next_attempt_at = tracked.next_attempt_at.min(due_at);
            }
            tracked.reported_at = Some(now);
            return is_first;
        }
        let mut tracked = Tracked::new(now);
        tracked.reported_at = Some(now);
        self.tracked.insert(id.clone(), tracked);
        true
    }

    /// Records a heartbeat that an endpoint sent. If the endpoint is down, it is tried at once.
    ///
    /// The heartbeat alone doesn't end the outage: only the endpoint's serving port may be stuck.
    pub fn note_heartbeat(&mut self, now: ClockMs, id: &EndpointId) {
        let Some(tracked) = self.tracked.get_mut(id) else {
            return;
        };
        if tracked.down_since.is_some() && !is_within(now, tracked.last_attempt_at, MIN_INTERVAL_MS)
        {
            tracked.next_attempt_at = now;
        }
    }

    /// Records that the other replica of the zone connected to an endpoint `age_ms` milliseconds ago.
    pub fn note_peer_reached(&mut self, now: ClockMs, id: &EndpointId, age_ms: u64) {
        let reached_at = now.before(age_ms);
        let failing = self.tracked.get_mut(id).filter(|it| it.failed_attempts > 0);
        if let Some(failing) = failing.filter(|it| reached_at > it.failing_since) {
            failing.contested_at = failing.contested_at.max(Some(reached_at));
        }
    }

    /// Ages of the last successful attempts at endpoints that relays reported, for the zone's other
    /// replica.
    #[must_use]
    pub fn reached_ages(&self, now: ClockMs) -> Vec<HeartbeatAge> {
        let tracked = self.tracked.iter();
        let reached = tracked.filter(|(_, it)| it.is_reported(now) && it.is_reached());
        let ages = reached.filter_map(|(id, it)| {
            let age_ms = now.since(it.reached_at?);
            let id = id.clone();
            Some(HeartbeatAge { age_ms, id })
        });
        ages.collect()
    }

    /// Returns the endpoints to connect to now. `ready` are all endpoints of the zone that are
    /// announced as ready; others are dropped.
    pub fn begin_attempts(&mut self, now: ClockMs, ready: &[&EndpointId]) -> Vec<EndpointId> {
        self.drop_unneeded(now, ready);
        self.add_unreported(now, ready);
        let is_running = |it: &&Tracked| it.attempt_began_at.is_some();
        let running = self.tracked.values().filter(is_running).count();
        let mut due: Vec<(&EndpointId, &mut Tracked)> = self
            .tracked
            .iter_mut()
            .filter(|(_, it)| it.attempt_began_at.is_none() && it.next_attempt_at <= now)
            .collect();
        // Endpoints that relays still use go first.
        due.sort_by_key(|(_, it)| (it.down_since.is_some(), !it.is_reported(now)));
        let begun = due
            .into_iter()
            .take(MAX_CONCURRENT_ATTEMPTS.saturating_sub(running));
        let begun = begun.map(|(id, tracked)| {
            tracked.attempt_began_at = Some(now);
            tracked.last_attempt_at = Some(now);
            id.clone()
        });
        begun.collect()
    }

    /// Records the result of an attempt.
    pub fn note_attempt(&mut self, now: ClockMs, id: &EndpointId, result: ConnectResult) {
        let Some(tracked) = self.tracked.get_mut(id) else {
            return;
        };
        let Some(began_at) = tracked.attempt_began_at.take() else {
            return;
        };
        let is_late = now.since(began_at) > ATTEMPT_TIMEOUT_MS + MAX_ATTEMPT_DELAY_MS;
        if is_late && result == ConnectResult::TimedOut || result == ConnectResult::Inconclusive {
            tracked.next_attempt_at = now.max(began_at + MIN_INTERVAL_MS);
            return;
        }
        let was_reached = tracked.last.map(|last| last == ConnectResult::Reached);
        let is_reached = result == ConnectResult::Reached;
        if was_reached == Some(is_reached) {
            tracked.interval_ms = (tracked.interval_ms * 2).min(MAX_INTERVAL_MS);
        } else {
            tracked.interval_ms = MIN_INTERVAL_MS;
        }
        if is_reached {
            tracked.contested_at = None;
            tracked.failed_attempts = 0;
            tracked.reached_at = Some(now);
        } else {
            if tracked.failed_attempts == 0 {
                tracked.failing_since = began_at;
            }
            tracked.failed_attempts += 1;
        }
        tracked.last = Some(result);
        tracked.next_attempt_at = began_at + tracked.interval_ms;
    }

    /// Decides which endpoints are down, and returns what changed.
    pub fn decide(&mut self, now: ClockMs) -> Vec<OutageChange> {
        let unreachable = self.unreachable();
        let reached = self.tracked.values().filter(|it| it.is_reached());
        let reached = reached.count();
        self.is_network_trusted =
            unreachable == 0 || reached > 0 && reached * MAX_UNREACHABLE_RATIO >= unreachable;
        let may_declare = self.is_network_trusted && now >= self.declares_from;
        let mut changes = Vec::new();
        for (id, tracked) in &mut self.tracked {
            let is_down = may_declare && tracked.seems_down(now);
            if is_down != tracked.down_since.is_some() {
                let since = tracked.down_since.take();
                tracked.down_since = is_down.then_some(now);
                changes.push(OutageChange {
                    failed_attempts: tracked.failed_attempts,
                    id: id.clone(),
                    is_down,
                    is_reported: tracked.is_reported(now),
                    last: tracked.last,
                    lasted_ms: since.map_or(0, |since| now.since(since)),
                });
            }
        }
        if !changes.is_empty() {
            self.revision += 1;
        }
        changes
    }

    /// Time until [`Self::begin_attempts`] has something to do, in milliseconds; none while the table
    /// is empty.
    #[must_use]
    pub fn next_attempt_in_ms(&self, now: ClockMs) -> Option<u64> {
        if self.tracked.is_empty() {
            return None;
        }
        let (waiting, running): (Vec<&Tracked>, Vec<&Tracked>) = self
            .tracked
            .values()
            .partition(|it| it.attempt_began_at.is_none());
        if running.len() >= MAX_CONCURRENT_ATTEMPTS {
            // The end of an attempt comes first.
            return Some(ATTEMPT_TIMEOUT_MS);
        }
        let next_ms = waiting.iter().map(|it| it.next_attempt_at.since(now));
        Some(next_ms.min().unwrap_or(ATTEMPT_TIMEOUT_MS))
    }

    /// Number of endpoints whose last attempt failed.
    fn unreachable(&self) -> usize {
        let tracked = self.tracked.values();
        tracked.filter(|it| it.failed_attempts > 0).count()
    }

    /// Drops endpoints that have ended, and reachable ones that need no further check.
    fn drop_unneeded(&mut self, now: ClockMs, ready: &[&EndpointId]) {
        let are_any_unreachable = self.unreachable() > 0;
        let ready: IndexSet<&EndpointId> = ready.iter().copied().collect();
        let down_before = self.down().count();
        self.tracked.retain(|id, it| {
            let is_needed = it.failed_attempts > 0
                || it.attempt_began_at.is_some()
                || it.is_reported(now)
                || are_any_unreachable;
            is_needed && ready.contains(id)
        });
        if self.down().count() < down_before {
            self.revision += 1;
        }
    }

    /// Adds endpoints that no relay has reported: a few as a check of the replica's own network, and
    /// all once several are unreachable.
    fn add_unreported(&mut self, now: ClockMs, ready: &[&EndpointId]) {
        let unreachable = self.unreachable();
        if unreachable == 0 {
            return;
        }
        let wanted = if unreachable >= MIN_UNREACHABLE_FOR_SCAN {
            ready.len()
        } else {
            unreachable + SELF_CHECK_ATTEMPTS
        };
        for id in ready {
            if self.tracked.len() >= wanted {
                return;
            }
            if !self.tracked.contains_key(*id) {
                self.tracked.insert((*id).clone(), Tracked::new(now));
            }
        }
    }
}
