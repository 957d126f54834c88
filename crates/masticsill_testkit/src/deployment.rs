//! A whole system on loopback: real processes, each behind a fault proxy.
//!
//! Every process advertises its proxy's address, so all traffic between processes passes a proxy
//! and can be cut, delayed or held.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use indexmap::IndexMap;
use masticsill_types::ClusterId;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::caller::{Caller, CallerAnswer, CallerError, CallerRequest};
use crate::process::{ProcessUnderTest, wait_until, write_settings};
use crate::proxy::FaultProxy;

/// Patience of every wait; no verdict depends on it unless the condition never comes.
const BOUND_MS: u64 = 30_000;
const LOCAL: &str = "127.0.0.1:0";
/// The bearer token of the deployment's administrator.
pub const OPERATOR_TOKEN: &str = "trial-token";

/// One process and the proxy before its RPC listener.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: ProcessUnderTest,
    /// The proxy that peers connect to.
    pub proxy: FaultProxy,
    /// The process's settings file.
    pub settings: PathBuf,
}

/// A whole system on loopback.
#[derive(Debug)]
pub struct Deployment {
    caller: Caller,
    change_count: u64,
    controls: Vec<String>,
    folder: TempDir,
    is_proxied: bool,
    nodes: IndexMap<String, Node>,
    program: PathBuf,
    seeds: Vec<SocketAddr>,
}

impl Deployment {
    /// A deployment without processes, of the daemon given.
    ///
    /// # Panics
    ///
    /// When no temporary folder or thread can be had.
    #[must_use]
    pub fn new(program: &Path) -> Self {
        Self {
            caller: Caller::start().expect("a thread can be started"),
            change_count: 0,
            controls: Vec::new(),
            folder: TempDir::new().expect("a temporary folder can be made"),
            is_proxied: true,
            nodes: IndexMap::new(),
            program: program.to_owned(),
            seeds: Vec::new(),
        }
    }

    /// The same deployment, whose entries and agents advertise their own addresses, so that no
    /// proxy stands between them. Control replicas stay behind theirs.
    #[must_use]
    pub fn without_proxies(mut self) -> Self {
        self.is_proxied = false;
        self
    }

    /// Starts a control quorum of `count` replicas named `control-0` and so on.
    ///
    /// # Panics
    ///
    /// When a process does not start.
    pub fn start_controls(&mut self, count: usize) {
        let proxies: Vec<FaultProxy> = (0..count).map(|_| start_proxy()).collect();
        self.seeds = proxies.iter().map(FaultProxy::address).collect();
        self.controls = (0..count).map(|index| format!("control-{index}")).collect();
        for (index, proxy) in proxies.into_iter().enumerate() {
            let name = self.controls[index].clone();
            let role = self.control_role(&name);
            let zone = format!("zone-{index}");
            self.start_node(&name, &zone, "control", &role, proxy);
        }
    }

    /// Starts a control replica that is not a founder; an operator has to admit it.
    ///
    /// # Panics
    ///
    /// When the process does not start.
    pub fn start_new_control(&mut self, name: &str) {
        let role = self.control_role(name);
        self.start_node(name, "zone-0", "control", &role, start_proxy());
    }

