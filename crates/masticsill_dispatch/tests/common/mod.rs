//! An entry with its dispatcher, and engines that it knows.

#![allow(dead_code, reason = "each test file uses a part")]

use assert_matches::assert_matches;
use masticsill_dispatch::{
    Decision, DispatchContext, Dispatcher, EndpointTable, EntryPosition, Requirements, Terms,
    Ticket, WaitOutcome, Work, ZoneShare,
};
use masticsill_registry::{Announcement, EndpointId, EndpointRecord, EndpointState};
use masticsill_types::{ClockMs, NodeId, Priority, ZoneId};

pub(crate) const NOW: ClockMs = ClockMs(100_000);
pub(crate) const SERVICE: &str = "engines";

pub(crate) fn id(name: &str) -> EndpointId {
    EndpointId::with_unknown_incarnation(name)
}

pub(crate) fn zone() -> ZoneId {
    ZoneId::new("a").unwrap()
}

pub(crate) fn table(names: &[&str]) -> EndpointTable {
    let records: Vec<EndpointRecord> = (8_000..)
        .zip(names)
        .map(|(port, name)| EndpointRecord {
            announcement: Announcement {
                address: ([10, 0, 0, 1], port).into(),
                cold_left_ms: 0,
                id: id(name),
                keeps_prompts: true,
                sequence: 1,
                service: SERVICE.to_owned(),
                slots: 64,
                state: EndpointState::Ready,
                version: String::new(),
                zone: zone(),
            },
            is_silent: false,
        })
        .collect();
    let mut table = EndpointTable::default();
    table.merge(&NodeId::new("c").unwrap(), &records);
    table
}

pub(crate) fn requirements() -> Requirements {
    Requirements {
        excluded: Vec::new(),
        cached: Vec::new(),
        reserved_endpoint: None,
        service: SERVICE.to_owned(),
        work: Work::Stream {
            kv_cache_tokens: Some(88_000),
            prompt_tokens: 8_000,
            tokens: 8_650,
        },
    }
}

pub(crate) fn terms(workspace: &str) -> Terms {
    Terms {
        target_latency_ms: 4_500,
        answer_due_at: NOW + 4_500,
        caller_leaves_at: NOW + 25_000,
        deadline_at: NOW + 25_000,
        is_returning: false,
        is_resume: false,
        priority: Priority::default(),
        workspace: Some(workspace.to_owned()),
    }
}

/// Dispatcher and endpoints of a single entry.
pub(crate) struct Entry {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) node: NodeId,
    pub(crate) table: EndpointTable,
    pub(crate) zone: ZoneId,
}

impl Entry {
    pub(crate) fn new(names: &[&str]) -> Self {
        Self {
            dispatcher: Dispatcher::default(),
            node: NodeId::new("entry").unwrap(),
            table: table(names),
            zone: zone(),
        }
    }

    /// Creates an entry whose engines have each read a prompt in 1.2 s and are reading another one.
    pub(crate) fn busy(names: &[&str]) -> Self {
        let mut entry = Self::new(names);
        for name in names {
            let endpoint = entry.table.get_mut(&id(name)).unwrap();
            endpoint.reading_pace.note(8_000, 1_200);
            assert_matches!(
                entry.submit(NOW, &requirements(), &terms("w")),
                Decision::Send(_)
            );
            entry.begin(name);
        }
        entry
    }

    pub(crate) fn begin(&mut self, name: &str) {
        let endpoint = self.table.get_mut(&id(name)).unwrap();
        endpoint.begin_reading();
        endpoint.in_flight += 1;
        endpoint.held_tokens += 8_650;
    }

    pub(crate) fn first_event(&mut self, now: ClockMs, name: &str) {
        self.table.get_mut(&id(name)).unwrap().end_reading(now);
    }

    pub(crate) fn submit(
        &mut self,
        now: ClockMs,
        requirements: &Requirements,
        terms: &Terms,
    ) -> Decision {
        let context = context(&self.node, &self.zone);
        self.dispatcher
            .submit(now, &self.table, requirements, terms, &context, || 0.0)
    }

    pub(crate) fn submit_queued(&mut self, now: ClockMs, terms: &Terms) -> Ticket {
        let decision = self.submit(now, &requirements(), terms);
        let Decision::Wait(ticket) = decision else {
            panic!("{decision:?}");
        };
        ticket
    }

    pub(crate) fn next(&mut self, now: ClockMs) -> Option<WaitOutcome> {
        let context = context(&self.node, &self.zone);
        self.dispatcher.next(now, &self.table, &context, || 0.0)
    }
}

pub(crate) fn context<'a>(node: &'a NodeId, zone: &'a ZoneId) -> DispatchContext<'a> {
    DispatchContext {
        closed: &[],
        entry: EntryPosition {
            are_engines_granted: false,
            entries: 1,
            node,
            share: ZoneShare::default(),
            zone,
        },
    }
}
