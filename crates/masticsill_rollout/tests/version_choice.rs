//! Which versions an entry sends a request to, by roll-out, lease, and age of the versions.

use masticsill_rollout::{
    KnownVersion, Phase, RequestVersions, RollbackCause, RolloutNumber, ServiceVersions,
    ServingRollout, StartedRequest, VersionBinding, VersionFilter, VersionRule,
};
use masticsill_types::ClockMs;

const NOW: ClockMs = ClockMs(100_000);
const HOLD_MS: u64 = 5_000;
const OLD: &str = "v1";
const TARGET: &str = "v2";
/// A version that no order covers.
const OTHER: &str = "v3";
const ROLLED_BACK: Phase = Phase::RolledBack(RollbackCause::Failures);

fn rollout(step: u32, phase: Phase) -> ServingRollout {
    ServingRollout {
        number: RolloutNumber(1),
        phase,
        service: "s".to_owned(),
        step,
        target: TARGET.to_owned(),
    }
}

fn canary(share_permille: u16) -> Phase {
    Phase::Canary { share_permille }
}

fn leased(phase: Phase) -> VersionRule {
    let rollout = rollout(1, phase);
    let mut rule = VersionRule::new(rollout.clone());
    rule.note(&rollout, Some(NOW + 1_000));
    rule
}

fn seen(version: &str, ready: u32, first_seen_at: ClockMs) -> KnownVersion {
    KnownVersion {
        first_seen_at,
        ready,
        version: version.to_owned(),
    }
}

/// The old and the target version, seen long ago.
fn both() -> Vec<KnownVersion> {
    vec![seen(OLD, 4, ClockMs(0)), seen(TARGET, 4, ClockMs(0))]
}

fn known<'a>(rule: Option<&'a VersionRule>, versions: &'a [KnownVersion]) -> ServiceVersions<'a> {
    ServiceVersions {
        hold_ms: HOLD_MS,
        leader_asked_at: Some(NOW),
        rule,
        versions,
    }
}

/// The versions among those of the tests that a filter allows.
fn allowed(filter: &VersionFilter) -> Vec<&'static str> {
    let versions = [OLD, TARGET, OTHER].into_iter();
    versions.filter(|it| filter.allows(it)).collect()
}

fn drawn(versions: &RequestVersions) -> Vec<&'static str> {
    versions.drawn.as_ref().map(allowed).unwrap_or_default()
}

fn started(first_version: &str) -> StartedRequest<'_> {
    StartedRequest {
        failed_dials: 0,
        first_version,
    }
}

#[test]
fn canary_draws_its_share_for_the_target_and_waits_for_the_old_version() {
    let (rule, versions) = (leased(canary(100)), both());
    let known = known(Some(&rule), &versions);
    let at = |random| known.for_new(NOW, random, 0);
    assert_eq!(drawn(&at(0.099)), [TARGET]);
    assert!(drawn(&at(0.101)).is_empty());
    for random in [0.099, 0.101] {
        assert!(!at(random).allowed.allows(TARGET));
        assert!(at(random).allowed.allows(OLD));
    }
}

/// Guards against a relay that is frozen or cut off and goes on with a version that has been rolled
/// back meanwhile.
#[test]
fn lapsed_lease_leaves_only_the_old_version() {
    for phase in [canary(1_000), Phase::Finishing] {
        let (rule, versions) = (leased(phase), both());
        let known = known(Some(&rule), &versions);
        let before = known.for_new(NOW + 999, 0.0, 0);
        assert!(drawn(&before) == [TARGET] || allowed(&before.allowed) == [TARGET]);
        let lapsed = known.for_new(NOW + 1_000, 0.0, 0);
        assert!(drawn(&lapsed).is_empty());
        assert!(!lapsed.allowed.allows(TARGET));
        assert!(!known.for_waiting(NOW + 1_000).allows(TARGET));
    }
}

/// Guards against an order that reaches a relay through a follower only: no leader vouches for it.
#[test]
fn roll_out_without_a_lease_gives_the_target_nothing() {
    let versions = both();
    let rule = VersionRule::new(rollout(1, canary(1_000)));
    let versions = known(Some(&rule), &versions).for_new(NOW, 0.0, 0);
    assert!(drawn(&versions).is_empty());
    assert!(!versions.allowed.allows(TARGET));
}

