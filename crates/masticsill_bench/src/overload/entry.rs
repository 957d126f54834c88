//! An entry of the model, and the endpoints that it knows.

use indexmap::IndexMap;
use masticsill_dispatch::{CallerPatience, Dispatcher, EndpointTable, Ticket, Turns, ZoneShare};
use masticsill_registry::{Announcement, EndpointId, EndpointRecord, EndpointState, Watcher};
use masticsill_types::{NodeId, ZoneId};

use super::plan::OverloadPlan;

pub(super) const SERVICE: &str = "engines";
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];

/// One entry.
pub(super) struct Entry {
    pub(super) dispatcher: Dispatcher,
    pub(super) node: NodeId,
    pub(super) patience: CallerPatience,
    pub(super) share: ZoneShare,
    pub(super) table: EndpointTable,
    pub(super) waiting: IndexMap<Ticket, usize>,
    pub(super) zone: ZoneId,
}

impl Entry {
    /// The entry of a number, which knows every engine.
    pub(super) fn new(plan: &OverloadPlan, entry: usize) -> Self {
        let node = NodeId::new(format!("entry-{entry}")).expect("the name is allowed");
        let mut table = EndpointTable::default();
        let records: Vec<EndpointRecord> = (0..plan.engines).map(record).collect();
        table.merge(&node, &records);
        let place = entry / ZONES.len();
        let entries = (plan.entries + ZONES.len() - 1 - entry % ZONES.len()) / ZONES.len();
        Self {
            dispatcher: Dispatcher::default(),
            node,
            patience: CallerPatience::default(),
            share: ZoneShare { entries, place },
            table,
            waiting: IndexMap::new(),
            zone: engine_zone(entry),
        }
    }
}

impl Entry {
    /// The entry as control replicas know it.
    pub(super) fn watcher(&self) -> Watcher {
        Watcher::Entry {
            node: self.node.clone(),
            zone: self.zone.clone(),
        }
    }
}

/// Where an entry stands among all.
pub(super) fn turns<'a>(
    node: &'a NodeId,
    share: ZoneShare,
    zone: &'a ZoneId,
    entries: usize,
) -> Turns<'a> {
    Turns {
        entries: u32::try_from(entries).unwrap_or(u32::MAX),
        node,
        share,
        zone,
    }
}

pub(super) fn engine_id(engine: usize) -> EndpointId {
    EndpointId::unnamed_life(format!("engine-{engine:03}"))
}

fn engine_zone(engine: usize) -> ZoneId {
    let zone = ZONES[engine % ZONES.len()];
    ZoneId::new(zone).expect("the name holds letters only")
}

fn record(engine: usize) -> EndpointRecord {
    let [.., net, host] = u32::try_from(engine).unwrap_or_default().to_be_bytes();
    EndpointRecord {
        announcement: Announcement {
            address: ([10, 0, net, host], 8_000).into(),
            cold_left_ms: 0,
            id: engine_id(engine),
            keeps_prompts: false,
            sequence: 1,
            service: SERVICE.to_owned(),
            slots: 64,
            state: EndpointState::Ready,
            zone: engine_zone(engine),
        },
        is_silent: false,
    }
}
