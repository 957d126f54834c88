//! The reservation that a request holds at an endpoint from the moment the endpoint is chosen.
//!
//! If a request were counted only once its connection is established, requests placed at the same
//! moment, for example after a zone failure, would all choose the engine that was the least loaded
//! before.

use std::rc::Rc;

use masticsill_dispatch::Work;
use masticsill_quarantine::Fingerprint;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_types::ClockMs;

use crate::relay::Relay;

/// The load that a request puts on an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReservedLoad {
    /// A run that resumes from a copy of its KV cache, without a prefill.
    Copy {
        /// Tokens in the KV cache at the end of the run.
        tokens: u64,
    },
    /// A run that begins with the prefill of its prompt.
    Prompt {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens in the KV cache at the end of the run.
        tokens: u64,
    },
    /// A plain request.
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

/// A prefill in progress.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    began_at: ClockMs,
    /// Whether no other prefill was in progress when this one began, so that its duration is a
    /// measure of the engine's speed.
    is_alone: bool,
    tokens: u64,
}

/// A request's reservation at an endpoint, released on drop.
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
    /// Reserves capacity at an endpoint.
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
            it.request_limit.take_turn(began_at);
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

    /// The endpoint of the reservation.
    pub(crate) fn endpoint(&self) -> &Announcement {
        &self.endpoint
    }

    /// Records that an endpoint has crashed under the request, so that other such requests avoid
    /// this endpoint.
    pub(crate) fn mark_suspect_run(&mut self, fingerprint: Fingerprint) {
        self.suspect = Some(fingerprint);
        let run = (fingerprint, self.endpoint.id.clone());
        self.relay.suspect_runs.borrow_mut().push(run);
    }

    /// Records how many prompt tokens the engine has cached, which are left out of the prefill.
    pub(crate) fn record_cached_tokens(&mut self, tokens: u64) {
        if let Some(prefill) = &mut self.prefill {
            prefill.tokens = prefill.tokens.saturating_sub(tokens);
        }
    }

    /// Records the end of the prefill, at the first event of a stream.
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
        self.relay.capacity_changed.notify_one();
    }

    /// Triggers a load report to the other entries, except for plain requests, which end sooner
    /// than the report would arrive.
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
            if let Some(position) = runs.iter().position(|it| *it == run) {
                runs.swap_remove(position);
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
            it.record_release(now);
        });
        self.report_change();
        self.relay.capacity_changed.notify_one();
    }
}

/// Memory reserved at an engine for a copy of another engine's run; released on drop.
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
            it.record_release(now);
            it.held_tokens = it.held_tokens.saturating_sub(self.tokens);
            zone = Some(it.announcement.zone.clone());
        });
        if let Some(zone) = zone {
            self.relay.note_load_change(&zone);
            self.relay.capacity_changed.notify_one();
        }
    }
}
