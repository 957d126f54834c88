//! A whole system with engines as processes of their own.

use std::net::SocketAddr;

use masticsill_testkit::{
    Deployment, EngineProcess, EngineProcessSettings, EngineStats, ProcessUnderTest, built_binary,
    built_example, engine_entry,
};
use serde_json::{Value, json};
use tempfile::TempDir;

/// How a system is started.
#[derive(Clone, Debug)]
pub struct SystemSettings {
    /// Control replicas.
    pub control_count: usize,
    /// Engines, each with an agent of its own.
    pub engine_count: usize,
    /// More fields of the entry's role.
    pub entry: Value,
    /// Whether fault proxies stand between the entry and the agents.
    pub is_proxied: bool,
    /// Requests that an engine decodes at the same time.
    pub slots: u32,
    /// Time of one step, in milliseconds.
    pub step_ms: u64,
}

impl Default for SystemSettings {
    fn default() -> Self {
        Self {
            control_count: 1,
            engine_count: 1,
            entry: json!({}),
            is_proxied: false,
            slots: 16,
            step_ms: 20,
        }
    }
}

/// A control quorum, one entry, and agents with an engine each.
#[derive(Debug)]
pub struct System {
    /// The daemon's processes.
    pub deployment: Deployment,
    /// The engines, `engine-0` beside `agent-0` and so on.
    pub engines: Vec<EngineProcess>,
    folder: TempDir,
    settings: SystemSettings,
}

impl System {
    /// Starts a system that serves the catalogue entry `draft`.
    ///
    /// # Panics
    ///
    /// When a process does not start; build the workspace with all examples first.
    #[must_use]
    pub fn start(settings: SystemSettings) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let mut deployment = Deployment::new(&built_binary("masticsill"));
        if !settings.is_proxied {
            deployment = deployment.without_proxies();
        }
        deployment.start_controls(settings.control_count);
        deployment.start_entry("entry-0", "zone-0", &settings.entry);
        let mut engines = Vec::new();
        for index in 0..settings.engine_count {
            let log = folder.path().join(format!("engine-{index}.log"));
            let engine = EngineProcess::start(engine_settings(&settings), &log);
            let name = format!("agent-{index}");
            deployment.start_engine_agent(&name, "zone-0", engine.address(), &json!({}));
            engines.push(engine);
        }
        deployment.put(&engine_entry("draft", "patient_draft", "draft", "v1"), 0);
        deployment.await_models("entry-0", 1);
        Self {
            deployment,
            engines,
            folder,
            settings,
        }
    }

    /// Starts an engine that was killed again, at its former address.
    ///
    /// # Panics
    ///
    /// When it does not start.
    pub fn restart_engine(&mut self, index: usize) {
        let address: SocketAddr = self.engines[index].address();
        let log = self.folder.path().join(format!("engine-{index}.log"));
        let settings = engine_settings(&self.settings);
        let arguments = [
            "--listen".to_owned(),
            address.to_string(),
            "--slots".to_owned(),
            settings.slots.to_string(),
            "--step-ms".to_owned(),
            settings.step_ms.to_string(),
            "--model".to_owned(),
            settings.model.to_owned(),
            "--version".to_owned(),
            settings.version.to_owned(),
        ];
        let process = ProcessUnderTest::spawn(&built_example("fake_engine"), arguments, &log);
        let process = process.unwrap_or_else(|error| panic!("{error}"));
        self.engines[index] = EngineProcess { process };
    }

    /// An engine's counters; zeroes while it is dead or paused.
    #[must_use]
    pub fn engine_stats(&self, index: usize) -> EngineStats {
        let stats = self.engines[index].stats(self.deployment.caller());
        stats.unwrap_or_default()
    }
}

fn engine_settings(settings: &SystemSettings) -> EngineProcessSettings<'static> {
    EngineProcessSettings {
        model: "draft",
        slots: settings.slots,
        step_ms: settings.step_ms,
        version: "v1",
    }
}
