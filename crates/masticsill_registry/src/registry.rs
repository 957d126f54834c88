//! The endpoint registry of one process.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_types::{ClockMs, ZoneId};

use crate::id::EndpointId;
use crate::join::JoinOutcome;
use crate::record::{Announcement, EndpointRecord, EndpointState, HeartbeatAge};

/// How long an incarnation counts as live of which this process knows no heartbeat, in milliseconds:
/// two heartbeat intervals.
pub const UNCONFIRMED_GRACE_MS: u64 = 2_500;

/// Timeouts of a registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryTimeouts {
    /// How long a silent or ended incarnation is retained, in milliseconds, so that a delayed
    /// heartbeat can't bring it back.
    pub forget_ms: u64,
    /// Time without heartbeats after which an incarnation counts as silent, in milliseconds.
    pub silence_ms: u64,
}

impl Default for RegistryTimeouts {
    /// An incarnation counts as silent after four heartbeat intervals of 1.2 s and some slack.
    /// Records are retained for a minute, far longer than a network delays a heartbeat.
    fn default() -> Self {
        Self {
            forget_ms: 60_000,
            silence_ms: 5_000,
        }
    }
}

/// A record with its heartbeat times and the revision of its last change.
#[derive(Clone, Debug)]
pub(crate) struct Tracked {
    /// When any control replica last received a heartbeat, as far as known to this process.
    pub(crate) heard_at: ClockMs,
    /// When this process last received a heartbeat directly.
    pub(crate) heard_directly_at: Option<ClockMs>,
    pub(crate) record: EndpointRecord,
    pub(crate) revision: u64,
}

/// The newest incarnation of every known endpoint name. Each change raises the revision, from which
/// readers continue.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The revision at which an incarnation last began to drain, or ended.
    departure_revision: u64,
    pub(crate) timeouts: RegistryTimeouts,
    pub(crate) revision: u64,
    /// Records by endpoint name.
    pub(crate) tracked: IndexMap<String, Tracked>,
}

impl Registry {
    /// An empty registry.
    #[must_use]
    pub fn new(timeouts: RegistryTimeouts) -> Self {
        Self {
            departure_revision: 0,
            timeouts,
            revision: 0,
            tracked: IndexMap::new(),
        }
    }

    /// The revision of the newest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether an incarnation began to drain or ended after a revision. Processes that send
    /// requests must learn of that at once; other changes may be batched.
    #[must_use]
    pub fn has_departure_since(&self, revision: u64) -> bool {
        self.departure_revision > revision
    }

    /// Time without heartbeats after which an incarnation counts as silent, in milliseconds.
    #[must_use]
    pub fn silence_ms(&self) -> u64 {
        self.timeouts.silence_ms
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.tracked.values().map(|tracked| &tracked.record)
    }

    /// Incarnations of a service in a zone that accept requests. Of those with the same address,
    /// only the one with the latest heartbeat counts: a former one that crashed sent no
    /// deregistration and counts as silent only after several missed heartbeats.
    #[must_use]
    pub fn ready_endpoints(&self, service: &str, zone: &ZoneId) -> Vec<&EndpointId> {
        let mut newest: IndexMap<SocketAddr, &Tracked> = IndexMap::new();
        let is_matching = |it: &&Tracked| {
            let announcement = &it.record.announcement;
            announcement.service == service && announcement.zone == *zone
        };
        for tracked in self.tracked.values().filter(is_matching) {
            let address = tracked.record.announcement.address;
            let known = newest.entry(address).or_insert(tracked);
            if tracked.heard_at >= known.heard_at {
                *known = tracked;
            }
        }
        let records = newest.into_values().map(|tracked| &tracked.record);
        let ready_endpoints =
            records.filter(|it| it.announcement.state == EndpointState::Ready && !it.is_silent);
        ready_endpoints.map(|it| &it.announcement.id).collect()
    }

