//! Ordinary least squares over a few sizes: whether n, n log n, n² or n³ describes best how a figure grows.

use std::fmt;

/// A growth function of the size n.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// n.
    Line,
    /// n times the binary logarithm of n.
    NLogN,
    /// n squared.
    Square,
    /// n cubed.
    Cube,
}

const GROWTHS: [Growth; 4] = [Growth::Line, Growth::NLogN, Growth::Square, Growth::Cube];

impl Growth {
    fn of(self, n: f64) -> f64 {
        match self {
            Growth::Line => n,
            Growth::NLogN => n * n.max(1.0).log2(),
            Growth::Square => n * n,
            Growth::Cube => n * n * n,
        }
    }
}

impl fmt::Display for Growth {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(match self {
            Growth::Line => "n",
            Growth::NLogN => "n log n",
            Growth::Square => "n^2",
            Growth::Cube => "n^3",
        })
    }
}

/// The fitted function `start + slope * growth(n)` and its error.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The growth function that was fitted.
    pub growth: Growth,
    /// The intercept, in the unit of the figures.
    pub start: f64,
    /// The factor of the growth function.
    pub slope: f64,
    /// The root mean square error divided by the mean of the figures.
    pub residual: f64,
}

impl Fit {
    /// The predicted figure at size `n`.
    ///
    /// ```
    /// let points = [(1.0, 5.0), (2.0, 7.0), (3.0, 9.0), (4.0, 11.0)];
    /// let best = scale_model::fit(&points)[0];
    /// assert_eq!(best.growth, scale_model::Growth::Line);
    /// assert!((best.at(100.0) - 203.0).abs() < 1e-6);
    /// ```
    pub fn at(&self, n: f64) -> f64 {
        self.start + self.slope * self.growth.of(n)
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Fit {
            growth,
            start,
            slope,
            residual,
        } = self;
        write!(
            f,
            "{start:.4} + {slope:.4e} {growth}, residual {:.1} %",
            residual * 100.0
        )
    }
}

/// Fits every growth function to points of size and figure; the smallest residual comes first.
///
/// ```
/// use scale_model::{Growth, fit};
/// let square = [(10.0, 100.0), (20.0, 400.0), (40.0, 1600.0), (80.0, 6400.0)];
/// assert_eq!(fit(&square)[0].growth, Growth::Square);
/// assert!(fit(&square)[0].residual < 1e-9);
/// ```
pub fn fit(points: &[(f64, f64)]) -> Vec<Fit> {
    let mut fits: Vec<Fit> = GROWTHS
        .iter()
        .map(|growth| least_squares(*growth, points))
        .collect();
    fits.sort_by(|a, b| a.residual.total_cmp(&b.residual));
    fits
}

fn least_squares(growth: Growth, points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let xs: Vec<f64> = points.iter().map(|(n, _)| growth.of(*n)).collect();
    let mean_x = xs.iter().sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
    let shared: f64 = xs
        .iter()
        .zip(points)
        .map(|(x, (_, y))| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if spread > 0.0 { shared / spread } else { 0.0 };
    let start = mean_y - slope * mean_x;
    let off: f64 = xs
        .iter()
        .zip(points)
        .map(|(x, (_, y))| (y - start - slope * x).powi(2))
        .sum();
    let residual = (off / count).sqrt() / mean_y.abs().max(f64::MIN_POSITIVE);
    Fit {
        growth,
        start,
        slope,
        residual,
    }
}
