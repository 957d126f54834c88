//! The requests that wait for one service, and what is known of its pace.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_registry::{CachedTokens, EndpointId};
use masticsill_types::ClockMs;

use crate::room::Waited;

/// Time over which starts are counted: about two prompts of every engine's.
const RATE_MS: u64 = 2_500;
/// Age of an overload from which what is late already makes way: a shorter one is over before its
/// callers are, and they are served then.
const PRESSED_MS: u64 = 1_500;
/// Part of the requests that find no room at once from which it makes way. Where fewer do, there is
/// room to spare for all.
const PRESSED_SHARE: f64 = 0.3;
/// Weight of the newest request in that part.
const ROOM_WEIGHT: f64 = 0.1;
/// Time without a request that finds no room after which an overload is over.
const OVERLOAD_OVER_MS: u64 = 1_000;
/// Time for which a workspace that asked counts among those that share the queue.
const ASKING_MS: u64 = 2_000;
/// Weight of the newest prompt in their usual length.
const NEWEST_WEIGHT: f64 = 0.1;

/// Names one waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(pub(crate) u64);

/// What a request makes an endpoint do.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// It reads a prompt and makes events.
    Stream {
        /// Tokens that each engine of the service holds in its memory, if the document says.
        memory_tokens: Option<u64>,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens that the run holds in the end: the prompt and the longest output.
        tokens: u64,
    },
    /// It makes one whole answer.
    Whole,
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Endpoints that it was sent to already.
    pub excluded: Vec<EndpointId>,
    /// Engines that keep the beginning of its prompt.
    pub kept: Vec<CachedTokens>,
    /// The engine at which a control replica has just handed out a place to it.
    pub place: Option<EndpointId>,
    /// The service.
    pub service: String,
    /// What it makes the endpoint do.
    pub work: Work,
}

impl Need {
    /// Tokens of its prompt that an engine keeps.
    pub(crate) fn kept_at(&self, endpoint: &EndpointId) -> u64 {
        let kept = self.kept.iter().find(|kept| kept.endpoint == *endpoint);
        kept.map_or(0, |kept| kept.tokens)
    }
}

/// For how long a request may wait, and who goes before whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Time in which callers of its route want an answer, or its first event.
    pub aim_ms: u64,
    /// When it should have been answered, or its first event have come.
    pub aim_at: ClockMs,
    /// When its caller gives up, in this attempt and in those that may follow.
    pub caller_leaves_at: ClockMs,
    /// When the attempt must have ended.
    pub deadline_at: ClockMs,
    /// Whether its caller was refused before and has come back.
    pub has_come_back: bool,
    /// Whether its caller has a part of the answer already.
    pub is_resume: bool,
    /// Whose request it is.
    pub workspace: Option<String>,
}

/// Who goes first. Started work is finished before new work is begun; who was sent away once is
/// not sent away again for the sake of newcomers; what is late anyway takes what is left over.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Rank {
    Resume,
    ComeBack,
    Fresh,
    Late,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) need: Need,
    pub(crate) rank: Rank,
    /// Whether it is served however long that takes: it has waited too long to be sent away.
    pub(crate) is_committed: bool,
    pub(crate) since: ClockMs,
    pub(crate) terms: Terms,
    pub(crate) ticket: Ticket,
}

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    /// Since when more is asked for than fits, and when it was so last.
    overloaded: Option<(ClockMs, ClockMs)>,
    /// When each workspace asked last.
    asking: IndexMap<String, ClockMs>,
    /// Until when those who were refused have been given times to come back.
    pub(crate) booked_until: ClockMs,
    starts: VecDeque<ClockMs>,
    /// Part of the latest requests that found no room at once.
    without_room: f64,
    usual_prompt_tokens: Option<f64>,
    waiting: Vec<Waiting>,
}

impl Lane {
    /// For how long more has been asked for than fits.
    pub(crate) fn overloaded_ms(&self, now: ClockMs) -> u64 {
        let overloaded = self
            .overloaded
            .filter(|(_, last)| now.since(*last) < OVERLOAD_OVER_MS);
        overloaded.map_or(0, |(since, _)| now.since(since))
    }

