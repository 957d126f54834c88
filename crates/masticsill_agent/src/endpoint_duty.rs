//! The duty that exchanges HTTP messages with the endpoint.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use masticsill_generation::{EngineCommand, RunNumber, RunRequest};
use masticsill_runtime::Ring;
use masticsill_types::{ModelTarget, log_event};
use masticsill_upstream::BufferBudget;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::rt::{DefaultRuntime, System, spawn};
use tokio::sync::oneshot;

use crate::call::run_call;
use crate::completion::run_generation;
use crate::config::{AgentConfig, Endpoint};
use crate::engine_poll::poll_engine;
use crate::events;
use crate::messages::{EndpointCommand, EndpointEvent};
use crate::orders::run_engine_order;

/// Limit on connections to the endpoint, higher than the number of runs and calls that the agent
/// allows at once.
///
/// Zero would mean no limit, but then `ntex` 3.12 never wakes a request that waits while another
/// connection to the same address is being opened.
const MAX_ENDPOINT_CONNECTIONS: usize = 131_072;

/// Runs the endpoint duty until the command ring is closed.
pub(crate) fn run_endpoint(
    config: AgentConfig,
    commands: Ring<EndpointCommand>,
    endpoint_events: Ring<EndpointEvent>,
) {
    let system = System::new("endpoint", DefaultRuntime);
    system.block_on(async move {
        let Some(client) = build_client().await else {
            return;
        };
        let duty = EndpointDuty {
            answer_budget: BufferBudget::new(config.limits.calls.max_answer_bytes),
            client,
            config,
            endpoint_events,
            runs: Rc::default(),
        };
        duty.run(commands).await;
    });
}

async fn build_client() -> Option<Client> {
    let built = Client::builder()
        .connector::<()>(Connector::new().limit(MAX_ENDPOINT_CONNECTIONS))
        .disable_redirects()
        .disable_timeout()
        .build(SharedCfg::new("endpoint"))
        .await;
    built
        .inspect_err(|error| log_event!(error, events::CLIENT_FAILED, error = error))
        .ok()
}

struct EndpointDuty {
    /// Memory for the answers to calls while they are read.
    answer_budget: BufferBudget,
    client: Client,
    config: AgentConfig,
    endpoint_events: Ring<EndpointEvent>,
    runs: ActiveRuns,
}

/// A run at the engine, which is cancelled when its guard is dropped.
pub(crate) struct ActiveRun {
    _guard: oneshot::Sender<()>,
    pub(crate) target: ModelTarget,
}

/// The active runs at the engine.
pub(crate) type ActiveRuns = Rc<RefCell<IndexMap<RunNumber, ActiveRun>>>;

impl EndpointDuty {
    async fn run(self, commands: Ring<EndpointCommand>) {
        if matches!(self.config.endpoint, Endpoint::Engine { .. }) {
            spawn(poll_engine(
                self.client.clone(),
                self.config.endpoint_address,
                self.config.limits,
                self.endpoint_events.clone(),
            ));
        }
        while let Some(command) = commands.pop().await {
            match command {
                EndpointCommand::Call(request) => {
                    spawn(run_call(
                        self.config.endpoint_address,
                        self.answer_budget.clone(),
                        self.config.limits,
                        *request,
                        self.endpoint_events.clone(),
                    ));
                }
                EndpointCommand::Order(order) => {
                    spawn(run_engine_order(
                        self.client.clone(),
                        self.config.endpoint_address,
                        Rc::clone(&self.runs),
                        order,
                    ));
                }
                EndpointCommand::Engine(EngineCommand::Run(request)) => self.start_run(*request),
                EndpointCommand::Engine(EngineCommand::Cancel(run)) => {
                    self.runs.borrow_mut().swap_remove(&run);
                }
            }
        }
    }

    fn start_run(&self, run_request: RunRequest) {
        let run = run_request.run;
        let (guard, is_cancelled) = oneshot::channel();
        let target = run_request.spec.target.clone();
        let active = ActiveRun {
            _guard: guard,
            target,
        };
        self.runs.borrow_mut().insert(run, active);
        let runs = Rc::clone(&self.runs);
        let running = run_generation(
            self.client.clone(),
            self.config.endpoint_address,
            run_request,
            self.endpoint_events.clone(),
        );
        spawn(async move {
            // Dropping the request closes its connection, which cancels the run at the engine.
            tokio::select! {
                () = running => {}
                _ = is_cancelled => {}
            }
            runs.borrow_mut().swap_remove(&run);
        });
    }
}
