//! State of the orders of one term of leadership.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::Catalogue;
use masticsill_membership::{Member, MemberState};
use masticsill_mesh::MembershipView;
use masticsill_orders::{LoadPlanner, ObservedEngine, OrderEnd, PlanLimits, PlannedOrder};
use masticsill_types::{ClockMs, EndpointKind, Incarnation, NodeId, Term, log_event};

use super::calls::FenceOutcome;
use crate::events;

/// Shortest time that a new leader waits for its view of the members to become complete.
const MIN_SETTLE_MS: u64 = 1_000;
const FENCE_RETRY_MS: u64 = 500;
/// Limits the connections that a new leader opens to agents at the same moment.
const MAX_CONCURRENT_FENCES: usize = 128;

/// One incarnation of an agent, and the address where it listens.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct AgentIncarnation {
    pub(crate) address: SocketAddr,
    pub(crate) agent: NodeId,
    pub(crate) incarnation: Incarnation,
}

/// What the leader of one term knows of its orders and of the agents that it has fenced.
#[derive(Debug)]
pub(crate) struct Session {
    /// Agents at whose address nothing listened at the last attempt. They are tried again, as the
    /// connection may have failed only for a short time.
    absent: IndexSet<AgentIncarnation>,
    /// Agents with a fencing call in flight (`None`), or the time before which the call is not
    /// repeated.
    fence_attempts: IndexMap<AgentIncarnation, Option<ClockMs>>,
    fenced: IndexSet<AgentIncarnation>,
    is_begun: bool,
    limits: PlanLimits,
    planner: LoadPlanner,
    started_at: ClockMs,
    pub(crate) term: Term,
}

impl Session {
    pub(crate) fn new(now: ClockMs, term: Term, limits: PlanLimits, seed: u64) -> Self {
        Self {
            absent: IndexSet::new(),
            fence_attempts: IndexMap::new(),
            fenced: IndexSet::new(),
            is_begun: false,
            limits,
            planner: LoadPlanner::new(now, limits, seed),
            started_at: now,
            term,
        }
    }

    /// Returns the agents to fence now, and marks each as having a call in flight.
    pub(crate) fn take_unfenced(
        &mut self,
        now: ClockMs,
        view: &MembershipView,
    ) -> Vec<AgentIncarnation> {
        let incarnations: IndexSet<AgentIncarnation> = engine_members(view)
            .map(|it| incarnation_of(it.0))
            .collect();
        self.fenced
            .retain(|incarnation| incarnations.contains(incarnation));
        self.absent
            .retain(|incarnation| incarnations.contains(incarnation));
        self.fence_attempts
            .retain(|incarnation, _| incarnations.contains(incarnation));
        let is_due = |incarnation: &AgentIncarnation| match self.fence_attempts.get(incarnation) {
            Some(retry_at) => retry_at.is_some_and(|retry_at| retry_at <= now),
            None => !self.fenced.contains(incarnation),
        };
        let in_flight = self
            .fence_attempts
            .values()
            .filter(|it| it.is_none())
            .count();
        let due = incarnations.into_iter().filter(is_due);
        let due: Vec<AgentIncarnation> = due
            .take(MAX_CONCURRENT_FENCES.saturating_sub(in_flight))
            .collect();
        for incarnation in &due {
            self.fence_attempts.insert(incarnation.clone(), None);
        }
        due
    }

    pub(crate) fn record_fence_outcome(
        &mut self,
        now: ClockMs,
        incarnation: AgentIncarnation,
        end: FenceOutcome,
    ) {
        self.absent.swap_remove(&incarnation);
        match end {
            FenceOutcome::Absent => {
                self.fence_attempts
                    .insert(incarnation.clone(), Some(now + FENCE_RETRY_MS));
                self.absent.insert(incarnation);
            }
            FenceOutcome::Fenced(reply) => {
                self.fence_attempts.swap_remove(&incarnation);
                if let Some(order) = reply.under_way {
                    self.planner
                        .record_in_flight(now, incarnation.agent.clone(), order);
                }
                self.fenced.insert(incarnation);
            }
            FenceOutcome::Silent => {
                log_event!(warn, events::AGENT_NOT_FENCED, agent = incarnation.agent);
                self.fence_attempts
                    .insert(incarnation, Some(now + FENCE_RETRY_MS));
            }
        }
    }

    pub(crate) fn record_end(&mut self, now: ClockMs, ended: PlannedOrder, end: OrderEnd) {
        log_event!(
            info,
            events::ORDER_ENDED,
            agent = ended.agent,
            order = format!("{:?}", ended.order),
            end = format!("{end:?}")
        );
        self.planner.record_end(now, ended, end);
    }

    /// The orders to send now.
    pub(crate) fn plan(
        &mut self,
        now: ClockMs,
        catalogue: &Catalogue,
        view: &MembershipView,
    ) -> Vec<PlannedOrder> {
        if !self.is_ready(now, view) {
            return Vec::new();
        }
        if !self.is_begun {
            self.is_begun = true;
            let (term, engines) = (self.term, self.fenced.len());
            log_event!(info, events::ORDERS_BEGUN, term = term, engines = engines);
        }
        let engines: Vec<ObservedEngine> = engine_members(view)
            .map(|(member, loaded)| ObservedEngine {
                agent: member.node.clone(),
                is_leaving: member.state == MemberState::Leaving,
                loaded: loaded.to_vec(),
                takes_orders: member.takes_work(now)
                    && self.fenced.contains(&incarnation_of(member)),
                zone: member.zone.clone(),
            })
            .collect();
        self.planner.step(now, catalogue, &engines)
    }

    /// Whether orders may be sent: until every reachable agent is fenced, an order of a former
    /// leader may be in flight at an agent that was not asked. After the timeout of an order none
    /// can be.
    fn is_ready(&self, now: ClockMs, view: &MembershipView) -> bool {
        let age_ms = now.since(self.started_at);
        let mut members = engine_members(view);
        let is_settled = |(member, _): (&Member, _)| {
            let incarnation = incarnation_of(member);
            self.fenced.contains(&incarnation) || self.absent.contains(&incarnation)
        };
        let are_fenced = age_ms >= MIN_SETTLE_MS && members.all(is_settled);
        self.is_begun || are_fenced || age_ms >= self.limits.order_timeout_ms
    }
}

fn incarnation_of(member: &Member) -> AgentIncarnation {
    AgentIncarnation {
        address: member.address,
        agent: member.node.clone(),
        incarnation: member.incarnation,
    }
}

fn engine_members(
    view: &MembershipView,
) -> impl Iterator<Item = (&Member, &[masticsill_types::ModelTarget])> {
    view.agents()
        .filter_map(|member| match &member.endpoint()?.kind {
            EndpointKind::Engine { loaded, .. } => Some((member, loaded.as_slice())),
            EndpointKind::PlainService { .. } => None,
        })
}
