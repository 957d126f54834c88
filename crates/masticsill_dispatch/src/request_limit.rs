//! The limit of requests per second that an endpoint states in its responses.
//!
//! An endpoint that can't keep up names the rate that it accepts from all entries together, in
//! every response for as long as the limit applies.
//!
//! A share of the rate is divided among the entries without coordination, so that endpoints are used
//! while no control replica is reachable: each entry gets turns, at times that differ between
//! entries at random. A turn that is not used lapses. Otherwise each entry would keep one, and all
//! of them would be used at once when other endpoints fail. Control replicas give out another share
//! in permits, to entries that have a request and no turn.

use masticsill_registry::{LimitStatement, RequestRate};
use masticsill_types::ClockMs;

/// How long a permit may be used: long enough to place the request that it was asked for.
const PERMIT_VALIDITY_MS: u64 = 200;
/// Pause before a control replica that granted no permit is asked again.
const PERMIT_RETRY_PAUSE_MS: u64 = 40;
/// How long a turn may be used. Requests wait for a turn for a fraction of this time only.
const TURN_VALIDITY_MS: u64 = 1_000;
/// Lowest rate that is assumed, so that the end of the lowest limit is noticed.
const MIN_RATE: RequestRate = RequestRate { per_1000_s: 100 };
/// How long an entry reports what an endpoint stated in one of its responses.
const REPORT_MS: u64 = 3_000;
/// How much newer a reported response without a limit must be than the last one with a limit. The
/// time of a reported response is known only as exactly as reports are fast.
const REPORT_DELAY_MS: u64 = 200;

/// The limit that an endpoint stated last, and this entry's turns under it.
#[derive(Clone, Debug, Default)]
pub struct RequestLimit {
    /// What this entry's last responses stated, and when it began to apply.
    own: Option<(Option<RequestRate>, ClockMs)>,
    /// When the last response that stated a limit arrived, here or at another entry.
    stated_at: ClockMs,
    /// This entry's turns; none if the endpoint states no limit.
    turns: Option<Turns>,
    /// Until when a permit may be used.
    permitted_until: Option<ClockMs>,
    /// When a permit may be asked for again.
    ask_permit_at: ClockMs,
}

/// Turns of one entry at one endpoint: points in time at constant intervals.
#[derive(Clone, Copy, Debug)]
struct Turns {
    interval_ms: f64,
    /// The rate that the endpoint accepts.
    rate: RequestRate,
    /// Time of turn zero, which can't be used; before the clock's origin if it is negative.
    origin_ms: f64,
    /// The first turn that has not been used.
    next: u64,
}

impl RequestLimit {
    /// Share of the stated rate, in percent, that all turns together amount to. Permits of control
    /// replicas use another share; both together stay below the rate, since turns of different
    /// entries coincide by chance.
    pub const TURNS_PERCENT: f64 = 30.0;

