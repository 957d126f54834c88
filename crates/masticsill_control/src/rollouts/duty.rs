//! The loop that drives roll-outs while this replica leads.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_catalogue::{Action, CommandAnswer};
use masticsill_registry::UNCONFIRMED_GRACE_MS;
use masticsill_rollout::{
    DriverInput, Phase, Rollout, RolloutDriver, RolloutLimits, RolloutNumber, RolloutStep, Rollouts,
};
use masticsill_types::{ClockMs, Term, log_event};
use masticsill_wire::control::ControlReply;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use crate::events;
use crate::rpc::ControlServer;

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The drivers of a term of this replica's leadership.
struct Session {
    drivers: IndexMap<RolloutNumber, RolloutDriver>,
    /// Roll-outs whose last step has no answer yet. The next step is decided after it.
    pending: Rc<RefCell<Vec<RolloutNumber>>>,
    term: Term,
}

/// When this replica applied the last step of each roll-out. A new leader counts the time without
/// a leader from there.
type AppliedSteps = IndexMap<RolloutNumber, (u32, ClockMs)>;

/// Drives the roll-outs whenever this replica leads; never returns.
pub(crate) async fn run_rollouts(server: ControlServer, limits: RolloutLimits) {
    let started_at = server.clock.now();
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut session = None;
    let mut applied = AppliedSteps::new();
    loop {
        ticks.tick().await;
        advance_all(&server, limits, &mut session, &mut applied, started_at);
    }
}

fn advance_all(
    server: &ControlServer,
    limits: RolloutLimits,
    session: &mut Option<Session>,
    applied: &mut AppliedSteps,
    started_at: ClockMs,
) {
    let now = server.clock.now();
    let (rollouts, led_term) = server.published.rollouts(now, server.lease_ms);
    server.evidence.retain(&rollouts);
    note_applied(applied, now, &rollouts);
    let Some(term) = led_term else {
        // The session is kept: if the lease of the same term is confirmed again, its drivers
        // continue.
        return;
    };
    session.take_if(|session| session.term != term);
    let session = session.get_or_insert_with(|| Session {
        drivers: IndexMap::new(),
        pending: Rc::default(),
        term,
    });
    let is_active = |it: &&Rollout| it.is_repeatable || !it.phase.is_ended();
    let active: Vec<&Rollout> = rollouts.iter().filter(is_active).collect();
    session
        .drivers
        .retain(|number, _| active.iter().any(|it| it.number == *number));
    for rollout in active {
        if session.pending.borrow().contains(&rollout.number) {
            continue;
        }
        let driver = session.drivers.entry(rollout.number).or_insert_with(|| {
            let applied_at = applied.get(&rollout.number).map_or(now, |(_, at)| *at);
            RolloutDriver::resume(applied_at, rollout, limits)
        });
        let order = &rollout.order;
        let (old_ready, target_ready) = server
            .endpoints
            .ready_by_version(&order.service, &order.target);
        // A replica that has just started may not know of all endpoints yet.
        let least = u32::from(now.since(started_at) < UNCONFIRMED_GRACE_MS);
        let (old_ready, target_ready) = (old_ready.max(least), target_ready.max(least));
        let step = server.evidence.read(|evidence| {
            let input = DriverInput {
                evidence,
                old_ready,
                target_ready,
            };
            driver.step(now, rollout, &input)
        });
        if let Some(step) = step {
            session.pending.borrow_mut().push(rollout.number);
            let proposal = Proposal {
                old_ready,
                rollout: rollout.clone(),
                step,
                target_ready,
            };
            spawn_local(propose(
                server.clone(),
                proposal,
                Rc::clone(&session.pending),
            ));
        }
    }
}

fn note_applied(applied: &mut AppliedSteps, now: ClockMs, rollouts: &Rollouts) {
    applied.retain(|number, _| rollouts.iter().any(|it| it.number == *number));
    for rollout in rollouts.iter() {
        let known = applied.entry(rollout.number).or_insert((rollout.step, now));
        if known.0 != rollout.step {
            *known = (rollout.step, now);
        }
    }
}

/// A step, and the figures that it was decided with.
struct Proposal {
    old_ready: u32,
    rollout: Rollout,
    step: RolloutStep,
    target_ready: u32,
}

async fn propose(
    server: ControlServer,
    proposal: Proposal,
    pending: Rc<RefCell<Vec<RolloutNumber>>>,
) {
    // The sums are taken before the proposal: reports of an ended roll-out are dropped.
    let number = proposal.rollout.number;
    let is_renewal = proposal.step.phase == proposal.rollout.phase;
    let totals = (!is_renewal).then(|| server.evidence.totals(number));
    let reply = server.act(Action::AdvanceRollout(proposal.step)).await;
    pending.borrow_mut().retain(|it| *it != number);
    let is_applied = reply == ControlReply::Done(CommandAnswer::RolloutAdvanced(true));
    let Some(totals) = totals.filter(|_| is_applied) else {
        return;
    };
    let Proposal {
        old_ready,
        rollout,
        step,
        target_ready,
    } = proposal;
    let event = if step.phase.is_ended() {
        events::ROLLOUT_ENDED
    } else {
        events::ROLLOUT_STEPPED
    };
    log_event!(
        info,
        event,
        service = rollout.order.service,
        target = rollout.order.target,
        rollout = number,
        step = step.step,
        phase = step.phase,
        share_permille = step.phase.share_permille(),
        elapsed_ms = step.elapsed_ms,
        duration_ms = rollout.order.duration_ms,
        reports = totals.reports,
        old_ready = old_ready,
        old_sent = totals.old.sent,
        old_answered = totals.old.answered,
        old_failed = totals.old.failed,
        target_ready = target_ready,
        target_sent = totals.target.sent,
        target_answered = totals.target.answered,
        target_failed = totals.target.failed,
        former_phase = former_phase(rollout.phase)
    );
}

fn former_phase(phase: Phase) -> String {
    match phase {
        Phase::Canary { share_permille } => format!("canary at {share_permille}"),
        other => other.to_string(),
    }
}
