//! One term of giving orders.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::Catalogue;
use masticsill_membership::{Member, MemberState};
use masticsill_mesh::MembershipView;
use masticsill_orders::{LoadPlanner, ObservedEngine, OrderEnd, PlanLimits, PlannedOrder};
use masticsill_types::{ClockMs, EndpointKind, Incarnation, NodeId, Term, log_event};

use super::calls::FenceEnd;
use crate::events;

/// How long a new leader waits at least, for its view of the members to become whole.
const SETTLE_MS: u64 = 1_000;
const FENCE_RETRY_MS: u64 = 500;
/// A new leader must not open a connection to every agent at the same moment.
const FENCES_AT_ONCE: usize = 128;

/// One life of an agent, and where it listens.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct AgentIncarnation {
    pub(crate) address: SocketAddr,
    pub(crate) agent: NodeId,
    pub(crate) incarnation: Incarnation,
}

/// What the leader of one term knows of its orders.
#[derive(Debug)]
pub(crate) struct Session {
    /// Nobody listened there when it was asked last; asked again, as it may be a short cut.
    absent: IndexSet<AgentIncarnation>,
    /// Being asked, or not to be asked again before then.
    asked: IndexMap<AgentIncarnation, Option<ClockMs>>,
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
            asked: IndexMap::new(),
            fenced: IndexSet::new(),
            is_begun: false,
            limits,
            planner: LoadPlanner::new(now, limits, seed),
            started_at: now,
            term,
        }
    }

    /// Agents that are to be fenced now; each counts as asked.
    pub(crate) fn take_unfenced(
        &mut self,
        now: ClockMs,
        view: &MembershipView,
    ) -> Vec<AgentIncarnation> {
        let lives: IndexSet<AgentIncarnation> = engine_members(view).map(|it| life(it.0)).collect();
        self.fenced.retain(|life| lives.contains(life));
        self.absent.retain(|life| lives.contains(life));
        self.asked.retain(|life, _| lives.contains(life));
        let is_due = |life: &AgentIncarnation| match self.asked.get(life) {
            Some(retry_at) => retry_at.is_some_and(|retry_at| retry_at <= now),
            None => !self.fenced.contains(life),
        };
        let being_asked = self.asked.values().filter(|it| it.is_none()).count();
        let due = lives.into_iter().filter(is_due);
        let due: Vec<AgentIncarnation> = due
            .take(FENCES_AT_ONCE.saturating_sub(being_asked))
            .collect();
        for life in &due {
            self.asked.insert(life.clone(), None);
        }
        due
    }

    pub(crate) fn note_fence(&mut self, now: ClockMs, life: AgentIncarnation, end: FenceEnd) {
        self.absent.swap_remove(&life);
        match end {
            FenceEnd::Absent => {
                self.asked.insert(life.clone(), Some(now + FENCE_RETRY_MS));
                self.absent.insert(life);
            }
            FenceEnd::Fenced(reply) => {
                self.asked.swap_remove(&life);
                if let Some(order) = reply.under_way {
                    self.planner
                        .record_in_flight(now, life.agent.clone(), order);
                }
                self.fenced.insert(life);
            }
            FenceEnd::Silent => {
                log_event!(warn, events::AGENT_NOT_FENCED, agent = life.agent);
                self.asked.insert(life, Some(now + FENCE_RETRY_MS));
            }
        }
    }

    pub(crate) fn note_end(&mut self, now: ClockMs, ended: PlannedOrder, end: OrderEnd) {
        log_event!(
            info,
            events::ORDER_ENDED,
            agent = ended.agent,
            order = format!("{:?}", ended.order),
            end = format!("{end:?}")
        );
        self.planner.record_end(now, ended, end);
    }

    /// The orders to give now.
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
                takes_orders: member.takes_work(now) && self.fenced.contains(&life(member)),
                zone: member.zone.clone(),
            })
            .collect();
        self.planner.step(now, catalogue, &engines)
    }

    /// Until every agent that is there is fenced, a predecessor's order may be under way where nobody looked.
    fn is_ready(&self, now: ClockMs, view: &MembershipView) -> bool {
        let age_ms = now.since(self.started_at);
        let mut members = engine_members(view);
        let is_settled = |(member, _): (&Member, _)| {
            let life = life(member);
            self.fenced.contains(&life) || self.absent.contains(&life)
        };
        let are_fenced = age_ms >= SETTLE_MS && members.all(is_settled);
        self.is_begun || are_fenced || age_ms >= self.limits.order_timeout_ms
    }
}

fn life(member: &Member) -> AgentIncarnation {
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
