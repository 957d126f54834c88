//! The gate with which an agent limits what it forwards to its engine, by class.
//!
//! Entries place requests by load reports that are out of date, so several of them may choose the
//! same free slot. All requests to an engine go through its agent, which knows what runs there: it
//! queues the excess, and keeps the slots reserved for lookups free whatever the entries assume.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_types::{Class, ClockMs, GenerationId};

/// The lookup reserve follows the peak of concurrent lookups in a window, up to the number of slots
/// divided by this.
const MAX_RESERVE_DIVISOR: u32 = 4;
/// Length of the window in which the peak of concurrent lookups is taken.
const PEAK_WINDOW_MS: u64 = 10_000;
/// At an engine that serves both classes, each class finds at least the number of slots divided by
/// this free of the other class's requests.
const MIN_RESERVE_DIVISOR: u32 = 16;

/// Slots that each class finds free of the other class's requests at an engine that serves both.
pub(crate) fn reserved_slots(slots: u32) -> u32 {
    if slots < 2 {
        return 0;
    }
    (slots / MIN_RESERVE_DIVISOR).max(1)
}

/// The requests at one engine: those forwarded to it, and those queued at its agent.
#[derive(Clone, Debug)]
pub struct SlotGate {
    drafts: VecDeque<GenerationId>,
    is_shared: bool,
    lookups: VecDeque<GenerationId>,
    /// Peaks of concurrent lookups in the previous and in the current window.
    peaks: [u32; 2],
    running: IndexMap<GenerationId, Class>,
    slots: u32,
    window_ends: ClockMs,
}

impl SlotGate {
    /// A gate for an engine with `slots` slots, shared by both classes until
    /// [`SlotGate::set_shared`] says otherwise.
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

    /// Sets the number of slots that the engine reports.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets whether catalogue entries of the lookup class use the engine. If none does, no slots
    /// are reserved.
    pub fn set_shared(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    /// Queues a new request; [`SlotGate::forward_next`] returns it once it may be forwarded.
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

    /// Slots reserved for lookups: one more than the recent peak of concurrent lookups, so that the
    /// next one finds a slot.
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

    /// Removes a request that ended at the engine or was cancelled.
    pub fn remove(&mut self, id: GenerationId) {
        if self.running.swap_remove(&id).is_none() {
            self.drafts.retain(|waiting| *waiting != id);
            self.lookups.retain(|waiting| *waiting != id);
        }
    }

    /// The next request to forward to the engine. Call it after each change until it returns
    /// `None`.
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

    /// Requests queued at the agent.
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
