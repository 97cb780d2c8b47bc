//! Least-squares fit of a straight line through measured points.

/// A fitted line and how far the points lie from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Largest absolute distance of a measured value from the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line through points of size and value by least squares. The slope is 0 if all sizes
    /// are equal.
    ///
    /// # Examples
    ///
    /// ```
    /// use corneltrestle_measure::scenario::control::Line;
    ///
    /// let line = Line::fit(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]);
    /// assert_eq!((line.slope, line.intercept, line.residual), (2.0, 1.0, 0.0));
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        let covariance: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let distance = |point: &(f64, f64)| (point.1 - intercept - slope * point.0).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self { slope, intercept, residual }
    }
}
