//! The catalogue, the document, the roll-outs and their proof of freshness, for other duties to read without waiting for the
//! quorum duty.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use masticsill_catalogue::{Catalogue, ControlState, Freshness, StoredDocument};
use masticsill_orders::LeaderProof;
use masticsill_rollout::Rollouts;
use masticsill_types::{ClockMs, Term};
use masticsill_wire::control::{RenewReply, RenewRequest};
use tokio::sync::watch;

#[derive(Debug)]
struct Published {
    catalogue: Arc<Catalogue>,
    document: Option<StoredDocument>,
    freshness: Freshness,
    leadership: Option<LeaderProof>,
    rollouts: Arc<Rollouts>,
}

/// The state that the quorum duty last published. Clones share it.
///
/// A proof that is published late only counts as older than it is, never as younger.
#[derive(Clone, Debug)]
pub(crate) struct PublishedState {
    copy: Arc<Mutex<Published>>,
    /// Version of the document, for duties that wait for a newer one.
    document_version: Arc<watch::Sender<Option<u64>>>,
    /// Revision of the roll-outs, likewise.
    rollouts_revision: Arc<watch::Sender<u64>>,
}

impl PublishedState {
    pub(crate) fn new(started_at: ClockMs) -> Self {
        let copy = Published {
            catalogue: Arc::default(),
            document: None,
            freshness: Freshness::new(started_at),
            leadership: None,
            rollouts: Arc::default(),
        };
        Self {
            copy: Arc::new(Mutex::new(copy)),
            document_version: Arc::new(watch::Sender::new(None)),
            rollouts_revision: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Publishes the proofs, and the catalogue, the document and the roll-outs if they have changed.
    pub(crate) fn publish(
        &self,
        state: &ControlState,
        freshness: Freshness,
        leadership: Option<LeaderProof>,
    ) {
        self.publish_document(state.document());
        let catalogue = state.catalogue();
        let is_known = self.lock().catalogue.version() == catalogue.version();
        let changed = (!is_known).then(|| Arc::new(catalogue.clone()));
        let revision = state.rollouts().revision();
        let has_new_rollouts = *self.rollouts_revision.borrow() != revision;
        let rollouts = has_new_rollouts.then(|| Arc::new(state.rollouts().clone()));
        let mut copy = self.lock();
        copy.freshness = freshness;
        copy.leadership = leadership;
        if let Some(changed) = changed {
            copy.catalogue = changed;
        }
        if let Some(rollouts) = rollouts {
            copy.rollouts = rollouts;
            drop(copy);
            self.rollouts_revision.send_replace(revision);
        }
    }

    fn publish_document(&self, document: Option<&StoredDocument>) {
        let version = document.map(|document| document.version);
        if *self.document_version.borrow() == version {
            return;
        }
        self.lock().document = document.cloned();
        self.document_version.send_replace(version);
    }

    /// The document as applied here.
    pub(crate) fn document(&self) -> Option<StoredDocument> {
        self.lock().document.clone()
    }

    /// Subscribes to the version of the document.
    pub(crate) fn watch_document(&self) -> watch::Receiver<Option<u64>> {
        self.document_version.subscribe()
    }

    /// The roll-outs as applied here, and the term that this replica leads, if its lease is valid at
    /// `now`. Both were published at the same time: a leader's roll-outs contain every step that was
    /// accepted before its lease was last confirmed.
    pub(crate) fn rollouts(&self, now: ClockMs, lease_ms: u64) -> (Arc<Rollouts>, Option<Term>) {
        let copy = self.lock();
        let led_term = copy.leadership.and_then(|it| it.led_term(now, lease_ms));
        (Arc::clone(&copy.rollouts), led_term)
    }

    /// Subscribes to the revision of the roll-outs.
    pub(crate) fn watch_rollouts(&self) -> watch::Receiver<u64> {
        self.rollouts_revision.subscribe()
    }

    /// The term that this replica leads, if its lease is valid at `now`.
    pub(crate) fn led_term(&self, now: ClockMs, lease_ms: u64) -> Option<Term> {
        self.lock().leadership?.led_term(now, lease_ms)
    }

    /// The catalogue as applied here.
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.lock().catalogue)
    }

    /// Answers a node or peer that renews its copy of the catalogue.
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

    fn lock(&self) -> MutexGuard<'_, Published> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
