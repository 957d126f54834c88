//! A whole system with engines as processes of their own.

use std::net::SocketAddr;
use std::path::Path;

use masticsill_testkit::{Deployment, ProcessUnderTest, built_binary, built_example, engine_entry};
use serde_json::{Value, json};
use tempfile::TempDir;

/// A fake engine as a process.
#[derive(Debug)]
pub struct EngineProcess {
    /// The process.
    pub process: ProcessUnderTest,
}

impl EngineProcess {
    /// Starts an engine that has model `draft` version `v1` loaded.
    ///
    /// # Panics
    ///
    /// When the example `fake_engine` is not built or does not start.
    #[must_use]
    pub fn start(slots: u32, step_ms: u64, log: &Path) -> Self {
        let (slots, step_ms) = (slots.to_string(), step_ms.to_string());
        let arguments = [
            "--listen",
            "127.0.0.1:0",
            "--slots",
            &slots,
            "--step-ms",
            &step_ms,
            "--model",
            "draft",
            "--version",
            "v1",
        ];
        let process = ProcessUnderTest::spawn(&built_example("fake_engine"), arguments, log)
            .unwrap_or_else(|error| panic!("{error}"));
        Self { process }
    }

    /// The engine's HTTP address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.process.address("http")
    }
}

/// A quorum of one, one entry, and agents with an engine each.
#[derive(Debug)]
pub struct System {
    /// The daemon's processes.
    pub deployment: Deployment,
    /// The engines, `engine-0` beside `agent-0` and so on.
    pub engines: Vec<EngineProcess>,
    _folder: TempDir,
}

impl System {
    /// Starts a system that serves the catalogue entry `draft`.
    ///
    /// # Panics
    ///
    /// When a process does not start; build the workspace with all examples first.
    #[must_use]
    pub fn start(engine_count: usize, slots: u32, step_ms: u64, entry: &Value) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let mut deployment = Deployment::new(&built_binary("masticsill"));
        deployment.start_controls(1);
        deployment.start_entry("entry-0", "zone-0", entry);
        let mut engines = Vec::new();
        for index in 0..engine_count {
            let log = folder.path().join(format!("engine-{index}.log"));
            let engine = EngineProcess::start(slots, step_ms, &log);
            let name = format!("agent-{index}");
            deployment.start_engine_agent(&name, "zone-0", engine.address(), &json!({}));
            engines.push(engine);
        }
        deployment.put(&engine_entry("draft", "patient_draft", "draft", "v1"), 0);
        deployment.await_models("entry-0", 1);
        Self {
            deployment,
            engines,
            _folder: folder,
        }
    }
}
