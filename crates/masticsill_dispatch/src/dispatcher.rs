//! Who is sent where now, who waits, and who is refused.
//!
//! The load that this answers is any beyond what the endpoints can bear, from a zone's loss to a
//! crowd of ten times the usual number: what does not fit is not sent, since every prompt that an
//! engine reads for nobody takes the place of one that could be answered in time. What can still
//! be answered in time waits here for the first free place; all else is refused at once.

use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;

use crate::endpoints::{Endpoint, EndpointTable};
use crate::lane::{Lane, Need, Rank, Terms, Ticket, Waiting, Work};
use crate::placement::{Choice, Wanted, choose, suspect_zones};
use crate::room::{Turns, Waited, has_room};

/// How much longer than the usual prompt one may be that is still answered in time after the
/// longest wait. One bound for all: with each prompt's own, long ones would be refused first.
const LONG_PROMPT: f64 = 1.5;
/// Part of the aim kept free for the way to the endpoint and back, and for what is not foreseen.
const MARGIN_SHARE: u64 = 15;
/// Part of the aim after which a request that waits is refused or served for good, and the most of
/// it: its caller hears of a refusal within half a second, and who has waited longer than that is
/// not sent away any more.
const COMMIT_SHARE: u64 = 10;
const MOST_COMMIT_MS: u64 = 400;
/// Longest wait of what is late already: about two prompts of every engine's.
const LATE_WAIT_MS: u64 = 3_000;
/// Requests that may wait for one service at one entry: more than are ever served in time, so
/// that a wrong estimate can't fill the memory.
const MAX_WAITING: usize = 256;
/// Part of the time left, in hundredths, for which a caller is sent away by a crowd that lasts: one
/// that comes back sooner can't be told from a newcomer, and takes the place of one that can still
/// be answered in time. At six times the usual load that were 95 of 380 answers.
const KNOWN_PERCENT: u64 = 25;
/// Part of an entry's even share of all starts that it counts on: engines full of runs begin fewer
/// prompts than they could read.
const PART_OF_ALL: f64 = 0.75;
/// Soonest time to come back.
const LEAST_RETRY_MS: u64 = 200;
/// Part of the time left after which a caller comes back whatever it is told.
const RETRY_SHARE: u64 = 3;
/// Part of a time to come back by which it is drawn longer at random, so that those who were
/// refused by several entries at once don't return at once.
const RETRY_SPREAD: f64 = 0.25;

/// What surrounds a decision: where this entry is, and whom it may connect to.
pub struct Surroundings<'a> {
    /// Endpoints that accept no further connection of this entry.
    pub closed: &'a [EndpointId],
    /// Where this entry stands among all.
    pub turns: Turns<'a>,
}

/// What is to be done with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// No endpoint of its service is known that it could go to.
    Nobody,
    /// It is refused: it could not be answered in time.
    Refuse(Overload),
    /// It goes there.
    Send(Choice),
    /// It waits; [`Dispatcher::next`] ends the wait.
    Wait(Ticket),
}

/// Why a request is refused, and when its caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overload {
    /// Requests that wait before it.
    pub ahead: usize,
    /// When to come back.
    pub retry_after_ms: u64,
    /// How long it would wait, as far as can be told.
    pub wait_ms: u64,
}

/// The end of a wait.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// It is refused after all.
    Refuse(Ticket, Overload),
    /// It goes there.
    Send(Ticket, Choice),
}

/// The requests that wait at this entry.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    lanes: IndexMap<String, Lane>,
    last_ticket: u64,
}

