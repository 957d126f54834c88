//! A cluster of control replicas within the test's process.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::{Change, ChangeAnswer, ChangeContent, EntryJson, OperatorScope};
use masticsill_control::{
    AddressBook, AdmissionPolicy, ControlClient, ControlConfig, ControlHandle, ControlRole,
    FoundingPolicy, OperatorConfig, RolloutConfig, TokenHash,
};
use masticsill_quorum::ReplicaSettings;
use masticsill_registry::RegistryTimeouts;
use masticsill_rollout::RolloutLimits;
use masticsill_runtime::{DutyHandle, Metrics, Ring, ShutdownSignal, listen, spawn_async_duty};
use masticsill_testkit::{Direction, FaultProxy, ProxyMode};
use masticsill_types::{CatalogueVersion, MonotonicClock, NodeId};
use masticsill_wire::control::ChangeRequest;
use prometheus_client::registry::Registry;
use tempfile::TempDir;

/// Timeout of every wait; a test's result depends on it only if the condition is never met.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub const CALL_TIMEOUT_MS: u64 = 20_000;

/// Roll-outs of the service `s`, whatever the document is.
pub const ROLLOUTS: RolloutConfig = RolloutConfig {
    has_service: |_, service| service == "s",
    limits: RolloutLimits {
        expose_share: 0.1,
        expose_slack: 50,
        repeat_ms: 3_000,
        rollback_ms: 5_000,
    },
};

pub struct Cluster {
    pub clock: MonotonicClock,
    folders: TempDir,
    founders: Vec<NodeId>,
    /// Proxies by the numbers of the replicas that they connect, from and to.
    links: IndexMap<(usize, usize), FaultProxy>,
    pub replica_settings: ReplicaSettings,
    replicas: IndexMap<NodeId, Replica>,
}

/// A replica and the listener that accepts its connections.
struct Replica {
    address: SocketAddr,
    listener: DutyHandle,
    listener_stop: ShutdownSignal,
    role: Option<ControlRole>,
}

impl Replica {
    fn end(mut self, end: impl FnOnce(ControlRole) -> std::io::Result<()>) {
        end(self.role.take().unwrap()).unwrap();
        self.listener_stop.request();
        self.listener.join().unwrap();
    }
}

