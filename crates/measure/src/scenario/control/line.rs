//! Straight lines through measured points.

/// A straight line with the largest distance of a point from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Growth of the value by one step of the size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest distance of a measured value from the line.
    pub residual: f64,
}

impl Line {
    /// The line with the least squares through points of size and value.
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
        let spread: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        let common: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let distance = |point: &(f64, f64)| (point.1 - intercept - slope * point.0).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self { slope, intercept, residual }
    }
}
