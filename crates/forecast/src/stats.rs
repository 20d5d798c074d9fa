//! Robust statistics of small samples.

/// Ratio of the standard deviation of a normal distribution to the median of the absolute deviations.
const DEVIATION_OF_MEDIAN: f64 = 1.4826;

/// Returns the median; 0 without values.
pub fn median(values: &mut [f64]) -> f64 {
    quantile(values, 0.5)
}

/// Returns the quantile of the given rank, from 0 to 1, by the nearest value or the mean of the two nearest for a
/// median; 0 without values.
pub fn quantile(values: &mut [f64], rank: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let position = rank.clamp(0.0, 1.0) * (values.len() - 1) as f64;
    let (below, above) = (values[position.floor() as usize], values[position.ceil() as usize]);
    below + (above - below) * position.fract()
}

/// Returns a standard deviation around 0 that single outliers don't change.
pub fn robust_deviation(residuals: &[f64]) -> f64 {
    let mut sizes: Vec<f64> = residuals.iter().map(|residual| residual.abs()).collect();
    median(&mut sizes) * DEVIATION_OF_MEDIAN
}

/// Returns the mean of the values after each is limited to `bound` on either side of it, by Huber; 0 without values.
///
/// It follows all values where these agree, unlike the median, and single outliers move it by at most `bound` over their
/// number.
pub fn bounded_mean(values: &[f64], bound: f64) -> f64 {
    let mut mean = median(&mut values.to_vec());
    for _ in 0..4 {
        let excess = values.iter().map(|value| (value - mean).clamp(-bound, bound)).sum::<f64>();
        mean += excess / values.len().max(1) as f64;
    }
    mean
}
