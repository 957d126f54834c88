//! An entry of a model, with the product's own decisions, and the endpoints that it knows.

use indexmap::IndexMap;
use masticsill_dispatch::{
    Decision, DispatchContext, Dispatcher, EndpointTable, EntryPosition, PriorWaitEstimator,
    QueueHead, Requirements, Terms, Ticket, WaitOutcome, ZoneShare,
};
use masticsill_registry::{Announcement, EndpointId, EndpointRecord, EndpointState, Watcher};
use masticsill_types::{ClockMs, NodeId, Priority, ZoneId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

pub(crate) const SERVICE: &str = "engines";
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// One entry.
pub(crate) struct Entry {
    are_engines_granted: bool,
    dispatcher: Dispatcher,
    /// All entries.
    entries: u32,
    node: NodeId,
    patience: PriorWaitEstimator,
    pub(crate) share: ZoneShare,
    pub(crate) table: EndpointTable,
    /// The requests that wait here.
    pub(crate) waiting: IndexMap<Ticket, usize>,
    pub(crate) zone: ZoneId,
}

impl Entry {
    /// The entry of a number, which knows every endpoint.
    pub(crate) fn new(entry: usize, entries: usize, endpoints: usize) -> Self {
        let node = NodeId::new(format!("entry-{entry}")).expect("the name is allowed");
        let mut table = EndpointTable::default();
        let records: Vec<EndpointRecord> = (0..endpoints).map(record).collect();
        table.merge(&node, &records);
        let near = (entries + ZONES.len() - 1 - entry % ZONES.len()) / ZONES.len();
        Self {
            are_engines_granted: false,
            dispatcher: Dispatcher::default(),
            entries: u32::try_from(entries).unwrap_or(u32::MAX),
            node,
            patience: PriorWaitEstimator::default(),
            share: ZoneShare {
                entries: near,
                rank: entry / ZONES.len(),
            },
            table,
            waiting: IndexMap::new(),
            zone: zone_of(entry),
        }
    }

    /// The same entry; `are_engines_granted` says whether control replicas grant engines to its queue.
    pub(crate) fn granted(mut self, are_engines_granted: bool) -> Self {
        self.are_engines_granted = are_engines_granted;
        self
    }

    /// The queued request that goes first.
    pub(crate) fn head(&self) -> Option<QueueHead> {
        self.dispatcher.heads().pop()
    }

    /// Gives a reserved engine to the queued request that goes first.
    pub(crate) fn grant(&mut self, engine: &EndpointId) {
        self.dispatcher.grant(SERVICE, engine);
    }

    /// The entry as control replicas know it.
    pub(crate) fn watcher(&self) -> Watcher {
        Watcher::Entry {
            node: self.node.clone(),
            zone: self.zone.clone(),
        }
    }

    /// The terms of a caller that asks now and leaves at its deadline.
    pub(crate) fn terms(
        &mut self,
        now: ClockMs,
        aim_ms: u64,
        deadline_at: ClockMs,
        priority: Priority,
        workspace: Option<String>,
    ) -> Terms {
        let given_ms = deadline_at.since(now);
        let had_waited_ms = self.patience.record(now, SERVICE, given_ms);
        Terms {
            target_latency_ms: aim_ms,
            answer_due_at: now.before(had_waited_ms) + aim_ms,
            caller_leaves_at: deadline_at,
            deadline_at,
            is_returning: had_waited_ms > 0,
            is_resume: false,
            priority,
            workspace,
        }
    }

    /// Decides on a request.
    pub(crate) fn ask(
        &mut self,
        now: ClockMs,
        need: &Requirements,
        terms: &Terms,
        random: &mut ChaCha8Rng,
    ) -> Decision {
        let turns = EntryPosition {
            are_engines_granted: self.are_engines_granted,
            ..turns(&self.node, self.share, &self.zone, self.entries)
        };
        let around = DispatchContext {
            closed: &[],
            entry: turns,
        };
        self.dispatcher
            .submit(now, &self.table, need, terms, &around, || random.random())
    }

    /// The next end of a wait.
    pub(crate) fn next_end(
        &mut self,
        now: ClockMs,
        random: &mut ChaCha8Rng,
    ) -> Option<WaitOutcome> {
        let turns = EntryPosition {
            are_engines_granted: self.are_engines_granted,
            ..turns(&self.node, self.share, &self.zone, self.entries)
        };
        let around = DispatchContext {
            closed: &[],
            entry: turns,
        };
        self.dispatcher
            .next(now, &self.table, &around, || random.random())
    }

    /// Takes out a request whose caller has left.
    pub(crate) fn withdraw(&mut self, ticket: Ticket) {
        self.dispatcher.withdraw(ticket);
        self.waiting.swap_remove(&ticket);
    }
}

/// Where an entry stands among all.
fn turns<'a>(
    node: &'a NodeId,
    share: ZoneShare,
    zone: &'a ZoneId,
    entries: u32,
) -> EntryPosition<'a> {
    EntryPosition {
        are_engines_granted: false,
        entries,
        node,
        share,
        zone,
    }
}

pub(crate) fn endpoint_id(endpoint: usize) -> EndpointId {
    EndpointId::with_unknown_incarnation(format!("engine-{endpoint:03}"))
}

/// The zone of an entry's or an endpoint's number.
pub(crate) fn zone_of(number: usize) -> ZoneId {
    let zone = ZONES[number % ZONES.len()];
    ZoneId::new(zone).expect("the name holds letters only")
}

fn record(endpoint: usize) -> EndpointRecord {
    let [.., net, host] = u32::try_from(endpoint).unwrap_or_default().to_be_bytes();
    EndpointRecord {
        announcement: Announcement {
            address: ([10, 0, net, host], 8_000).into(),
            cold_left_ms: 0,
            id: endpoint_id(endpoint),
            keeps_prompts: false,
            sequence: 1,
            service: SERVICE.to_owned(),
            slots: 64,
            state: EndpointState::Ready,
            version: String::new(),
            zone: zone_of(endpoint),
        },
        is_silent: false,
    }
}