    /// The rate that the endpoint accepts; `None` if it states no limit.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.turns.map(|turns| turns.rate)
    }

    /// Records what a response states. `phase`, from 0 to 1, decides when the first turn is. Returns
    /// whether the limit changed.
    ///
    /// A response without a limit lifts it only if its request was sent after the last response
    /// with one had arrived: responses on different connections overtake each other.
    pub fn note_response(
        &mut self,
        now: ClockMs,
        sent_at: ClockMs,
        rate: Option<RequestRate>,
        entries: u32,
        phase: f64,
    ) -> bool {
        if rate.is_none() && (self.turns.is_none() || sent_at <= self.stated_at) {
            return false;
        }
        let applies_from = if rate.is_some() { now } else { sent_at };
        self.own = Some((rate, applies_from));
        self.apply(now, applies_from, rate, entries, phase)
    }

    /// Records what a response to another entry stated. Returns whether the limit changed.
    pub fn note_report(
        &mut self,
        now: ClockMs,
        statement: LimitStatement,
        entries: u32,
        phase: f64,
    ) -> bool {
        let applies_from = now.before(statement.age_ms);
        let is_newer = match statement.rate {
            Some(_) => applies_from > self.stated_at,
            None => applies_from > self.stated_at + REPORT_DELAY_MS,
        };
        is_newer && self.apply(now, applies_from, statement.rate, entries, phase)
    }

    fn apply(
        &mut self,
        now: ClockMs,
        applies_from: ClockMs,
        rate: Option<RequestRate>,
        entries: u32,
        phase: f64,
    ) -> bool {
        self.stated_at = self.stated_at.max(applies_from);
        if self.rate() == rate {
            return false;
        }
        self.turns = rate.map(|rate| match self.turns {
            Some(turns) => turns.adapted(now, rate, entries),
            None => Turns::starting(now, rate, entries, phase),
        });
        true
    }

    /// Adapts the turns to the number of entries that share the limit.
    pub(crate) fn set_entries(&mut self, now: ClockMs, entries: u32) {
        if let Some(turns) = &mut self.turns {
            *turns = turns.adapted(now, turns.rate, entries);
        }
    }

    /// What this entry reports to the others; `None` if it got no response lately.
    pub(crate) fn statement(&self, now: ClockMs) -> Option<LimitStatement> {
        let (rate, applies_from) = self.own?;
        let age_ms = now.since(applies_from);
        (age_ms < REPORT_MS).then_some(LimitStatement { age_ms, rate })
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn has_turn(&self, now: ClockMs) -> bool {
        self.is_permitted(now) || self.turns.is_none_or(|turns| turns.usable(now).is_some())
    }

    /// Time until a request may be sent, in milliseconds; zero if it may be sent now.
    #[must_use]
    pub fn next_turn_ms(&self, now: ClockMs) -> u64 {
        if self.is_permitted(now) {
            return 0;
        }
        self.turns.map_or(0, |turns| turns.wait_ms(now))
    }

    /// Whether a control replica may be asked for a permit.
    pub(crate) fn may_ask_permit(&self, now: ClockMs) -> bool {
        self.turns.is_some() && !self.has_turn(now) && now >= self.ask_permit_at
    }

    /// Records whether a control replica granted a permit at this endpoint.
    pub fn note_permit_reply(&mut self, now: ClockMs, is_granted: bool) {
        if is_granted {
            self.permitted_until = Some(now + PERMIT_VALIDITY_MS);
        } else {
            self.ask_permit_at = now + PERMIT_RETRY_PAUSE_MS;
        }
    }

    fn is_permitted(&self, now: ClockMs) -> bool {
        self.permitted_until.is_some_and(|until| now < until)
    }

    /// Requests per second that this entry may send; `None` without a limit.
    pub(crate) fn turns_per_s(&self) -> Option<f64> {
        self.turns.map(|turns| 1_000.0 / turns.interval_ms)
    }

    /// Records that a request is sent.
    pub fn take_turn(&mut self, now: ClockMs) {
        if self.is_permitted(now) {
            self.permitted_until = None;
        } else if let Some(turns) = &mut self.turns {
            turns.take(now);
        }
    }
}

impl Turns {
    /// Turns of which the first one comes after a fraction of the interval.
    fn starting(now: ClockMs, rate: RequestRate, entries: u32, phase: f64) -> Self {
        let interval_ms = interval_ms(rate, entries);
        Self {
            interval_ms,
            rate,
            origin_ms: clock_ms(now) - interval_ms * (1.0 - phase),
            next: 1,
        }
    }

    /// The turns at another rate or number of entries. The next one comes after the same fraction of
    /// the interval, and one that has begun and not been used may still be used.
    fn adapted(self, now: ClockMs, rate: RequestRate, entries: u32) -> Self {
        let interval_ms = interval_ms(rate, entries);
        let elapsed = (clock_ms(now) - self.origin_ms) / self.interval_ms;
        Self {
            interval_ms,
            rate,
            origin_ms: clock_ms(now) - elapsed * interval_ms,
            next: self.next,
        }
    }

    /// The number of the last turn that has begun.
    // Numbers of turns are positive and far below the precision of the types.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn last(self, now: ClockMs) -> u64 {
        ((clock_ms(now) - self.origin_ms) / self.interval_ms) as u64
    }

    /// The first turn that can be used now.
    fn usable(self, now: ClockMs) -> Option<u64> {
        let lapsed = self.last(now.before(TURN_VALIDITY_MS));
        let first = self.next.max(lapsed + 1);
        (first <= self.last(now)).then_some(first)
    }

    fn take(&mut self, now: ClockMs) {
        // A request that is sent without a turn uses up the next one.
        let used = self
            .usable(now)
            .unwrap_or(self.next.max(self.last(now) + 1));
        self.next = used + 1;
    }

    // Numbers of turns are far below the precision of the type.
    #[allow(clippy::cast_precision_loss)]
    fn wait_ms(self, now: ClockMs) -> u64 {
        if self.usable(now).is_some() {
            return 0;
        }
        let next = self.next.max(self.last(now) + 1);
        let next_at_ms = self.origin_ms + next as f64 * self.interval_ms;
        // Rounded up, so that the turn has begun by then.
        whole_ms((next_at_ms - clock_ms(now)).max(0.0)) + 1
    }
}

/// Time between two turns of one of `entries` entries, in milliseconds.
fn interval_ms(rate: RequestRate, entries: u32) -> f64 {
    let used_per_s = rate.max(MIN_RATE).per_s() * RequestLimit::TURNS_PERCENT / 100.0;
    f64::from(entries.max(1)) * 1_000.0 / used_per_s
}

// Times are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
fn clock_ms(now: ClockMs) -> f64 {
    now.0 as f64
}

// The time is positive, and the conversion saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_ms(time_ms: f64) -> u64 {
    time_ms as u64
}
