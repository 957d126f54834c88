//! Passes the events of a link on to the sessions.

use std::rc::Rc;

use masticsill_types::{GenerationId, Incarnation, Lineage, NodeId};
use masticsill_wire::agent::{PullReply, StartReply};

use crate::link::LinkOwner;
use crate::sessions_duty::Sessions;

/// The owner of the link to one incarnation of an agent. Reachability and load are passed on only
/// while this incarnation is the current one, because a link may briefly outlive its incarnation.
#[derive(Debug)]
pub(crate) struct LinkReporter {
    pub(crate) incarnation: Incarnation,
    pub(crate) sessions: Rc<Sessions>,
}

impl LinkReporter {
    fn is_current(&self, agent: &NodeId) -> bool {
        self.sessions.current_incarnation(agent) == Some(self.incarnation)
    }
}

impl LinkOwner for LinkReporter {
    fn on_start_lost(&self, agent: &NodeId, id: GenerationId, lineage: Lineage) {
        self.sessions
            .with_table(|table, now| table.start_reply_lost(now, agent, id, lineage));
    }

    fn on_started(&self, agent: &NodeId, id: GenerationId, lineage: Lineage, reply: StartReply) {
        self.sessions
            .with_table(|table, now| table.start_replied(now, agent, id, lineage, &reply));
    }

    fn on_pulled(&self, agent: &NodeId, reply: PullReply) {
        let is_current = self.is_current(agent);
        self.sessions.with_table(|table, now| {
            if is_current {
                table.record_load(now, agent, reply.load);
            }
            for progress in reply.progress {
                table.progress(now, agent, progress);
            }
        });
    }

    fn on_lost(&self, agent: &NodeId) {
        if self.is_current(agent) {
            self.sessions
                .with_table(|table, now| table.agent_lost(now, agent));
        }
    }

    fn on_reached(&self, agent: &NodeId) {
        if self.is_current(agent) {
            self.sessions
                .with_table(|table, _| table.agent_reachable(agent));
        }
    }
}
