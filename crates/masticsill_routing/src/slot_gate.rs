//! What an agent passes on to its engine, so that each class finds slots there.
//!
//! Entries place by reports that are late, so a few of them may take the same free slot. The agent
//! is the only way to its engine and knows what runs there: it holds the excess back itself, and
//! the slots that are kept for lookups stay free whatever the entries believe.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_types::{Class, ClockMs, GenerationId};

/// The reserve follows the most lookups seen at once in a window, up to this part of the slots.
const MAX_RESERVE_DIVISOR: u32 = 4;
const PEAK_WINDOW_MS: u64 = 10_000;
/// The part of a shared engine's slots that one class always finds free of the other.
const MIN_RESERVE_DIVISOR: u32 = 16;

/// Slots that each class finds free of the other at an engine that serves both.
pub(crate) fn reserved_slots(slots: u32) -> u32 {
    if slots < 2 {
        return 0;
    }
    (slots / MIN_RESERVE_DIVISOR).max(1)
}

/// The work at one engine: what was passed on, and what waits at the agent.
#[derive(Clone, Debug)]
pub struct SlotGate {
    drafts: VecDeque<GenerationId>,
    is_shared: bool,
    lookups: VecDeque<GenerationId>,
    /// The most lookups at once in the last window and in this one.
    peaks: [u32; 2],
    running: IndexMap<GenerationId, Class>,
    slots: u32,
    window_ends: ClockMs,
}

impl SlotGate {
    /// A gate before an engine with so many slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            drafts: VecDeque::new(),
            is_shared: true,
            lookups: VecDeque::new(),
            peaks: [0; 2],
            running: IndexMap::new(),
            slots,
            window_ends: ClockMs::default(),
        }
    }

    /// Takes the engine's slots as it tells them now.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Tells whether catalogue entries of the lookup class use the engine; if not, nothing is
    /// kept for them. A new gate takes it that they do.
    pub fn set_shared(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    /// Takes new work; [`SlotGate::forward_next`] tells when to pass it on.
    pub fn offer(&mut self, now: ClockMs, id: GenerationId, class: Class) {
        match class {
            Class::InstantLookup => self.lookups.push_back(id),
            Class::PatientDraft => self.drafts.push_back(id),
        }
        self.note_peak(now);
    }

    fn note_peak(&mut self, now: ClockMs) {
        if now >= self.window_ends {
            let is_next = now.since(self.window_ends) < PEAK_WINDOW_MS;
            self.peaks = [if is_next { self.peaks[1] } else { 0 }, 0];
            self.window_ends = now + PEAK_WINDOW_MS;
        }
        let waiting = u32::try_from(self.lookups.len()).unwrap_or(u32::MAX);
        let lookups = self.running(Class::InstantLookup).saturating_add(waiting);
        self.peaks[1] = self.peaks[1].max(lookups);
    }

    /// Slots kept for lookups: one more than came at once lately.
    fn lookup_reserve(&self) -> u32 {
        if !self.is_shared {
            return 0;
        }
        let least = reserved_slots(self.slots);
        let peak = self.peaks[0].max(self.peaks[1]);
        if peak == 0 {
            return least;
        }
        let most = self.slots / MAX_RESERVE_DIVISOR;
        (peak + 1).min(most).max(least)
    }

    /// Takes out work that ended at the engine or is no longer wanted.
    pub fn remove(&mut self, id: GenerationId) {
        if self.running.swap_remove(&id).is_none() {
            self.drafts.retain(|waiting| *waiting != id);
            self.lookups.retain(|waiting| *waiting != id);
        }
    }

    /// The next work to pass on; call it after each change until it gives `None`.
    pub fn forward_next(&mut self) -> Option<GenerationId> {
        for class in [Class::InstantLookup, Class::PatientDraft] {
            if !self.has_slot(class) {
                continue;
            }
            let waiting = match class {
                Class::InstantLookup => &mut self.lookups,
                Class::PatientDraft => &mut self.drafts,
            };
            if let Some(id) = waiting.pop_front() {
                self.running.insert(id, class);
                return Some(id);
            }
        }
        None
    }

    /// Work that waits at the agent.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.drafts.len() + self.lookups.len()
    }

    fn running(&self, class: Class) -> u32 {
        let of_class = self.running.values().filter(|one| **one == class);
        u32::try_from(of_class.count()).unwrap_or(u32::MAX)
    }

    fn has_slot(&self, class: Class) -> bool {
        let drafts = self.running(Class::PatientDraft);
        let lookups = self.running(Class::InstantLookup);
        let kept = match class {
            Class::InstantLookup if self.is_shared => {
                reserved_slots(self.slots).saturating_sub(drafts)
            }
            Class::InstantLookup => 0,
            Class::PatientDraft => self.lookup_reserve().saturating_sub(lookups),
        };
        drafts + lookups + kept < self.slots
    }
}
