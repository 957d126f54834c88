//! The catalogue and its proof, as other duties see them without waiting.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use masticsill_catalogue::{Catalogue, Freshness};
use masticsill_orders::LeaderProof;
use masticsill_types::{ClockMs, Term};
use masticsill_wire::control::{RenewReply, RenewRequest};

#[derive(Debug)]
struct Shown {
    catalogue: Arc<Catalogue>,
    freshness: Freshness,
    leadership: Option<LeaderProof>,
}

/// What the quorum duty last published. Clones share it.
///
/// A proof that is published late only counts as older, never as younger.
#[derive(Clone, Debug)]
pub(crate) struct PublishedState {
    copy: Arc<Mutex<Shown>>,
}

impl PublishedState {
    pub(crate) fn new(started_at: ClockMs) -> Self {
        let copy = Shown {
            catalogue: Arc::default(),
            freshness: Freshness::new(started_at),
            leadership: None,
        };
        Self {
            copy: Arc::new(Mutex::new(copy)),
        }
    }

    /// Publishes the catalogue, if its version is another, and the proofs.
    pub(crate) fn publish(
        &self,
        catalogue: &Catalogue,
        freshness: Freshness,
        leadership: Option<LeaderProof>,
    ) {
        let is_known = self.lock().catalogue.version() == catalogue.version();
        let changed = (!is_known).then(|| Arc::new(catalogue.clone()));
        let mut copy = self.lock();
        copy.freshness = freshness;
        copy.leadership = leadership;
        if let Some(changed) = changed {
            copy.catalogue = changed;
        }
    }

    /// The term that this replica leads within its lease.
    pub(crate) fn led_term(&self, now: ClockMs, lease_ms: u64) -> Option<Term> {
        self.lock().leadership?.led_term(now, lease_ms)
    }

    /// The catalogue as applied here.
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.lock().catalogue)
    }

    /// Answers a node or peer that renews its copy.
    pub(crate) fn answer_renewal(&self, now: ClockMs, request: RenewRequest) -> RenewReply {
        let (catalogue, freshness) = {
            let copy = self.lock();
            (Arc::clone(&copy.catalogue), copy.freshness)
        };
        RenewReply {
            age_ms: freshness.age_ms(now),
            update: catalogue.update_since(request.have),
            version: catalogue.version(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shown> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
