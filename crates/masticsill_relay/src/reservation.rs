//! The place that a request takes at an endpoint from the moment of its choice.
//!
//! Were it counted only once its connection stands, requests that are placed at the same moment,
//! as when a zone has just gone down, would all choose the engine that was the emptiest before.

use std::rc::Rc;

use masticsill_dispatch::Work;
use masticsill_quarantine::Fingerprint;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_types::ClockMs;

use crate::relay::Relay;

/// What a request takes at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReservedLoad {
    /// A run that goes on from a copy of its memory: nothing is read.
    Copy {
        /// Tokens that it holds in the end.
        tokens: u64,
    },
    /// A run that begins with its prompt.
    Prompt {
        /// Tokens that the prompt has.
        prompt_tokens: u64,
        /// Tokens that the run holds in the end.
        tokens: u64,
    },
    /// A whole answer.
    Whole,
}

impl From<&Work> for ReservedLoad {
    fn from(work: &Work) -> Self {
        match work {
            Work::Stream {
                prompt_tokens,
                tokens,
                ..
            } => Self::Prompt {
                prompt_tokens: *prompt_tokens,
                tokens: *tokens,
            },
            Work::Whole => Self::Whole,
        }
    }
}

impl ReservedLoad {
    fn tokens(self) -> u64 {
        match self {
            Self::Copy { tokens } | Self::Prompt { tokens, .. } => tokens,
            Self::Whole => 0,
        }
    }
}

/// A prompt that is being read.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    began_at: ClockMs,
    /// Whether no other prompt was before it, so that its time tells of the engine.
    is_alone: bool,
    tokens: u64,
}

/// A request's place at an endpoint; dropped, it is free again.
#[derive(Debug)]
pub(crate) struct Reservation {
    endpoint: Announcement,
    load: ReservedLoad,
    prefill: Option<Prefill>,
    relay: Rc<Relay>,
    /// The request, if an endpoint has crashed under it.
    suspect: Option<Fingerprint>,
}

impl Reservation {
    /// Takes a place.
    pub(crate) fn take(relay: &Rc<Relay>, endpoint: Announcement, load: ReservedLoad) -> Self {
        let mut prefill = None;
        let began_at = relay.now();
        relay.with_endpoint(&endpoint.id, |it| {
            if let ReservedLoad::Prompt { prompt_tokens, .. } = load {
                prefill = Some(Prefill {
                    began_at,
                    is_alone: it.reading_total(began_at) == 0,
                    tokens: prompt_tokens,
                });
                it.begin_reading();
            }
            it.in_flight += 1;
            it.held_tokens += load.tokens();
        });
        let reservation = Self {
            endpoint,
            load,
            prefill,
            relay: Rc::clone(relay),
            suspect: None,
        };
        reservation.report_change();
        reservation
    }

    /// Where the place is.
    pub(crate) fn endpoint(&self) -> &Announcement {
        &self.endpoint
    }

    /// Notes that an endpoint has crashed under the request, so that others of the kind go elsewhere.
    pub(crate) fn mark_suspect_run(&mut self, fingerprint: Fingerprint) {
        self.suspect = Some(fingerprint);
        let run = (fingerprint, self.endpoint.id.clone());
        self.relay.suspect_runs.borrow_mut().push(run);
    }

    /// Notes how much of the prompt the engine keeps: that much is not read.
    pub(crate) fn note_cached_tokens(&mut self, tokens: u64) {
        if let Some(prefill) = &mut self.prefill {
            prefill.tokens = prefill.tokens.saturating_sub(tokens);
        }
    }

    /// Notes the first event of a stream: its prompt has been read.
    pub(crate) fn end_prefill(&mut self) {
        let Some(prefill) = self.prefill.take() else {
            return;
        };
        let now = self.relay.now();
        let elapsed_ms = now.since(prefill.began_at);
        self.relay.with_endpoint(&self.endpoint.id, |it| {
            it.end_reading(now);
            if prefill.is_alone {
                it.reading_pace.note(prefill.tokens, elapsed_ms);
            }
        });
        self.report_change();
        self.relay.room_changed.notify_one();
    }

    /// Lets the other entries hear of it. Whole answers end sooner than the word would arrive.
    fn report_change(&self) {
        match self.load {
            ReservedLoad::Copy { .. } | ReservedLoad::Prompt { .. } => {
                self.relay.note_load_change(&self.endpoint.zone);
            }
            ReservedLoad::Whole => {}
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(suspect) = self.suspect {
            let run = (suspect, self.endpoint.id.clone());
            let mut runs = self.relay.suspect_runs.borrow_mut();
            if let Some(place) = runs.iter().position(|it| *it == run) {
                runs.swap_remove(place);
            }
        }
        let is_prefilling = self.prefill.is_some();
        let now = self.relay.now();
        self.relay.with_endpoint(&self.endpoint.id, |it| {
            if is_prefilling {
                it.end_reading(now);
            }
            it.in_flight = it.in_flight.saturating_sub(1);
            it.held_tokens = it.held_tokens.saturating_sub(self.load.tokens());
            it.note_left(now);
        });
        self.report_change();
        self.relay.room_changed.notify_one();
    }
}

/// Memory of an engine that a copy of another engine's run takes; dropped, it counts no more.
#[derive(Debug)]
pub(crate) struct CopyReservation {
    endpoint: EndpointId,
    relay: Rc<Relay>,
    tokens: u64,
}

impl CopyReservation {
    pub(crate) fn take(relay: &Rc<Relay>, endpoint: &Announcement, tokens: u64) -> Self {
        relay.with_endpoint(&endpoint.id, |it| it.held_tokens += tokens);
        relay.note_load_change(&endpoint.zone);
        Self {
            endpoint: endpoint.id.clone(),
            relay: Rc::clone(relay),
            tokens,
        }
    }
}

impl Drop for CopyReservation {
    fn drop(&mut self) {
        let mut zone = None;
        let now = self.relay.now();
        self.relay.with_endpoint(&self.endpoint, |it| {
            it.note_left(now);
            it.held_tokens = it.held_tokens.saturating_sub(self.tokens);
            zone = Some(it.announcement.zone.clone());
        });
        if let Some(zone) = zone {
            self.relay.note_load_change(&zone);
            self.relay.room_changed.notify_one();
        }
    }
}
