//! The checked settings of a process.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use masticsill_types::{ClusterId, ModelId, NodeId, OperatorId, WorkspaceId, ZoneId};

use crate::error::SettingsError;
use crate::file::SettingsFile;

/// Settings of one process, read at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The address at which peers reach the RPC listener; the bound `rpc_address` if not set.
    pub advertised_rpc_address: Option<SocketAddr>,
    /// Lease on a copy of the catalogue, in milliseconds: how long the copy may be used before its
    /// lease must be renewed.
    pub catalogue_lease_ms: u64,
    /// The cluster that the process belongs to. A data folder of another cluster is refused.
    pub cluster: ClusterId,
    /// The name of the process, unique in the cluster.
    pub node: NodeId,
    /// The role of the process and its settings.
    pub role: RoleSettings,
    /// Address of the RPC listener. For port zero, the system chooses the port.
    pub rpc_address: SocketAddr,
    /// RPC addresses of peers to contact first. This is not a list of endpoints.
    pub seeds: Vec<SocketAddr>,
    /// Address where a control replica serves its metrics as text; not served if not set.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the `StatsD` listener for metrics; none are sent if not set.
    pub statsd_address: Option<SocketAddr>,
    /// The availability zone that the process runs in.
    pub zone: ZoneId,
}

/// The role of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoleSettings {
    /// Represents one endpoint and runs requests on it.
    Agent(AgentSettings),
    /// Replicates the catalogue.
    Control(ControlSettings),
    /// Serves the requests of callers.
    Entry(EntrySettings),
}

/// Settings of the agent role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentSettings {
    /// Longest wait for running work at a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// The endpoint of the agent.
    pub endpoint: EndpointSettings,
    /// Time in milliseconds after which a generation whose output nobody pulls is cancelled.
    pub orphan_ms: u64,
}

/// The endpoint of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointSettings {
    /// A model engine.
    Engine {
        /// HTTP address of the engine.
        address: SocketAddr,
        /// Whether the engine itself refuses orders with an outdated fencing number.
        is_checking_fencing: bool,
    },
    /// A plain service.
    PlainService {
        /// HTTP address of the service.
        address: SocketAddr,
        /// The name by which catalogue entries refer to the service.
        service: ModelId,
    },
}

/// Settings of the entry role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Time in milliseconds for which requests are still accepted after the readiness check starts
    /// to fail, so that load balancers can react.
    pub balancer_grace_ms: u64,
    /// Longest wait for running streams at a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Address of the HTTP listener for callers.
    pub http_address: SocketAddr,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time in milliseconds for which a generation continues after its caller's connection is lost.
    pub reattach_ms: u64,
    /// Time in milliseconds without a message from an agent after which its streams are moved to
    /// another agent.
    pub silence_ms: u64,
    /// Number of threads that serve callers.
    pub workers: usize,
}

/// Settings of the control role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// Folder of all durable state.
    pub data_folder: PathBuf,
    /// Shortest time without a leader before an election starts, in milliseconds.
    pub election_timeout_ms: u64,
    /// Address of the HTTP listener for the administration API.
    pub http_address: SocketAddr,
    /// The operators that may use the administration API.
    pub operators: Vec<OperatorSettings>,
    /// The replicas that form the quorum of a new cluster.
    pub voters: Vec<VoterSettings>,
}

/// One voter of a new cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterSettings {
    /// Node name of the replica.
    pub node: NodeId,
    /// RPC address of the replica.
    pub rpc_address: SocketAddr,
}

/// One operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorSettings {
    /// Whether the operator may change the entries of every workspace and the control replicas.
    pub is_administrator: bool,
    /// Name of the operator in the audit trail.
    pub name: OperatorId,
    /// BLAKE3 hash of the bearer token as 64 lower-case hexadecimal digits.
    pub token_blake3: String,
    /// Workspaces whose entries the operator may change.
    pub workspaces: Vec<WorkspaceId>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file can't be read or a field is invalid; names the first invalid
    /// field, its value and the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Malformed`] or [`SettingsError::Refused`] for the first invalid field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let file: SettingsFile =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
                SettingsError::Malformed {
                    field: error.path().to_string(),
                    problem: error.inner().to_string(),
                }
            })?;
        deserializer
            .end()
            .map_err(|error| SettingsError::Malformed {
                field: ".".to_owned(),
                problem: error.to_string(),
            })?;
        Self::try_from(file)
    }
}