/// Guards against requests that leave the target at each step which a follower reports first.
#[test]
fn lease_outlasts_a_later_step_but_no_other_roll_out() {
    let mut rule = leased(canary(10));
    rule.note(&rollout(2, canary(50)), None);
    assert!(rule.is_leased(NOW));
    let next = ServingRollout {
        number: RolloutNumber(2),
        ..rollout(0, canary(0))
    };
    rule.note(&next, None);
    assert!(!rule.is_leased(NOW));
}

/// Guards against a control replica that was cut off and reports an old step.
#[test]
fn older_step_changes_nothing() {
    let mut rule = VersionRule::new(rollout(3, ROLLED_BACK));
    rule.note(&rollout(2, canary(500)), Some(NOW + 1_000));
    assert_eq!(rule.rollout().phase, ROLLED_BACK);
    assert!(!rule.is_leased(NOW));
}

/// Guards against requests that the old endpoints can't complete before they stop.
#[test]
fn finishing_gives_the_old_version_nothing_new() {
    let (rule, versions) = (leased(Phase::Finishing), both());
    let known = known(Some(&rule), &versions);
    let versions = known.for_new(NOW, 0.9, 0);
    assert_eq!(allowed(&versions.allowed), [TARGET]);
    assert_eq!(versions.drawn, None);
    assert_eq!(allowed(&known.for_waiting(NOW)), [TARGET]);
}

#[test]
fn ended_roll_outs_need_no_lease() {
    let versions = both();
    let completed = VersionRule::new(rollout(5, Phase::Completed));
    let filter = known(Some(&completed), &versions).for_waiting(NOW);
    assert_eq!(allowed(&filter), [TARGET]);
    let rolled_back = VersionRule::new(rollout(5, ROLLED_BACK));
    let filter = known(Some(&rolled_back), &versions).for_waiting(NOW);
    assert!(!filter.allows(TARGET));
}

/// Guards against refusals when the old endpoints have stopped at a completion that this relay has
/// not heard of.
#[test]
fn all_versions_are_used_once_no_old_endpoint_is_ready() {
    let rule = leased(canary(100));
    let versions = [seen(OLD, 0, ClockMs(0)), seen(TARGET, 4, ClockMs(0))];
    let versions = known(Some(&rule), &versions).for_new(NOW, 0.9, 0);
    assert!(versions.allowed.allows(TARGET));
}

/// Guards against requests for a target whose endpoints have not started yet.
#[test]
fn target_without_endpoints_is_not_drawn() {
    let rule = leased(canary(1_000));
    let versions = [seen(OLD, 4, ClockMs(0)), seen(TARGET, 0, ClockMs(0))];
    let versions = known(Some(&rule), &versions).for_new(NOW, 0.0, 0);
    assert_eq!(versions.drawn, None);
}

/// Guards against a relay that is cut off from control for long: the old endpoints have stopped,
/// but stay registered there.
#[test]
fn cut_off_relay_gives_up_old_endpoints_that_refuse_connections() {
    let (rule, versions) = (leased(canary(100)), both());
    let known = known(Some(&rule), &versions);
    assert!(!known.for_new(NOW, 0.9, 3).allowed.allows(TARGET), "leased");
    let later = NOW + 2_000;
    assert!(!known.for_new(later, 0.9, 2).allowed.allows(TARGET));
    assert!(known.for_new(later, 0.9, 3).allowed.allows(TARGET));
}

#[test]
fn version_without_an_order_is_held_back_until_the_leader_knows_none() {
    let versions = [seen(OLD, 2, ClockMs(0)), seen(OTHER, 9, NOW)];
    let at = |leader_asked_at| {
        let known = ServiceVersions {
            leader_asked_at,
            ..known(None, &versions)
        };
        let versions = known.for_new(NOW + 60_000, 0.5, 0);
        assert!(versions.allowed.allows(OLD));
        versions.allowed.allows(OTHER)
    };
    assert!(!at(None));
    assert!(!at(Some(NOW + (HOLD_MS - 1))));
    assert!(at(Some(NOW + HOLD_MS)));
}

/// Guards against a hold that delays a roll-out: its target may be as new as its order.
#[test]
fn target_is_not_held_back() {
    let versions = [seen(OLD, 2, ClockMs(0)), seen(TARGET, 2, NOW)];
    let rule = leased(Phase::Finishing);
    let finishing = known(Some(&rule), &versions).for_new(NOW, 0.5, 0);
    assert!(finishing.allowed.allows(TARGET));
    let rule = leased(canary(1_000));
    let canary = known(Some(&rule), &versions).for_new(NOW, 0.5, 0);
    assert_eq!(drawn(&canary), [TARGET]);
    assert!(canary.allowed.allows(OLD));
}

