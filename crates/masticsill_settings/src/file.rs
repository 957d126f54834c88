//! The structure of a settings file: JSON values that are parsed but not yet checked.

use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SettingsFile {
    #[serde(default = "default_cluster")]
    pub(crate) cluster: String,
    pub(crate) node: String,
    pub(crate) zone: String,
    pub(crate) rpc_address: String,
    #[serde(default)]
    pub(crate) advertised_rpc_address: Option<String>,
    #[serde(default)]
    pub(crate) seeds: Vec<String>,
    #[serde(default = "default_catalogue_lease_ms")]
    pub(crate) catalogue_lease_ms: u64,
    #[serde(default)]
    pub(crate) metrics_address: Option<String>,
    #[serde(default)]
    pub(crate) statsd_address: Option<String>,
    #[serde(default)]
    pub(crate) entry: Option<EntryFile>,
    #[serde(default)]
    pub(crate) agent: Option<AgentFile>,
    #[serde(default)]
    pub(crate) control: Option<ControlFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EntryFile {
    pub(crate) http_address: String,
    #[serde(default = "default_workers")]
    pub(crate) workers: usize,
    #[serde(default = "default_max_body_bytes")]
    pub(crate) max_body_bytes: usize,
    #[serde(default = "default_balancer_grace_ms")]
    pub(crate) balancer_grace_ms: u64,
    #[serde(default = "default_drain_ms")]
    pub(crate) drain_ms: u64,
    #[serde(default = "default_reattach_ms")]
    pub(crate) reattach_ms: u64,
    #[serde(default = "default_silence_ms")]
    pub(crate) silence_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AgentFile {
    pub(crate) endpoint: EndpointFile,
    #[serde(default = "default_orphan_ms")]
    pub(crate) orphan_ms: u64,
    #[serde(default = "default_drain_ms")]
    pub(crate) drain_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) enum EndpointFile {
    Engine {
        address: String,
        #[serde(default)]
        is_checking_fencing: bool,
    },
    PlainService {
        address: String,
        service: String,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ControlFile {
    pub(crate) http_address: String,
    pub(crate) data_folder: String,
    pub(crate) voters: Vec<VoterFile>,
    #[serde(default)]
    pub(crate) operators: Vec<OperatorFile>,
    #[serde(default = "default_election_timeout_ms")]
    pub(crate) election_timeout_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VoterFile {
    pub(crate) node: String,
    pub(crate) rpc_address: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OperatorFile {
    pub(crate) name: String,
    pub(crate) token_blake3: String,
    #[serde(default)]
    pub(crate) workspaces: Vec<String>,
    #[serde(default)]
    pub(crate) is_administrator: bool,
}

fn default_cluster() -> String {
    "masticsill".to_owned()
}

fn default_catalogue_lease_ms() -> u64 {
    4_000
}

fn default_workers() -> usize {
    2
}

fn default_max_body_bytes() -> usize {
    1024 * 1024
}

fn default_balancer_grace_ms() -> u64 {
    2_000
}

fn default_drain_ms() -> u64 {
    600_000
}

fn default_reattach_ms() -> u64 {
    15_000
}

fn default_silence_ms() -> u64 {
    800
}

fn default_orphan_ms() -> u64 {
    30_000
}

fn default_election_timeout_ms() -> u64 {
    400
}
