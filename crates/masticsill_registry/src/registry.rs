//! The registry of one process.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, ZoneId};

use crate::id::EndpointId;
use crate::join::JoinOutcome;
use crate::record::{Announcement, EndpointRecord, EndpointState, HeartbeatAge};

/// Periods of a registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryTimeouts {
    /// How long a silent or ended incarnation is remembered, so that a heartbeat that was held up
    /// can't bring it back.
    pub forget_ms: u64,
    /// Silence after which an incarnation counts as lost.
    pub silence_ms: u64,
}

impl Default for RegistryTimeouts {
    /// Four heartbeats of 1.2 s and some slack make an incarnation lost; a minute is far beyond
    /// the longest that a network holds a heartbeat up.
    fn default() -> Self {
        Self {
            forget_ms: 60_000,
            silence_ms: 5_000,
        }
    }
}

/// A record and when it last changed.
#[derive(Clone, Debug)]
pub(crate) struct Tracked {
    /// When any instance heard it, as far as known here.
    pub(crate) heard_at: ClockMs,
    /// When this process heard it itself.
    pub(crate) heard_here_at: Option<ClockMs>,
    pub(crate) record: EndpointRecord,
    pub(crate) revision: u64,
}

/// The newest life of every known id. Each change raises the revision, from which readers go on.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The revision at which an incarnation last began to leave, or left.
    left_revision: u64,
    pub(crate) periods: RegistryTimeouts,
    pub(crate) revision: u64,
    /// By name.
    pub(crate) tracked: IndexMap<String, Tracked>,
}

impl Registry {
    /// An empty registry.
    #[must_use]
    pub fn new(periods: RegistryTimeouts) -> Self {
        Self {
            left_revision: 0,
            periods,
            revision: 0,
            tracked: IndexMap::new(),
        }
    }

    /// The revision of the newest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether an incarnation began to leave, or left, after a revision: whoever sends requests
    /// must hear of that at once. Other changes can wait for each other.
    #[must_use]
    pub fn has_departure_since(&self, revision: u64) -> bool {
        self.left_revision > revision
    }

    /// Silence after which an incarnation counts as lost.
    #[must_use]
    pub fn silence_ms(&self) -> u64 {
        self.periods.silence_ms
    }

    /// Every record.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.tracked.values().map(|tracked| &tracked.record)
    }

    /// Incarnations that take requests: of those that named the same address the one that was heard
    /// last. A former one that crashed says nothing, and counts as lost only after several
    /// heartbeats.
    #[must_use]
    pub fn ready_endpoints(&self, service: &str, zone: &ZoneId) -> Vec<&EndpointId> {
        let mut newest: IndexMap<SocketAddr, &Tracked> = IndexMap::new();
        let is_asked_for = |it: &&Tracked| {
            let said = &it.record.announcement;
            said.service == service && said.zone == *zone
        };
        for tracked in self.tracked.values().filter(is_asked_for) {
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

    /// An incarnation's record, unless another life of its name is known.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        let record = self.newest(&id.name)?;
        (record.announcement.id == *id).then_some(record)
    }

    /// The record of a name's newest life.
    #[must_use]
    pub fn newest(&self, name: &str) -> Option<&EndpointRecord> {
        self.tracked.get(name).map(|tracked| &tracked.record)
    }

    /// Records that changed after a revision.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Vec<EndpointRecord> {
        let tracked = self.tracked.values();
        let changed = tracked.filter(|tracked| tracked.revision > revision);
        changed.map(|tracked| tracked.record.clone()).collect()
    }

    /// Takes a heartbeat that came to this process; returns whether anything changed.
    pub fn announce(&mut self, now: ClockMs, announcement: &Announcement) -> bool {
        let is_newer = self
            .newest(&announcement.id.name)
            .is_none_or(|held| announcement.is_newer_than(&held.announcement));
        let is_changed = self.take(announcement, now);
        // A heartbeat that was held up says nothing of the present.
        if is_newer && let Some(tracked) = self.tracked.get_mut(&announcement.id.name) {
            tracked.heard_here_at = Some(now);
        }
        is_changed
    }

    /// Takes an incarnation's deregistration; returns whether anything changed.
    ///
    /// One that is not known here is noted as well: other processes may know it and must hear. One
    /// without a birth ends the life that is known here: it comes from a writer that tells births
    /// in heartbeats only, and a request sent to an endpoint that leaves is worse than one endpoint
    /// less.
    pub fn deregister(&mut self, now: ClockMs, id: &EndpointId) -> bool {
        let known = self.newest(&id.name).map(|record| &record.announcement.id);
        let ended = match known {
            Some(known) if !id.incarnation.is_known() => known.clone(),
            _ => id.clone(),
        };
        self.take(&Announcement::deregistration(&ended), now)
    }

    /// Joins what another process knows; returns whether anything changed.
    pub fn merge(&mut self, now: ClockMs, records: &[EndpointRecord]) -> bool {
        let mut is_changed = false;
        for record in records {
            // A record without a heartbeat's age says that it is known, not that it lives.
            let heard_at = if record.is_silent {
                now.before(self.periods.silence_ms)
            } else {
                now
            };
            is_changed |= self.take(&record.announcement, heard_at);
        }
        is_changed
    }

    /// Takes the records of a former life of this process: they count as heard `age_ms` ago.
    pub fn restore(&mut self, now: ClockMs, records: &[EndpointRecord], age_ms: u64) {
        for record in records {
            self.take(&record.announcement, now.before(age_ms));
        }
    }

    /// Takes the ages of heartbeats that another process heard itself.
    pub fn apply_heartbeat_ages(&mut self, now: ClockMs, heard: &[HeartbeatAge]) {
        for HeartbeatAge { age_ms, id } in heard {
            let tracked = self.tracked.get_mut(&id.name);
            let of_this_life = tracked.filter(|it| it.record.announcement.id == *id);
            if let Some(tracked) = of_this_life {
                tracked.heard_at = tracked.heard_at.max(now.before(*age_ms));
            }
        }
    }

    fn take(&mut self, announcement: &Announcement, heard_at: ClockMs) -> bool {
        let revision = self.revision + 1;
        let Some(tracked) = self.tracked.get_mut(&announcement.id.name) else {
            self.insert(announcement, heard_at, revision);
            return true;
        };
        let held = &mut tracked.record.announcement;
        let is_newer = announcement.is_newer_than(held);
        let joined = held.join(announcement);
        if joined == JoinOutcome::Replaced {
            self.insert(announcement, heard_at, revision);
            return true;
        }
        if is_newer {
            tracked.heard_at = tracked.heard_at.max(heard_at);
        }
        if joined == JoinOutcome::Changed {
            tracked.revision = revision;
            self.revision = revision;
            if tracked.record.announcement.state > EndpointState::Ready {
                self.left_revision = revision;
            }
        }
        joined == JoinOutcome::Changed
    }

    /// Tracks a life of which nothing was known, in place of a former one.
    fn insert(&mut self, announcement: &Announcement, heard_at: ClockMs, revision: u64) {
        let record = EndpointRecord {
            announcement: announcement.clone(),
            is_silent: false,
        };
        let tracked = Tracked {
            heard_at,
            heard_here_at: None,
            record,
            revision,
        };
        self.revision = revision;
        if announcement.state > EndpointState::Ready {
            self.left_revision = revision;
        }
        self.tracked.insert(announcement.id.name.clone(), tracked);
    }
}
