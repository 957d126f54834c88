//! What callers get of many entries before many engines, at the usual load: no entry hears of the
//! others' starts in time, and the engines have room for all.

use masticsill_bench::overload::{OverloadPlan, Tally, play};

/// A fleet in which an entry is told of the others' starts so often.
fn play_fleet(pause_ms: u64) -> Tally {
    play(&OverloadPlan {
        begins_ms: 0,
        ends_ms: 0,
        engines: 360,
        entries: 105,
        length_ms: 8_000,
        pause_ms,
        usual_per_s: 108.0,
        word_ms: 10,
        ..OverloadPlan::default()
    })
}

#[test]
fn prompts_rarely_meet() {
    for pause_ms in [200, 900] {
        let tally = play_fleet(pause_ms);
        assert_eq!(tally.refused + tally.lost, 0, "{tally:?}");
        assert!(
            tally.late * 100 <= tally.asked * 3,
            "{pause_ms} ms: {tally:?}"
        );
        assert!(
            tally.met * 100 <= tally.asked * 3,
            "{pause_ms} ms: {tally:?}"
        );
    }
}
