//! The loop that gives orders while this replica leads.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_mesh::MeshHandle;
use masticsill_orders::{OrderEnd, PlanLimits, PlannedOrder};
use masticsill_runtime::{Ring, ShutdownSignal};
use masticsill_types::{MonotonicClock, Term};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use super::calls::{FenceEnd, Giver};
use super::session::{AgentIncarnation, Session};
use crate::quorum::{PublishedState, QuorumHandle};

const TICK: Duration = Duration::from_millis(100);
/// More than the orders and fences under way at once: one an agent.
const REPORTS: usize = 16_384;

/// What a call of an agent came to.
#[derive(Debug)]
enum Report {
    Fenced(AgentIncarnation, FenceEnd),
    Ended(PlannedOrder, OrderEnd),
}

/// The duty that gives orders to engines.
#[derive(Debug)]
pub(crate) struct OrdersDuty {
    pub(crate) clock: MonotonicClock,
    pub(crate) ended: ShutdownSignal,
    pub(crate) lease_ms: u64,
    pub(crate) mesh: MeshHandle,
    pub(crate) published: PublishedState,
    pub(crate) quorum: QuorumHandle,
}

impl OrdersDuty {
    /// Runs until the replica ends.
    pub(crate) async fn run(self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let reports = Ring::with_capacity(REPORTS);
        let mut session = None;
        loop {
            tokio::select! {
                () = self.ended.requested() => return,
                report = reports.pop() => if let Some((term, report)) = report {
                    self.take(session.as_mut(), term, report);
                },
                _ = ticks.tick() => self.step(&mut session, &reports),
            }
        }
    }

    fn take(&self, session: Option<&mut Session>, term: Term, report: Report) {
        let Some(session) = session.filter(|session| session.term == term) else {
            return;
        };
        let now = self.clock.now();
        match report {
            Report::Ended(planned, end) => session.note_end(now, planned, end),
            Report::Fenced(life, end) => session.note_fence(now, life, end),
        }
    }

    fn step(&self, session: &mut Option<Session>, reports: &Ring<(Term, Report)>) {
        let now = self.clock.now();
        let Some(term) = self.published.led_term(now, self.lease_ms) else {
            // The session stays: the same term may be proven again, and then its orders go on.
            return;
        };
        session.take_if(|session| session.term != term);
        let new = || Session::new(now, term, PlanLimits::default(), rand::random());
        let session = session.get_or_insert_with(new);
        let view = self.mesh.view();
        for life in session.take_unfenced(now, &view) {
            self.spawn_fence(term, life, reports);
        }
        for planned in session.plan(now, &self.published.catalogue(), &view) {
            if let Some(member) = view.get(&planned.agent) {
                self.spawn_order(term, member.address, planned, reports);
            }
        }
    }

    fn spawn_fence(&self, term: Term, life: AgentIncarnation, reports: &Ring<(Term, Report)>) {
        let (giver, reports) = (self.giver(term), reports.clone());
        spawn_local(async move {
            let end = giver.fence(life.address).await;
            let _ = reports.push((term, Report::Fenced(life, end)));
        });
    }

    fn spawn_order(
        &self,
        term: Term,
        address: SocketAddr,
        planned: PlannedOrder,
        reports: &Ring<(Term, Report)>,
    ) {
        let (giver, reports) = (self.giver(term), reports.clone());
        spawn_local(async move {
            let end = giver.give(address, &planned).await;
            let _ = reports.push((term, Report::Ended(planned, end)));
        });
    }

    fn giver(&self, term: Term) -> Giver {
        Giver {
            clock: self.clock,
            lease_ms: self.lease_ms,
            published: self.published.clone(),
            quorum: self.quorum.clone(),
            term,
        }
    }
}
