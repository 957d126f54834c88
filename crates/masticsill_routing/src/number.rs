//! Conversions and mixing of numbers.

/// A count as a float. Counts here stay far below 2^52, so nothing is lost.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn to_float(count: u64) -> f64 {
    count as f64
}

/// A float that is not negative as a count, rounded up and bounded by `most`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range that fits"
)]
pub(crate) fn to_count(value: f64, most: u64) -> u64 {
    let bounded = value.ceil().clamp(0.0, to_float(most));
    bounded as u64
}

/// Mixes two numbers into one that looks random; the same in every process.
pub(crate) fn mix(one: u64, other: u64) -> u64 {
    let mut mixed = one ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A hash of text; the same in every process.
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        mix(hash, u64::from(byte))
    })
}

/// A running average that forgets with each sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    const SAMPLE_WEIGHT: f64 = 0.1;

    pub(crate) fn add(&mut self, sample: f64) {
        self.value = Some(self.value.map_or(sample, |value| {
            value + (sample - value) * Self::SAMPLE_WEIGHT
        }));
    }

    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}