    /// The folder of a control replica's durable state.
    #[must_use]
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("data-{name}"))
    }

    fn control_role(&self, name: &str) -> Value {
        let founders = self.controls.iter().zip(&self.seeds);
        let voters: Vec<Value> = founders
            .map(|(node, address)| json!({"node": node, "rpc_address": address}))
            .collect();
        let operator = json!({
            "name": "trial-operator",
            "token_blake3": blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex().as_str(),
            "is_administrator": true,
        });
        json!({
            "http_address": LOCAL,
            "data_folder": self.data_folder(name),
            "voters": voters,
            "operators": [operator],
        })
    }

    /// Starts an entry; `extra` holds more fields of its role.
    ///
    /// # Panics
    ///
    /// When the process does not start.
    pub fn start_entry(&mut self, name: &str, zone: &str, extra: &Value) {
        let mut role = json!({
            "http_address": LOCAL,
            "balancer_grace_ms": 300,
        });
        merge(&mut role, extra);
        self.start_node(name, zone, "entry", &role, start_proxy());
    }

    /// Starts an agent beside an engine; `extra` holds more fields of its role.
    ///
    /// # Panics
    ///
    /// When the process does not start.
    pub fn start_engine_agent(
        &mut self,
        name: &str,
        zone: &str,
        engine: SocketAddr,
        extra: &Value,
    ) {
        let mut role = json!({"endpoint": {"engine": {"address": engine}}});
        merge(&mut role, extra);
        self.start_node(name, zone, "agent", &role, start_proxy());
    }

    /// Starts an agent beside a plain service.
    ///
    /// # Panics
    ///
    /// When the process does not start.
    pub fn start_service_agent(
        &mut self,
        name: &str,
        zone: &str,
        address: SocketAddr,
        service: &str,
    ) {
        let endpoint = json!({"plain_service": {"address": address, "service": service}});
        let role = json!({"endpoint": endpoint});
        self.start_node(name, zone, "agent", &role, start_proxy());
    }

    /// A node by name.
    ///
    /// # Panics
    ///
    /// When there is none.
    #[must_use]
    pub fn node(&self, name: &str) -> &Node {
        self.nodes.get(name).expect("the node was started")
    }

    /// A node by name, to be killed, paused or stopped.
    ///
    /// # Panics
    ///
    /// When there is none.
    pub fn node_mut(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).expect("the node was started")
    }

    /// Starts a node that has ended again, with its settings and data.
    ///
    /// # Panics
    ///
    /// When the process does not start.
    pub fn restart(&mut self, name: &str) {
        let (program, log) = (self.program.clone(), self.log_file(name));
        let node = self.node_mut(name);
        node.process = spawn(&program, &node.settings, &log);
        node.proxy.set_upstream(node.process.address("rpc"));
    }

    /// Deletes the data folder of a control replica that has ended.
    ///
    /// # Panics
    ///
    /// When the folder can't be deleted.
    pub fn lose_data(&self, control: &str) {
        let folder = self.data_folder(control);
        std::fs::remove_dir_all(folder).expect("the folder is the test's own");
    }

    /// Where callers or operators reach a node.
    #[must_use]
    pub fn http(&self, name: &str) -> SocketAddr {
        self.node(name).process.address("http")
    }

    /// The deployment's caller.
    #[must_use]
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Puts an entry into the catalogue and waits for its acceptance.
    ///
    /// # Panics
    ///
    /// When it is refused, or no leader accepts it in time.
    pub fn put(&mut self, entry: &Value, expected_version: u64) {
        self.change_count += 1;
        let body = json!({
            "change_id": format!("change-{}", self.change_count),
            "entry": entry,
            "expected_version": expected_version,
        });
        let id = entry["id"].as_str().expect("an entry has an id");
        let path = format!("/v1/catalogue/{id}");
        let mut last = String::new();
        let is_accepted = wait_until(BOUND_MS, || {
            self.controls.iter().any(|control| {
                match self.ask_operator(control, "PUT", &path, &body) {
                    Ok(answer) if answer.status == 200 => true,
                    Ok(answer) => {
                        last = format!("{} {}", answer.status, answer.json());
                        false
                    }
                    Err(error) => {
                        last = error.to_string();
                        false
                    }
                }
            })
        });
        assert!(is_accepted, "entry {id} was not accepted: {last}");
    }

    /// Calls the administration API of one control replica.
    ///
    /// # Errors
    ///
    /// [`CallerError`] when there is no answer in time.
    pub fn ask_operator(
        &self,
        control: &str,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Result<CallerAnswer, CallerError> {
        let request = CallerRequest::post(self.http(control), path, body)
            .method(method)
            .header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"));
        self.caller.call(request, 5_000)
    }

    /// Waits until an entry reports that it is ready and lists `model_count` models.
    ///
    /// # Panics
    ///
    /// When it does not in time.
    pub fn await_models(&self, entry: &str, model_count: usize) {
        let is_ready = wait_until(BOUND_MS, || {
            let request = CallerRequest::get(self.http(entry), "/v1/models");
            let Ok(answer) = self.caller.call(request, 5_000) else {
                return false;
            };
            let listed = answer.json()["data"].as_array().map_or(0, Vec::len);
            listed == model_count && self.is_ready(entry)
        });
        assert!(
            is_ready,
            "{entry} did not become ready: {}",
            self.node(entry).process.log()
        );
    }

    /// Whether a node's HTTP interface says that it is ready.
    #[must_use]
    pub fn is_ready(&self, name: &str) -> bool {
        let request = CallerRequest::get(self.http(name), "/readyz");
        let answer = self.caller.call(request, 5_000);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn start_node(
        &mut self,
        name: &str,
        zone: &str,
        role_name: &str,
        role: &Value,
        proxy: FaultProxy,
    ) {
        let mut settings = json!({
            "cluster": self.cluster(),
            "node": name,
            "zone": zone,
            "rpc_address": LOCAL,
            "seeds": self.seeds,
            role_name: role,
        });
        if self.is_proxied || role_name == "control" {
            settings["advertised_rpc_address"] = json!(proxy.address());
        }
        let file = write_settings(self.folder.path(), name, &settings);
        let process = spawn(&self.program, &file, &self.log_file(name));
        proxy.set_upstream(process.address("rpc"));
        let node = Node {
            process,
            proxy,
            settings: file,
        };
        self.nodes.insert(name.to_owned(), node);
    }

    /// A name of its own, so that a port used again by another deployment joins nothing.
    ///
    /// # Panics
    ///
    /// Never: names of temporary folders are valid.
    #[must_use]
    pub fn cluster(&self) -> ClusterId {
        let folder = self.folder.path().file_name().unwrap_or_default();
        let name = format!("trial{}", folder.to_string_lossy());
        ClusterId::new(name).expect("the folder's name is valid in an id")
    }

    fn log_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }
}

fn start_proxy() -> FaultProxy {
    FaultProxy::start(None).expect("a proxy can be started")
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> ProcessUnderTest {
    let arguments = [Path::new("run"), settings];
    match ProcessUnderTest::spawn(program, arguments, log) {
        Ok(process) => process,
        Err(error) => panic!("{error}"),
    }
}

fn merge(role: &mut Value, extra: &Value) {
    let (Some(role), Some(extra)) = (role.as_object_mut(), extra.as_object()) else {
        return;
    };
    for (field, value) in extra {
        role.insert(field.clone(), value.clone());
    }
}

/// A catalogue entry served by engines.
#[must_use]
pub fn engine_entry(id: &str, class: &str, model: &str, version: &str) -> Value {
    json!({
        "id": id,
        "owner": "trial-workspace",
        "class": class,
        "back_end": {"kind": "engine", "model": model, "version": version},
        "placement": {"replicas": 1},
    })
}

/// A catalogue entry served by plain services.
#[must_use]
pub fn service_entry(id: &str, service: &str, is_repeatable: bool) -> Value {
    json!({
        "id": id,
        "owner": "trial-workspace",
        "class": "instant_lookup",
        "back_end": {"kind": "plain_service", "service": service, "is_repeatable": is_repeatable},
        "placement": {"replicas": 1},
    })
}
