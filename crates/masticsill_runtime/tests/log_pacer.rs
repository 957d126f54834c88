//! Rate limit for log lines that peers can trigger at will.

use masticsill_runtime::LogRateLimiter;
use masticsill_types::ClockMs;

#[test]
fn one_line_per_second_passes() {
    let mut limiter = LogRateLimiter::default();
    assert_eq!(limiter.pass(ClockMs(5)), Some(0));
    for at in 6..1_005 {
        assert_eq!(limiter.pass(ClockMs(at)), None);
    }
    assert_eq!(limiter.pass(ClockMs(1_005)), Some(999));
    assert_eq!(limiter.pass(ClockMs(2_005)), Some(0));
}
