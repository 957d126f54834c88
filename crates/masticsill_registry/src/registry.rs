//! The registry of one process.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

use crate::record::{Announcement, EndpointId, EndpointRecord, Heard};

/// Periods of a registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryPeriods {
    /// How long a silent or ended incarnation is remembered, so that a heartbeat that was held up
    /// can't bring it back.
    pub forget_ms: u64,
    /// Silence after which an incarnation counts as lost.
    pub silence_ms: u64,
}

impl Default for RegistryPeriods {
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

/// Every known incarnation. Each change raises the revision, from which readers go on.
#[derive(Clone, Debug)]
pub struct Registry {
    pub(crate) periods: RegistryPeriods,
    pub(crate) revision: u64,
    pub(crate) tracked: IndexMap<EndpointId, Tracked>,
}

impl Registry {
    /// An empty registry.
    #[must_use]
    pub fn new(periods: RegistryPeriods) -> Self {
        Self {
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

    /// Silence after which an incarnation counts as lost.
    #[must_use]
    pub fn silence_ms(&self) -> u64 {
        self.periods.silence_ms
    }

    /// Every record.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.tracked.values().map(|tracked| &tracked.record)
    }

    /// An incarnation's record.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.tracked.get(id).map(|tracked| &tracked.record)
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
            .get(&announcement.id)
            .is_none_or(|held| announcement.sequence > held.announcement.sequence);
        let is_changed = self.take(announcement, now);
        // A heartbeat that was held up says nothing of the present.
        if is_newer && let Some(tracked) = self.tracked.get_mut(&announcement.id) {
            tracked.heard_here_at = Some(now);
        }
        is_changed
    }

    /// Takes an incarnation's deregistration; returns whether anything changed.
    ///
    /// One that is not known here is noted as well: other processes may know it and must hear.
    pub fn depart(&mut self, now: ClockMs, id: &EndpointId) -> bool {
        self.take(&Announcement::deregistration(id), now)
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
    pub fn note_heard(&mut self, now: ClockMs, heard: &[Heard]) {
        for Heard { age_ms, id } in heard {
            if let Some(tracked) = self.tracked.get_mut(id) {
                tracked.heard_at = tracked.heard_at.max(now.before(*age_ms));
            }
        }
    }

    fn take(&mut self, announcement: &Announcement, heard_at: ClockMs) -> bool {
        let next_revision = self.revision + 1;
        let is_changed = if let Some(tracked) = self.tracked.get_mut(&announcement.id) {
            if announcement.sequence > tracked.record.announcement.sequence {
                tracked.heard_at = tracked.heard_at.max(heard_at);
            }
            let is_changed = tracked.record.join(announcement);
            if is_changed {
                tracked.revision = next_revision;
            }
            is_changed
        } else {
            self.insert(announcement, heard_at, next_revision);
            true
        };
        if is_changed {
            self.revision = next_revision;
        }
        is_changed
    }

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
        self.tracked.insert(announcement.id.clone(), tracked);
    }
}