    /// The record of an incarnation; `None` if unknown or if another incarnation of its name is
    /// known.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        let record = self.newest(&id.name)?;
        (record.announcement.id == *id).then_some(record)
    }

    /// The record of a name's newest incarnation.
    #[must_use]
    pub fn newest(&self, name: &str) -> Option<&EndpointRecord> {
        self.tracked.get(name).map(|tracked| &tracked.record)
    }

    /// The versions of a service's endpoints, including those of retained records that have ended.
    #[must_use]
    pub fn versions_of(&self, service: &str) -> IndexSet<String> {
        let announcements = self.records().map(|record| &record.announcement);
        let of_service = announcements.filter(|it| it.service == service);
        of_service.map(|it| it.version.clone()).collect()
    }

    /// How long ended endpoints are retained, in milliseconds.
    #[must_use]
    pub fn forget_ms(&self) -> u64 {
        self.timeouts.forget_ms
    }

    /// Records that changed after a revision, in the order of their last heartbeats.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Vec<EndpointRecord> {
        let tracked = self.tracked.values();
        let changed = tracked.filter(|tracked| tracked.revision > revision);
        let mut changed: Vec<&Tracked> = changed.collect();
        // Of the incarnations at an address, readers take the last one for the present one.
        changed.sort_by_key(|tracked| tracked.heard_at);
        let records = changed.into_iter().map(|tracked| &tracked.record);
        records.cloned().collect()
    }

    /// Applies a heartbeat that this process received directly; returns whether anything changed.
    pub fn announce(&mut self, now: ClockMs, announcement: &Announcement) -> bool {
        let is_newer = self
            .newest(&announcement.id.name)
            .is_none_or(|held| announcement.is_newer_than(&held.announcement));
        let record = EndpointRecord {
            announcement: announcement.clone(),
            is_silent: false,
        };
        let is_changed = self.apply(&record, now);
        // A delayed heartbeat is no evidence that the endpoint is alive now.
        if is_newer && let Some(tracked) = self.tracked.get_mut(&announcement.id.name) {
            tracked.heard_directly_at = Some(now);
        }
        is_changed
    }

    /// Applies the deregistration of an incarnation; returns whether anything changed.
    ///
    /// An incarnation unknown to this process is recorded as well, because other processes may know
    /// it and must learn of its end. A deregistration without a start time ends the known
    /// incarnation: it comes from a sender that states its start time in heartbeats only, and
    /// sending a request to an endpoint that leaves is worse than losing one endpoint.
    pub fn deregister(&mut self, now: ClockMs, id: &EndpointId) -> bool {
        let known = self.newest(&id.name).map(|record| &record.announcement.id);
        let ended = match known {
            Some(known) if !id.incarnation.is_known() => known.clone(),
            _ => id.clone(),
        };
        let record = EndpointRecord {
            announcement: Announcement::deregistration(&ended),
            is_silent: false,
        };
        self.apply(&record, now)
    }

    /// Joins records of another process, or of a former run of this one; returns whether anything
    /// changed.
    ///
    /// A record shows that the incarnation was known, not that it sends heartbeats. That of an unknown
    /// one counts as live for [`UNCONFIRMED_GRACE_MS`], unless it was silent already.
    pub fn merge(&mut self, now: ClockMs, records: &[EndpointRecord]) -> bool {
        let mut is_changed = false;
        for record in records {
            let age_ms = if record.is_silent {
                self.timeouts.silence_ms
            } else {
                let silence_ms = self.timeouts.silence_ms;
                silence_ms.saturating_sub(UNCONFIRMED_GRACE_MS)
            };
            is_changed |= self.apply(record, now.before(age_ms));
        }
        is_changed
    }

    /// Applies the ages of heartbeats that another process received directly.
    pub fn apply_heartbeat_ages(&mut self, now: ClockMs, heard: &[HeartbeatAge]) {
        for HeartbeatAge { age_ms, id } in heard {
            let tracked = self.tracked.get_mut(&id.name);
            let same_incarnation = tracked.filter(|it| it.record.announcement.id == *id);
            if let Some(tracked) = same_incarnation {
                tracked.heard_at = tracked.heard_at.max(now.before(*age_ms));
            }
        }
    }

    fn apply(&mut self, record: &EndpointRecord, heard_at: ClockMs) -> bool {
        let announcement = &record.announcement;
        let revision = self.revision + 1;
        let Some(tracked) = self.tracked.get_mut(&announcement.id.name) else {
            self.insert(record, heard_at, revision);
            return true;
        };
        let held = &mut tracked.record.announcement;
        let is_newer = announcement.is_newer_than(held);
        let outcome = held.join(announcement);
        if outcome == JoinOutcome::Replaced {
            self.insert(record, heard_at, revision);
            return true;
        }
        if is_newer {
            tracked.heard_at = tracked.heard_at.max(heard_at);
        }
        if outcome == JoinOutcome::Changed {
            tracked.revision = revision;
            self.revision = revision;
            if tracked.record.announcement.state > EndpointState::Ready {
                self.departure_revision = revision;
            }
        }
        outcome == JoinOutcome::Changed
    }

    /// Starts to track an incarnation, in place of a former one of the same name.
    fn insert(&mut self, record: &EndpointRecord, heard_at: ClockMs, revision: u64) {
        let tracked = Tracked {
            heard_at,
            heard_directly_at: None,
            record: record.clone(),
            revision,
        };
        self.revision = revision;
        let announcement = &record.announcement;
        if announcement.state > EndpointState::Ready {
            self.departure_revision = revision;
        }
        self.tracked.insert(announcement.id.name.clone(), tracked);
    }
}
