//! The end of a search for a generation's record.

use masticsill_session::{HolderSearch, SearchProgress, SearchStep};
use masticsill_types::ClockMs;

const START: ClockMs = ClockMs(5_000);
const REPLY_MS: u64 = 10;

const ALL_REPLIED: SearchProgress = SearchProgress {
    is_found: false,
    unanswered: 0,
    untried: 0,
};
const ONE_SILENT: SearchProgress = SearchProgress {
    is_found: false,
    unanswered: 1,
    untried: 0,
};

fn step_after(elapsed_ms: u64, progress: SearchProgress) -> SearchStep {
    HolderSearch::new(START).step(START + elapsed_ms, progress)
}

fn found(progress: SearchProgress) -> SearchProgress {
    SearchProgress {
        is_found: true,
        ..progress
    }
}

#[test]
fn record_is_lost_once_every_node_has_replied_without_it() {
    assert_eq!(step_after(REPLY_MS, ALL_REPLIED), SearchStep::Lost);
}

/// Guards against a timeout that counts as the reply of a node without a record.
#[test]
fn record_is_never_lost_while_a_node_has_not_replied() {
    for elapsed_ms in (0..60_000).step_by(100) {
        assert_ne!(step_after(elapsed_ms, ONE_SILENT), SearchStep::Lost);
    }
}

#[test]
fn search_waits_for_a_node_that_is_silent_for_a_moment() {
    assert_eq!(step_after(1_500, ONE_SILENT), SearchStep::Wait);
}

#[test]
fn search_ends_unsettled_if_a_node_stays_silent() {
    let search = HolderSearch::new(START);
    let end = START + search.left_ms(START);
    assert_eq!(search.step(end, ONE_SILENT), SearchStep::Unsettled);
    assert_eq!(search.left_ms(end), 0);
}

#[test]
fn found_record_is_used_once_every_node_was_tried() {
    for progress in [ALL_REPLIED, ONE_SILENT] {
        let step = step_after(REPLY_MS, found(progress));
        assert_eq!(step, SearchStep::UseRecord);
    }
}

#[test]
fn found_record_does_not_wait_long_for_silent_nodes() {
    let one_untried = SearchProgress {
        untried: 1,
        ..found(ONE_SILENT)
    };
    assert_eq!(step_after(REPLY_MS, one_untried), SearchStep::Wait);
    assert_eq!(step_after(1_000, one_untried), SearchStep::UseRecord);
}
