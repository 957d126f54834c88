//! Converts the values of a settings file into checked settings.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;

use crate::error::SettingsError;
use crate::file::{
    AgentFile, ControlFile, EndpointFile, EntryFile, OperatorFile, SettingsFile, VoterFile,
};
use crate::settings::{
    AgentSettings, ControlSettings, EndpointSettings, EntrySettings, OperatorSettings,
    RoleSettings, Settings, VoterSettings,
};

/// Durations without a narrower range: up to one day.
const DURATION_RANGE_MS: RangeInclusive<u64> = 0..=86_400_000;
const LEASE_RANGE_MS: RangeInclusive<u64> = 500..=60_000;
const SILENCE_RANGE_MS: RangeInclusive<u64> = 100..=60_000;
const ELECTION_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 50..=10_000;
const WORKERS_RANGE: RangeInclusive<usize> = 1..=64;
const MAX_BODY_RANGE_BYTES: RangeInclusive<usize> = 1_024..=64 * 1024 * 1024;
const ALLOWED_VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];
/// Hexadecimal digits of a BLAKE3 hash.
const TOKEN_HASH_DIGITS: usize = 64;

impl TryFrom<SettingsFile> for Settings {
    type Error = SettingsError;

    fn try_from(file: SettingsFile) -> Result<Self, Self::Error> {
        let lease_ms = in_range(
            "catalogue_lease_ms",
            file.catalogue_lease_ms,
            &LEASE_RANGE_MS,
        )?;
        Ok(Self {
            advertised_rpc_address: optional_address(
                "advertised_rpc_address",
                file.advertised_rpc_address.as_deref(),
            )?,
            catalogue_lease_ms: lease_ms,
            cluster: name("cluster", &file.cluster)?,
            node: name("node", &file.node)?,
            role: check_role(file.entry, file.agent, file.control)?,
            rpc_address: address("rpc_address", &file.rpc_address)?,
            seeds: check_seeds(&file.seeds)?,
            metrics_address: optional_address("metrics_address", file.metrics_address.as_deref())?,
            statsd_address: optional_address("statsd_address", file.statsd_address.as_deref())?,
            zone: name("zone", &file.zone)?,
        })
    }
}

fn check_role(
    entry: Option<EntryFile>,
    agent: Option<AgentFile>,
    control: Option<ControlFile>,
) -> Result<RoleSettings, SettingsError> {
    match (entry, agent, control) {
        (Some(entry), None, None) => check_entry(&entry).map(RoleSettings::Entry),
        (None, Some(agent), None) => check_agent(&agent).map(RoleSettings::Agent),
        (None, None, Some(control)) => check_control(&control).map(RoleSettings::Control),
        (entry, agent, control) => {
            let count = usize::from(entry.is_some())
                + usize::from(agent.is_some())
                + usize::from(control.is_some());
            Err(SettingsError::refused(
                "entry, agent, control",
                format!("{count} roles"),
                "give exactly one of the three roles; run one process for each role",
            ))
        }
    }
}

fn check_entry(file: &EntryFile) -> Result<EntrySettings, SettingsError> {
    Ok(EntrySettings {
        balancer_grace_ms: in_range(
            "entry.balancer_grace_ms",
            file.balancer_grace_ms,
            &DURATION_RANGE_MS,
        )?,
        drain_ms: in_range("entry.drain_ms", file.drain_ms, &DURATION_RANGE_MS)?,
        http_address: address("entry.http_address", &file.http_address)?,
        max_body_bytes: in_range(
            "entry.max_body_bytes",
            file.max_body_bytes,
            &MAX_BODY_RANGE_BYTES,
        )?,
        reattach_ms: in_range("entry.reattach_ms", file.reattach_ms, &DURATION_RANGE_MS)?,
        silence_ms: in_range("entry.silence_ms", file.silence_ms, &SILENCE_RANGE_MS)?,
        workers: in_range("entry.workers", file.workers, &WORKERS_RANGE)?,
    })
}

