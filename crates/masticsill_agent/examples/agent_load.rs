//! Measures one agent under load from many streams: tokens and pulls per second, and the processor
//! time of each thread.
//!
//! `cargo run --release -p masticsill_agent --example agent_load -- STREAMS SECONDS`

use std::env;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use masticsill_agent::{AgentConfig, AgentLimits, AgentLinks, AgentRole, Endpoint};
use masticsill_generation::Record;
use masticsill_membership::{Periods, Role};
use masticsill_mesh::{Mesh, MeshConfig, RenewalPeriods, ServiceRoutes, new_incarnation};
use masticsill_runtime::{Metrics, Ring, connect_transport, listen};
use masticsill_testkit::{EngineSettings, FakeEngine, model_target};
use masticsill_types::{
    AttemptState, Class, EntryId, GenerationId, GenerationSpec, MonotonicClock, NodeId, Sampling,
    WorkspaceId, ZoneId,
};
use masticsill_wire::ServiceKind;
use masticsill_wire::agent::{
    AgentServiceClient, Progress, ProgressState, PullCursor, PullRequest, StartReply,
};
use tarpc::context::{self, Context};

const STEP_MS: u64 = 20;
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let mut arguments = env::args().skip(1);
    let mut number = |default: u64| {
        let text = arguments.next();
        text.map_or(default, |text| text.parse().expect("arguments are numbers"))
    };
    let (streams, seconds) = (number(1_000), number(10));
    let engine = FakeEngine::start(EngineSettings {
        slots: usize::try_from(streams).expect("streams fit in memory"),
        step_ms: STEP_MS,
        ..EngineSettings::default()
    })
    .expect("loopback has a free port");
    let address = start_agent(&engine);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(load(address, streams, Duration::from_secs(seconds)));
}

fn start_agent(engine: &FakeEngine) -> SocketAddr {
    let listener = listen(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)).expect("a free port");
    let address = listener.local_address().expect("a bound address");
    let connections = Ring::with_capacity(16);
    let routes = ServiceRoutes {
        agent: Some(connections.clone()),
        ..ServiceRoutes::default()
    };
    let node = NodeId::new("agent-1").expect("a valid name");
    let mesh_config = MeshConfig {
        address,
        incarnation: new_incarnation(),
        membership: Periods::default(),
        node: node.clone(),
        renewal: RenewalPeriods::default(),
        role: Role::Entry,
        seeds: Vec::new(),
        zone: ZoneId::new("muc-a").expect("a valid name"),
    };
    let clock = MonotonicClock::start();
    let started = Mesh::start(mesh_config, listener, routes, None, clock);
    let (mesh, _) = started.expect("a thread can be started");
    let config = AgentConfig {
        endpoint: Endpoint::Engine {
            is_checking_fencing: false,
        },
        endpoint_address: engine.address(),
        limits: AgentLimits::default(),
        node,
    };
    let links = AgentLinks {
        clock,
        connections,
        mesh,
        metrics: Metrics::disabled(),
    };
    // The duties run until the process ends.
    std::mem::forget(AgentRole::start(config, links).expect("a thread can be started"));
    address
}

async fn load(address: SocketAddr, streams: u64, duration: Duration) {
    let transport = connect_transport(address, ServiceKind::Agent, 5_000).await;
    let transport = transport.expect("the agent listens");
    let client = AgentServiceClient::new(tarpc::client::Config::default(), transport).spawn();
    let entry = NodeId::new("entry-1").expect("a valid name");
    let mut load = Load {
        client,
        entry,
        last_id: 0,
        records: IndexMap::new(),
    };
    for _ in 0..streams {
        load.start_one().await;
    }
    load.pull_for(Duration::from_secs(2)).await;
    let before = processor_seconds();
    let counts = load.pull_for(duration).await;
    let after = processor_seconds();
    let seconds = duration.as_secs_f64();
    println!("streams {streams}, seconds {seconds}");
    for (name, count) in counts {
        println!("{name}/s {}", count / duration.as_secs().max(1));
    }
    for (thread, used) in after {
        let used = used - before.get(&thread).copied().unwrap_or_default();
        println!("{thread}: {:.1}% of a core", used / seconds * 100.0);
    }
}

struct Load {
    client: AgentServiceClient,
    entry: NodeId,
    last_id: u64,
    records: IndexMap<GenerationId, Record>,
}

impl Load {
    async fn start_one(&mut self) {
        self.last_id += 1;
        let record = Record::new(spec(self.last_id), 1);
        let request = record.start_request(self.entry.clone());
        let started = self.client.start(context(), request).await;
        assert_eq!(started.expect("an answer"), StartReply::Accepted);
        self.records.insert(record.id(), record);
    }

    /// Pulls for the given duration, replaces ended generations, and returns the numbers of pulls,
    /// tokens and ends.
    async fn pull_for(&mut self, duration: Duration) -> [(&'static str, u64); 3] {
        let start = Instant::now();
        let (mut pulls, mut tokens, mut ends) = (0, 0, 0);
        while start.elapsed() < duration {
            pulls += 1;
            for progress in self.pull().await {
                let id = progress.id;
                let record = self
                    .records
                    .get_mut(&id)
                    .expect("a stream that this example started");
                let taken =
                    record.append_tokens(progress.lineage, progress.first_index, progress.tokens);
                tokens += taken.accepted as u64;
                if progress.state != ProgressState::Attempt(AttemptState::Running) {
                    ends += 1;
                    self.records.swap_remove(&id);
                    self.start_one().await;
                }
            }
        }
        [("pulls", pulls), ("tokens", tokens), ("ends", ends)]
    }

    async fn pull(&self) -> Vec<Progress> {
        let cursor = |record: &Record| PullCursor {
            id: record.id(),
            lineage: record.lineage(),
            next_index: record.next_index(),
        };
        let request = PullRequest {
            cursors: self.records.values().map(cursor).collect(),
            entry: self.entry.clone(),
            wait_ms: 100,
        };
        let pulled = self.client.pull(context(), request).await;
        pulled.expect("an answer").progress
    }
}

/// Processor time of each thread of this process, in seconds.
fn processor_seconds() -> IndexMap<String, f64> {
    let mut seconds = IndexMap::new();
    let tasks = fs::read_dir("/proc/self/task").expect("Linux lists threads");
    for task in tasks.flatten() {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let Some((head, tail)) = stat.rsplit_once(')') else {
            continue;
        };
        let name = head.split_once('(').map_or("", |(_, name)| name).to_owned();
        let fields: Vec<&str> = tail.split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().unwrap_or_default();
        *seconds.entry(name).or_default() += (ticks(11) + ticks(12)) / TICKS_PER_SECOND;
    }
    seconds
}

fn spec(id: u64) -> GenerationSpec {
    GenerationSpec {
        catalogue_entry: EntryId::new("fliesenwerk/drafts").expect("a valid name"),
        class: Class::PatientDraft,
        id: GenerationId(u128::from(id)),
        prompt: format!("plan bathroom {id}"),
        sampling: Sampling {
            max_tokens: 10_000,
            seed: id,
            temperature_milli: 1_000,
            top_p_milli: 1_000,
        },
        target: model_target("draft", "v1"),
        workspace: WorkspaceId::new("fliesenwerk").expect("a valid name"),
    }
}

fn context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_secs(30);
    context
}
