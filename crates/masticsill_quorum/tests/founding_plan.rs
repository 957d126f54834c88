//! Which replica founds a cluster, and that no two foundings proceed concurrently.

use indexmap::IndexMap;
use masticsill_quorum::{
    FOUNDING_TIMEOUT_MS, FoundingAttempt, FoundingPlan, FoundingReservation, MAX_FOUNDING_VOTERS,
};
use masticsill_types::{ClockMs, NodeId};
use proptest::prelude::*;

const START: ClockMs = ClockMs(1_000);
/// Later than every delay of the plan.
const LATER: ClockMs = ClockMs(60_000);

fn node(number: usize) -> NodeId {
    NodeId::new(format!("node-{number}")).unwrap()
}

fn plan(own: usize, others: &[usize], target_voters: usize) -> FoundingPlan {
    let mut plan = FoundingPlan::new(START, node(own), target_voters);
    for other in others {
        plan.note_candidate(START, &node(*other));
    }
    plan
}

fn attempt(proposer: usize, number: u64) -> FoundingAttempt {
    FoundingAttempt {
        number,
        proposer: node(proposer),
    }
}

#[test]
fn first_candidate_by_name_founds_first() {
    let first = plan(1, &[2, 3], 3);
    let second = plan(2, &[1, 3], 3);
    let due = (0..10_000)
        .map(|ms| START + ms)
        .find(|at| first.members(*at).is_some())
        .unwrap();
    assert_eq!(first.members(due), Some(vec![node(1), node(2), node(3)]));
    assert_eq!(second.members(due), None);
    assert!(
        second.members(LATER).is_some(),
        "the second candidate must found if the first does not act"
    );
}

#[test]
fn fewer_candidates_than_the_target_found_only_after_a_delay() {
    let undersized = plan(1, &[2, 3], 5);
    assert_eq!(undersized.members(START + 4_000), None);
    assert!(undersized.members(LATER).is_some());
    let minority = plan(1, &[2], 5);
    assert_eq!(
        minority.members(LATER),
        None,
        "two of five voters tolerate no loss"
    );
}

#[test]
fn a_new_candidate_delays_the_founding() {
    let mut plan = plan(1, &[2, 3], 3);
    plan.note_candidate(START + 2_000, &node(4));
    assert_eq!(plan.members(START + 2_100), None);
    assert_eq!(plan.members(START + 3_000).unwrap().len(), 4);
}

#[test]
fn proposer_is_a_member_when_candidates_exceed_the_maximum() {
    let others: Vec<usize> = (0..9).filter(|other| *other != 8).collect();
    let members = plan(8, &others, 5).members(LATER).unwrap();
    assert_eq!(members.len(), MAX_FOUNDING_VOTERS);
    assert!(members.contains(&node(8)));
}

#[test]
fn refused_proposer_backs_off() {
    let mut plan = plan(1, &[2, 3], 3);
    plan.back_off(LATER);
    assert_eq!(plan.members(LATER), None);
    assert!(plan.members(LATER + 2_000).is_some());
}

#[test]
fn recently_started_process_grants_no_reservation() {
    let mut reservation = FoundingReservation::new(START);
    assert!(!reservation.reserve(START + 100, &attempt(1, 1)));
    assert!(reservation.reserve(LATER, &attempt(1, 1)));
}

#[test]
fn existing_cluster_refuses_every_reservation() {
    let mut reservations = FoundingReservation::new(START);
    reservations.note_cluster_exists();
    assert!(!reservations.reserve(LATER, &attempt(1, 1)));
}

proptest! {
    /// For any sequence of reservations and releases, no two attempts hold a majority of the seeds
    /// at the same time.
    #[test]
    fn two_attempts_never_hold_a_majority(
        steps in prop::collection::vec((0_usize..3, 0_usize..4, 0_u64..500, any::<bool>()), 1..200),
    ) {
        let mut seeds = vec![FoundingReservation::new(ClockMs(0)); 3];
        // The time at which each seed granted a reservation to each proposer.
        let mut granted: IndexMap<(usize, usize), ClockMs> = IndexMap::new();
        let mut now = ClockMs(0);
        for (seed, proposer, passed_ms, is_release) in steps {
            now = now + passed_ms;
            let attempt = attempt(proposer, 1);
            if is_release {
                seeds[seed].release(&attempt);
                granted.swap_remove(&(seed, proposer));
            } else if seeds[seed].reserve(now, &attempt) {
                granted.insert((seed, proposer), now);
            }
            // A proposer acts only on grants younger than `FOUNDING_TIMEOUT_MS` (400 ms).
            let usable = granted.iter().filter(|(_, at)| now.since(**at) < FOUNDING_TIMEOUT_MS);
            let usable: Vec<(usize, usize)> = usable.map(|(key, _)| *key).collect();
            let count = |proposer| usable.iter().filter(|(_, held)| *held == proposer).count();
            let holders = (0..4).filter(|proposer| count(*proposer) * 2 > seeds.len()).count();
            prop_assert!(holders <= 1);
        }
    }
}
