//! A request that may have crashed endpoints.

use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;

use crate::crash::{CrashedRun, Weight};

/// Number of crashes remembered per request.
const MAX_CRASHES: usize = 16;
/// Number of crashes after which a request is quarantined.
const QUARANTINE_STRIKES: usize = 3;
/// The same for a request that was also completed not long ago.
const QUARANTINE_STRIKES_AFTER_COMPLETION: usize = 6;
/// Number of crashes from which a request is broadcast to all entries, so that an entry at which it
/// was completed can report that before the request is quarantined.
const BROADCAST_STRIKES: usize = 2;
/// Time from the start of the answer within which a crash counts fully.
const EARLY_CRASH_MS: u64 = 1_000;
/// Minimum time between the ends of overlapping runs that count as separate crashes.
const SEPARATE_CRASH_MS: u64 = 500;
/// How long a request waits for the judgement of its last crash: until the judgement is due and has
/// been reported.
const MAX_HOLD_MS: u64 = 800;
/// How long after its last crash doubt may keep a request out of quarantine. A request that neither
/// completes nor crashes an endpoint in that time must not be retried without limit.
const MAX_DOUBT_MS: u64 = 2_500;
/// Duration of the quarantine after the last crash. It doubles with each further crash.
const INITIAL_QUARANTINE_MS: u64 = 600_000;
/// How long a request is remembered after its quarantine, or after its last crash.
pub(crate) const RETENTION_MS: u64 = 600_000;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The request may be sent: no crash, or too few, count against it.
    Free,
    /// The request waits, since crashes that are not judged yet would quarantine it.
    Held {
        /// Longest remaining wait, in milliseconds.
        left_ms: u64,
    },
    /// The request is not sent to any endpoint.
    Quarantined {
        /// Remaining duration of the quarantine, in milliseconds.
        left_ms: u64,
        /// Number of crashes that count against the request.
        strikes: usize,
    },
}

impl Standing {
    /// Whether the request is in quarantine.
    #[must_use]
    pub fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}

/// Whether another request may have caused the crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Doubt {
    /// No other request is as likely a cause.
    None,
    /// Other requests ran at the crashed endpoints, had not been answered for longer, and have as
    /// many crashes. One further crash shows which request is the cause.
    Rival,
    /// Such requests have more crashes; they are judged first.
    LikelierRival,
}

/// What is known of a request that may have crashed endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Crashes, ordered by the ends of their runs.
    crashes: Vec<CrashedRun>,
    /// When the request was last completed.
    completed_at: Option<ClockMs>,
}

impl Suspect {
    pub(crate) fn crashes(&self) -> &[CrashedRun] {
        &self.crashes
    }

    pub(crate) fn completed_at(&self) -> Option<ClockMs> {
        self.completed_at
    }

    /// Crashes that count or may still count against the request.
    pub(crate) fn open_crashes(&self) -> impl Iterator<Item = &CrashedRun> {
        let crashes = self.crashes_since_completion();
        crashes.filter(|it| it.weight != Weight::Shared)
    }

    /// Sets the weight of the crash of an endpoint.
    pub(crate) fn set_weight(&mut self, endpoint: &EndpointId, weight: Weight) {
        let crash = self.crashes.iter_mut().find(|it| it.endpoint == *endpoint);
        if let Some(crash) = crash {
            crash.weight = weight;
        }
    }

    pub(crate) fn has_crashed(&self, endpoint: &EndpointId) -> bool {
        self.crashes.iter().any(|it| it.endpoint == *endpoint)
    }

    /// Adds a crash or merges it with the known record of it. Returns whether a property that
    /// affects decisions changed.
    pub(crate) fn merge_crash(&mut self, crash: CrashedRun) -> bool {
        let known = self
            .crashes
            .iter_mut()
            .find(|it| it.endpoint == crash.endpoint);
        let is_changed = if let Some(known) = known {
            known.join(&crash)
        } else {
            self.crashes.push(crash);
            true
        };
        self.crashes.sort_by_key(|it| it.ended_at);
        if self.crashes.len() > MAX_CRASHES {
            // Drop a crash that doesn't add to the strikes; if there is none, the oldest.
            let dropped = self.redundant_index().unwrap_or_default();
            self.crashes.remove(dropped);
        }
        is_changed
    }

    /// The index of the first crash that was simultaneous with the one before it.
    fn redundant_index(&self) -> Option<usize> {
        let mut last_end = None;
        self.crashes.iter().position(|crash| {
            let is_separate = is_separate(crash, last_end);
            if is_separate {
                last_end = Some(crash.ended_at);
            }
            !is_separate
        })
    }

    /// Records a completion. Returns whether it is the first one, or clears a crash.
    pub(crate) fn merge_completion(&mut self, at: ClockMs) -> bool {
        let is_first = self.completed_at.is_none();
        let is_cleared = self.crashes_since_completion().any(|it| it.ended_at <= at);
        if self.completed_at.is_none_or(|known| known < at) {
            self.completed_at = Some(at);
        }
        is_first || is_cleared
    }