impl Dispatcher {
    /// Decides on a request. `jitter` gives numbers from zero to one.
    pub fn ask(
        &mut self,
        now: ClockMs,
        table: &EndpointTable,
        need: &Need,
        terms: &Terms,
        around: &Surroundings<'_>,
        mut jitter: impl FnMut() -> f64,
    ) -> Decision {
        let lane = self.lanes.entry(need.service.clone()).or_default();
        lane.note_asked(now, terms);
        let rank = rank_of(lane, now, table, need, terms);
        let ahead = lane.ahead_of(rank);
        let waited = lane.waited(now, now);
        let makes_way = rank == Rank::Late && lane.is_pressed(now);
        let choice = if ahead == 0 && !makes_way {
            place(now, table, need, waited, around, &mut jitter)
        } else {
            None
        };
        if matches!(rank, Rank::ComeBack | Rank::Fresh) {
            lane.note_room(choice.is_some());
        }
        if let Some(choice) = choice {
            lane.note_start(now, need);
            return Decision::Send(choice);
        }
        let anybody = |_: &_| true;
        if choose(table, now, &wanted(need, around), anybody, &mut jitter).is_none() {
            return Decision::Nobody;
        }
        lane.note_crowded(now);
        let wait_ms = wait_ms(lane, now, table, need, around.turns.entries, ahead);
        let is_in_time = match rank {
            Rank::Resume => true,
            Rank::ComeBack | Rank::Fresh => {
                let longest_ms = latest_start(lane, table, need, terms).since(now);
                let one_ms = (wait_ms / (ahead as u64 + 1)).max(1);
                let places = usize::try_from(longest_ms / one_ms).unwrap_or(usize::MAX);
                wait_ms <= longest_ms && !lane.has_its_part(terms, places)
            }
            Rank::Late => !makes_way,
        };
        if !is_in_time || lane.len() >= MAX_WAITING {
            let overload = refuse(lane, now, terms, ahead, wait_ms, jitter());
            return Decision::Refuse(overload);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        lane.push(Waiting {
            is_committed: rank == Rank::Resume,
            need: need.clone(),
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
        around: &Surroundings<'_>,
        mut jitter: impl FnMut() -> f64,
    ) -> Option<Ended> {
        for lane in self.lanes.values_mut().filter(|lane| !lane.is_empty()) {
            if let Some(waiting) = take_overdue(lane, now, table, around.turns.entries) {
                let ahead = lane.ahead_of(waiting.rank);
                let wait_ms = wait_ms(lane, now, table, &waiting.need, around.turns.entries, ahead);
                let overload = refuse(lane, now, &waiting.terms, ahead, wait_ms, jitter());
                return Some(Ended::Refuse(waiting.ticket, overload));
            }
            let Some((ticket, choice)) = first_start(lane, now, table, around, &mut jitter) else {
                continue;
            };
            let waiting = lane.take(ticket)?;
            lane.note_start(now, &waiting.need);
            return Some(Ended::Send(ticket, choice));
        }
        None
    }

    /// Takes out a request whose caller has left.
    pub fn withdraw(&mut self, ticket: Ticket) {
        for lane in self.lanes.values_mut() {
            if lane.take(ticket).is_some() {
                return;
            }
        }
    }

    /// Whether more is asked of a service than fits.
    #[must_use]
    pub fn is_crowded(&self, now: ClockMs, service: &str) -> bool {
        let lane = self.lanes.get(service);
        lane.is_some_and(|lane| lane.is_crowded(now))
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }
}

/// The first in order that can start, and where. One that finds no place holds up those behind it,
/// or small requests would take every place before a large one; one that must avoid some endpoints
/// does not.
fn first_start(
    lane: &Lane,
    now: ClockMs,
    table: &EndpointTable,
    around: &Surroundings<'_>,
    jitter: &mut impl FnMut() -> f64,
) -> Option<(Ticket, Choice)> {
    for waiting in lane.in_order() {
        let waited = match waiting.rank {
            Rank::Resume => Waited::Alone,
            Rank::ComeBack | Rank::Fresh | Rank::Late => lane.waited(now, waiting.since),
        };
        let choice = place(now, table, &waiting.need, waited, around, jitter);
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
    need: &Need,
    waited: Waited,
    around: &Surroundings<'_>,
    jitter: &mut impl FnMut() -> f64,
) -> Option<Choice> {
    let asked = wanted(need, around);
    let suspect = suspect_zones(table, &need.service, now);
    let is_sound = |it: &Endpoint| {
        !it.is_silent() && !it.health.is_held(now) && !suspect.contains(&&it.announcement.zone)
    };
    let is_any_sound = table
        .iter()
        .any(|it| asked.is_candidate(it) && is_sound(it));
    let room = |it: &Endpoint| {
        let has_room = has_room(it, now, need, &around.turns, waited);
        has_room && (is_sound(it) || !is_any_sound)
    };
    choose(table, now, &asked, room, jitter)
}

fn wanted<'a>(need: &'a Need, around: &Surroundings<'a>) -> Wanted<'a> {
    Wanted {
        closed: around.closed,
        excluded: &need.excluded,
        kept: &need.kept,
        not_in_zone: None,
        service: &need.service,
        share: around.turns.share,
        zone: around.turns.zone,
    }
}

fn rank_of(lane: &Lane, now: ClockMs, table: &EndpointTable, need: &Need, terms: &Terms) -> Rank {
    if terms.is_resume {
        Rank::Resume
    } else if now > latest_start(lane, table, need, terms) {
        Rank::Late
    } else if terms.has_come_back {
        Rank::ComeBack
    } else {
        Rank::Fresh
    }
}

/// When a request must be sent to be answered in time.
fn latest_start(lane: &Lane, table: &EndpointTable, need: &Need, terms: &Terms) -> ClockMs {
    let usual_ms = usual_work_ms(lane, table, need) * LONG_PROMPT;
    // The time is positive and far below the type's range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let usual_ms = usual_ms as u64;
    terms.aim_at.before(usual_ms + terms.aim_ms / MARGIN_SHARE)
}

/// Time from a usual request's start to its first event, with nothing before it.
fn usual_work_ms(lane: &Lane, table: &EndpointTable, need: &Need) -> f64 {
    match need.work {
        Work::Stream { .. } => {
            let ms_per_token = table.usual_ms_per_token(&need.service);
            ms_per_token.unwrap_or_default() * lane.usual_prompt_tokens()
        }
        Work::Whole => table.usual_pace_ms(&need.service).unwrap_or_default(),
    }
}

/// How long a request waits with so many before it: as long as as many starts take.
///
/// The rate is that of this entry's own starts, or at the onset of a crowd that of the ends of what
/// it has under way; at least its part of what all entries have under way, which counts when others
/// have taken every place for a while.
// Counts and times are far below the precision of the types.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn wait_ms(
    lane: &Lane,
    now: ClockMs,
    table: &EndpointTable,
    need: &Need,
    entries: u32,
    ahead: usize,
) -> u64 {
    let work_ms = usual_work_ms(lane, table, need).max(1.0);
    let (own, all) = match need.work {
        Work::Stream { .. } => {
            let reading = table.reading(&need.service);
            (reading.own, reading.all)
        }
        // Of others' lookups nothing is known.
        Work::Whole => (table.own_in_flight(&need.service), 0),
    };
    let own = f64::from(own) * 1_000.0 / work_ms;
    let all = f64::from(all) * 1_000.0 / work_ms;
    let part = all * PART_OF_ALL / f64::from(entries.max(1));
    let rate = lane.starts_per_s(now).unwrap_or(own).max(part);
    if rate <= 0.0 {
        return work_ms as u64;
    }
    ((ahead + 1) as f64 * 1_000.0 / rate) as u64
}

/// Takes out a request that waits in vain. Each is looked at once more when it has waited for a
/// while, by what is known then, and is served for good if it can still be in time.
fn take_overdue(
    lane: &mut Lane,
    now: ClockMs,
    table: &EndpointTable,
    entries: u32,
) -> Option<Waiting> {
    let mut committed = Vec::new();
    let mut overdue = None;
    for (ahead, waiting) in lane.in_order().into_iter().enumerate() {
        let is_over = now >= waiting.terms.deadline_at;
        let commit_ms = MOST_COMMIT_MS.min(waiting.terms.aim_ms / COMMIT_SHARE);
        let is_due = !waiting.is_committed && now.since(waiting.since) >= commit_ms;
        let is_in_vain = is_due && {
            let wait_ms = wait_ms(lane, now, table, &waiting.need, entries, ahead);
            let latest = latest_start(lane, table, &waiting.need, &waiting.terms);
            match waiting.rank {
                Rank::Late => lane.is_pressed(now) || now.since(waiting.since) >= LATE_WAIT_MS,
                Rank::Resume | Rank::ComeBack | Rank::Fresh => now + wait_ms > latest,
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
    lane.commit(&committed);
    lane.take(overdue?)
}

/// Refuses a request and books a time to come back: after those who were told one before, at the
/// rate at which requests start here.
// Times are positive and far below the types' range and precision.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn refuse(
    lane: &mut Lane,
    now: ClockMs,
    terms: &Terms,
    ahead: usize,
    wait_ms: u64,
    random: f64,
) -> Overload {
    let left_ms = terms.caller_leaves_at.since(now);
    let longest_ms = left_ms / RETRY_SHARE;
    let one_ms = wait_ms / (ahead as u64 + 1);
    // Nobody knows how long a crowd stays: as a rule as long again as it has been there.
    let mut soonest_ms = wait_ms.max(lane.crowded_ms(now));
    if lane.is_pressed(now) {
        soonest_ms = soonest_ms.max(left_ms * KNOWN_PERCENT / 100);
    }
    let booked = lane.booked_until.max(now + soonest_ms) + one_ms;
    let wanted_ms = booked.since(now);
    let spread = 1.0 + random * RETRY_SPREAD;
    let retry_after_ms = if wanted_ms <= longest_ms {
        lane.booked_until = booked;
        (wanted_ms as f64 * spread) as u64
    } else {
        // All that can be told is booked: they come back when most of the crowd may be gone.
        let least_ms = soonest_ms.min(longest_ms).max(longest_ms / 2);
        least_ms + ((longest_ms - least_ms) as f64 * random) as u64
    };
    Overload {
        ahead,
        retry_after_ms: retry_after_ms.clamp(LEAST_RETRY_MS, longest_ms.max(LEAST_RETRY_MS)),
        wait_ms,
    }
}
