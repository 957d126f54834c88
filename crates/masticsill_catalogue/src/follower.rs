//! A node's copy of the catalogue and its proof of freshness.
//!
//! The proof travels as an age. A node asks a peer at its own time `sent_at`; the peer answers
//! with its version and with the age of its own proof. The node's copy then is known to contain
//! every change accepted before `sent_at - age`. The time of the answer's arrival proves nothing,
//! because the network may have held the answer back.

use masticsill_types::{CatalogueVersion, ClockMs};

use crate::catalogue::Catalogue;
use crate::update::{Applied, CatalogueUpdate};

/// What clocks in whole milliseconds may hide, added to every age that is told to a peer.
const ROUNDING_MS: u64 = 1;

/// When a copy of the catalogue was last known to hold every accepted change.
///
/// It starts unknown, and a proof that is not younger than the process is refused: what the
/// process acted on in its former life may be newer.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    as_of: Option<ClockMs>,
    started_at: ClockMs,
}

impl Freshness {
    /// The freshness of a copy of a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: ClockMs) -> Self {
        Self {
            as_of: None,
            started_at,
        }
    }

    /// Takes in a proof that the copy held every change accepted before `as_of`.
    ///
    /// Returns whether the proof was taken; an older one than the last changes nothing.
    pub fn renew(&mut self, as_of: ClockMs) -> bool {
        let is_older = self.as_of.is_some_and(|held| as_of <= held);
        // `as_of` is zero when it lies before the clock's origin, hence strictly later.
        let is_before_start = as_of <= self.started_at;
        if is_before_start || is_older {
            return false;
        }
        self.as_of = Some(as_of);
        true
    }

    /// Whether the copy held every accepted change less than `lease_ms` ago.
    #[must_use]
    pub fn is_fresh(&self, now: ClockMs, lease_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms < lease_ms)
    }

    /// The age of the proof, to be told to peers; `None` without a proof.
    #[must_use]
    pub fn age_ms(&self, now: ClockMs) -> Option<u64> {
        self.as_of.map(|as_of| now.since(as_of) + ROUNDING_MS)
    }
}

/// A node's copy of the catalogue.
///
/// A copy that was restarted holds nothing and is not fresh until a proof younger than the restart
/// arrives, so what the node acts on never goes back, not even over a restart.
#[derive(Clone, Debug)]
pub struct Follower {
    catalogue: Catalogue,
    freshness: Freshness,
}

impl Follower {
    /// An empty copy of a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: ClockMs) -> Self {
        Self {
            catalogue: Catalogue::default(),
            freshness: Freshness::new(started_at),
        }
    }

    /// The copy.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// How fresh the copy is.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// The copy's version.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.catalogue.version()
    }

    /// Brings the copy up to an update; its version never goes down.
    pub fn apply(&mut self, update: CatalogueUpdate) -> Applied {
        self.catalogue.apply(update)
    }

    /// Takes in a proof that `version` held every change accepted before `as_of`.
    ///
    /// Returns whether the proof was taken: the copy must have at least that version, the proof
    /// must be younger than the process, and an older proof changes nothing.
    pub fn renew(&mut self, version: CatalogueVersion, as_of: ClockMs) -> bool {
        self.version() >= version && self.freshness.renew(as_of)
    }

    /// Takes in a peer's proof: at the node's own `sent_at` or later, `version` was `age_ms` old.
    pub fn renew_by_age(
        &mut self,
        version: CatalogueVersion,
        sent_at: ClockMs,
        age_ms: u64,
    ) -> bool {
        self.renew(version, sent_at.before(age_ms))
    }

    /// Whether the copy held every accepted change less than `lease_ms` ago.
    #[must_use]
    pub fn is_fresh(&self, now: ClockMs, lease_ms: u64) -> bool {
        self.freshness.is_fresh(now, lease_ms)
    }

    /// The age of the copy's proof, to be told to peers; `None` without a proof.
    #[must_use]
    pub fn age_ms(&self, now: ClockMs) -> Option<u64> {
        self.freshness.age_ms(now)
    }
}
