//! Runs one process, with its mesh and its role, until a shutdown is requested.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

use eyre::{WrapErr, bail};
use masticsill_agent::{AgentHandle, AgentLinks, AgentRole};
use masticsill_control::ControlRole;
use masticsill_entry::EntryRole;
use masticsill_membership::{Periods, Role};
use masticsill_mesh::{
    Mesh, MeshConfig, MeshHandle, RenewSource, RenewalPeriods, ServiceRoutes, new_incarnation,
};
use masticsill_runtime::{
    DutyHandle, Metrics, Ring, RpcListener, ServiceStream, ShutdownSignal, events, listen,
    serve_text_metrics, set_process_cluster, watch_signals,
};
use masticsill_settings::{
    AgentSettings, ControlSettings, EndpointSettings, EntrySettings, RoleSettings, Settings,
};
use masticsill_types::{EndpointKind, EndpointProfile, MonotonicClock, log_event};
use prometheus_client::registry::Registry;

use crate::settings_map::{to_agent_config, to_control_config, to_entry_config};

/// Most accepted connections that wait for the service of the role.
const CONNECTION_RING_CAPACITY: usize = 1_024;
/// Interval at which the main thread checks for a shutdown request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State that the process sets up before it starts its role.
struct Process {
    address: SocketAddr,
    clock: MonotonicClock,
    connections: Ring<ServiceStream>,
    listener: RpcListener,
    metrics: Metrics,
    settings: Settings,
    shutdown: ShutdownSignal,
}

/// A running mesh and its duty.
struct RunningMesh {
    duty: DutyHandle,
    handle: MeshHandle,
}

/// Runs the process that the settings describe, until a shutdown is requested.
///
/// # Errors
///
/// An error that names the part that could not be started, or the duty that failed.
pub(crate) fn run(settings: Settings, path: PathBuf) -> eyre::Result<()> {
    set_process_cluster(&settings.cluster);
    let shutdown = ShutdownSignal::default();
    let initial = settings.clone();
    watch_signals(shutdown.clone(), move || check_reload(&path, &initial))
        .wrap_err("signals can't be watched")?;
    let listener = listen(settings.rpc_address)
        .wrap_err_with(|| format!("rpc_address {} can't be bound", settings.rpc_address))?;
    let bound = listener.local_address()?;
    let process = Process {
        address: settings.advertised_rpc_address.unwrap_or(bound),
        clock: MonotonicClock::start(),
        connections: Ring::with_capacity(CONNECTION_RING_CAPACITY),
        listener,
        metrics: start_metrics(&settings)?,
        settings,
        shutdown,
    };
    println!("listening rpc on {bound}");
    let node = process.settings.node.clone();
    log_event!(info, events::PROCESS_STARTED, node = node);
    match process.settings.role.clone() {
        RoleSettings::Agent(agent) => run_agent(process, &agent)?,
        RoleSettings::Control(control) => run_control(process, &control)?,
        RoleSettings::Entry(entry) => run_entry(process, &entry)?,
    }
    log_event!(info, events::PROCESS_ENDED, node = node);
    Ok(())
}

/// Checks the settings file again and logs the result. A running process does not apply changes;
/// they need a restart.
fn check_reload(path: &Path, initial: &Settings) {
    match Settings::read(path) {
        Ok(settings) if settings == *initial => {
            log_event!(info, events::SETTINGS_RELOADED, change = "none");
        }
        Ok(_) => {
            let remedy = "restart the process to put the change in force";
            log_event!(warn, events::SETTINGS_RELOADED, change = remedy);
        }
        Err(error) => log_event!(error, events::RELOAD_REFUSED, cause = error),
    }
}

fn start_metrics(settings: &Settings) -> eyre::Result<Metrics> {
    match settings.statsd_address {
        Some(address) => Ok(Metrics::to_statsd(address)?),
        None => Ok(Metrics::disabled()),
    }
}

fn run_entry(process: Process, entry: &EntrySettings) -> eyre::Result<()> {
    let config = to_entry_config(&process.settings, entry);
    let (clock, shutdown) = (process.clock, process.shutdown.clone());
    let (connections, metrics) = (process.connections.clone(), process.metrics.clone());
    let routes = ServiceRoutes {
        entry: Some(connections.clone()),
        ..ServiceRoutes::default()
    };
    let mesh = start_mesh(process, Role::Entry, routes, None)?;
    let role = EntryRole::start(config, connections, mesh.handle.clone(), metrics, clock)
        .wrap_err("the entry can't be started")?;
    println!("listening http on {}", role.http_address());
    println!("ready");
    await_shutdown(&shutdown);
    role.stop()?;
    mesh.stop()
}