pub fn node(number: usize) -> NodeId {
    format!("control-{number}").parse().unwrap()
}

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn await_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Cluster {
    pub fn start(count: usize) -> Self {
        Self::start_with(count, ReplicaSettings::default())
    }

    pub fn start_with(count: usize, replica_settings: ReplicaSettings) -> Self {
        let mut cluster = Self {
            clock: MonotonicClock::start(),
            folders: TempDir::new().unwrap(),
            founders: (1..=count).map(node).collect(),
            links: IndexMap::new(),
            replica_settings,
            replicas: IndexMap::new(),
        };
        for from in 1..=count {
            for to in (1..=count).filter(|to| *to != from) {
                let link = FaultProxy::start(None).unwrap();
                cluster.links.insert((from, to), link);
            }
        }
        for number in 1..=count {
            cluster.run(number);
        }
        cluster.leader();
        cluster
    }

    /// Starts a replica on its folder, which may be new.
    pub fn run(&mut self, number: usize) {
        let listener = listen(local()).unwrap();
        let address = listener.local_address().unwrap();
        let connections = Ring::with_capacity(64);
        let to_role = connections.clone();
        let listener_stop = ShutdownSignal::default();
        let stop = listener_stop.clone();
        let listener = spawn_async_duty("listener", move || async move {
            let accept = listener.serve(move |_, stream| drop(to_role.push(stream)));
            tokio::select! {
                result = accept => result.unwrap(),
                () = stop.requested() => {}
            }
        })
        .unwrap();
        for ((_, to), link) in &self.links {
            if *to == number {
                link.set_upstream(address);
            }
        }
        let config = self.config(number, address);
        let role = ControlRole::start(
            &config,
            connections,
            self.clock,
            Metrics::disabled(),
            &mut Registry::default(),
        );
        let replica = Replica {
            address,
            listener,
            listener_stop,
            role: Some(role.unwrap()),
        };
        self.replicas.insert(node(number), replica);
    }

    fn config(&self, number: usize, rpc_address: SocketAddr) -> ControlConfig {
        let links = self.links.iter().filter(|((from, _), _)| *from == number);
        let peers = links.map(|((_, to), link)| (node(*to), link.address()));
        ControlConfig {
            admission: AdmissionPolicy::Operators,
            ip_name_port: None,
            endpoints: RegistryTimeouts::default(),
            zone: "a".parse().unwrap(),
            cluster: "test".to_owned(),
            data_folder: self.folder(number),
            founding: FoundingPolicy::Named(self.founders.clone()),
            http_address: local(),
            node: node(number),
            operators: operators(),
            peers: peers.collect(),
            prompt_cache_feed: None,
            replica: self.replica_settings.clone(),
            rollouts: Some(ROLLOUTS),
            rpc_address,
            seeds: Vec::new(),
        }
    }

    pub fn folder(&self, number: usize) -> PathBuf {
        self.folders.path().join(format!("folder-{number}"))
    }

    /// Ends a replica without a handover.
    pub fn abort(&mut self, name: &NodeId) {
        let replica = self.replicas.swap_remove(name).unwrap();
        replica.end(ControlRole::abort);
    }

    /// Ends a replica gracefully.
    pub fn stop(&mut self, name: &NodeId) {
        let replica = self.replicas.swap_remove(name).unwrap();
        replica.end(ControlRole::stop);
    }

    pub fn lose_folder(&self, number: usize) {
        std::fs::remove_dir_all(self.folder(number)).unwrap();
    }

    /// Sets the mode of all links from and to a replica.
    pub fn set_links(&self, name: &NodeId, mode: ProxyMode) {
        for ((from, to), link) in &self.links {
            if node(*from) == *name || node(*to) == *name {
                link.set_mode(mode);
            }
        }
    }

    /// Drops everything that this replica sends, while it still receives from the others.
    pub fn block_outgoing(&self, name: &NodeId) {
        for ((from, to), link) in &self.links {
            if node(*from) == *name {
                link.set_mode(ProxyMode::BlackHole(Some(Direction::ToUpstream)));
            }
            if node(*to) == *name {
                link.set_mode(ProxyMode::BlackHole(Some(Direction::ToClient)));
            }
        }
    }

    pub fn is_leading(&self, name: &NodeId) -> bool {
        let replica = self.replicas.get(name);
        replica.is_some_and(|replica| replica.role.as_ref().unwrap().is_leading())
    }

    /// Addresses of the administration APIs of the running replicas.
    pub fn handle(&self, name: &NodeId) -> ControlHandle {
        self.replicas[name].role.as_ref().unwrap().handle()
    }

    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        let roles = self.replicas.values().map(|replica| replica.role.as_ref());
        roles.map(|role| role.unwrap().http_address()).collect()
    }

    /// Waits for a leader.
    pub fn leader(&self) -> NodeId {
        self.leader_other_than(None)
    }

    pub fn leader_other_than(&self, former: Option<&NodeId>) -> NodeId {
        let is_next = |name: &NodeId| Some(name) != former && self.is_leading(name);
        let mut leader = None;
        await_until("a leader", || {
            leader = self.replicas.keys().find(|name| is_next(name)).cloned();
            leader.is_some()
        });
        leader.unwrap()
    }

    /// A client that knows the address of every running replica.
    pub fn client(&self) -> ControlClient {
        let addresses = self.replicas.values().map(|replica| replica.address);
        ControlClient::new(AddressBook::from_seeds(addresses))
    }

    /// A client that knows the address of one replica only.
    pub fn client_of(&self, name: &NodeId) -> ControlClient {
        ControlClient::new(AddressBook::from_seeds([self.address(name)]))
    }

    pub fn address(&self, name: &NodeId) -> SocketAddr {
        self.replicas[name].address
    }

    pub fn http_address(&self, number: usize) -> SocketAddr {
        let role = self.replicas[&node(number)].role.as_ref();
        role.unwrap().http_address()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, replica) in self.replicas.drain(..) {
            replica.end(ControlRole::abort);
        }
    }
}

/// An operator of all workspaces with token `all`, and one of the workspace `fliesenwerk` with
/// token `one`.
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

/// Repeats the check until it returns `true`.
pub async fn poll(what: &str, mut ask: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !ask().await {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
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
