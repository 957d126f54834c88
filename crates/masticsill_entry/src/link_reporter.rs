//! What an agent's link tells the sessions.

use std::rc::Rc;

use masticsill_types::{GenerationId, Incarnation, Lineage, NodeId};
use masticsill_wire::agent::{PullReply, StartReply};

use crate::link::LinkOwner;
use crate::sessions_duty::Sessions;

/// Reports of a link to one life of an agent. What it says of reach and load counts only while
/// that life is the current one: a link may outlive it for a moment.
#[derive(Debug)]
pub(crate) struct LinkReporter {
    pub(crate) incarnation: Incarnation,
    pub(crate) sessions: Rc<Sessions>,
}

impl LinkReporter {
    fn is_current(&self, agent: &NodeId) -> bool {
        self.sessions.agent_life(agent) == Some(self.incarnation)
    }
}

impl LinkOwner for LinkReporter {
    fn on_start_lost(&self, agent: &NodeId, id: GenerationId, lineage: Lineage) {
        self.sessions
            .with_book(|book, now| book.start_reply_lost(now, agent, id, lineage));
    }

    fn on_started(&self, agent: &NodeId, id: GenerationId, lineage: Lineage, reply: StartReply) {
        self.sessions
            .with_book(|book, now| book.start_replied(now, agent, id, lineage, &reply));
    }

    fn on_pulled(&self, agent: &NodeId, reply: PullReply) {
        let is_current = self.is_current(agent);
        self.sessions.with_book(|book, now| {
            if is_current {
                book.record_load(now, agent, reply.load);
            }
            for news in reply.progress {
                book.progress(now, agent, news);
            }
        });
    }

    fn on_lost(&self, agent: &NodeId) {
        if self.is_current(agent) {
            self.sessions
                .with_book(|book, now| book.agent_lost(now, agent));
        }
    }

    fn on_reached(&self, agent: &NodeId) {
        if self.is_current(agent) {
            self.sessions
                .with_book(|book, _| book.agent_reachable(agent));
        }
    }
}
