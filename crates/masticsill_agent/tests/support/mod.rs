//! Test agents, each with its own mesh, and a test entry that pulls one generation.

#![allow(dead_code, reason = "each test uses a part")]

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use masticsill_agent::{AgentConfig, AgentHandle, AgentLimits, AgentLinks, AgentRole, Endpoint};
use masticsill_generation::Record;
use masticsill_membership::{Periods, Role};
use masticsill_mesh::{
    Mesh, MeshConfig, MeshHandle, RenewalPeriods, ServiceRoutes, new_incarnation,
};
use masticsill_runtime::{DutyHandle, Metrics, Ring, connect_transport, listen};
use masticsill_testkit::{AnswerSpec, EngineSettings, FakeEngine, expected_answer, model_target};
use masticsill_types::{
    AttemptState, Class, EndpointProfile, EntryId, GenerationId, GenerationSpec, ModelId,
    MonotonicClock, NodeId, Sampling, Token, TokenIndex, WorkspaceId, ZoneId,
};
use masticsill_wire::ServiceKind;
use masticsill_wire::agent::{
    AgentServiceClient, Progress, ProgressState, PullCursor, PullReply, PullRequest, StartReply,
};
use tarpc::context::{self, Context};
use tokio::runtime::Runtime;

const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const PULL_WAIT_MS: u64 = 50;

pub(crate) fn node(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

/// Waits for a condition and panics when it is not met within [`WAIT_TIMEOUT`].
pub(crate) fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

pub(crate) fn engine(change: impl FnOnce(&mut EngineSettings)) -> FakeEngine {
    let mut settings = EngineSettings {
        step_ms: 5,
        ..EngineSettings::default()
    };
    change(&mut settings);
    FakeEngine::start(settings).unwrap()
}

pub(crate) fn spec(id: u128, max_tokens: u32) -> GenerationSpec {
    GenerationSpec {
        catalogue_entry: EntryId::new("fliesenwerk/drafts").unwrap(),
        class: Class::PatientDraft,
        id: GenerationId(id),
        prompt: format!("plan bathroom {id}"),
        sampling: Sampling {
            max_tokens,
            seed: 7,
            temperature_milli: 1_000,
            top_p_milli: 1_000,
        },
        target: model_target("draft", "v1"),
        workspace: WorkspaceId::new("fliesenwerk").unwrap(),
    }
}

/// The complete answer of an uninterrupted generation.
pub(crate) fn complete_answer(spec: &GenerationSpec) -> Vec<Token> {
    let answer = expected_answer(&AnswerSpec {
        adapter: spec.target.adapter.clone(),
        max_tokens: spec.sampling.max_tokens,
        model: spec.target.model.clone(),
        prompt: spec.prompt.clone(),
        seed: spec.sampling.seed,
        version: spec.target.version.clone(),
    });
    let token = |token: masticsill_wire::engine::ChunkToken| Token {
        bytes: token.bytes,
        id: token.id,
    };
    answer.into_iter().map(token).collect()
}

pub(crate) struct TestAgent {
    pub(crate) address: SocketAddr,
    pub(crate) handle: AgentHandle,
    pub(crate) mesh: MeshHandle,
    mesh_duty: DutyHandle,
    node: NodeId,
}

impl TestAgent {
    pub(crate) fn for_engine(engine: &FakeEngine) -> Self {
        Self::start(engine.address(), |_| {})
    }

    pub(crate) fn start(address: SocketAddr, change: impl FnOnce(&mut AgentLimits)) -> Self {
        let endpoint = Endpoint::Engine {
            is_checking_fencing: false,
        };
        Self::start_with(endpoint, address, change)
    }

    pub(crate) fn for_service(address: SocketAddr, change: impl FnOnce(&mut AgentLimits)) -> Self {
        let endpoint = Endpoint::PlainService {
            service: ModelId::new("orders").unwrap(),
        };
        Self::start_with(endpoint, address, change)
    }

    fn start_with(
        endpoint: Endpoint,
        endpoint_address: SocketAddr,
        change: impl FnOnce(&mut AgentLimits),
    ) -> Self {
        let mut limits = AgentLimits {
            min_leave_ms: 0,
            ..AgentLimits::default()
        };
        change(&mut limits);
        let listener = listen(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)).unwrap();
        let address = listener.local_address().unwrap();
        let config = MeshConfig {
            address,
            incarnation: new_incarnation(),
            membership: Periods::default(),
            node: node("agent-1"),
            renewal: RenewalPeriods::default(),
            role: Role::Entry,
            seeds: Vec::new(),
            zone: ZoneId::new("muc-a").unwrap(),
        };
        let connections = Ring::with_capacity(64);
        let routes = ServiceRoutes {
            agent: Some(connections.clone()),
            ..ServiceRoutes::default()
        };
        let clock = MonotonicClock::start();
        let (mesh, mesh_duty) = Mesh::start(config, listener, routes, None, clock).unwrap();
        let config = AgentConfig {
            endpoint,
            endpoint_address,
            limits,
            node: node("agent-1"),
        };
        let links = AgentLinks {
            clock,
            connections,
            mesh: mesh.clone(),
            metrics: Metrics::disabled(),
        };
        let handle = AgentRole::start(config, links).unwrap();
        Self {
            address,
            handle,
            mesh,
            mesh_duty,
            node: node("agent-1"),
        }
    }

    /// The announced profile of the endpoint, if it has been announced.
    pub(crate) fn announced(&self) -> Option<EndpointProfile> {
        let view = self.mesh.view();
        match &view.get(&self.node)?.role {
            Role::Agent(profile) => Some(profile.clone()),
            _ => None,
        }
    }

    pub(crate) fn stop(self) {
        self.handle.stop().unwrap();
        self.mesh.stop();
        self.mesh_duty.join().unwrap();
    }
}

