//! Who is sent where now, who waits, and who is refused.
//!
//! The load that this answers is any beyond what the endpoints can bear, from a zone's loss to ten
//! times the usual number of requests: what does not fit is not sent, since every prompt that an
//! engine reads for nobody takes the place of one that could be answered in time. What can still
//! be answered in time waits here for the first free place; all else is refused at once.

use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;

use crate::capacity::{Contention, EntryPosition, has_capacity};
use crate::endpoint::Endpoint;
use crate::endpoints::EndpointTable;
use crate::estimate::{latest_start, wait_ms};
use crate::placement::{Choice, PlacementRequest, choose, suspect_zones};
use crate::refusal::{Overload, refuse};
use crate::service_queue::{Rank, Requirements, ServiceQueue, Terms, Ticket, Waiting};

/// Part of the aim (a tenth) after which a request that waits is refused or served for good: who
/// has waited longer than that is not sent away any more.
const COMMIT_TARGET_DIVISOR: u64 = 10;
/// The most of it: callers hear of a refusal within half a second.
const MAX_COMMIT_DELAY_MS: u64 = 400;
/// Longest wait of what is late already: about two prompts of every engine's.
const MAX_LATE_WAIT_MS: u64 = 3_000;
/// Requests that may wait for one service at one entry: more than are ever served in time, so
/// that a wrong estimate can't fill the memory.
const MAX_QUEUED_REQUESTS: usize = 256;

/// What surrounds a decision: where this entry is, and whom it may connect to.
pub struct DispatchContext<'a> {
    /// Endpoints that accept no further connection of this entry.
    pub closed: &'a [EndpointId],
    /// Where this entry stands among all.
    pub entry: EntryPosition<'a>,
}

/// What is to be done with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// No endpoint of its service is known that it could go to.
    NoEndpoint,
    /// It is refused: it could not be answered in time.
    Refuse(Overload),
    /// It goes there.
    Send(Choice),
    /// It waits; [`Dispatcher::next`] ends the wait.
    Wait(Ticket),
}

/// The end of a wait.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitOutcome {
    /// It is refused after all.
    Refuse(Ticket, Overload),
    /// It goes there.
    Send(Ticket, Choice),
}

/// The requests that wait at this entry.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    queues: IndexMap<String, ServiceQueue>,
    last_ticket: u64,
}

impl Dispatcher {
    /// Decides on a request. `jitter` gives numbers from zero to one.
    pub fn ask(
        &mut self,
        now: ClockMs,
        table: &EndpointTable,
        need: &Requirements,
        terms: &Terms,
        around: &DispatchContext<'_>,
        mut jitter: impl FnMut() -> f64,
    ) -> Decision {
        let queue = self.queues.entry(need.service.clone()).or_default();
        queue.note_workspace(now, terms);
        let rank = rank_of(queue, now, table, need, terms);
        let ahead = queue.ahead_of(rank);
        let contention = queue.contention(now, now);
        let yields = rank == Rank::Late && queue.is_overload_sustained(now);
        let choice = if ahead == 0 && !yields {
            place(now, table, need, contention, around, &mut jitter)
        } else {
            None
        };
        if matches!(rank, Rank::Returning | Rank::New) {
            queue.note_placement(choice.is_some());
        }
        if let Some(choice) = choice {
            queue.note_start(now, need);
            return Decision::Send(choice);
        }
        let anybody = |_: &_| true;
        if choose(table, now, &wanted(need, around), anybody, &mut jitter).is_none() {
            return Decision::NoEndpoint;
        }
        queue.note_overloaded(now);
        let wait_ms = wait_ms(queue, now, table, need, around.entry.entries, ahead);
        let is_in_time = match rank {
            Rank::Resume => true,
            Rank::Returning | Rank::New => {
                let longest_ms = latest_start(queue, table, need, terms).since(now);
                let one_ms = (wait_ms / (ahead as u64 + 1)).max(1);
                let places = usize::try_from(longest_ms / one_ms).unwrap_or(usize::MAX);
                wait_ms <= longest_ms && !queue.is_share_exhausted(terms, places)
            }
            Rank::Late => !yields,
        };
        if !is_in_time || queue.len() >= MAX_QUEUED_REQUESTS {
            let overload = refuse(queue, now, terms, ahead, wait_ms, jitter());
            return Decision::Refuse(overload);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        queue.push(Waiting {
            is_committed: rank == Rank::Resume,
            // A place is kept for a moment only.
            need: Requirements {
                reserved_endpoint: None,
                ..need.clone()
            },
            rank,
            since: now,
            terms: terms.clone(),
            ticket,
        });
        Decision::Wait(ticket)
    }

    /// The next end of a wait, if one has come. Call it after each change of an endpoint until it
    /// gives `None`, and again within a few tens of milliseconds.
    pub fn next(
        &mut self,
        now: ClockMs,
        table: &EndpointTable,
        around: &DispatchContext<'_>,
        mut jitter: impl FnMut() -> f64,
    ) -> Option<WaitOutcome> {
        for queue in self.queues.values_mut().filter(|queue| !queue.is_empty()) {
            if let Some(waiting) = take_expired(queue, now, table, around.entry.entries) {
                let ahead = queue.ahead_of(waiting.rank);
                let wait_ms = wait_ms(
                    queue,
                    now,
                    table,
                    &waiting.need,
                    around.entry.entries,
                    ahead,
                );
                let overload = refuse(queue, now, &waiting.terms, ahead, wait_ms, jitter());
                return Some(WaitOutcome::Refuse(waiting.ticket, overload));
            }
            let Some((ticket, choice)) = next_start(queue, now, table, around, &mut jitter) else {
                continue;
            };
            let waiting = queue.take(ticket)?;
            queue.note_start(now, &waiting.need);
            return Some(WaitOutcome::Send(ticket, choice));
        }
        None
    }

    /// Takes out a request whose caller has left.
    pub fn withdraw(&mut self, ticket: Ticket) {
        for queue in self.queues.values_mut() {
            if queue.take(ticket).is_some() {
                return;
            }
        }
    }

    /// Whether more is asked of a service than fits.
    #[must_use]
    pub fn is_overloaded(&self, now: ClockMs, service: &str) -> bool {
        let queue = self.queues.get(service);
        queue.is_some_and(|queue| queue.is_overloaded(now))
    }

    /// Services for which requests wait.
    pub fn waiting_services(&self) -> impl Iterator<Item = &str> {
        let queues = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        queues.map(|(service, _)| service.as_str())
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ServiceQueue::len).sum()
    }
}

