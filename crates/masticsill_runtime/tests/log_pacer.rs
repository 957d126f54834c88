//! Lines that others can cause at will.

use masticsill_runtime::LogRateLimiter;
use masticsill_types::ClockMs;

#[test]
fn one_line_passes_in_a_second() {
    let mut pacer = LogRateLimiter::default();
    assert_eq!(pacer.pass(ClockMs(5)), Some(0));
    for at in 6..1_005 {
        assert_eq!(pacer.pass(ClockMs(at)), None);
    }
    assert_eq!(pacer.pass(ClockMs(1_005)), Some(999));
    assert_eq!(pacer.pass(ClockMs(2_005)), Some(0));
}
