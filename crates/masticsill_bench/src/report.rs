//! Tables in Markdown.

use std::fmt;

use hdrhistogram::Histogram;

/// A table that is printed as Markdown.
#[derive(Clone, Debug, Default)]
pub struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with the column names given.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self {
            head: head.iter().map(|name| (*name).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn add(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "| {} |", self.head.join(" | "))?;
        writeln!(formatter, "|{}", "---|".repeat(self.head.len()))?;
        for row in &self.rows {
            writeln!(formatter, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}

/// A quantile of a histogram of microseconds, in milliseconds.
#[must_use]
pub fn ms(histogram: &Histogram<u64>, quantile: f64) -> String {
    let value_us = histogram.value_at_quantile(quantile);
    format!("{}.{:02}", value_us / 1_000, value_us % 1_000 / 10)
}

/// Microseconds for each of `count` things.
#[must_use]
pub fn us_per(total_us: u64, count: u64) -> String {
    let hundredths = total_us * 100 / count.max(1);
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}
