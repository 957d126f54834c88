//! What is to be reported to a replica that restarts.

use masticsill_registry::ReportProgress;

#[test]
fn received_reports_are_not_repeated() {
    let mut progress = ReportProgress::default();
    progress.complete(progress, 7);
    assert_eq!(progress.revision(), 7);
}

/// Guards against a restarted replica that is told only of what was recorded since.
#[test]
fn report_under_way_during_a_restart_does_not_count() {
    let mut progress = ReportProgress::default();
    progress.complete(progress, 7);
    let begun = progress;
    progress.restart();
    progress.complete(begun, 8);
    assert_eq!(progress.revision(), 0);
    progress.complete(progress, 8);
    assert_eq!(progress.revision(), 8);
}
