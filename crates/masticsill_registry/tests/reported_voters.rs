//! Which control replicas are a majority, while the replicas report different voters.

use std::net::SocketAddr;

use masticsill_registry::{QuorumShare, ReportedVoters};

fn addresses(numbers: &[u8]) -> Vec<SocketAddr> {
    let numbers = numbers.iter();
    numbers
        .map(|number| SocketAddr::from(([10, 0, 0, *number], 1)))
        .collect()
}

/// The reports of replicas, each with its number and the voters that it reports.
fn reported(reports: &[(u8, &[u8])]) -> ReportedVoters {
    let mut reported = ReportedVoters::default();
    for (replica, voters) in reports {
        reported.note(addresses(&[*replica])[0], addresses(voters));
    }
    reported
}

fn share(reports: &[(u8, &[u8])], included: &[u8]) -> QuorumShare {
    let included = addresses(included);
    reported(reports).share(|replica| included.contains(replica))
}

#[test]
fn voters_of_one_report_are_counted() {
    let same: [(u8, &[u8]); 3] = [(0, &[0, 1, 2]), (1, &[0, 1, 2]), (2, &[0, 1, 2])];
    assert_eq!(share(&same, &[0]), QuorumShare::Minority);
    assert_eq!(share(&same, &[0, 2]), QuorumShare::Majority);
    assert_eq!(share(&same, &[0, 1, 2]), QuorumShare::All);
    assert_eq!(share(&same, &[0, 7, 8, 9]), QuorumShare::Minority);
    assert_eq!(share(&[], &[0, 1, 2]), QuorumShare::Minority);
    assert_eq!(share(&[(0, &[0])], &[0]), QuorumShare::All);
}

/// Guards against a majority that is never reached since removed replicas count, whether they still
/// run or not.
#[test]
fn removed_replicas_do_not_count() {
    let replaced: [(u8, &[u8]); 3] = [(3, &[3, 4, 5]), (4, &[3, 4, 5]), (5, &[3, 4, 5])];
    assert_eq!(share(&replaced, &[3, 4, 5]), QuorumShare::All);
    let beside_old: [(u8, &[u8]); 4] = [
        (0, &[0, 1, 2]),
        (3, &[3, 4, 5]),
        (4, &[3, 4, 5]),
        (5, &[3, 4, 5]),
    ];
    assert_eq!(share(&beside_old, &[0, 3, 4, 5]), QuorumShare::All);
    assert_eq!(share(&beside_old, &[0, 3, 4]), QuorumShare::Majority);
    assert_eq!(share(&beside_old, &[0, 3]), QuorumShare::Minority);
}

/// Guards against former voters that are cut off and taken for a majority: one of them has stored the
/// change without which the quorum could not have moved on.
#[test]
fn former_voters_are_no_majority() {
    let cut_off: [(u8, &[u8]); 2] = [(0, &[0, 1, 2]), (1, &[0, 1, 2, 3])];
    assert_eq!(share(&cut_off, &[0, 1]), QuorumShare::Minority);
    let alone: [(u8, &[u8]); 1] = [(2, &[0, 1, 2])];
    assert_eq!(share(&alone, &[2]), QuorumShare::Minority);
}

/// Guards against a minority by one report that is a majority by another one.
#[test]
fn majority_holds_by_every_included_report() {
    let changing: [(u8, &[u8]); 4] = [
        (0, &[0, 1, 2]),
        (1, &[0, 1, 2, 3]),
        (2, &[0, 1, 2, 3]),
        (3, &[0, 1, 2, 3]),
    ];
    assert_eq!(share(&changing, &[0, 1]), QuorumShare::Minority);
    assert_eq!(share(&changing, &[0, 1, 2]), QuorumShare::Majority);
    assert_eq!(share(&changing, &[0, 1, 2, 3]), QuorumShare::All);
    assert_eq!(share(&changing, &[2, 3]), QuorumShare::Minority);
}

/// Guards against a replica with an empty folder that is counted before it is a voter.
#[test]
fn replica_without_a_report_does_not_count() {
    let joining: [(u8, &[u8]); 3] = [(0, &[0, 1, 2]), (1, &[0, 1, 2]), (2, &[])];
    assert_eq!(share(&joining, &[0, 2]), QuorumShare::Minority);
    assert_eq!(share(&joining, &[0, 1, 2]), QuorumShare::Majority);
}

/// Guards against one replica that counts as two voters while it takes the place of itself.
#[test]
fn replica_at_the_address_of_two_voters_counts_once() {
    let voters: &[u8] = &[0, 1, 2, 0];
    let replacing: [(u8, &[u8]); 3] = [(0, voters), (1, voters), (2, voters)];
    assert_eq!(share(&replacing, &[0, 1]), QuorumShare::Minority);
    assert_eq!(share(&replacing, &[0, 1, 2]), QuorumShare::Majority);
}

#[test]
fn reports_are_replaced_and_forgotten() {
    let mut reported = reported(&[(0, &[0, 1, 2]), (1, &[0, 1, 2])]);
    let first = addresses(&[0])[0];
    assert!(!reported.note(first, addresses(&[0, 1, 2])));
    assert!(reported.note(first, addresses(&[0, 1])));
    assert_eq!(reported.voters().len(), 3);
    assert!(reported.remove(&addresses(&[1])[0]));
    assert_eq!(reported.voters().len(), 2);
    assert!(reported.note(first, Vec::new()));
    assert!(reported.voters().is_empty());
}
