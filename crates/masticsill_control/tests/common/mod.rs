//! A cluster of control replicas within the test's process.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::{Change, ChangeAnswer, ChangeContent, EntryJson, OperatorScope};
use masticsill_control::{
    AddressBook, ControlClient, ControlConfig, ControlRole, OperatorConfig, TokenHash,
};
use masticsill_quorum::ReplicaSettings;
use masticsill_runtime::Metrics;
use masticsill_types::{CatalogueVersion, MonotonicClock, NodeId};
use masticsill_wire::control::ChangeRequest;
use tempfile::TempDir;

/// Patience of every wait; no verdict depends on it unless the condition never comes.
const PATIENCE: Duration = Duration::from_secs(30);
pub const BOUND_MS: u64 = 20_000;

pub struct Cluster {
    pub clock: MonotonicClock,
    configs: IndexMap<NodeId, ControlConfig>,
    folders: TempDir,
    pub roles: IndexMap<NodeId, ControlRole>,
}

pub fn node(number: usize) -> NodeId {
    format!("control-{number}").parse().unwrap()
}

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn await_until(what: &str, mut condition: impl FnMut() -> bool) {
    let bound = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < bound, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Cluster {
    pub fn start(count: usize) -> Self {
        let mut cluster = Self {
            clock: MonotonicClock::start(),
            configs: IndexMap::new(),
            folders: TempDir::new().unwrap(),
            roles: IndexMap::new(),
        };
        let founders: Vec<NodeId> = (1..=count).map(node).collect();
        for number in 1..=count {
            cluster.start_new(number, &founders);
        }
        cluster.leader();
        cluster
    }

    /// Starts a replica that has no folder yet; it knows those that were started before it.
    pub fn start_new(&mut self, number: usize, founders: &[NodeId]) {
        let peers = self.roles.iter();
        let peers = peers.map(|(name, role)| (name.clone(), role.rpc_address()));
        let config = ControlConfig {
            advertised_rpc_address: None,
            cluster: "test".to_owned(),
            data_folder: self.folders.path().join(format!("folder-{number}")),
            founders: founders.to_vec(),
            http_address: local(),
            node: node(number),
            operators: operators(),
            peers: peers.collect(),
            replica: ReplicaSettings::default(),
            rpc_address: local(),
        };
        let role = self.run(&config);
        let config = ControlConfig {
            http_address: role.http_address(),
            rpc_address: role.rpc_address(),
            ..config
        };
        self.configs.insert(config.node.clone(), config);
        self.roles.insert(node(number), role);
    }

    fn run(&self, config: &ControlConfig) -> ControlRole {
        ControlRole::start(config, self.clock, Metrics::disabled()).unwrap()
    }

    /// Starts a replica again at its old addresses, knowing every other.
    pub fn restart(&mut self, number: usize) {
        let peers = self.configs.values();
        let peers = peers.map(|config| (config.node.clone(), config.rpc_address));
        let config = ControlConfig {
            peers: peers.collect(),
            ..self.configs[&node(number)].clone()
        };
        let role = self.run(&config);
        self.roles.insert(node(number), role);
    }

    /// Ends a replica without a handover.
    pub fn abort(&mut self, name: &NodeId) {
        self.roles.swap_remove(name).unwrap().abort().unwrap();
    }

    /// Ends a replica gracefully.
    pub fn stop(&mut self, name: &NodeId) {
        self.roles.swap_remove(name).unwrap().stop().unwrap();
    }

    pub fn lose_folder(&self, number: usize) {
        std::fs::remove_dir_all(&self.configs[&node(number)].data_folder).unwrap();
    }

    /// Waits for a leader.
    pub fn leader(&self) -> NodeId {
        let leading = || self.roles.iter().find(|(_, role)| role.is_leading());
        await_until("a leader", || leading().is_some());
        leading().map_or_else(|| self.leader(), |(name, _)| name.clone())
    }

    pub fn client(&self) -> ControlClient {
        let addresses = self.configs.values().map(|config| config.rpc_address);
        ControlClient::new(AddressBook::from_seeds(addresses))
    }

    pub fn rpc_address(&self, number: usize) -> SocketAddr {
        self.configs[&node(number)].rpc_address
    }

    pub fn http_address(&self, number: usize) -> SocketAddr {
        self.configs[&node(number)].http_address
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, role) in self.roles.drain(..) {
            let _ = role.abort();
        }
    }
}

/// An operator of everything with token `all`, and one of `fliesenwerk` with token `one`.
fn operators() -> Vec<OperatorConfig> {
    let own = IndexSet::from(["fliesenwerk".parse().unwrap()]);
    let operator = |name: &str, token, scope| OperatorConfig {
        operator: name.parse().unwrap(),
        scope,
        token_hash: TokenHash::of_token(token),
    };
    vec![
        operator("anna", "all", OperatorScope::All),
        operator("boris", "one", OperatorScope::Workspaces(own)),
    ]
}

pub fn entry_json(id: &str, owner: &str) -> EntryJson {
    let text = format!(
        r#"{{
            "id": "{id}", "owner": "{owner}", "class": "patient_draft",
            "back_end": {{"kind": "engine", "model": "planner", "version": "v3"}},
            "placement": {{"replicas": 1}}
        }}"#
    );
    serde_json::from_str(&text).unwrap()
}

pub fn put(change_id: &str, entry_id: &str, expected_version: u64) -> ChangeRequest {
    let entry = entry_json(entry_id, "fliesenwerk").try_into().unwrap();
    ChangeRequest {
        change: Change {
            content: ChangeContent::Put(Box::new(entry)),
            entry: entry_id.parse().unwrap(),
            expected_version: CatalogueVersion(expected_version),
            id: change_id.parse().unwrap(),
            operator: "anna".parse().unwrap(),
        },
        scope: OperatorScope::All,
    }
}

pub fn accepted(version: u64) -> ChangeAnswer {
    ChangeAnswer::Accepted {
        version: CatalogueVersion(version),
    }
}

/// Runs a future on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(future)
}
