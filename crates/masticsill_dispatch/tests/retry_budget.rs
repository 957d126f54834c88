//! The retry budget: all entries together never exceed the limit of a service.

use masticsill_dispatch::{BudgetSettings, EntryCount, RetryBudget};
use masticsill_types::ClockMs;

const SETTINGS: BudgetSettings = BudgetSettings {
    extra: 150,
    ratio: 0.8,
    window_ms: 10_000,
};

/// Spends everything that is left at `now`, and returns the number of extra sends.
fn spend_all(budget: &mut RetryBudget, now: ClockMs, entries: u32) -> u32 {
    let mut spent = 0;
    while budget.try_spend(now, entries) {
        spent += 1;
    }
    spent
}

#[test]
fn all_entries_together_stay_within_the_bound() {
    for entries in [1, 2, 6, 32] {
        let mut requests = 0;
        let mut spent = 0;
        for entry in 0..entries {
            let mut budget = RetryBudget::new(SETTINGS);
            for _ in 0..entry * 10 {
                budget.note_request(ClockMs(0));
                requests += 1;
            }
            spent += spend_all(&mut budget, ClockMs(0), entries);
        }
        let bound = requests * 8 / 10 + SETTINGS.extra;
        assert!(spent <= bound, "{entries} entries spent {spent} of {bound}");
        assert!(
            spent * 10 >= bound * 7,
            "{entries} entries spent {spent} of {bound}"
        );
    }
}

#[test]
fn sliding_window_never_exceeds_the_bound() {
    let mut budget = RetryBudget::new(SETTINGS);
    let mut spent = Vec::new();
    for step in 0..400 {
        let now = ClockMs(step * 100);
        spent.push((now, spend_all(&mut budget, now, 1)));
    }
    for (from, _) in &spent {
        let within = spent
            .iter()
            .filter(|(at, _)| at >= from && at.since(*from) < 10_000);
        let total: u32 = within.map(|(_, count)| count).sum();
        assert!(
            total <= SETTINGS.extra,
            "{total} extra sends in the window from {from}"
        );
    }
}

#[test]
fn newly_started_control_replica_does_not_enlarge_the_share() {
    let mut count = EntryCount::default();
    count.note(ClockMs(0), 6);
    count.note(ClockMs(1_000), 1);
    assert_eq!(count.highest(), 6);
    count.note(ClockMs(31_000), 1);
    assert_eq!(count.highest(), 1);
    assert_eq!(EntryCount::default().highest(), 1);
}

#[test]
fn entry_without_control_replicas_keeps_to_its_share() {
    let mut count = EntryCount::default();
    count.note(ClockMs(0), 6);
    count.note(ClockMs(1_000), 5);
    // No reports from here on: the last report stays in force however late it is.
    assert_eq!(count.highest(), 6);
    count.note(ClockMs(600_000), 4);
    assert_eq!(count.highest(), 4);
}
