//! Orders and steps of roll-outs in the replicated state.

use assert_matches::assert_matches;
use masticsill_catalogue::{Action, AuditAction, Command, CommandAnswer, ControlState};
use masticsill_rollout::{
    OrderAnswer, Phase, RollbackCause, RolloutNumber, RolloutOrder, RolloutStep,
};

fn apply(state: &mut ControlState, action: Action) -> CommandAnswer {
    let at_wall_ms = 7;
    state.apply(&Command { action, at_wall_ms })
}

fn order(state: &mut ControlState, service: &str, target: &str) -> OrderAnswer {
    let action = Action::OrderRollout {
        operator: "anna".parse().unwrap(),
        order: RolloutOrder {
            duration_ms: 12_000,
            service: service.to_owned(),
            target: target.to_owned(),
        },
    };
    assert_matches!(apply(state, action), CommandAnswer::Rollout(answer) => answer)
}

fn advance(state: &mut ControlState, number: u64, step: u32, phase: Phase) -> bool {
    let action = Action::AdvanceRollout(RolloutStep {
        elapsed_ms: 100 * u64::from(step),
        is_repeatable: true,
        number: RolloutNumber(number),
        phase,
        step,
    });
    assert_matches!(apply(state, action), CommandAnswer::RolloutAdvanced(applied) => applied)
}

fn actions(state: &ControlState) -> Vec<&AuditAction> {
    state.audit().after(0).map(|it| &it.action).collect()
}

fn ordered(number: u64, target: &str, is_accepted: bool) -> AuditAction {
    AuditAction::RolloutOrdered {
        is_accepted,
        number: RolloutNumber(number),
        service: "s".to_owned(),
        target: target.to_owned(),
    }
}

/// Guards against a second roll-out, or a second record, when the answer to an order was lost.
#[test]
fn repeated_order_changes_nothing() {
    let mut state = ControlState::default();
    let first = OrderAnswer::Accepted(RolloutNumber(1));
    assert_eq!(order(&mut state, "s", "v2"), first);
    let before = state.clone();
    assert_eq!(order(&mut state, "s", "v2"), first);
    assert_eq!(state, before);
    assert_eq!(actions(&state), [&ordered(1, "v2", true)]);
}

/// Guards against an order that replaces a roll-out in progress.
#[test]
fn other_target_is_refused_while_a_rollout_is_in_progress() {
    let mut state = ControlState::default();
    order(&mut state, "s", "v2");
    let refused = OrderAnswer::InProgress(RolloutNumber(1));
    assert_eq!(order(&mut state, "s", "v3"), refused);
    let expected = [&ordered(1, "v2", true), &ordered(1, "v3", false)];
    assert_eq!(actions(&state), expected);
    assert_eq!(state.rollouts().latest("s").unwrap().order.target, "v2");
    let accepted = OrderAnswer::Accepted(RolloutNumber(2));
    assert_eq!(order(&mut state, "t", "v3"), accepted);
}

/// Guards against steps of a deposed leader, and against a second record of one end.
#[test]
fn only_the_next_step_is_applied_and_the_end_is_recorded_once() {
    let mut state = ControlState::default();
    order(&mut state, "s", "v2");
    let canary = Phase::Canary { share_permille: 10 };
    assert!(advance(&mut state, 1, 1, canary));
    assert!(!advance(&mut state, 1, 1, Phase::Completed));
    assert!(!advance(&mut state, 1, 3, Phase::Completed));
    assert!(!advance(&mut state, 2, 1, Phase::Completed));
    let end = Phase::RolledBack(RollbackCause::Failures);
    assert!(advance(&mut state, 1, 2, end));
    assert!(!advance(&mut state, 1, 3, Phase::Completed));
    assert!(advance(&mut state, 1, 3, end));
    let ended = AuditAction::RolloutEnded {
        number: RolloutNumber(1),
        phase: end,
        service: "s".to_owned(),
        target: "v2".to_owned(),
    };
    assert_eq!(actions(&state), [&ordered(1, "v2", true), &ended]);
}
