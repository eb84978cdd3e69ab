//! Fits lines to measured points and summarizes repeated measurements.

use std::fmt;

/// A least-squares line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Intercept.
    pub base: f64,
    /// Slope.
    pub slope: f64,
    /// Coefficient of determination, 0 to 1.
    pub r2: f64,
    /// Largest residual as a fraction of the largest absolute value.
    pub worst: f64,
}

impl Line {
    /// Fits a line to `points`; its slope is 0 if all have the same x.
    ///
    /// # Panics
    ///
    /// If there are no points.
    pub fn new(points: &[(f64, f64)]) -> Self {
        assert!(!points.is_empty(), "a line needs at least one point");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let squares_x: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let squares_y: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let products: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = if squares_x > 0.0 {
            products / squares_x
        } else {
            0.0
        };
        let base = mean_y - slope * mean_x;
        let residual = |point: &(f64, f64)| point.1 - (base + slope * point.0);
        let residuals: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let farthest = points
            .iter()
            .map(|point| residual(point).abs())
            .fold(0.0, f64::max);
        Self {
            base,
            slope,
            r2: if squares_y > 0.0 {
                1.0 - residuals / squares_y
            } else {
                1.0
            },
            worst: if largest > 0.0 {
                farthest / largest
            } else {
                0.0
            },
        }
    }

    /// The value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            base,
            slope,
            r2,
            worst,
        } = self;
        let worst = worst * 100.0;
        write!(
            f,
            "{base:.4} + {slope:.6} x (R2 {r2:.3}, worst point {worst:.0} % off)"
        )
    }
}

/// Median and range of repeated measurements.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Range {
    /// Smallest value.
    pub least: f64,
    /// Median.
    pub median: f64,
    /// Largest value.
    pub most: f64,
}

impl Range {
    /// Median and range of `values`.
    ///
    /// # Panics
    ///
    /// If there are no values.
    pub fn new(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        let median = if sorted.len().is_multiple_of(2) {
            f64::midpoint(sorted[middle - 1], sorted[middle])
        } else {
            sorted[middle]
        };
        Self {
            least: sorted[0],
            median,
            most: sorted[sorted.len() - 1],
        }
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            least,
            median,
            most,
        } = self;
        write!(f, "{median:.3} [{least:.3}..{most:.3}]")
    }
}
