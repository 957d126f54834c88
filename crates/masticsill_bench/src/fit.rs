//! Least squares over a few measured points.

use std::fmt;

/// A linear fit: an intercept and one slope for each input.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The value where all inputs are zero.
    pub intercept: f64,
    /// Largest distance of a point from the fit, in the unit of the values.
    pub residual: f64,
    /// Change of the value for each unit of an input, in the order of the inputs.
    pub slopes: Vec<f64>,
}

impl Fit {
    /// Fits values over rows of inputs; `None` when the points do not decide the coefficients.
    #[must_use]
    pub fn new(inputs: &[Vec<f64>], values: &[f64]) -> Option<Self> {
        let rows: Vec<Vec<f64>> = inputs
            .iter()
            .map(|row| [&[1.0], row.as_slice()].concat())
            .collect();
        let size = rows.first()?.len();
        let mut system = vec![vec![0.0; size + 1]; size];
        for (row, value) in rows.iter().zip(values) {
            for line in 0..size {
                for column in 0..size {
                    system[line][column] += row[line] * row[column];
                }
                system[line][size] += row[line] * value;
            }
        }
        let solution = solve(system)?;
        let distances = rows.iter().zip(values).map(|(row, value)| {
            let fitted: f64 = row.iter().zip(&solution).map(|(a, b)| a * b).sum();
            (fitted - value).abs()
        });
        Some(Self {
            intercept: solution[0],
            residual: distances.fold(0.0, f64::max),
            slopes: solution[1..].to_vec(),
        })
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.3}", self.intercept)?;
        for (index, slope) in self.slopes.iter().enumerate() {
            write!(formatter, " + {slope:.4} x{}", index + 1)?;
        }
        write!(formatter, ", largest residual {:.3}", self.residual)
    }
}

/// Gauss elimination with partial pivoting of a square system with its right side.
fn solve(mut system: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let size = system.len();
    for column in 0..size {
        let pivot = (column..size).max_by(|left, right| {
            let (left, right) = (system[*left][column].abs(), system[*right][column].abs());
            left.total_cmp(&right)
        })?;
        system.swap(column, pivot);
        if system[column][column].abs() < f64::EPSILON {
            return None;
        }
        let pivot_row = system[column].clone();
        for (line, row) in system.iter_mut().enumerate() {
            if line == column {
                continue;
            }
            let factor = row[column] / pivot_row[column];
            for (cell, pivot_cell) in row.iter_mut().zip(&pivot_row) {
                *cell -= factor * pivot_cell;
            }
        }
    }
    let solution = system.iter().enumerate();
    Some(solution.map(|(line, row)| row[size] / row[line]).collect())
}

/// A count as a number to calculate with.
#[must_use]
#[allow(
    clippy::cast_precision_loss,
    reason = "counts of a run stay far below 2^52"
)]
pub fn number(count: u64) -> f64 {
    count as f64
}
