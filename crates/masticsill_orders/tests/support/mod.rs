//! Builders of catalogues and engines, and a simulated cluster that executes orders.

use masticsill_catalogue::{
    BackEnd, Catalogue, CatalogueEntry, CatalogueSnapshot, CatalogueUpdate, Limits, Placement,
    VersionedEntry,
};
use masticsill_orders::{ObservedEngine, PlannedOrder};
use masticsill_types::{
    CatalogueVersion, Class, EntryId, ModelId, ModelTarget, NodeId, VersionId, WorkspaceId, ZoneId,
};
use masticsill_wire::engine::EngineOrder;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

const ZONES: [&str; 3] = ["a", "b", "c"];

pub(crate) fn node(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

pub(crate) fn target(model: &str, version: &str) -> ModelTarget {
    ModelTarget {
        adapter: None,
        model: ModelId::new(model).unwrap(),
        version: VersionId::new(version).unwrap(),
    }
}

pub(crate) fn engine(name: &str, zone: &str, loaded: &[(&str, &str)]) -> ObservedEngine {
    ObservedEngine {
        agent: node(name),
        is_leaving: false,
        loaded: loaded
            .iter()
            .map(|(model, version)| target(model, version))
            .collect(),
        takes_orders: true,
        zone: ZoneId::new(zone).unwrap(),
    }
}

pub(crate) fn entry(model: &str, version: &str, replicas: u32, zones: &[&str]) -> CatalogueEntry {
    CatalogueEntry {
        back_end: BackEnd::Engine {
            target: target(model, version),
        },
        class: Class::PatientDraft,
        id: EntryId::new(model).unwrap(),
        limits: Limits::default(),
        owner: WorkspaceId::new("owner").unwrap(),
        placement: Placement {
            replicas,
            roles: Vec::new(),
            zones: zones
                .iter()
                .map(|zone| ZoneId::new(*zone).unwrap())
                .collect(),
        },
    }
}

pub(crate) fn catalogue(entries: &[CatalogueEntry]) -> Catalogue {
    let version = CatalogueVersion(entries.len() as u64);
    let held = |entry: &CatalogueEntry| VersionedEntry {
        entry: entry.clone(),
        version,
    };
    let mut catalogue = Catalogue::default();
    catalogue.apply(CatalogueUpdate::Snapshot(CatalogueSnapshot {
        entries: entries.iter().map(held).collect(),
        version,
    }));
    catalogue
}

/// Engines with their actual and their last announced state, and the entries in force.
pub(crate) struct Cluster {
    engines: Vec<ObservedEngine>,
    entries: Vec<CatalogueEntry>,
    announced: Vec<ObservedEngine>,
}

impl Cluster {
    pub(crate) fn random(random: &mut ChaCha8Rng) -> Self {
        let engines = (0..random.random_range(2..8)).map(|number| {
            let zone = ZONES[random.random_range(0..ZONES.len())];
            engine(&format!("engine-{number}"), zone, &[])
        });
        let engines: Vec<ObservedEngine> = engines.collect();
        let entries = (0..random.random_range(1..4)).map(|number| {
            let replicas = random.random_range(1..=3);
            entry(&format!("model-{number}"), "v1", replicas, &[])
        });
        Self {
            entries: entries.collect(),
            announced: engines.clone(),
            engines,
        }
    }

    /// Changes the version and replicas of an entry, or clears an engine as a restart does.
    pub(crate) fn change(&mut self, random: &mut ChaCha8Rng) {
        if random.random() {
            let position = random.random_range(0..self.entries.len());
            let previous = &self.entries[position];
            let version = format!("v{}", random.random_range(1..4));
            let replicas = random.random_range(1..=3);
            self.entries[position] = entry(previous.id.as_str(), &version, replicas, &[]);
        } else {
            let position = random.random_range(0..self.engines.len());
            self.engines[position].loaded.clear();
        }
    }

    pub(crate) fn catalogue(&self) -> Catalogue {
        catalogue(&self.entries)
    }

    /// The announced state of the engines; one call in ten updates it to the actual state first.
    pub(crate) fn announced(&mut self, random: &mut ChaCha8Rng) -> Vec<ObservedEngine> {
        if random.random_ratio(1, 10) {
            self.announced.clone_from(&self.engines);
        }
        self.announced.clone()
    }

    pub(crate) fn has(&self, agent: &NodeId, target: &ModelTarget) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.agent == *agent && engine.loaded.contains(target))
    }

    pub(crate) fn references(&self, target: &ModelTarget) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.back_end.target() == Some(target))
    }

    pub(crate) fn execute(&mut self, planned: &PlannedOrder) {
        let mut engines = self.engines.iter_mut();
        let engine = engines
            .find(|engine| engine.agent == planned.agent)
            .unwrap();
        match &planned.order {
            EngineOrder::Load(target) => engine.loaded.push(target.clone()),
            EngineOrder::Unload(target) => engine.loaded.retain(|loaded| loaded != target),
        }
    }

    /// Asserts that every entry has its replicas, as far as there are engines, and that nothing
    /// else is loaded.
    pub(crate) fn check_converged(&self, seed: u64) {
        for entry in &self.entries {
            let target = entry.back_end.target().unwrap();
            let holders = self
                .engines
                .iter()
                .filter(|engine| engine.loaded.contains(target));
            let wanted = (entry.placement.replicas as usize).min(self.engines.len());
            assert!(
                holders.count() >= wanted,
                "seed {seed}: too few replicas of {target:?}"
            );
        }
        for loaded in self.engines.iter().flat_map(|engine| &engine.loaded) {
            assert!(
                self.references(loaded),
                "seed {seed}: {loaded:?} was not unloaded"
            );
        }
    }
}
