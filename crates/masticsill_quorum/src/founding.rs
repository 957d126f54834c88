//! Founding (bootstrapping) a cluster when the number of replicas is not configured.
//!
//! At the first start, the only thing that the processes have in common is the addresses of a few
//! seeds, which may be stateless. Each replica with a new data folder learns of the others from the
//! seeds. One replica founds the cluster, after reserving every member that it names and a majority
//! of the seeds. A process is reserved for one founding at a time, so two foundings can't proceed
//! concurrently: each would need a majority of the seeds.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};

/// Maximum number of voters of a new cluster; more would only make each commit slower.
pub const MAX_FOUNDING_VOTERS: usize = 7;
/// Time without a new candidate after which the set of candidates counts as complete: several times
/// the interval at which replicas introduce themselves to the seeds (250 ms).
const CANDIDATES_SETTLED_MS: u64 = 900;
/// Time after which a replica founds the cluster with fewer candidates than the target, so that a
/// replica that never starts does not prevent the others from serving. A machine starts within one
/// to two seconds.
const UNDERSIZED_FOUNDING_DELAY_MS: u64 = 5_000;
/// Delay between one candidate's turn to found and the next one's, by rank, in case the earlier
/// candidate does not act.
const RANK_DELAY_MS: u64 = 700;
/// Minimum age of a process that grants a reservation. A restart loses a reservation granted
/// earlier; by this age the founding that held it is over, and its members have announced the
/// cluster.
const MIN_PROCESS_AGE_MS: u64 = 1_500;
/// How long a reservation is valid: longer than [`FOUNDING_TIMEOUT_MS`] plus the time that the
/// members need to store the founding state.
const RESERVATION_TTL_MS: u64 = 4_000;
/// Time from the first reservation, in milliseconds, within which the proposer must found the
/// cluster or give up.
pub const FOUNDING_TIMEOUT_MS: u64 = 400;

/// One attempt to found a cluster, for which processes are reserved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FoundingAttempt {
    /// Distinguishes this attempt from the proposer's other attempts.
    pub number: u64,
    /// The replica that attempts to found the cluster.
    pub proposer: NodeId,
}

/// The founding reservation that one process grants, to one attempt at a time.
#[derive(Clone, Debug)]
pub struct FoundingReservation {
    reservation: Option<(FoundingAttempt, ClockMs)>,
    cluster_exists: bool,
    started_at: ClockMs,
}

impl FoundingReservation {
    /// The state of a process that started at `started_at` and has granted no reservation.
    #[must_use]
    pub fn new(started_at: ClockMs) -> Self {
        Self {
            reservation: None,
            cluster_exists: false,
            started_at,
        }
    }

    /// Records that a cluster exists; every later reservation is refused.
    pub fn note_cluster_exists(&mut self) {
        self.cluster_exists = true;
    }

    /// Whether a cluster is known to exist.
    #[must_use]
    pub fn cluster_exists(&self) -> bool {
        self.cluster_exists
    }

    /// Reserves the process for an attempt, or renews its reservation. Returns whether the
    /// reservation was granted.
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

    /// Releases the reservation if this attempt holds it.
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

/// Decides when a replica founds the cluster, and with which members.
#[derive(Clone, Debug)]
pub struct FoundingPlan {
    candidates: IndexMap<NodeId, ClockMs>,
    own: NodeId,
    retry_at: ClockMs,
    started_at: ClockMs,
    /// Number of voters needed to tolerate the configured number of lost disks.
    target_voters: usize,
}

impl FoundingPlan {
    /// The plan of a replica that starts at `now`. `target_voters` is the number of voters needed
    /// to tolerate the configured losses.
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

    /// Adds a replica that has a new data folder to the candidates.
    pub fn note_candidate(&mut self, now: ClockMs, node: &NodeId) {
        if !self.candidates.contains_key(node) {
            self.candidates.insert(node.clone(), now);
        }
    }

    /// Removes a candidate that does not answer. The own replica always stays a candidate.
    pub fn drop_candidate(&mut self, node: &NodeId) {
        if *node != self.own {
            self.candidates.shift_remove(node);
        }
    }

    /// Delays the next attempt after a refused one, so that other candidates go first.
    pub fn back_off(&mut self, now: ClockMs) {
        self.retry_at = now + RANK_DELAY_MS * (1 + self.rank());
    }

    /// The founding members, sorted by name, if it is this replica's turn to found; `None`
    /// otherwise.
    #[must_use]
    pub fn members(&self, now: ClockMs) -> Option<Vec<NodeId>> {
        let newest = self.candidates.values().copied().max()?;
        let is_settled = now.since(newest) >= CANDIDATES_SETTLED_MS;
        let waited_ms = now.since(self.started_at);
        let head_start_ms = RANK_DELAY_MS * self.rank();
        let is_due = if self.candidates.len() >= self.target_voters {
            waited_ms >= MIN_PROCESS_AGE_MS + head_start_ms
        } else {
            // A majority of the target is required: fewer voters would not survive the losses to be
            // tolerated.
            self.candidates.len() * 2 > self.target_voters
                && waited_ms >= UNDERSIZED_FOUNDING_DELAY_MS + head_start_ms
        };
        if !is_settled || !is_due || now < self.retry_at {
            return None;
        }
        let mut members: Vec<NodeId> = self.candidates.keys().cloned().collect();
        members.sort();
        // The proposer must be one of the members: its own data folder decides whether the founding
        // took place.
        members.retain(|node| *node != self.own);
        members.truncate(MAX_FOUNDING_VOTERS - 1);
        members.push(self.own.clone());
        members.sort();
        Some(members)
    }

    /// Number of candidates whose turn comes before this replica's.
    fn rank(&self) -> u64 {
        let before = self.candidates.keys().filter(|node| **node < self.own);
        u64::try_from(before.count()).unwrap_or(u64::MAX)
    }
}
