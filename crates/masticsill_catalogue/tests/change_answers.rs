//! Changes of entries: of conflicting changes one wins, each change id has one answer, and each
//! attempt is recorded in the audit trail.

mod common;

use assert_matches::assert_matches;
use common::{accepted, delete, put, send, send_as};
use indexmap::IndexSet;
use masticsill_catalogue::{
    AuditAction, ChangeAnswer, ChangeContent, ChangeRefusal, ControlState, MAX_AUDIT_RECORDS,
    MAX_CHANGE_ANSWERS, OperatorScope,
};
use masticsill_types::CatalogueVersion;

fn conflict(expected: u64, in_force: u64) -> ChangeAnswer {
    ChangeAnswer::Refused(ChangeRefusal::VersionConflict {
        expected: CatalogueVersion(expected),
        in_force: CatalogueVersion(in_force),
    })
}

/// The state after a round trip through its snapshot encoding.
fn restarted(state: &ControlState) -> ControlState {
    let bytes = postcard::to_stdvec(state).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

#[test]
fn of_two_changes_with_the_same_expected_version_one_wins() {
    let mut state = ControlState::default();
    assert_eq!(send(&mut state, &put("c1", "e", 0, 1)), accepted(1));
    assert_eq!(send(&mut state, &put("c2", "e", 0, 2)), conflict(0, 1));
    assert_eq!(send(&mut state, &put("c3", "e", 1, 3)), accepted(2));
    assert_eq!(send(&mut state, &delete("c4", "e", 1)), conflict(1, 2));
    assert_eq!(send(&mut state, &delete("c5", "e", 2)), accepted(3));
    assert_eq!(send(&mut state, &put("c6", "e", 2, 4)), conflict(2, 0));
    assert_eq!(send(&mut state, &put("c7", "e", 0, 5)), accepted(4));
}

#[test]
fn resend_gets_the_first_answer_after_later_changes() {
    let mut state = ControlState::default();
    let first = put("c1", "e", 0, 1);
    let lost = put("c2", "e", 0, 2);
    send(&mut state, &first);
    send(&mut state, &lost);
    send(&mut state, &delete("c3", "e", 1));
    let mut state = restarted(&state);
    let before = state.clone();
    assert_eq!(send(&mut state, &first), accepted(1));
    assert_eq!(send(&mut state, &lost), conflict(0, 1));
    assert_eq!(state, before, "a resend changes nothing");
}

#[test]
fn the_same_id_with_other_content_is_refused_and_recorded() {
    let mut state = ControlState::default();
    let first = put("c1", "e", 0, 1);
    send(&mut state, &first);
    for other in [
        put("c1", "e", 0, 2),
        put("c1", "f", 0, 1),
        put("c1", "e", 1, 1),
        delete("c1", "e", 1),
    ] {
        let reused = ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused);
        assert_eq!(send(&mut state, &other), reused);
    }
    assert_eq!(send(&mut state, &first), accepted(1));
    assert_eq!(state.audit().last_sequence(), 5);
    let mut of_another = put("c1", "f", 0, 1);
    of_another.operator = "boonmee".parse().unwrap();
    assert_eq!(send(&mut state, &of_another), accepted(2));
}

#[test]
fn change_resent_after_its_answer_was_evicted_is_not_applied_twice() {
    let mut state = ControlState::default();
    let first = put("c0", "e", 0, 1);
    send(&mut state, &first);
    for number in 1..=MAX_CHANGE_ANSWERS {
        send(&mut state, &put(&format!("c{number}"), "f", 7, 1));
    }
    assert_eq!(send(&mut state, &first), conflict(0, 1));
}

#[test]
fn an_operator_changes_only_entries_of_its_workspaces() {
    let mut state = ControlState::default();
    let own = || OperatorScope::Workspaces(IndexSet::from(["fliesenwerk".parse().unwrap()]));
    let other = || OperatorScope::Workspaces(IndexSet::from(["kwaet-thang".parse().unwrap()]));
    let taken_over = {
        let mut change = put("c3", "e", 1, 1);
        if let ChangeContent::Put(entry) = &mut change.content {
            entry.owner = "kwaet-thang".parse().unwrap();
        }
        change
    };
    for (change, scope, is_allowed) in [
        (put("c1", "e", 0, 1), other(), false),
        (put("c2", "e", 0, 1), own(), true),
        (taken_over.clone(), own(), false),
        (taken_over, other(), false),
        (delete("c4", "e", 1), other(), false),
        (delete("c5", "e", 1), own(), true),
    ] {
        let answer = send_as(&mut state, &change, scope);
        let is_accepted = matches!(answer, ChangeAnswer::Accepted { .. });
        assert_eq!(is_accepted, is_allowed, "{change:?}: {answer:?}");
        if !is_allowed {
            assert_matches!(
                answer,
                ChangeAnswer::Refused(ChangeRefusal::Forbidden { .. })
            );
        }
    }
}

#[test]
fn invalid_changes_have_no_effect() {
    let mut state = ControlState::default();
    let mut wrong_name = put("c1", "e", 0, 1);
    wrong_name.entry = "f".parse().unwrap();
    let mut wrong_entry = put("c2", "e", 0, 1);
    if let ChangeContent::Put(entry) = &mut wrong_entry.content {
        entry.placement.replicas = 0;
    }
    for change in [wrong_name, wrong_entry, delete("c3", "e", 0)] {
        let answer = send(&mut state, &change);
        assert_matches!(answer, ChangeAnswer::Refused(ChangeRefusal::Invalid(_)));
    }
    assert!(state.catalogue().is_empty());
    assert_eq!(state.catalogue().version(), CatalogueVersion(0));
}

#[test]
fn audit_trail_records_operator_change_time_and_reason() {
    let mut state = ControlState::default();
    send(&mut state, &put("c1", "e", 0, 1));
    send(&mut state, &put("c2", "e", 0, 2));
    let records: Vec<_> = restarted(&state).audit().after(1).cloned().collect();
    let [record] = &records[..] else {
        panic!("expected one record after the first, got {records:?}");
    };
    assert_eq!((record.sequence, record.at_wall_ms), (2, 1_000));
    assert_eq!(record.operator.as_str(), "anna");
    assert_matches!(&record.action, AuditAction::Change(change) => {
        assert_eq!(change.answer, conflict(0, 1));
        assert_eq!(change.entry.as_str(), "e");
        assert_eq!(change.owner.as_ref().unwrap().as_str(), "fliesenwerk");
    });
}

#[test]
fn audit_trail_is_bounded_and_keeps_its_sequence() {
    let mut state = ControlState::default();
    let total = MAX_AUDIT_RECORDS + 10;
    for number in 0..total {
        send(&mut state, &put(&format!("c{number}"), "f", 7, 1));
    }
    assert_eq!(state.audit().after(0).count(), MAX_AUDIT_RECORDS);
    assert_eq!(state.audit().last_sequence(), total as u64);
}