fn check_agent(file: &AgentFile) -> Result<AgentSettings, SettingsError> {
    let endpoint = match &file.endpoint {
        EndpointFile::Engine {
            address: engine,
            is_checking_fencing,
        } => EndpointSettings::Engine {
            address: address("agent.endpoint.engine.address", engine)?,
            is_checking_fencing: *is_checking_fencing,
        },
        EndpointFile::PlainService {
            address: plain,
            service,
        } => EndpointSettings::PlainService {
            address: address("agent.endpoint.plain_service.address", plain)?,
            service: name("agent.endpoint.plain_service.service", service)?,
        },
    };
    Ok(AgentSettings {
        drain_ms: in_range("agent.drain_ms", file.drain_ms, &DURATION_RANGE_MS)?,
        endpoint,
        orphan_ms: in_range("agent.orphan_ms", file.orphan_ms, &DURATION_RANGE_MS)?,
    })
}

fn check_control(file: &ControlFile) -> Result<ControlSettings, SettingsError> {
    if file.data_folder.is_empty() {
        return Err(SettingsError::refused(
            "control.data_folder",
            "",
            "name a folder on a disk that outlives the process",
        ));
    }
    Ok(ControlSettings {
        data_folder: PathBuf::from(&file.data_folder),
        election_timeout_ms: in_range(
            "control.election_timeout_ms",
            file.election_timeout_ms,
            &ELECTION_TIMEOUT_RANGE_MS,
        )?,
        http_address: address("control.http_address", &file.http_address)?,
        operators: check_operators(&file.operators)?,
        voters: check_voters(&file.voters)?,
    })
}

fn check_voters(files: &[VoterFile]) -> Result<Vec<VoterSettings>, SettingsError> {
    if !ALLOWED_VOTER_COUNTS.contains(&files.len()) {
        return Err(SettingsError::refused(
            "control.voters",
            format!("{} voters", files.len()),
            "name 3, 5 or 7 voters, or 1 for a trial",
        ));
    }
    let mut voters: Vec<VoterSettings> = Vec::with_capacity(files.len());
    for file in files {
        let voter = VoterSettings {
            node: name("control.voters.node", &file.node)?,
            rpc_address: address("control.voters.rpc_address", &file.rpc_address)?,
        };
        if voters.iter().any(|known| known.node == voter.node) {
            let remedy = "give each voter a name of its own";
            return Err(SettingsError::refused(
                "control.voters.node",
                &file.node,
                remedy,
            ));
        }
        voters.push(voter);
    }
    Ok(voters)
}

fn check_operators(files: &[OperatorFile]) -> Result<Vec<OperatorSettings>, SettingsError> {
    files.iter().map(check_operator).collect()
}

fn check_operator(file: &OperatorFile) -> Result<OperatorSettings, SettingsError> {
    let is_hash = file.token_blake3.len() == TOKEN_HASH_DIGITS
        && file
            .token_blake3
            .bytes()
            .all(|byte| byte.is_ascii_hexdigit());
    if !is_hash {
        return Err(SettingsError::refused(
            "control.operators.token_blake3",
            &file.token_blake3,
            "write the BLAKE3 hash of the token as 64 hexadecimal digits; `masticsillctl hash-token` prints it",
        ));
    }
    let workspaces = file
        .workspaces
        .iter()
        .map(|workspace| name("control.operators.workspaces", workspace))
        .collect::<Result<_, _>>()?;
    Ok(OperatorSettings {
        is_administrator: file.is_administrator,
        name: name("control.operators.name", &file.name)?,
        token_blake3: file.token_blake3.to_ascii_lowercase(),
        workspaces,
    })
}

fn check_seeds(seeds: &[String]) -> Result<Vec<SocketAddr>, SettingsError> {
    seeds.iter().map(|seed| address("seeds", seed)).collect()
}

fn name<T>(field: &str, text: &str) -> Result<T, SettingsError>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse()
        .map_err(|error: T::Err| SettingsError::refused(field, text, error.to_string()))
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| {
        SettingsError::refused(
            field,
            text,
            "write an IP number and a port, as in `127.0.0.1:7001`",
        )
    })
}

fn optional_address(field: &str, text: Option<&str>) -> Result<Option<SocketAddr>, SettingsError> {
    text.map(|text| address(field, text)).transpose()
}

fn in_range<T>(field: &str, value: T, range: &RangeInclusive<T>) -> Result<T, SettingsError>
where
    T: Display + PartialOrd,
{
    if range.contains(&value) {
        return Ok(value);
    }
    let remedy = format!("use {} to {}", range.start(), range.end());
    Err(SettingsError::refused(field, value.to_string(), remedy))
}
