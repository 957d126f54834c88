//! Stand-ins and a fault-injecting proxy for tests and benches.

mod caller;
mod deployment;
mod engine;
mod engine_process;
mod events;
mod hosting;
mod process;
mod proxy;
mod service;

pub use caller::{Caller, CallerAnswer, CallerError, CallerRequest, CallerStream};
pub use deployment::{Deployment, Node, OPERATOR_TOKEN, engine_entry, service_entry};
pub use engine::{
    AnswerSpec, EngineSettings, EngineStats, FakeEngine, expected_answer, expected_text,
    model_target, prefix_hashes,
};
pub use engine_process::{EngineProcess, EngineProcessSettings};
pub use events::ServerEvent;
pub use process::{
    ProcessError, ProcessUnderTest, built_binary, built_example, has_stopped, wait_until,
    write_settings,
};
pub use proxy::{Direction, FaultProxy, ProxyMode};
pub use service::{FakeService, ServiceSettings, ServiceStats};
