//! Reports and the histogram of latencies.

use masticsill_rollout::LatencyHistogram;
use proptest::prelude::*;

proptest! {
    /// A bucket that is one off would blur the factor by which a slow version is told.
    #[test]
    fn latency_lies_in_its_bucket(latency_ms in 4_u64..150_000) {
        let mut histogram = LatencyHistogram::default();
        histogram.note(latency_ms);
        let bucket = histogram.quantile(0.5).expect("a latency");
        prop_assert!(latency_ms < LatencyHistogram::upper_bound_ms(bucket));
        prop_assert!(latency_ms >= LatencyHistogram::upper_bound_ms(bucket - 1));
    }

    /// What is taken apart by period must add up to the whole.
    #[test]
    fn difference_and_sum_are_inverse(
        earlier in prop::collection::vec(0_u64..300_000, 0..40),
        later in prop::collection::vec(0_u64..300_000, 0..40),
    ) {
        let mut before = LatencyHistogram::default();
        for latency_ms in &earlier {
            before.note(*latency_ms);
        }
        let mut all = before.clone();
        for latency_ms in &later {
            all.note(*latency_ms);
        }
        let mut sum = before.clone();
        sum.add(&all.since(&before));
        prop_assert_eq!(sum.counts(), all.counts());
        prop_assert_eq!(all.total(), (earlier.len() + later.len()) as u64);
    }
}