fn run_agent(process: Process, agent: &AgentSettings) -> eyre::Result<()> {
    let config = to_agent_config(&process.settings, agent);
    let links = (process.clock, process.metrics.clone());
    let (connections, shutdown) = (process.connections.clone(), process.shutdown.clone());
    let routes = ServiceRoutes {
        agent: Some(connections.clone()),
        ..ServiceRoutes::default()
    };
    let role = Role::Agent(initial_profile(&agent.endpoint));
    let mesh = start_mesh(process, role, routes, None)?;
    let handle = AgentRole::start(
        config,
        AgentLinks {
            clock: links.0,
            connections,
            mesh: mesh.handle.clone(),
            metrics: links.1,
        },
    )
    .wrap_err("the agent can't be started")?;
    println!("ready");
    await_shutdown(&shutdown);
    drain_agent(&handle);
    handle.stop()?;
    mesh.stop()
}

fn drain_agent(handle: &AgentHandle) {
    handle.leave();
    while !handle.is_drained() {
        sleep(POLL_INTERVAL);
    }
}

fn run_control(process: Process, control: &ControlSettings) -> eyre::Result<()> {
    let config = to_control_config(&process.settings, control, process.address)?;
    let (connections, shutdown) = (process.connections.clone(), process.shutdown.clone());
    let mut registry = Registry::default();
    let mut role = ControlRole::start(
        &config,
        connections.clone(),
        process.clock,
        process.metrics.clone(),
        &mut registry,
    )
    .wrap_err("the control replica can't be started")?;
    let text_metrics = match process.settings.metrics_address {
        Some(address) => Some(serve_text_metrics(address, registry)?),
        None => None,
    };
    let routes = ServiceRoutes {
        control: Some(connections),
        ..ServiceRoutes::default()
    };
    let source = RenewSource::new(role.renewals());
    let mesh = start_mesh(process, Role::Control, routes, Some(source))?;
    role.start_orders(mesh.handle.clone())
        .wrap_err("the orders to engines can't be started")?;
    println!("listening http on {}", role.http_address());
    println!("ready");
    while !shutdown.is_requested() && !role.has_failed() {
        sleep(POLL_INTERVAL);
    }
    if role.has_failed() {
        role.abort()?;
        bail!("the control replica failed; its log names the cause and the remedy");
    }
    mesh.handle.leave();
    role.stop()?;
    if let Some(text_metrics) = text_metrics {
        text_metrics.stop()?;
    }
    mesh.stop()
}

fn await_shutdown(shutdown: &ShutdownSignal) {
    while !shutdown.is_requested() {
        sleep(POLL_INTERVAL);
    }
}

/// Returns the profile to announce until the endpoint has been queried: no model is loaded.
fn initial_profile(endpoint: &EndpointSettings) -> EndpointProfile {
    let kind = match endpoint {
        EndpointSettings::Engine {
            is_checking_fencing,
            ..
        } => EndpointKind::Engine {
            loaded: Vec::new(),
            slots: 0,
            is_checking_fencing: *is_checking_fencing,
        },
        EndpointSettings::PlainService { service, .. } => EndpointKind::PlainService {
            service: service.clone(),
        },
    };
    EndpointProfile {
        kind,
        is_leaving: false,
    }
}

fn start_mesh(
    process: Process,
    role: Role,
    routes: ServiceRoutes,
    source: Option<RenewSource>,
) -> eyre::Result<RunningMesh> {
    let config = MeshConfig {
        address: process.address,
        incarnation: new_incarnation(),
        membership: Periods::default(),
        node: process.settings.node,
        renewal: RenewalPeriods {
            lease_ms: process.settings.catalogue_lease_ms,
            ..RenewalPeriods::default()
        },
        role,
        seeds: process.settings.seeds,
        zone: process.settings.zone,
    };
    let (handle, duty) = Mesh::start(config, process.listener, routes, source, process.clock)
        .wrap_err("the mesh can't be started")?;
    Ok(RunningMesh { duty, handle })
}

impl RunningMesh {
    fn stop(self) -> eyre::Result<()> {
        self.handle.stop();
        self.duty.join()?;
        Ok(())
    }
}
