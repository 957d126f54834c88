//! Admission of runs to the engine: runs wait at the agent until the engine has a free slot.

use indexmap::IndexMap;
use masticsill_generation::{EngineCommand, RunNumber, RunRequest};
use masticsill_routing::SlotGate;
use masticsill_types::{ClockMs, GenerationId};

/// Limits the runs at the engine, so that lookups find a free slot while drafts are running.
///
/// The gate counts runs and not generations: a run that replaces another run of its generation is
/// new work for the engine.
#[derive(Debug)]
pub(crate) struct EngineGate {
    gate: SlotGate,
    waiting: IndexMap<RunNumber, Box<RunRequest>>,
}

impl EngineGate {
    /// Creates a gate that limits nothing until the engine has reported its number of slots.
    pub(crate) fn new() -> Self {
        Self {
            gate: SlotGate::new(u32::MAX),
            waiting: IndexMap::new(),
        }
    }

    /// Sets the number of slots that the engine reports. Zero means that the number is unknown, and
    /// nothing is limited.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.gate
            .set_slots(if slots == 0 { u32::MAX } else { slots });
    }

    /// Sets whether lookups share the engine.
    pub(crate) fn set_shared(&mut self, is_shared: bool) {
        self.gate.set_shared(is_shared);
    }

    /// Handles a command and returns the one to send to the engine at once, if any. A run waits for
    /// [`EngineGate::forward_next`].
    pub(crate) fn handle_command(
        &mut self,
        now: ClockMs,
        command: EngineCommand,
    ) -> Option<EngineCommand> {
        match command {
            EngineCommand::Run(run_request) => {
                self.gate
                    .offer(now, gate_id(run_request.run), run_request.spec.class);
                self.waiting.insert(run_request.run, run_request);
                None
            }
            EngineCommand::Cancel(run) => {
                self.gate.remove(gate_id(run));
                match self.waiting.shift_remove(&run) {
                    // The run was never sent to the engine.
                    Some(_) => None,
                    None => Some(EngineCommand::Cancel(run)),
                }
            }
        }
    }

    /// Records that the engine ended a run, which frees its slot.
    pub(crate) fn note_ended(&mut self, run: RunNumber) {
        self.gate.remove(gate_id(run));
    }

    /// Removes and returns the next run to send to the engine. Call this after each change until it
    /// returns `None`.
    pub(crate) fn forward_next(&mut self) -> Option<EngineCommand> {
        let admitted = self.gate.forward_next()?;
        let number = u64::try_from(admitted.0).expect("the gate identifies runs by their number");
        let run_request = self.waiting.shift_remove(&RunNumber(number));
        run_request.map(EngineCommand::Run)
    }

    /// Number of runs that wait at the agent.
    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }
}

fn gate_id(run: RunNumber) -> GenerationId {
    GenerationId(u128::from(run.0))
}
