//! Who founds a cluster, and that no two foundings go on at once.

use indexmap::IndexMap;
use masticsill_quorum::{
    FOUNDING_TIMEOUT_MS, FoundingAttempt, FoundingPlan, FoundingReservation, MAX_FOUNDING_VOTERS,
};
use masticsill_types::{ClockMs, NodeId};
use proptest::prelude::*;

const START: ClockMs = ClockMs(1_000);
/// Beyond every wait of the plan.
const LATER: ClockMs = ClockMs(60_000);

fn node(number: usize) -> NodeId {
    NodeId::new(format!("node-{number}")).unwrap()
}

fn plan(own: usize, others: &[usize], wanted: usize) -> FoundingPlan {
    let mut plan = FoundingPlan::new(START, node(own), wanted);
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
fn first_in_order_goes_first() {
    let first = plan(1, &[2, 3], 3);
    let second = plan(2, &[1, 3], 3);
    let due = (0..10_000)
        .map(|ms| START + ms)
        .find(|at| first.members(*at).is_some())
        .unwrap();
    assert_eq!(first.members(due), Some(vec![node(1), node(2), node(3)]));
    assert_eq!(second.members(due), None);
    assert!(second.members(LATER).is_some(), "the first may be lost");
}

#[test]
fn fewer_than_wanted_found_only_after_a_wait() {
    let short = plan(1, &[2, 3], 5);
    assert_eq!(short.members(START + 4_000), None);
    assert!(short.members(LATER).is_some());
    let alone = plan(1, &[2], 5);
    assert_eq!(alone.members(LATER), None, "two of five bear no loss");
}

#[test]
fn newcomers_are_waited_for() {
    let mut plan = plan(1, &[2, 3], 3);
    plan.note_candidate(START + 2_000, &node(4));
    assert_eq!(plan.members(START + 2_100), None);
    assert_eq!(plan.members(START + 3_000).unwrap().len(), 4);
}

#[test]
fn proposer_is_a_member_of_the_largest_cluster() {
    let others: Vec<usize> = (0..9).filter(|other| *other != 8).collect();
    let members = plan(8, &others, 5).members(LATER).unwrap();
    assert_eq!(members.len(), MAX_FOUNDING_VOTERS);
    assert!(members.contains(&node(8)));
}

#[test]
fn refused_proposer_lets_others_go_first() {
    let mut plan = plan(1, &[2, 3], 3);
    plan.back_off(LATER);
    assert_eq!(plan.members(LATER), None);
    assert!(plan.members(LATER + 2_000).is_some());
}

#[test]
fn young_process_is_not_reserved() {
    let mut young = FoundingReservation::new(START);
    assert!(!young.reserve(START + 100, &attempt(1, 1)));
    assert!(young.reserve(LATER, &attempt(1, 1)));
}

#[test]
fn known_cluster_ends_every_founding() {
    let mut reservations = FoundingReservation::new(START);
    reservations.note_cluster_exists();
    assert!(!reservations.reserve(LATER, &attempt(1, 1)));
}

proptest! {
    /// Whatever is reserved and released in whatever order, no two attempts hold a majority of
    /// the seeds at the same time.
    #[test]
    fn two_attempts_never_hold_a_majority(
        steps in prop::collection::vec((0_usize..3, 0_usize..4, 0_u64..500, any::<bool>()), 1..200),
    ) {
        let mut seeds = vec![FoundingReservation::new(ClockMs(0)); 3];
        // What each proposer was granted by each seed, and when.
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
            // A proposer acts on grants of the last 400 ms only.
            let usable = granted.iter().filter(|(_, at)| now.since(**at) < FOUNDING_TIMEOUT_MS);
            let usable: Vec<(usize, usize)> = usable.map(|(key, _)| *key).collect();
            let count = |proposer| usable.iter().filter(|(_, held)| *held == proposer).count();
            let holders = (0..4).filter(|proposer| count(*proposer) * 2 > seeds.len()).count();
            prop_assert!(holders <= 1);
        }
    }
}