    fn crashes_since_completion(&self) -> impl Iterator<Item = &CrashedRun> {
        let completed_at = self.completed_at;
        let crashes = self.crashes.iter();
        crashes.filter(move |it| completed_at.is_none_or(|at| it.ended_at > at))
    }

    /// Number of separate crashes since the last completion. Overlapping runs count separately only
    /// if their ends are far enough apart: simultaneous crashes have one cause, whatever ran there.
    ///
    /// If the endpoint had answered the request for some time, the crash more likely had another
    /// cause. Two such crashes count as one.
    fn strikes(&self, is_counted: impl Fn(Weight) -> bool) -> usize {
        let mut early = 0;
        let mut late = 0;
        let mut last_end = None;
        for crash in self.crashes_since_completion() {
            if is_counted(crash.weight) && is_separate(crash, last_end) {
                last_end = Some(crash.ended_at);
                if crash.answered_ms < EARLY_CRASH_MS {
                    early += 1;
                } else {
                    late += 1;
                }
            }
        }
        early + late / 2
    }

    /// Number of crashes that count against the request.
    pub(crate) fn counted_strikes(&self) -> usize {
        self.strikes(|weight| weight == Weight::Counted)
    }

    /// Whether any crash counts or may still count against the request.
    pub(crate) fn is_suspect(&self) -> bool {
        self.open_crashes().next().is_some()
    }

    /// Whether one further crash may quarantine the request. Such a request is broadcast to all
    /// entries.
    pub(crate) fn is_near_quarantine(&self) -> bool {
        self.open_strikes() >= BROADCAST_STRIKES
    }

    /// Number of crashes that count or may still count against the request.
    fn open_strikes(&self) -> usize {
        self.strikes(|weight| weight != Weight::Shared)
    }

    /// Number of crashes from which the request is quarantined.
    fn strike_limit(&self, doubt: Doubt) -> usize {
        let strike_limit = if self.completed_at.is_some() {
            QUARANTINE_STRIKES_AFTER_COMPLETION
        } else {
            QUARANTINE_STRIKES
        };
        match doubt {
            Doubt::None => strike_limit,
            Doubt::Rival => strike_limit + 1,
            Doubt::LikelierRival => strike_limit + 3,
        }
    }

    /// Whether the request has enough crashes to be quarantined if there is no doubt.
    fn is_at_limit(&self) -> bool {
        self.open_strikes() >= self.strike_limit(Doubt::None)
    }

    /// Whether doubt could keep the request out of quarantine.
    pub(crate) fn may_be_doubted(&self, now: ClockMs) -> bool {
        let last_end = self.open_crashes().last().map(|it| it.ended_at);
        last_end.is_some_and(|last_end| now < last_end + MAX_DOUBT_MS) && self.is_at_limit()
    }

    /// The end of the quarantine, and the number of crashes that count against the request.
    fn quarantine(&self, doubt: Doubt) -> Option<(ClockMs, usize)> {
        let strikes = self.counted_strikes();
        let excess = strikes.checked_sub(self.strike_limit(doubt))?;
        let counted = self.crashes_since_completion();
        let last = counted.filter(|it| it.weight == Weight::Counted).last()?;
        Some((last.ended_at + (INITIAL_QUARANTINE_MS << excess), strikes))
    }

    /// Until when the request waits for the judgement of its crashes.
    fn held_until(&self) -> Option<ClockMs> {
        let crashes = self.crashes_since_completion();
        let pending = crashes.filter(|it| it.weight == Weight::Pending).last()?;
        self.is_at_limit().then_some(pending.ended_at + MAX_HOLD_MS)
    }

    pub(crate) fn standing(&self, now: ClockMs, doubt: Doubt) -> Standing {
        if let Some((until, strikes)) = self.quarantine(doubt)
            && now < until
        {
            let left_ms = until.since(now);
            return Standing::Quarantined { left_ms, strikes };
        }
        match self.held_until() {
            Some(until) if now < until => Standing::Held {
                left_ms: until.since(now),
            },
            _ => Standing::Free,
        }
    }

    /// Until when the request is remembered.
    pub(crate) fn retained_until(&self) -> ClockMs {
        let last = self.crashes.last().map_or(ClockMs(0), |it| it.ended_at);
        let until = self
            .quarantine(Doubt::None)
            .map_or(last, |(until, _)| until);
        until.max(last) + RETENTION_MS
    }
}

/// Whether a crash is separate from the one before it: its run began later, or its end is far
/// enough apart.
fn is_separate(crash: &CrashedRun, last_end: Option<ClockMs>) -> bool {
    last_end.is_none_or(|last_end| {
        crash.began_at >= last_end || crash.ended_at >= last_end + SEPARATE_CRASH_MS
    })
}
