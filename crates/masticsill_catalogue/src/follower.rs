//! A node's copy of the catalogue and the proof of how fresh it is.
//!
//! A proof is passed between nodes as an age. A node queries a peer at `sent_at` on its own clock;
//! the peer answers with its catalogue version and the age of its own proof. The node's copy, once
//! it has that version, is then known to contain every change accepted before `sent_at - age`. The
//! time at which the answer arrives proves nothing, because the network may have delayed it.

use masticsill_types::{CatalogueVersion, ClockMs};

use crate::catalogue::Catalogue;
use crate::update::{ApplyOutcome, CatalogueUpdate};

/// Maximum rounding error of clocks that count whole milliseconds; added to every age.
const ROUNDING_MS: u64 = 1;

/// When a copy of the catalogue was last known to contain every accepted change.
///
/// That time is unknown at first. A proof that is not younger than the process is rejected, because
/// the previous incarnation of the process may have acted on a newer catalogue.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    as_of: Option<ClockMs>,
    started_at: ClockMs,
}

impl Freshness {
    /// The unknown freshness of a copy in a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: ClockMs) -> Self {
        Self {
            as_of: None,
            started_at,
        }
    }

    /// Records a proof that the copy contains every change accepted before `as_of`.
    ///
    /// Returns whether the proof was recorded: it must be newer than the last proof and younger
    /// than the process.
    pub fn renew(&mut self, as_of: ClockMs) -> bool {
        let is_older = self.as_of.is_some_and(|held| as_of <= held);
        // `as_of` saturates at zero if it is before the clock's origin, so it must be strictly
        // later.
        let is_before_start = as_of <= self.started_at;
        if is_before_start || is_older {
            return false;
        }
        self.as_of = Some(as_of);
        true
    }

    /// Whether the copy is known to have contained every accepted change less than `lease_ms` ago.
    #[must_use]
    pub fn is_fresh(&self, now: ClockMs, lease_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms < lease_ms)
    }

    /// The age of the proof in milliseconds, as sent to peers; `None` without a proof.
    #[must_use]
    pub fn age_ms(&self, now: ClockMs) -> Option<u64> {
        self.as_of.map(|as_of| now.since(as_of) + ROUNDING_MS)
    }
}

/// A node's copy of the catalogue.
///
/// After a restart the copy is empty, and it is not fresh until a proof younger than the restart
/// arrives. The version that the node acts on therefore never decreases, not even across a restart.
#[derive(Clone, Debug)]
pub struct Follower {
    catalogue: Catalogue,
    freshness: Freshness,
}

impl Follower {
    /// An empty copy in a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: ClockMs) -> Self {
        Self {
            catalogue: Catalogue::default(),
            freshness: Freshness::new(started_at),
        }
    }

    /// The copied catalogue.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The freshness of the copy.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Version of the last update that was applied.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.catalogue.version()
    }

    /// Applies an update to the copy; the copy's version never decreases.
    pub fn apply(&mut self, update: CatalogueUpdate) -> ApplyOutcome {
        self.catalogue.apply(update)
    }

    /// Records a proof that `version` contains every change accepted before `as_of`.
    ///
    /// Returns whether the proof was recorded: the copy must have at least that version, and the
    /// proof must be newer than the last proof and younger than the process.
    pub fn renew(&mut self, version: CatalogueVersion, as_of: ClockMs) -> bool {
        self.version() >= version && self.freshness.renew(as_of)
    }

    /// Records a peer's proof, which was `age_ms` old at `sent_at` on this node's clock or later.
    ///
    /// Returns whether the proof was recorded, by the same rules as [`Self::renew`].
    pub fn renew_by_age(
        &mut self,
        version: CatalogueVersion,
        sent_at: ClockMs,
        age_ms: u64,
    ) -> bool {
        self.renew(version, sent_at.before(age_ms))
    }

    /// Whether the copy is known to have contained every accepted change less than `lease_ms` ago.
    #[must_use]
    pub fn is_fresh(&self, now: ClockMs, lease_ms: u64) -> bool {
        self.freshness.is_fresh(now, lease_ms)
    }

    /// The age of the copy's proof in milliseconds, as sent to peers; `None` without a proof.
    #[must_use]
    pub fn age_ms(&self, now: ClockMs) -> Option<u64> {
        self.freshness.age_ms(now)
    }
}
