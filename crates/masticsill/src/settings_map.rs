//! Converts checked settings into the configurations of the roles.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_agent::{AgentConfig, AgentLimits, Endpoint};
use masticsill_catalogue::OperatorScope;
use masticsill_control::{
    AdmissionPolicy, ControlConfig, FoundingPolicy, OperatorConfig, TokenHashError,
};
use masticsill_entry::EntryConfig;
use masticsill_quorum::ReplicaSettings;
use masticsill_registry::RegistryTimeouts;
use masticsill_settings::{
    AgentSettings, ControlSettings, EndpointSettings, EntrySettings, OperatorSettings, Settings,
};

/// Time for which an agent keeps the keys of plain calls. It exceeds the time for which the quorum
/// keeps claims, so that no tombstone is dropped while its claim can still be reassigned.
const CALL_RETENTION_MS: u64 = 25 * 60 * 60 * 1_000;

/// Returns the configuration of the entry role.
pub(crate) fn to_entry_config(settings: &Settings, entry: &EntrySettings) -> EntryConfig {
    EntryConfig {
        balancer_grace_ms: entry.balancer_grace_ms,
        drain_ms: entry.drain_ms,
        http_address: entry.http_address,
        max_body_bytes: entry.max_body_bytes,
        node: settings.node.clone(),
        reattach_ms: entry.reattach_ms,
        silence_ms: entry.silence_ms,
        zone: settings.zone.clone(),
        workers: entry.workers,
    }
}

/// Returns the configuration of the agent role.
pub(crate) fn to_agent_config(settings: &Settings, agent: &AgentSettings) -> AgentConfig {
    let (endpoint, endpoint_address) = match &agent.endpoint {
        EndpointSettings::Engine {
            address,
            is_checking_fencing,
        } => {
            let is_checking_fencing = *is_checking_fencing;
            (
                Endpoint::Engine {
                    is_checking_fencing,
                },
                *address,
            )
        }
        EndpointSettings::PlainService { address, service } => {
            let service = service.clone();
            (Endpoint::PlainService { service }, *address)
        }
    };
    let mut limits = AgentLimits::default();
    limits.generations.orphan_ms = agent.orphan_ms;
    limits.calls.key_window_ms = CALL_RETENTION_MS;
    limits.drain_ms = agent.drain_ms;
    AgentConfig {
        endpoint,
        endpoint_address,
        limits,
        node: settings.node.clone(),
    }
}

/// Returns the configuration of the control role; `address` is where peers reach this process.
///
/// # Errors
///
/// An error if the token hash of an operator is invalid.
pub(crate) fn to_control_config(
    settings: &Settings,
    control: &ControlSettings,
    address: SocketAddr,
) -> Result<ControlConfig, TokenHashError> {
    let others = control
        .voters
        .iter()
        .filter(|voter| voter.node != settings.node);
    let peers: IndexMap<_, _> = others
        .map(|voter| (voter.node.clone(), voter.rpc_address))
        .collect();
    let founders = control.voters.iter().map(|voter| voter.node.clone());
    let operators = control.operators.iter().map(to_operator_config);
    Ok(ControlConfig {
        admission: AdmissionPolicy::Operators,
        ip_name_port: None,
        endpoints: RegistryTimeouts::default(),
        cluster: settings.cluster.as_str().to_owned(),
        data_folder: control.data_folder.clone(),
        founding: FoundingPolicy::Named(founders.collect()),
        http_address: control.http_address,
        node: settings.node.clone(),
        operators: operators.collect::<Result<_, _>>()?,
        peers,
        prompt_cache_feed: None,
        replica: to_replica_settings(control.election_timeout_ms),
        rollouts: None,
        rpc_address: address,
        seeds: Vec::new(),
        zone: settings.zone.clone(),
    })
}

fn to_operator_config(operator: &OperatorSettings) -> Result<OperatorConfig, TokenHashError> {
    let scope = if operator.is_administrator {
        OperatorScope::All
    } else {
        OperatorScope::Workspaces(operator.workspaces.iter().cloned().collect())
    };
    Ok(OperatorConfig {
        operator: operator.name.clone(),
        scope,
        token_hash: operator.token_blake3.parse()?,
    })
}

/// Derives the periods of the quorum. They must increase in this order: heartbeat, lease, election
/// timeout.
fn to_replica_settings(election_timeout_ms: u64) -> ReplicaSettings {
    ReplicaSettings {
        election_max_ms: election_timeout_ms * 2,
        election_min_ms: election_timeout_ms,
        heartbeat_ms: (election_timeout_ms / 5).max(1),
        lease_ms: election_timeout_ms * 4 / 5,
        ..ReplicaSettings::default()
    }
}