pub(crate) struct TestEntry {
    pub(crate) client: AgentServiceClient,
    runtime: Runtime,
}

impl TestEntry {
    pub(crate) fn connect(agent: &TestAgent) -> Self {
        Self::connect_to(agent.address)
    }

    pub(crate) fn connect_to(address: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let client = runtime.block_on(async {
            let transport = connect_transport(address, ServiceKind::Agent, 5_000).await;
            AgentServiceClient::new(tarpc::client::Config::default(), transport.unwrap()).spawn()
        });
        Self { client, runtime }
    }

    pub(crate) fn run<T>(&self, call: impl Future<Output = T>) -> T {
        self.runtime.block_on(call)
    }

    pub(crate) fn start(&self, record: &Record) -> StartReply {
        let request = record.start_request(node("entry-1"));
        self.run(self.client.start(context(), request)).unwrap()
    }

    /// Sends one pull for one generation.
    pub(crate) fn pull(&self, record: &Record) -> PullReply {
        let cursor = PullCursor {
            id: record.id(),
            lineage: record.lineage(),
            next_index: record.next_index(),
        };
        let request = PullRequest {
            cursors: vec![cursor],
            entry: node("entry-1"),
            wait_ms: PULL_WAIT_MS,
        };
        self.run(self.client.pull(context(), request)).unwrap()
    }

    /// Pulls into the record until the condition holds; returns the last reported state.
    pub(crate) fn pull_until(
        &self,
        record: &mut Record,
        mut is_met: impl FnMut(&Record) -> bool,
    ) -> Option<ProgressState> {
        let mut last = None;
        wait_for("the record meets the condition", || {
            for progress in self.pull(record).progress {
                last = Some(apply_progress(record, progress));
            }
            is_met(record)
        });
        last
    }

    pub(crate) fn pull_to_end(&self, record: &mut Record) -> AttemptState {
        self.pull_until(record, |record| !record.is_running());
        record.state()
    }
}

fn apply_progress(record: &mut Record, progress: Progress) -> ProgressState {
    let end_index = progress.first_index.0 + u32::try_from(progress.tokens.len()).unwrap();
    let taken = record.append_tokens(progress.lineage, progress.first_index, progress.tokens);
    assert_eq!(
        taken.dropped, 0,
        "a pull returned tokens that the record already has"
    );
    if let ProgressState::Attempt(state) = progress.state
        && state != AttemptState::Running
    {
        record.end_attempt(progress.lineage, TokenIndex(end_index), state);
    }
    progress.state
}

pub(crate) fn context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + WAIT_TIMEOUT;
    context
}
