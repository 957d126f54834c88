//! The place that a request takes at an endpoint from the moment of its choice.
//!
//! Were it counted only once its connection stands, requests that are placed at the same moment,
//! as when a zone has just gone down, would all choose the engine that was the emptiest before.

use std::rc::Rc;

use masticsill_catalogue::RouteKind;
use masticsill_registry::Announcement;

use crate::relay::Relay;

/// What an endpoint does for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Work {
    /// It reads the prompt of a stream.
    Prompt,
    /// It makes the events of a stream.
    Events,
    /// It makes a whole answer.
    Whole,
}

/// A request's place at an endpoint; dropped, it is free again.
#[derive(Debug)]
pub(crate) struct Reservation {
    endpoint: Announcement,
    relay: Rc<Relay>,
    work: Work,
}

impl Reservation {
    /// Takes a place for a request of a kind.
    pub(crate) fn take(relay: &Rc<Relay>, endpoint: Announcement, kind: RouteKind) -> Self {
        let work = match kind {
            RouteKind::Stream => Work::Prompt,
            RouteKind::Idempotent | RouteKind::NonIdempotent => Work::Whole,
        };
        relay.with_endpoint(&endpoint.id, |it| {
            it.in_flight += 1;
            it.reading += u32::from(work == Work::Prompt);
        });
        let reservation = Self {
            endpoint,
            relay: Rc::clone(relay),
            work,
        };
        reservation.tell();
        reservation
    }

    /// Where the place is.
    pub(crate) fn endpoint(&self) -> &Announcement {
        &self.endpoint
    }

    /// Notes the first event of a stream: its prompt has been read.
    pub(crate) fn end_reading(&mut self) {
        if self.work != Work::Prompt {
            return;
        }
        self.work = Work::Events;
        let id = &self.endpoint.id;
        self.relay
            .with_endpoint(id, |it| it.reading = it.reading.saturating_sub(1));
        self.tell();
    }

    /// Lets the other entries hear of it.
    fn tell(&self) {
        match self.work {
            Work::Prompt | Work::Events => self.relay.note_load_change(&self.endpoint.zone),
            Work::Whole => {}
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.end_reading();
        let id = &self.endpoint.id;
        self.relay
            .with_endpoint(id, |it| it.in_flight = it.in_flight.saturating_sub(1));
        self.tell();
    }
}