    /// Whether a request has found no room lately.
    pub(crate) fn is_overloaded(&self, now: ClockMs) -> bool {
        let overloaded = self.overloaded;
        overloaded.is_some_and(|(_, last)| now.since(last) < OVERLOAD_OVER_MS)
    }

    /// Whether more has been asked for than fits for so long, and so much more, that room which
    /// is free now is needed by those who can still be answered in time.
    pub(crate) fn is_pressed(&self, now: ClockMs) -> bool {
        self.overloaded_ms(now) >= PRESSED_MS && self.without_room > PRESSED_SHARE
    }

    /// Notes whether a new request finds room at once.
    pub(crate) fn note_room(&mut self, has_room: bool) {
        let newest = if has_room { 0.0 } else { 1.0 };
        self.without_room += (newest - self.without_room) * ROOM_WEIGHT;
    }

    /// Notes that a request finds no room.
    pub(crate) fn note_overloaded(&mut self, now: ClockMs) {
        let since = now.before(self.overloaded_ms(now));
        self.overloaded = Some((since, now));
    }

    /// How long a request counts as having waited that came at `since`.
    pub(crate) fn waited(&self, now: ClockMs, since: ClockMs) -> Waited {
        if self.is_overloaded(now) {
            Waited::InOverload(now.since(since))
        } else {
            Waited::Alone
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that go before a new one of a rank.
    pub(crate) fn ahead_of(&self, rank: Rank) -> usize {
        let before = self.waiting.iter().filter(|it| it.rank <= rank);
        before.count()
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Has requests served however long that takes.
    pub(crate) fn commit(&mut self, tickets: &[Ticket]) {
        for waiting in &mut self.waiting {
            waiting.is_committed |= tickets.contains(&waiting.ticket);
        }
    }

    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.waiting.iter().position(|it| it.ticket == ticket)?;
        Some(self.waiting.remove(place))
    }

    /// The waiting requests in the order in which they go: by rank, then the one that has waited
    /// longest. One that could be overtaken by newcomers would wait longer than it was admitted
    /// for; workspaces are kept apart when requests are admitted.
    pub(crate) fn in_order(&self) -> Vec<&Waiting> {
        let mut order: Vec<&Waiting> = self.waiting.iter().collect();
        order.sort_by_key(|it| (it.rank, it.since));
        order
    }

    /// Notes that a workspace asks.
    pub(crate) fn note_asked(&mut self, now: ClockMs, terms: &Terms) {
        self.asking.retain(|_, last| now.since(*last) < ASKING_MS);
        let workspace = terms.workspace.clone().unwrap_or_default();
        self.asking.insert(workspace, now);
    }

    /// Whether a workspace has its part of the places in the queue, if `places` may wait.
    pub(crate) fn has_its_part(&self, terms: &Terms, places: usize) -> bool {
        let part = (places / self.asking.len().max(1)).max(1);
        let own = self.waiting.iter();
        let own = own.filter(|it| it.terms.workspace == terms.workspace);
        own.count() >= part
    }

    /// Notes that a request is sent.
    // Counts are far below the precision of the type.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn note_start(&mut self, now: ClockMs, need: &Need) {
        self.starts.push_back(now);
        while self
            .starts
            .front()
            .is_some_and(|at| now.since(*at) >= RATE_MS)
        {
            self.starts.pop_front();
        }
        if let Work::Stream { prompt_tokens, .. } = &need.work {
            let newest = *prompt_tokens as f64;
            let before = self.usual_prompt_tokens.unwrap_or(newest);
            self.usual_prompt_tokens = Some(before + (newest - before) * NEWEST_WEIGHT);
        }
    }

    /// Starts in a second while more has been asked for than fits, once that has lasted long enough
    /// to tell: before, they say how much was asked for, not how much fits.
    // Counts and times are far below the precision of the type.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn starts_per_s(&self, now: ClockMs) -> Option<f64> {
        if self.overloaded_ms(now) < RATE_MS {
            return None;
        }
        let recent = self.starts.iter().filter(|at| now.since(**at) < RATE_MS);
        Some(recent.count() as f64 * 1_000.0 / RATE_MS as f64)
    }

    /// Tokens of the prompts that came lately.
    pub(crate) fn usual_prompt_tokens(&self) -> f64 {
        self.usual_prompt_tokens.unwrap_or_default()
    }
}
