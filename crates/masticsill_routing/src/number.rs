//! Number conversions, hash mixing and a moving average.

/// Converts a count to a float. Counts in this crate stay far below 2^52, so the result is exact.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn to_float(count: u64) -> f64 {
    count as f64
}

/// Converts a non-negative float to a count, rounded up and at most `most`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range that fits"
)]
pub(crate) fn to_count(value: f64, most: u64) -> u64 {
    let bounded = value.ceil().clamp(0.0, to_float(most));
    bounded as u64
}

/// Mixes two numbers into a well-distributed hash that is the same in every process.
pub(crate) fn mix(one: u64, other: u64) -> u64 {
    let mut mixed = one ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Hashes a string; the result is the same in every process.
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        mix(hash, u64::from(byte))
    })
}

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// Weight of a new sample.
    const ALPHA: f64 = 0.1;

    pub(crate) fn add(&mut self, sample: f64) {
        self.value = Some(
            self.value
                .map_or(sample, |value| value + (sample - value) * Self::ALPHA),
        );
    }

    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}
