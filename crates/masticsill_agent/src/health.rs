//! The engine's health and the announcement of the endpoint.

use masticsill_generation::{EngineHealth, FreezeDetector};
use masticsill_mesh::MeshHandle;
use masticsill_types::{Class, ClockMs, EndpointKind, EndpointProfile, LoadReport, log_event};
use masticsill_wire::engine::{EngineLoad, LoadedModels};

use crate::config::{AgentConfig, Endpoint};
use crate::events;

/// The state of the endpoint as the agent knows it.
#[derive(Debug)]
pub(crate) struct EndpointHealth {
    announced: Option<EndpointProfile>,
    detector: FreezeDetector,
    endpoint: Endpoint,
    load: EngineLoad,
    load_seen_at: ClockMs,
    mesh: MeshHandle,
    models: LoadedModels,
}

impl EndpointHealth {
    pub(crate) fn new(now: ClockMs, config: &AgentConfig, mesh: MeshHandle) -> Self {
        Self {
            announced: None,
            detector: FreezeDetector::new(now, config.limits.freeze),
            endpoint: config.endpoint.clone(),
            load: EngineLoad::default(),
            load_seen_at: now,
            mesh,
            models: LoadedModels::default(),
        }
    }

    pub(crate) fn record_activity(&mut self, now: ClockMs) {
        if self.detector.health() != EngineHealth::Alive {
            log_event!(info, events::ENGINE_ALIVE, at = now);
        }
        self.detector.record_activity(now);
    }

    pub(crate) fn note_load(&mut self, now: ClockMs, load: EngineLoad) {
        self.load = load;
        self.load_seen_at = now;
        self.record_activity(now);
    }

    pub(crate) fn note_models(&mut self, now: ClockMs, models: LoadedModels) {
        self.models = models;
        self.record_activity(now);
    }

    pub(crate) fn note_unreachable(&mut self, now: ClockMs) {
        if self.detector.health() != EngineHealth::Lost {
            log_event!(warn, events::ENGINE_LOST, at = now);
        }
        self.detector.record_refused_connection(now);
    }

    /// Whether the engine has just become frozen.
    pub(crate) fn check_frozen(&mut self, now: ClockMs) -> bool {
        let threshold_ms = self.detector.threshold_ms();
        let is_frozen = self.detector.check_frozen(now);
        if is_frozen {
            log_event!(
                warn,
                events::ENGINE_FROZEN,
                at = now,
                after_ms = threshold_ms
            );
        }
        is_frozen
    }

    /// Whether new attempts are allowed. An engine that has not been seen yet counts as available.
    pub(crate) fn is_available(&self) -> bool {
        match self.detector.health() {
            EngineHealth::Alive | EngineHealth::Unknown => true,
            EngineHealth::Frozen | EngineHealth::Lost => false,
        }
    }

    /// Whether a catalogue entry of the lookup class uses a model that the engine has loaded.
    pub(crate) fn is_shared(&self) -> bool {
        let view = self.mesh.catalogue();
        view.catalogue().entries().any(|versioned| {
            let entry = &versioned.entry;
            let target = entry.back_end.target();
            entry.class == Class::InstantLookup
                && target.is_some_and(|target| self.models.loaded.contains(target))
        })
    }

    /// The engine's last load report with its present age. Its waiting runs include the
    /// `waiting_at_agent` runs that wait at the agent.
    pub(crate) fn load(&self, now: ClockMs, waiting_at_agent: u32) -> LoadReport {
        LoadReport {
            running: self.load.running,
            waiting: self.load.waiting.saturating_add(waiting_at_agent),
            age_ms: self.load.age_ms + now.since(self.load_seen_at),
            token_gap_ms: self.load.token_gap_ms,
        }
    }

    /// Announces the endpoint if its profile changed. A later call repeats an announcement that the
    /// mesh did not accept.
    pub(crate) fn announce(&mut self, is_leaving: bool) {
        let profile = EndpointProfile {
            kind: self.kind(),
            is_leaving,
        };
        if self.announced.as_ref() != Some(&profile) && self.mesh.announce(profile.clone()) {
            self.announced = Some(profile);
        }
    }

    pub(crate) fn leave(&self) {
        self.mesh.leave();
    }

    fn kind(&self) -> EndpointKind {
        match &self.endpoint {
            Endpoint::Engine {
                is_checking_fencing,
            } => EndpointKind::Engine {
                // The models of an unavailable engine are not announced.
                loaded: if self.is_available() {
                    self.models.loaded.clone()
                } else {
                    Vec::new()
                },
                slots: self.models.slots,
                is_checking_fencing: *is_checking_fencing,
            },
            Endpoint::PlainService { service } => EndpointKind::PlainService {
                service: service.clone(),
            },
        }
    }
}
