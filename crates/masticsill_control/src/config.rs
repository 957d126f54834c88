//! What a control replica is told at its start.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use indexmap::IndexMap;
use masticsill_catalogue::OperatorScope;
use masticsill_quorum::ReplicaSettings;
use masticsill_registry::{CacheUpdate, RegistryTimeouts};
use masticsill_types::{NodeId, OperatorId, ZoneId};
use thiserror::Error;

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Who admits and removes replicas.
    pub admission: AdmissionPolicy,
    /// The cluster's name; a data folder of another cluster is refused.
    pub cluster: String,
    /// Where the replica's durable state lives.
    pub data_folder: PathBuf,
    /// When endpoints count as lost and are forgotten.
    pub endpoints: RegistryTimeouts,
    /// Who founds a new cluster.
    ///
    /// It matters only while every folder is new: a founded cluster is never founded again.
    pub founding: FoundingPolicy,
    /// Where the administration API listens.
    pub http_address: SocketAddr,
    /// This node.
    pub node: NodeId,
    /// Operators of the administration API.
    pub operators: Vec<OperatorConfig>,
    /// RPC addresses of the other control replicas, as far as they are known.
    pub peers: IndexMap<NodeId, SocketAddr>,
    /// How engines are asked what they keep of prompts; nobody asks where there is none.
    pub prompt_cache_feed: Option<PromptCacheFeed>,
    /// Timing and sizes of the quorum.
    pub replica: ReplicaSettings,
    /// Where other processes reach this replica's process.
    pub rpc_address: SocketAddr,
    /// RPC addresses at which control is served, by replicas or by processes without state.
    pub seeds: Vec<SocketAddr>,
    /// This replica's availability zone.
    pub zone: ZoneId,
}

/// Reads an engine's news of prompts; the text names what is wrong.
pub type PromptCacheParser = fn(&[u8]) -> Result<CacheUpdate, String>;

/// The calls that tell what an engine keeps of prompts: one waits for news, one lists all.
#[derive(Clone, Debug)]
pub struct PromptCacheFeed {
    /// Path of the list.
    pub list_path: String,
    /// Path and query of the call for news, before the position from which they are wanted.
    pub updates_path: String,
    /// Reads news.
    pub parse_update: PromptCacheParser,
    /// Reads the list.
    pub parse_list: PromptCacheParser,
    /// Header field with the longest wait, in milliseconds.
    pub wait_header: String,
}

/// Who founds a new cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoundingPolicy {
    /// The replicas that are found at the seeds, or through them.
    Discovered {
        /// Voters that the losses to be borne at once ask for.
        voters: usize,
    },
    /// The first of these replicas, once all of them are up.
    Named(Vec<NodeId>),
    /// Nobody: the system was started before.
    Never,
}

/// Who admits and removes replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionPolicy {
    /// Operators do.
    Operators,
    /// The quorum does: a replica with a new folder asks to be admitted, and a leader removes a
    /// voter that stays silent once there are more than `voters` of them.
    Quorum {
        /// Voters that the losses to be borne at once ask for.
        voters: usize,
    },
}

impl AdmissionPolicy {
    /// Voters that the quorum keeps by itself; none where operators look after it.
    pub(crate) fn wanted_voters(self) -> Option<usize> {
        match self {
            Self::Operators => None,
            Self::Quorum { voters } => Some(voters),
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

/// `blake3` hash of an operator's token; the token itself is kept nowhere.
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
