//! Stand-ins and a fault-injecting proxy for tests and benches.

mod engine;
mod hosting;

pub use engine::{
    AnswerSpec, EngineSettings, EngineStats, FakeEngine, expected_answer, expected_text,
    model_target, prefix_hashes,
};
