//! Rates of requests that endpoints state.

use serde::{Deserialize, Serialize};

/// A rate of requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate {
    /// Requests per 1,000 seconds.
    pub per_1000_s: u64,
}

impl RequestRate {
    /// Parses a decimal number of requests per second; `None` if the text is no such number or is
    /// negative.
    #[must_use]
    pub fn parse_per_s(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        if !per_s.is_finite() || per_s < 0.0 {
            return None;
        }
        // The conversion saturates, and such a rate limits nothing.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let per_1000_s = (per_s * 1_000.0) as u64;
        Some(Self { per_1000_s })
    }

    /// Requests per second.
    // Rates that limit anything are far below the precision of the type.
    #[allow(clippy::cast_precision_loss)]
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }
}

/// What an endpoint stated in a response about the requests that it accepts from all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitStatement {
    /// For how long the statement has applied, in milliseconds.
    pub age_ms: u64,
    /// The rate that the endpoint accepts; `None` if it stated no limit.
    pub rate: Option<RequestRate>,
}