/// The first in order that can start, and where. One that finds no place holds up those behind it,
/// or small requests would take every place before a large one; one that must avoid some endpoints
/// does not.
fn next_start(
    queue: &ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    around: &DispatchContext<'_>,
    jitter: &mut impl FnMut() -> f64,
) -> Option<(Ticket, Choice)> {
    for waiting in queue.in_order() {
        let contention = match waiting.rank {
            Rank::Resume => Contention::Uncontended,
            Rank::Returning | Rank::New | Rank::Late => queue.contention(now, waiting.since),
        };
        let choice = place(now, table, &waiting.need, contention, around, jitter);
        if let Some(choice) = choice {
            return Some((waiting.ticket, choice));
        }
        if waiting.need.excluded.is_empty() {
            return None;
        }
    }
    None
}

/// The best endpoint that has room.
///
/// One that has just failed, or whose zone has, often has room for that very reason: it is chosen
/// only where every endpoint is such.
fn place(
    now: ClockMs,
    table: &EndpointTable,
    need: &Requirements,
    contention: Contention,
    around: &DispatchContext<'_>,
    jitter: &mut impl FnMut() -> f64,
) -> Option<Choice> {
    let asked = wanted(need, around);
    let suspect = suspect_zones(table, &need.service, now);
    let is_sound = |it: &Endpoint| {
        !it.is_silent() && !it.is_backing_off(now) && !suspect.contains(&&it.announcement.zone)
    };
    let is_any_sound = table
        .iter()
        .any(|it| asked.is_candidate(it) && is_sound(it));
    let capacity = |it: &Endpoint| {
        let has_capacity = has_capacity(it, now, need, &around.entry, contention);
        has_capacity && (is_sound(it) || !is_any_sound)
    };
    choose(table, now, &asked, capacity, jitter)
}

fn wanted<'a>(need: &'a Requirements, around: &DispatchContext<'a>) -> PlacementRequest<'a> {
    PlacementRequest {
        closed: around.closed,
        excluded: &need.excluded,
        kept: &need.kept,
        not_in_zone: None,
        reserved_endpoint: need.reserved_endpoint.as_ref(),
        service: &need.service,
        share: around.entry.share,
        zone: around.entry.zone,
    }
}

fn rank_of(
    queue: &ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    need: &Requirements,
    terms: &Terms,
) -> Rank {
    if terms.is_resume {
        Rank::Resume
    } else if now > latest_start(queue, table, need, terms) {
        Rank::Late
    } else if terms.is_returning {
        Rank::Returning
    } else {
        Rank::New
    }
}

/// Takes out a request that waits in vain. Each is looked at once more when it has waited for a
/// while, by what is known then, and is served for good if it can still be in time.
fn take_expired(
    queue: &mut ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    entries: u32,
) -> Option<Waiting> {
    let mut committed = Vec::new();
    let mut overdue = None;
    for (ahead, waiting) in queue.in_order().into_iter().enumerate() {
        let is_over = now >= waiting.terms.deadline_at;
        let commit_ms =
            MAX_COMMIT_DELAY_MS.min(waiting.terms.target_latency_ms / COMMIT_TARGET_DIVISOR);
        let is_due = !waiting.is_committed && now.since(waiting.since) >= commit_ms;
        let is_in_vain = is_due && {
            let wait_ms = wait_ms(queue, now, table, &waiting.need, entries, ahead);
            let latest = latest_start(queue, table, &waiting.need, &waiting.terms);
            match waiting.rank {
                Rank::Late => {
                    queue.is_overload_sustained(now) || now.since(waiting.since) >= MAX_LATE_WAIT_MS
                }
                Rank::Resume | Rank::Returning | Rank::New => now + wait_ms > latest,
            }
        };
        if is_over || is_in_vain {
            overdue = Some(waiting.ticket);
            break;
        }
        if is_due && waiting.rank != Rank::Late {
            committed.push(waiting.ticket);
        }
    }
    queue.commit(&committed);
    queue.take(overdue?)
}
