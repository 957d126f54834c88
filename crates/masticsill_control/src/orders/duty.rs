//! The loop that sends orders while this replica leads.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_mesh::MeshHandle;
use masticsill_orders::{OrderEnd, PlanLimits, PlannedOrder};
use masticsill_runtime::{Ring, ShutdownSignal};
use masticsill_types::{MonotonicClock, Term};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use super::calls::{FenceOutcome, OrderSender};
use super::session::{AgentIncarnation, Session};
use crate::quorum::{PublishedState, QuorumHandle};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// More than the orders and fencing calls in flight at once: at most one for each agent.
const REPORT_QUEUE_CAPACITY: usize = 16_384;

/// Result of a call to an agent.
#[derive(Debug)]
enum Report {
    Fenced(AgentIncarnation, FenceOutcome),
    Ended(PlannedOrder, OrderEnd),
}

/// The duty that sends orders to engines.
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
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let reports = Ring::with_capacity(REPORT_QUEUE_CAPACITY);
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
            Report::Ended(planned, end) => session.record_end(now, planned, end),
            Report::Fenced(incarnation, end) => session.record_fence_outcome(now, incarnation, end),
        }
    }

    fn step(&self, session: &mut Option<Session>, reports: &Ring<(Term, Report)>) {
        let now = self.clock.now();
        let Some(term) = self.published.led_term(now, self.lease_ms) else {
            // The session is kept: if the lease of the same term is confirmed again, its orders
            // continue.
            return;
        };
        session.take_if(|session| session.term != term);
        let new = || Session::new(now, term, PlanLimits::default(), rand::random());
        let session = session.get_or_insert_with(new);
        let view = self.mesh.view();
        for incarnation in session.take_unfenced(now, &view) {
            self.spawn_fence(term, incarnation, reports);
        }
        for planned in session.plan(now, &self.published.catalogue(), &view) {
            if let Some(member) = view.get(&planned.agent) {
                self.spawn_order(term, member.address, planned, reports);
            }
        }
    }

    fn spawn_fence(
        &self,
        term: Term,
        incarnation: AgentIncarnation,
        reports: &Ring<(Term, Report)>,
    ) {
        let (order_sender, reports) = (self.order_sender(term), reports.clone());
        spawn_local(async move {
            let end = order_sender.fence(incarnation.address).await;
            let _ = reports.push((term, Report::Fenced(incarnation, end)));
        });
    }

    fn spawn_order(
        &self,
        term: Term,
        address: SocketAddr,
        planned: PlannedOrder,
        reports: &Ring<(Term, Report)>,
    ) {
        let (order_sender, reports) = (self.order_sender(term), reports.clone());
        spawn_local(async move {
            let end = order_sender.send(address, &planned).await;
            let _ = reports.push((term, Report::Ended(planned, end)));
        });
    }

    fn order_sender(&self, term: Term) -> OrderSender {
        OrderSender {
            clock: self.clock,
            lease_ms: self.lease_ms,
            published: self.published.clone(),
            quorum: self.quorum.clone(),
            term,
        }
    }
}
