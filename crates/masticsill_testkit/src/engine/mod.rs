//! A model engine that batches continuously and answers deterministically.

mod answer;
mod batch;
mod cache;
mod http;

use std::io;
use std::net::SocketAddr;

use masticsill_types::{ModelId, ModelTarget, VersionId};

use crate::hosting::HostedServer;
use batch::Batch;
use http::SharedBatch;

pub use answer::{AnswerSpec, expected_answer, expected_text};
pub use batch::EngineStats;
pub use cache::prefix_hashes;

/// How a fake engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Each so-many-th cache event is lost; zero loses none.
    pub cache_event_gap_every: u64,
    /// Age at which cache events are published, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// Whether orders with an old fencing number are refused.
    pub is_checking_fencing: bool,
    /// Where to listen; port zero takes a free one.
    pub listen: SocketAddr,
    /// Age at which load reports are published, in milliseconds.
    pub load_lag_ms: u64,
    /// What is loaded at the start.
    pub loaded: Vec<ModelTarget>,
    /// Prefill time for each token outside the prefix cache, in microseconds.
    pub prefill_us_per_token: u64,
    /// Requests decoded at the same time.
    pub slots: usize,
    /// Time of one step, in milliseconds.
    pub step_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            cache_event_gap_every: 0,
            cache_event_lag_ms: 0,
            cache_tokens: 65_536,
            is_checking_fencing: false,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            load_lag_ms: 0,
            loaded: vec![model_target("draft", "v1")],
            prefill_us_per_token: 0,
            slots: 16,
            step_ms: 20,
        }
    }
}

/// A target without adapter.
///
/// # Panics
///
/// When a name is not a valid id.
#[must_use]
pub fn model_target(model: &str, version: &str) -> ModelTarget {
    ModelTarget {
        adapter: None,
        model: ModelId::new(model).expect("the model's name is valid"),
        version: VersionId::new(version).expect("the version's name is valid"),
    }
}

/// A running fake engine. Dropping it cuts all its connections.
#[derive(Debug)]
pub struct FakeEngine {
    batch: SharedBatch,
    server: HostedServer,
}

impl FakeEngine {
    /// Starts an engine on a thread of its own.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let listen = settings.listen;
        let step_ms = settings.step_ms;
        let batch = SharedBatch::new(Batch::new(settings));
        let shared = batch.clone();
        let server = HostedServer::start("fake-engine", listen, move |config| {
            ntex::rt::spawn(http::run_steps(shared.clone(), step_ms));
            http::configure(config, shared.clone());
        })?;
        Ok(Self { batch, server })
    }

    /// Where the engine listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The counters now.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.batch.lock().stats()
    }

    /// Freezes steps and HTTP from the next step on, for a time in milliseconds.
    pub fn freeze(&self, freeze_ms: u64) {
        self.batch.lock().freeze(freeze_ms);
    }

    /// Lengthens the prefill of the next request that gets a slot, in milliseconds.
    pub fn lengthen_prefill(&self, long_prefill_ms: u64) {
        self.batch.lock().lengthen_prefill(long_prefill_ms);
    }

    /// Waits until the server ends, which is never unless it fails.
    pub fn wait(self) {
        self.server.wait();
    }
}