/// Guards against a relay that restarts, finds two versions, and sends to the new one before it
/// learns of the roll-out.
#[test]
fn started_relay_uses_the_version_with_more_endpoints() {
    let at = |versions: &[KnownVersion], leader_asked_at| {
        let known = ServiceVersions {
            leader_asked_at,
            ..known(None, versions)
        };
        let allowed = allowed(&known.for_waiting(NOW + 100));
        let used = allowed.into_iter().filter(|it| *it != TARGET);
        used.collect::<Vec<_>>()
    };
    let more_new = [seen(OLD, 2, NOW), seen(OTHER, 3, NOW + 50)];
    assert_eq!(at(&more_new, None), [OTHER]);
    let more_old = [seen(OLD, 3, NOW + 50), seen(OTHER, 2, NOW)];
    assert_eq!(at(&more_old, None), [OLD]);
    let equal = [seen(OTHER, 2, NOW), seen(OLD, 2, NOW)];
    assert_eq!(at(&equal, None), [OLD]);
    // The other version appeared later, so that the number of its endpoints doesn't matter.
    let later = [seen(OLD, 2, NOW.before(4_000)), seen(OTHER, 9, NOW)];
    assert_eq!(at(&later, Some(NOW)), [OLD]);
}

/// Guards against a stream that takes events of another version, whatever a roll-out says.
#[test]
fn begun_stream_is_bound_to_its_version_alone() {
    let versions = RequestVersions::of_begun_stream(OLD);
    assert_eq!(versions.binding, VersionBinding::Required);
    assert_eq!(allowed(&versions.allowed), [OLD]);
    assert_eq!(versions.drawn, None);
    assert!(!versions.allowed.allows("v9"));
}

#[test]
fn started_request_stays_on_its_side() {
    let versions = both();
    for (phase, first, other) in [
        (canary(100), OLD, TARGET),
        (canary(100), TARGET, OLD),
        (Phase::Finishing, OLD, TARGET),
        (Phase::Finishing, TARGET, OLD),
        (Phase::Completed, OLD, TARGET),
        (Phase::Completed, TARGET, OLD),
        (ROLLED_BACK, OLD, TARGET),
    ] {
        let rule = leased(phase);
        let side = known(Some(&rule), &versions).for_started(NOW, &started(first), |_| true);
        assert_eq!(side.binding, VersionBinding::Preferred);
        assert!(side.allowed.allows(first), "{phase:?} {first}");
        assert!(!side.allowed.allows(other), "{phase:?} {first}");
    }
}

#[test]
fn started_request_moves_once_its_side_has_no_usable_endpoint() {
    let (rule, versions) = (leased(Phase::Completed), both());
    let is_usable = |versions: &VersionFilter| versions.allows(TARGET);
    let known = known(Some(&rule), &versions);
    let side = known.for_started(NOW, &started(OLD), is_usable);
    assert!(side.allowed.allows(TARGET));
    // Stopped endpoints stay registered until their heartbeats are missed.
    let refused = StartedRequest {
        failed_dials: 3,
        ..started(OLD)
    };
    let side = known.for_started(NOW, &refused, |_| true);
    assert!(side.allowed.allows(TARGET));
}

/// Guards against retries at a version that has been rolled back, or may have been.
#[test]
fn retry_without_any_event_leaves_a_target_that_takes_no_new_requests() {
    let versions = both();
    let allows_target = |rule: &VersionRule, now| {
        let known = known(Some(rule), &versions);
        let side = known.for_started(now, &started(TARGET), |_| true);
        side.allowed.allows(TARGET)
    };
    assert!(allows_target(&leased(canary(100)), NOW));
    assert!(!allows_target(&leased(canary(100)), NOW + 1_000));
    assert!(!allows_target(&leased(ROLLED_BACK), NOW));
}

#[test]
fn request_stays_on_its_version_without_a_roll_out() {
    let versions = both();
    let side = known(None, &versions).for_started(NOW, &started(OLD), |_| true);
    assert_eq!(allowed(&side.allowed), [OLD]);
}
