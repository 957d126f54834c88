//! When a silent run is presumed to have failed, by the gaps of its engine.

use masticsill_dispatch::{EVENT_GAP_TIMEOUT_MS, EventGaps, silence_timeout_ms};
use masticsill_types::ClockMs;

const NOW: ClockMs = ClockMs(10_000);
const TARGET_GAP_MS: u64 = 700;

fn gaps(noted: &[(u64, bool)]) -> EventGaps {
    let mut gaps = EventGaps::default();
    for (gap_ms, is_prefilling) in noted {
        gaps.note(NOW, *gap_ms, *is_prefilling);
    }
    gaps
}

fn timeout_ms(gaps: &EventGaps) -> u64 {
    silence_timeout_ms(gaps.longest_usual_ms(NOW), TARGET_GAP_MS)
}

/// A dead engine would be detected later than before.
#[test]
fn steady_engine_is_left_as_soon_as_before() {
    let alternating: Vec<_> = (0..60)
        .map(|event| (36, event))
        .map(|(gap_ms, event)| (gap_ms + event % 3 * 4, false))
        .collect();
    assert_eq!(timeout_ms(&gaps(&alternating)), EVENT_GAP_TIMEOUT_MS);
    let beside_prefill = vec![(180, true); 60];
    assert_eq!(timeout_ms(&gaps(&beside_prefill)), EVENT_GAP_TIMEOUT_MS);
}

/// An engine of which nothing is known would be waited for without cause.
#[test]
fn unknown_engine_is_left_as_soon_as_before() {
    assert_eq!(timeout_ms(&EventGaps::default()), EVENT_GAP_TIMEOUT_MS);
    let few = gaps(&[(600, true); 3]);
    assert_eq!(timeout_ms(&few), EVENT_GAP_TIMEOUT_MS);
}

/// A slow engine beside a prefill would be left though its next event is due soon.
#[test]
fn slow_engine_is_kept_longer() {
    let slow = gaps(&[(340, true), (330, true), (350, true), (420, true)].repeat(6));
    let kept_ms = timeout_ms(&slow);
    assert!(kept_ms > 420, "{kept_ms}");
}

/// A prefill may begin during a gap: the gaps without one must not make the engine appear fast.
#[test]
fn gaps_beside_prefills_count_during_decoding() {
    let mut mixed = vec![(400, true); 30];
    mixed.extend(vec![(60, false); 200]);
    let kept_ms = timeout_ms(&gaps(&mixed));
    assert!(kept_ms > 400, "{kept_ms}");
}

/// No run may be silent for longer than its caller expects.
#[test]
fn caller_bounds_the_silence() {
    let very_slow = gaps(&[(900, true), (200, true)].repeat(20));
    assert_eq!(timeout_ms(&very_slow), TARGET_GAP_MS);
}

/// A route with a short target gap must not make steady engines be left sooner than before.
#[test]
fn short_target_gap_does_not_shorten_the_silence() {
    assert_eq!(silence_timeout_ms(Some(500), 200), EVENT_GAP_TIMEOUT_MS);
}

/// A steady engine decodes with and without a prefill beside it: the difference between these gaps
/// must not delay the detection of a dead one.
#[test]
fn changing_load_of_a_steady_engine_does_not_lengthen_the_silence() {
    let changing = gaps(&[(36, true), (186, true), (250, true)].repeat(20));
    assert_eq!(timeout_ms(&changing), EVENT_GAP_TIMEOUT_MS);
}

/// After the first gaps of a steady engine beside a prefill, a dead one would be detected late.
#[test]
fn first_gaps_of_a_steady_engine_do_not_lengthen_the_silence() {
    let few = gaps(&[(170, true), (186, true)].repeat(5));
    assert_eq!(timeout_ms(&few), EVENT_GAP_TIMEOUT_MS);
}

/// An engine may be idle for a long time and then have other load.
#[test]
fn old_gaps_say_nothing() {
    let slow = gaps(&[(400, true); 30]);
    assert!(slow.longest_usual_ms(NOW).is_some());
    assert_eq!(slow.longest_usual_ms(NOW + 60_000), None);
}
