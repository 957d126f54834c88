//! Who founds a cluster, where nobody is told how many replicas there are.
//!
//! All that the processes of a first start have in common is a few seeds, and those may keep no
//! state. Each replica with a new folder learns of the others from the seeds. One of them founds,
//! after it has reserved every member that it names and a majority of the seeds. A process is
//! reserved for one founding at a time, so two foundings can't go on at once: they would need a
//! majority of the seeds each.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};

/// Most voters of a new cluster; the others would only make each commit slower.
pub const MAX_FOUNDING_VOTERS: usize = 7;
/// Time without another candidate after which the candidates count as complete: several times the
/// interval at which replicas introduce themselves to the seeds (250 ms).
const CANDIDATES_SETTLED_MS: u64 = 900;
/// How long a replica waits for as many candidates as are wanted before it founds with fewer, so
/// that one which never comes does not keep the others from serving. A machine starts within a
/// second or two.
const UNDERSIZED_FOUNDING_DELAY_MS: u64 = 5_000;
/// Head start of each candidate before the next in order, should the one before it not act.
const RANK_DELAY_MS: u64 = 700;
/// Age from which a process may be reserved. A younger one could have forgotten a reservation of
/// its former life; by this age that founding is over, and its members have told of it.
const MIN_PROCESS_AGE_MS: u64 = 1_500;
/// How long a reservation holds: beyond [`FOUNDING_TIMEOUT_MS`] and the storing of the members.
const RESERVATION_TTL_MS: u64 = 4_000;
/// Time from the first reservation in which the proposer must found, or give up.
pub const FOUNDING_TIMEOUT_MS: u64 = 400;

/// One founding that a process may be reserved for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FoundingAttempt {
    /// Tells this attempt from the proposer's others.
    pub number: u64,
    /// The replica that founds.
    pub proposer: NodeId,
}

/// What one process grants to foundings.
#[derive(Clone, Debug)]
pub struct FoundingReservation {
    reservation: Option<(FoundingAttempt, ClockMs)>,
    cluster_exists: bool,
    started_at: ClockMs,
}

impl FoundingReservation {
    /// Those of a process that starts now.
    #[must_use]
    pub fn new(started_at: ClockMs) -> Self {
        Self {
            reservation: None,
            cluster_exists: false,
            started_at,
        }
    }

    /// Notes that a cluster exists: no other is founded any more.
    pub fn note_cluster_exists(&mut self) {
        self.cluster_exists = true;
    }

    /// Whether a cluster is known to exist.
    #[must_use]
    pub fn cluster_exists(&self) -> bool {
        self.cluster_exists
    }

    /// Reserves the process; returns whether it is reserved for this proposal now.
    pub fn reserve(&mut self, now: ClockMs, attempt: &FoundingAttempt) -> bool {
        if self.cluster_exists || now.since(self.started_at) < MIN_PROCESS_AGE_MS {
            return false;
        }
        let is_other = |(reservation, at): &(FoundingAttempt, ClockMs)| {
            reservation != attempt && now.since(*at) < RESERVATION_TTL_MS
        };
        if self.reservation.as_ref().is_some_and(is_other) {
            return false;
        }
        self.reservation = Some((attempt.clone(), now));
        true
    }

    /// Gives up the reservation for a proposal, if it is held.
    pub fn release(&mut self, attempt: &FoundingAttempt) {
        if self
            .reservation
            .as_ref()
            .is_some_and(|(reservation, _)| reservation == attempt)
        {
            self.reservation = None;
        }
    }
}

/// When one replica founds, and with whom.
#[derive(Clone, Debug)]
pub struct FoundingPlan {
    candidates: IndexMap<NodeId, ClockMs>,
    own: NodeId,
    retry_at: ClockMs,
    started_at: ClockMs,
    /// Voters that the losses to be borne ask for.
    target_voters: usize,
}

impl FoundingPlan {
    /// The plan of a replica that starts now and bears losses with `target_voters` voters.
    #[must_use]
    pub fn new(now: ClockMs, own: NodeId, target_voters: usize) -> Self {
        let candidates = IndexMap::from([(own.clone(), now)]);
        Self {
            candidates,
            own,
            retry_at: now,
            started_at: now,
            target_voters,
        }
    }

    /// Notes a replica with a new folder.
    pub fn note_candidate(&mut self, now: ClockMs, node: &NodeId) {
        if !self.candidates.contains_key(node) {
            self.candidates.insert(node.clone(), now);
        }
    }

    /// Forgets a candidate that does not answer.
    pub fn drop_candidate(&mut self, node: &NodeId) {
        if *node != self.own {
            self.candidates.shift_remove(node);
        }
    }

    /// Lets others go first after a proposal that was not granted.
    pub fn back_off(&mut self, now: ClockMs) {
        self.retry_at = now + RANK_DELAY_MS * (1 + self.rank());
    }

    /// The members to found with now, if it is this replica's turn.
    #[must_use]
    pub fn members(&self, now: ClockMs) -> Option<Vec<NodeId>> {
        let newest = self.candidates.values().copied().max()?;
        let is_settled = now.since(newest) >= CANDIDATES_SETTLED_MS;
        let waited_ms = now.since(self.started_at);
        let head_start_ms = RANK_DELAY_MS * self.rank();
        let is_due = if self.candidates.len() >= self.target_voters {
            waited_ms >= MIN_PROCESS_AGE_MS + head_start_ms
        } else {
            // A majority of the wanted ones at least: fewer would not outlive what may be lost.
            self.candidates.len() * 2 > self.target_voters
                && waited_ms >= UNDERSIZED_FOUNDING_DELAY_MS + head_start_ms
        };
        if !is_settled || !is_due || now < self.retry_at {
            return None;
        }
        let mut members: Vec<NodeId> = self.candidates.keys().cloned().collect();
        members.sort();
        // The proposer is one of its members, so that its folder decides.
        members.retain(|node| *node != self.own);
        members.truncate(MAX_FOUNDING_VOTERS - 1);
        members.push(self.own.clone());
        members.sort();
        Some(members)
    }

    /// How many candidates go before this replica.
    fn rank(&self) -> u64 {
        let before = self.candidates.keys().filter(|node| **node < self.own);
        u64::try_from(before.count()).unwrap_or(u64::MAX)
    }
}
