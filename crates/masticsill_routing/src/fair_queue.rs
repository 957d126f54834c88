//! A fair queue among workspaces for the requests of one class for one target.
//!
//! Start-time fair queueing: each workspace is a flow with a tag, which is raised by the cost of
//! each request that it starts. The flow with the lowest tag is served first. A flow that was idle
//! starts at the virtual time, the tag of the flow served last, so that it earns no credit while
//! idle. A workspace may queue another request only while it has fewer requests queued than there
//! are free places, so a large one never fills the queue alone.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, GenerationId, WorkspaceId};

use crate::request::WorkRequest;

/// The result of trying to start a queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StartAttempt<T> {
    /// The request starts; the value says where.
    Started(T),
    /// The request can't start now, but others in the queue may.
    Skipped,
    /// No request in this queue can start now.
    Stopped,
}

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) expires_at: ClockMs,
    pub(crate) request: WorkRequest,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    cost: u64,
    tag: u64,
    waiting: VecDeque<Waiting>,
}

/// The work ahead of a new request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkAhead {
    /// Estimated cost that is served before it.
    pub(crate) cost: u64,
    /// Whether its workspace may queue another request.
    pub(crate) has_room: bool,
}

/// The queued requests of one class for one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    cost: u64,
    flows: IndexMap<WorkspaceId, Flow>,
    length: usize,
    next_expiry: Option<ClockMs>,
    virtual_time: u64,
}

impl FairQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Estimates the work ahead of a new request: all queued requests of its workspace, and of each
    /// other workspace at most as much as this one's, since both are served at the same rate.
    pub(crate) fn ahead(&self, request: &WorkRequest, capacity: usize) -> WorkAhead {
        let flow = self.flows.get(&request.workspace);
        let own_length = flow.map_or(0, |flow| flow.waiting.len());
        let own_cost = flow.map_or(0, |flow| flow.cost);
        let share = own_cost + request.cost();
        let others = self
            .flows
            .iter()
            .filter(|(name, _)| **name != request.workspace);
        let others_cost: u64 = others.map(|(_, flow)| flow.cost.min(share)).sum();
        let room = capacity.saturating_sub(self.length);
        WorkAhead {
            cost: own_cost + others_cost,
            has_room: own_length < room,
        }
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        let cost = waiting.request.cost();
        let virtual_time = self.virtual_time;
        let workspace = waiting.request.workspace.clone();
        let flow = self.flows.entry(workspace).or_default();
        if flow.waiting.is_empty() {
            flow.tag = flow.tag.max(virtual_time);
        }
        flow.cost += cost;
        self.cost += cost;
        self.length += 1;
        let expires_at = waiting.expires_at;
        self.next_expiry = Some(
            self.next_expiry
                .map_or(expires_at, |next| next.min(expires_at)),
        );
        flow.waiting.push_back(waiting);
    }

    /// Tries the first request of each flow in the order of service. Removes and returns the first
    /// one that `try_start` starts, with the value that it returned.
    pub(crate) fn start_next<T>(
        &mut self,
        mut try_start: impl FnMut(&WorkRequest) -> StartAttempt<T>,
    ) -> Option<(WorkRequest, T)> {
        let first = self.first_flow()?;
        match try_start(self.head(first)) {
            StartAttempt::Started(started) => return Some((self.take_head(first), started)),
            StartAttempt::Stopped => return None,
            StartAttempt::Skipped => {}
        }
        for index in self.flows_in_order().into_iter().skip(1) {
            match try_start(self.head(index)) {
                StartAttempt::Started(started) => return Some((self.take_head(index), started)),
                StartAttempt::Stopped => return None,
                StartAttempt::Skipped => {}
            }
        }
        None
    }

    /// Tags and indices of the flows with queued requests.
    fn backlogged_flows(&self) -> impl Iterator<Item = (u64, usize)> {
        let flows = self.flows.values().enumerate();
        let busy = flows.filter(|(_, flow)| !flow.waiting.is_empty());
        busy.map(|(index, flow)| (flow.tag, index))
    }

    fn first_flow(&self) -> Option<usize> {
        self.backlogged_flows().min().map(|(_, index)| index)
    }

    fn flows_in_order(&self) -> Vec<usize> {
        let mut flows: Vec<(u64, usize)> = self.backlogged_flows().collect();
        flows.sort_unstable();
        flows.into_iter().map(|(_, index)| index).collect()
    }

    fn head(&self, index: usize) -> &WorkRequest {
        let head = self.flows[index].waiting.front();
        &head
            .expect("only flows with queued requests are listed")
            .request
    }

    fn take_head(&mut self, index: usize) -> WorkRequest {
        let flow = &mut self.flows[index];
        let waiting = flow
            .waiting
            .pop_front()
            .expect("only flows with queued requests are listed");
        let cost = waiting.request.cost();
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag += cost;
        flow.cost -= cost;
        self.cost -= cost;
        self.length -= 1;
        self.evict_idle_flows();
        waiting.request
    }

    /// Removes a request that its caller cancelled. Returns whether it was queued.
    pub(crate) fn withdraw(&mut self, workspace: &WorkspaceId, id: GenerationId) -> bool {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return false;
        };
        let mut waiting = flow.waiting.iter();
        let Some(position) = waiting.position(|waiting| waiting.request.id == id) else {
            return false;
        };
        let removed = flow
            .waiting
            .remove(position)
            .expect("the position was just found");
        let cost = removed.request.cost();
        flow.cost -= cost;
        self.cost -= cost;
        self.length -= 1;
        true
    }

    /// Removes and returns one request whose queueing time is over.
    pub(crate) fn expire_next(&mut self, now: ClockMs) -> Option<WorkRequest> {
        if self.next_expiry.is_none_or(|next| next > now) {
            return None;
        }
        let all = self.flows.values().flat_map(|flow| &flow.waiting);
        let Some(due) = all.clone().find(|waiting| waiting.expires_at <= now) else {
            self.next_expiry = all.map(|waiting| waiting.expires_at).min();
            return None;
        };
        let request = due.request.clone();
        self.withdraw(&request.workspace, request.id);
        Some(request)
    }

    /// Once many flows are idle, evicts those whose tag isn't above the virtual time: a new flow
    /// would start at the same tag.
    fn evict_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        let is_kept = |flow: &Flow| !flow.waiting.is_empty() || flow.tag > virtual_time;
        if self.flows.len() > 2 * self.length + 64 {
            self.flows.retain(|_, flow| is_kept(flow));
        }
    }
}
