//! Configuration of a control replica.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use indexmap::IndexMap;
use masticsill_catalogue::OperatorScope;
use masticsill_quorum::ReplicaSettings;
use masticsill_registry::{CacheUpdate, RegistryTimeouts};
use masticsill_rollout::RolloutLimits;
use masticsill_types::{NodeId, OperatorId, ZoneId};
use thiserror::Error;

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Who admits and removes replicas.
    pub admission: AdmissionPolicy,
    /// The cluster's name; the data folder of another cluster is refused.
    pub cluster: String,
    /// Folder of the replica's durable state.
    pub data_folder: PathBuf,
    /// When endpoints count as silent and when their records are forgotten.
    pub endpoints: RegistryTimeouts,
    /// Who founds a new cluster.
    ///
    /// Only used while every folder is new: a founded cluster is never founded again.
    pub founding: FoundingPolicy,
    /// Listen address of the administration API.
    pub http_address: SocketAddr,
    /// RPC port of the control replicas whose node names are IP addresses; none if names say nothing of
    /// addresses.
    pub ip_name_port: Option<u16>,
    /// This node.
    pub node: NodeId,
    /// Operators of the administration API.
    pub operators: Vec<OperatorConfig>,
    /// Known RPC addresses of the other control replicas.
    pub peers: IndexMap<NodeId, SocketAddr>,
    /// How the engines' prompt caches are read; `None` turns that off.
    pub prompt_cache_feed: Option<PromptCacheFeed>,
    /// Timing and sizes of the quorum.
    pub replica: ReplicaSettings,
    /// How roll-outs are carried out; `None` turns them off.
    pub rollouts: Option<RolloutConfig>,
    /// RPC address at which other processes reach this process.
    pub rpc_address: SocketAddr,
    /// RPC addresses at which control is served, by replicas or by processes without state.
    pub seeds: Vec<SocketAddr>,
    /// This replica's availability zone.
    pub zone: ZoneId,
}

/// How roll-outs are carried out.
#[derive(Clone, Copy, Debug)]
pub struct RolloutConfig {
    /// Returns whether a document contains a service.
    pub has_service: fn(&[u8], &str) -> bool,
    /// Bounds that every roll-out keeps.
    pub limits: RolloutLimits,
}

/// Parses a prompt cache update or list; the error text says what is wrong.
pub type PromptCacheParser = fn(&[u8]) -> Result<CacheUpdate, String>;

/// The calls that read an engine's prompt cache: one waits for updates, one lists all entries.
#[derive(Clone, Debug)]
pub struct PromptCacheFeed {
    /// Path of the call for the full list.
    pub list_path: String,
    /// Path and query of the call for updates; the position to start from is appended.
    pub updates_path: String,
    /// Parses an update.
    pub parse_update: PromptCacheParser,
    /// Parses the full list.
    pub parse_list: PromptCacheParser,
    /// Header field that carries the longest wait, in milliseconds.
    pub wait_header: String,
}

/// Who founds a new cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoundingPolicy {
    /// The replicas that are discovered at the seeds, or through them.
    Discovered {
        /// Voters needed to tolerate the configured number of simultaneous losses.
        voters: usize,
    },
    /// The first of these replicas, once all of them are up.
    Named(Vec<NodeId>),
    /// Nobody: the cluster was founded before.
    Never,
}

/// Who admits and removes replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionPolicy {
    /// Operators do.
    Operators,
    /// The quorum does: a replica with a new folder requests admission, and the leader removes
    /// silent voters while there are more than `voters` of them.
    Quorum {
        /// Silence after which a member that is not needed is removed, in milliseconds.
        silence_ms: u64,
        /// Voters needed to tolerate the configured number of simultaneous losses.
        voters: usize,
    },
}

impl AdmissionPolicy {
    /// Voters that the quorum maintains by itself; `None` where operators maintain the members.
    pub(crate) fn target_voters(self) -> Option<usize> {
        match self {
            Self::Operators => None,
            Self::Quorum { voters, .. } => Some(voters),
        }
    }
}

/// An operator of the administration API.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// The operator's name in the audit trail.
    pub operator: OperatorId,
    /// What the operator may change.
    pub scope: OperatorScope,
    /// Hash of the operator's token.
    pub token_hash: TokenHash,
}

/// `blake3` hash of an operator's token; the token itself is not stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenHash(blake3::Hash);

impl TokenHash {
    /// Hashes a token.
    #[must_use]
    pub fn of_token(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()))
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A token hash that is not 64 hexadecimal digits.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the token hash is not 64 hexadecimal digits; use the `blake3` hash of the token")]
pub struct TokenHashError;

impl FromStr for TokenHash {
    type Err = TokenHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text)
            .map(Self)
            .map_err(|_| TokenHashError)
    }
}
