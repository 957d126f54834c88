//! What waits at the agent until its engine has a slot for it.

use indexmap::IndexMap;
use masticsill_generation::{EngineCommand, RunNumber, RunRequest};
use masticsill_routing::SlotGate;
use masticsill_types::{ClockMs, GenerationId};

/// Holds runs back so that lookups find a slot beside drafts.
///
/// Runs, not generations, are counted: a run that replaces another of its generation is new work.
#[derive(Debug)]
pub(crate) struct EngineGate {
    gate: SlotGate,
    held: IndexMap<RunNumber, Box<RunRequest>>,
}

impl EngineGate {
    /// A gate that holds nothing back until the engine has told its slots.
    pub(crate) fn new() -> Self {
        Self {
            gate: SlotGate::new(u32::MAX),
            held: IndexMap::new(),
        }
    }

    /// Takes the slots as the engine tells them; zero is not a number of slots and holds nothing
    /// back.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.gate
            .set_slots(if slots == 0 { u32::MAX } else { slots });
    }

    /// Tells whether lookups use the engine.
    pub(crate) fn set_shared(&mut self, is_shared: bool) {
        self.gate.set_shared(is_shared);
    }

    /// Takes a command; returns one that goes to the engine at once.
    pub(crate) fn take(&mut self, now: ClockMs, command: EngineCommand) -> Option<EngineCommand> {
        match command {
            EngineCommand::Run(order) => {
                self.gate.offer(now, name(order.run), order.spec.class);
                self.held.insert(order.run, order);
                None
            }
            EngineCommand::Cancel(run) => {
                self.gate.remove(name(run));
                match self.held.shift_remove(&run) {
                    // The engine never heard of it.
                    Some(_) => None,
                    None => Some(EngineCommand::Cancel(run)),
                }
            }
        }
    }

    /// Notes that the engine ended a run.
    pub(crate) fn note_ended(&mut self, run: RunNumber) {
        self.gate.remove(name(run));
    }

    /// The next run to pass on; call it after each change until it gives `None`.
    pub(crate) fn forward_next(&mut self) -> Option<EngineCommand> {
        let passed = self.gate.forward_next()?;
        let number = u64::try_from(passed.0).expect("the gate names runs by their number");
        let order = self.held.shift_remove(&RunNumber(number));
        order.map(EngineCommand::Run)
    }

    /// Runs that wait here.
    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(u32::MAX)
    }
}

fn name(run: RunNumber) -> GenerationId {
    GenerationId(u128::from(run.0))
}
