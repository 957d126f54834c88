//! Settings of a process, checked.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use masticsill_types::{ClusterId, ModelId, NodeId, OperatorId, WorkspaceId, ZoneId};

use crate::error::SettingsError;
use crate::file::SettingsFile;

/// Everything that one process is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The address that peers reach the RPC listener by; `rpc_address` unless told otherwise.
    pub advertised_rpc_address: Option<SocketAddr>,
    /// How long a copy of the catalogue may be acted on without a new proof, in milliseconds.
    pub catalogue_lease_ms: u64,
    /// The cluster that the process belongs to; a data folder of another one is refused.
    pub cluster: ClusterId,
    /// The process's name, unique among all processes.
    pub node: NodeId,
    /// What the process does.
    pub role: RoleSettings,
    /// Where peers reach the process; port zero lets the system choose.
    pub rpc_address: SocketAddr,
    /// Peers to make the first contact with; never a list of endpoints.
    pub seeds: Vec<SocketAddr>,
    /// Where a control replica serves its metrics as text, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Where metrics go, if anywhere.
    pub statsd_address: Option<SocketAddr>,
    /// The availability zone that the process runs in.
    pub zone: ZoneId,
}

/// The role of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoleSettings {
    /// Stands beside an endpoint.
    Agent(AgentSettings),
    /// Keeps the catalogue.
    Control(ControlSettings),
    /// Serves callers.
    Entry(EntrySettings),
}

/// Settings of the agent role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentSettings {
    /// Longest wait for running work at a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// The endpoint.
    pub endpoint: EndpointSettings,
    /// A generation that nobody pulls for this long is cancelled, in milliseconds.
    pub orphan_ms: u64,
}

/// The endpoint beside an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointSettings {
    /// A model engine.
    Engine {
        /// Its HTTP address.
        address: SocketAddr,
        /// Whether it refuses orders with an old fencing number by itself.
        is_checking_fencing: bool,
    },
    /// A plain service.
    PlainService {
        /// Its HTTP address.
        address: SocketAddr,
        /// The name that catalogue entries refer to.
        service: ModelId,
    },
}

/// Settings of the entry role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// How long requests are still accepted after readiness is off, in milliseconds.
    pub balancer_grace_ms: u64,
    /// Longest wait for running streams at a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Where callers reach the entry.
    pub http_address: SocketAddr,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a generation goes on after its caller's connection is lost, in milliseconds.
    pub reattach_ms: u64,
    /// Silence of an agent after which its streams are moved, in milliseconds.
    pub silence_ms: u64,
    /// Threads that serve callers.
    pub workers: usize,
}

/// Settings of the control role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// The folder of all durable state.
    pub data_folder: PathBuf,
    /// Shortest time without a leader before an election, in milliseconds.
    pub election_timeout_ms: u64,
    /// Where operators reach the administration API.
    pub http_address: SocketAddr,
    /// Who may change the catalogue.
    pub operators: Vec<OperatorSettings>,
    /// The replicas that form a new quorum.
    pub voters: Vec<VoterSettings>,
}

/// One control replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterSettings {
    /// Its name.
    pub node: NodeId,
    /// Its RPC address.
    pub rpc_address: SocketAddr,
}

/// One operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorSettings {
    /// Whether every workspace and the replicas may be changed.
    pub is_administrator: bool,
    /// The operator's name in the audit trail.
    pub name: OperatorId,
    /// BLAKE3 hash of the bearer token, 64 hexadecimal digits.
    pub token_blake3: String,
    /// Workspaces whose entries may be changed.
    pub workspaces: Vec<WorkspaceId>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] naming the first field that is wrong, its value and the remedy.
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
    /// As [`Settings::read`].
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
