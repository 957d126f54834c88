//! Counts of answers by their time and of refusals, for all callers and by kind of request.

use masticsill_types::ClockMs;

use super::plan::{KINDS, OverloadPlan};

/// One caller's request, over all of its attempts.
#[derive(Clone, Debug)]
pub(super) struct CallerRecord {
    pub(super) asked_at: ClockMs,
    /// How often it was sent to an engine that answered nothing.
    pub(super) dark_sends: u32,
    pub(super) first_at: Option<ClockMs>,
    pub(super) is_done: bool,
    pub(super) is_hot: bool,
    pub(super) is_long: bool,
    /// Number of the kind in the plan.
    pub(super) kind: usize,
    /// How often its prompt came to an engine that read another one.
    pub(super) meetings: u32,
    /// Longest time from an attempt to its refusal.
    pub(super) refusal_ms: Option<u64>,
    pub(super) refusals: u32,
}

/// What the callers of one kind got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindTally {
    /// Requests.
    pub asked: usize,
    /// Whole answers that began in time.
    pub in_aim: usize,
    /// Whole answers, late ones included.
    pub served: usize,
}

impl KindTally {
    /// Part of the requests that was answered in time.
    #[must_use]
    pub fn aim_share(&self) -> f64 {
        ratio(self.in_aim, self.asked)
    }

    /// Part of the requests that was answered.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        ratio(self.served, self.asked)
    }
}

/// What all callers got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// The same by kind, in the order of the plan.
    pub by_kind: [KindTally; KINDS],
    /// Requests.
    pub asked: usize,
    /// Whole answers that began in time.
    pub in_aim: usize,
    /// Whole answers that began later.
    pub late: usize,
    /// Refused for good.
    pub refused: usize,
    /// Neither answered nor refused in time.
    pub lost: usize,
    /// Those whose prompt came to an engine that read another one.
    pub met: usize,
    /// Sends to engines that answered nothing.
    pub dark_sends: u32,
    /// Late answers of requests that were sent to such an engine.
    pub late_after_dark: usize,
    /// Part in time of the requests that came later than 2 s after the overload had gone.
    pub after_share: f64,
    /// Part in time of the longest tenth of the prompts.
    pub long_share: f64,
    /// Part in time of the hot workspace's requests.
    pub hot_share: f64,
    /// Part in time of the other workspaces' requests.
    pub other_share: f64,
    /// Time from an attempt to its refusal for 99 of 100.
    pub refusal_p99_ms: u64,
}

/// Time after an overload in which all must be as before.
const RECOVERY_MS: u64 = 2_000;

impl Tally {
    /// Part of all requests that were answered in time.
    #[must_use]
    pub fn aim_share(&self) -> f64 {
        ratio(self.in_aim, self.asked)
    }

    pub(super) fn of(records: &[CallerRecord], plan: &OverloadPlan) -> Self {
        let is_in_aim = |it: &&CallerRecord| {
            let first = it.first_at.filter(|_| it.is_done);
            first.is_some_and(|first| first.since(it.asked_at) <= plan.kinds[it.kind].aim_ms)
        };
        let mut by_kind = [KindTally::default(); KINDS];
        for record in records {
            let kind = &mut by_kind[record.kind];
            kind.asked += 1;
            kind.in_aim += usize::from(is_in_aim(&record));
            kind.served += usize::from(record.is_done);
        }
        let share = |of: &dyn Fn(&CallerRecord) -> bool| {
            let all = records.iter().filter(|it| of(it));
            let good = all.clone().filter(is_in_aim).count();
            ratio(good, all.count())
        };
        let done = records.iter().filter(|it| it.is_done).count();
        let in_aim = records.iter().filter(is_in_aim).count();
        let is_refused = |it: &&CallerRecord| !it.is_done && it.refusals > 0;
        let refused = records.iter().filter(is_refused).count();
        let mut refusals: Vec<u64> = records.iter().filter_map(|it| it.refusal_ms).collect();
        refusals.sort_unstable();
        let after = ClockMs(plan.ends_ms + RECOVERY_MS);
        Self {
            by_kind,
            asked: records.len(),
            in_aim,
            late: done - in_aim,
            refused,
            lost: records.len() - done - refused,
            met: records.iter().filter(|it| it.meetings > 0).count(),
            dark_sends: records.iter().map(|it| it.dark_sends).sum(),
            late_after_dark: records
                .iter()
                .filter(|it| it.dark_sends > 0 && it.is_done && !is_in_aim(it))
                .count(),
            after_share: share(&|it| it.asked_at > after),
            long_share: share(&|it| it.is_long),
            hot_share: share(&|it| it.is_hot),
            other_share: share(&|it| !it.is_hot),
            refusal_p99_ms: refusals
                .get(refusals.len() * 99 / 100)
                .copied()
                .unwrap_or_default(),
        }
    }
}

// Counts are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
fn ratio(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}
