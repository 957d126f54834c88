//! Claims: a call that is not idempotent is granted only once.

mod common;

use assert_matches::assert_matches;
use common::run;
use masticsill_catalogue::{
    Action, AgentIncarnation, CLAIM_RETENTION_MS, CallEnd, Claim, ClaimAnswer, CommandAnswer,
    ControlState, MAX_CLAIMS, MAX_KEPT_BODY_BYTES, MAX_TOTAL_KEPT_BODY_BYTES, Reassign, Settle,
    StoredAnswer, StoredBody,
};
use masticsill_types::{GenerationId, Incarnation};

fn agent_incarnation(agent: &str) -> AgentIncarnation {
    AgentIncarnation {
        agent: agent.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn claim(id: u128, owner: &str, nonce: u64) -> Claim {
    Claim {
        agent: agent_incarnation("agent-1"),
        caller_wall_ms: None,
        fingerprint: 7,
        id: GenerationId(id),
        nonce,
        owner: owner.parse().unwrap(),
    }
}

fn reassign(expected_version: u64, owner: &str, nonce: u64) -> Action {
    Action::Reassign(Reassign {
        agent: agent_incarnation("agent-2"),
        expected_version,
        id: GenerationId(1),
        nonce,
        owner: owner.parse().unwrap(),
    })
}

fn settle(id: u128, version: u64, end: CallEnd) -> Action {
    Action::Settle(Settle {
        end,
        id: GenerationId(id),
        version,
    })
}

fn answered(body_bytes: usize) -> CallEnd {
    CallEnd::Answered(StoredAnswer {
        body: StoredBody::Kept(vec![b'x'; body_bytes]),
        content_type: "text/plain".to_owned(),
        status: 200,
    })
}

fn apply(state: &mut ControlState, at_wall_ms: u64, action: Action) -> ClaimAnswer {
    let answer = run(state, at_wall_ms, action);
    let CommandAnswer::Claim(answer) = answer else {
        panic!("expected the answer to a claim, got {answer:?}");
    };
    answer
}

fn claimed() -> ControlState {
    let mut state = ControlState::default();
    let answer = apply(&mut state, 0, Action::Claim(claim(1, "entry-a", 5)));
    assert_eq!(answer, ClaimAnswer::Granted { version: 1 });
    state
}

#[test]
fn only_the_same_command_is_granted_again() {
    let mut state = claimed();
    let again = Action::Claim(claim(1, "entry-a", 5));
    assert_eq!(
        apply(&mut state, 0, again),
        ClaimAnswer::Granted { version: 1 }
    );
    for (owner, nonce) in [("entry-b", 5), ("entry-b", 6), ("entry-a", 6)] {
        let answer = apply(&mut state, 0, Action::Claim(claim(1, owner, nonce)));
        assert_matches!(answer, ClaimAnswer::Existing(record) => {
            assert_eq!((record.version, record.end), (1, None));
            assert_eq!(record.agent, agent_incarnation("agent-1"));
        });
    }
    let mut other = claim(1, "entry-b", 6);
    other.fingerprint = 8;
    let answer = apply(&mut state, 0, Action::Claim(other));
    assert_eq!(answer, ClaimAnswer::FingerprintDiffers);
}

#[test]
fn one_of_two_reassignments_wins_and_fences_the_previous_owner() {
    let mut state = claimed();
    let granted = ClaimAnswer::Granted { version: 2 };
    assert_eq!(apply(&mut state, 0, reassign(1, "entry-b", 9)), granted);
    assert_eq!(apply(&mut state, 0, reassign(1, "entry-b", 9)), granted);
    let loser = apply(&mut state, 0, reassign(1, "entry-c", 10));
    assert_matches!(loser, ClaimAnswer::Existing(record) if record.version == 2);
    let fenced = apply(&mut state, 0, settle(1, 1, CallEnd::NotRun));
    assert_matches!(fenced, ClaimAnswer::Existing(record) if record.end.is_none());
}

#[test]
fn an_end_is_final_unless_it_was_unknown() {
    use CallEnd::{NotRun, OutcomeUnknown};
    for (first, second, is_taken) in [
        (answered(1), answered(1), true),
        (answered(1), answered(2), false),
        (answered(1), NotRun, false),
        (answered(1), OutcomeUnknown, false),
        (NotRun, NotRun, true),
        (NotRun, answered(1), false),
        (OutcomeUnknown, OutcomeUnknown, true),
        (OutcomeUnknown, answered(1), true),
        (OutcomeUnknown, NotRun, false),
    ] {
        let mut state = claimed();
        apply(&mut state, 0, settle(1, 1, first.clone()));
        let answer = apply(&mut state, 0, settle(1, 1, second.clone()));
        let is_settled = answer == ClaimAnswer::Settled;
        assert_eq!(is_settled, is_taken, "{first:?} then {second:?}");
    }
}

#[test]
fn only_a_call_that_was_not_run_can_be_reassigned_after_its_end() {
    for (end, is_reassignable) in [
        (CallEnd::NotRun, true),
        (CallEnd::OutcomeUnknown, false),
        (answered(1), false),
    ] {
        let mut state = claimed();
        apply(&mut state, 0, settle(1, 1, end));
        let answer = apply(&mut state, 0, reassign(1, "entry-b", 9));
        let is_granted = answer == ClaimAnswer::Granted { version: 2 };
        assert_eq!(is_granted, is_reassignable);
    }
}

#[test]
fn expired_keys_are_never_granted_again() {
    let mut state = claimed();
    let again = || Action::Claim(claim(1, "entry-b", 6));
    let last = apply(&mut state, CLAIM_RETENTION_MS - 1, again());
    assert_matches!(last, ClaimAnswer::Existing(_));
    assert_eq!(
        apply(&mut state, CLAIM_RETENTION_MS, again()),
        ClaimAnswer::Expired
    );
    let early = apply(&mut state, 0, settle(1, 1, CallEnd::NotRun));
    assert_eq!(
        early,
        ClaimAnswer::Expired,
        "the state's time does not go back"
    );
    let mut old = claim(2, "entry-b", 6);
    old.caller_wall_ms = Some(0);
    assert_eq!(
        apply(&mut state, 0, Action::Claim(old)),
        ClaimAnswer::Expired
    );
}

#[test]
fn large_bodies_are_kept_as_digests() {
    let mut state = claimed();
    apply(
        &mut state,
        0,
        settle(1, 1, answered(MAX_KEPT_BODY_BYTES + 1)),
    );
    let record = state.claim(GenerationId(1)).unwrap();
    assert_matches!(&record.end, Some(CallEnd::Answered(answer)) => {
        let size_bytes = MAX_KEPT_BODY_BYTES as u64 + 1;
        assert_matches!(answer.body, StoredBody::Digest { size_bytes: size, .. } if size == size_bytes);
    });
}

#[test]
fn oldest_bodies_are_reduced_to_digests_beyond_the_total_limit() {
    let mut state = ControlState::default();
    let fitting = MAX_TOTAL_KEPT_BODY_BYTES / MAX_KEPT_BODY_BYTES;
    for number in 0..=fitting as u128 {
        apply(&mut state, 0, Action::Claim(claim(number, "entry-a", 1)));
        apply(
            &mut state,
            0,
            settle(number, 1, answered(MAX_KEPT_BODY_BYTES)),
        );
    }
    let is_kept = |number| {
        let record = state.claim(GenerationId(number)).unwrap();
        matches!(&record.end, Some(CallEnd::Answered(answer)) if matches!(answer.body, StoredBody::Kept(_)))
    };
    assert_eq!((is_kept(0), is_kept(1)), (false, true));
}

#[test]
fn full_table_refuses_new_claims_and_evicts_none() {
    let mut state = ControlState::default();
    for number in 0..MAX_CLAIMS as u128 {
        apply(&mut state, 0, Action::Claim(claim(number, "entry-a", 1)));
    }
    let extra = || Action::Claim(claim(u128::MAX, "entry-a", 1));
    assert_eq!(apply(&mut state, 0, extra()), ClaimAnswer::Full);
    assert_eq!(state.claim_count(), MAX_CLAIMS);
    let later = apply(&mut state, CLAIM_RETENTION_MS, extra());
    assert_eq!(later, ClaimAnswer::Granted { version: 1 });
}
