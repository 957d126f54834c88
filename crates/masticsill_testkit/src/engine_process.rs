//! A fake engine as a process of its own, so that it can really die and really freeze.

use std::net::SocketAddr;
use std::path::Path;

use crate::caller::{Caller, CallerRequest};
use crate::engine::EngineStats;
use crate::process::{ProcessUnderTest, built_example};

const STATS_BOUND_MS: u64 = 2_000;

/// How a fake engine's process is started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineProcessSettings<'a> {
    /// The model that is loaded.
    pub model: &'a str,
    /// Requests decoded at the same time.
    pub slots: u32,
    /// Time of one step, in milliseconds.
    pub step_ms: u64,
    /// The model's version.
    pub version: &'a str,
}

/// A fake engine as a process.
#[derive(Debug)]
pub struct EngineProcess {
    /// The process, to be killed, paused and resumed.
    pub process: ProcessUnderTest,
}

impl EngineProcess {
    /// Starts the example `fake_engine`; its output goes to `log`.
    ///
    /// # Panics
    ///
    /// When the example is not built (`cargo build --workspace --all-targets`) or does not start.
    #[must_use]
    pub fn start(settings: EngineProcessSettings<'_>, log: &Path) -> Self {
        let slots = settings.slots.to_string();
        let step_ms = settings.step_ms.to_string();
        let arguments = [
            "--listen",
            "127.0.0.1:0",
            "--slots",
            &slots,
            "--step-ms",
            &step_ms,
            "--model",
            settings.model,
            "--version",
            settings.version,
        ];
        let process = ProcessUnderTest::spawn(&built_example("fake_engine"), arguments, log);
        Self {
            process: process.unwrap_or_else(|error| panic!("{error}")),
        }
    }

    /// The engine's HTTP address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.process.address("http")
    }

    /// The engine's counters; `None` while it is dead or paused.
    #[must_use]
    pub fn stats(&self, caller: &Caller) -> Option<EngineStats> {
        let request = CallerRequest::get(self.address(), "/stats");
        let answer = caller.call(request, STATS_BOUND_MS).ok()?;
        serde_json::from_value(answer.json()).ok()
    }
}
