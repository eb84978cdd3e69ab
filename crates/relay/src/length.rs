//! How long answers become, learnt from those that ended.
//!
//! Callers estimate the tokens of an answer; the estimate is about right at the median and often far
//! off. What counts for the memory of a replica is how likely a run that has made so many tokens
//! makes so many more.

/// Bins of the ratio of tokens made to tokens estimated, on a logarithmic scale.
const BINS: usize = 32;
/// Natural logarithm of the ratio at which the first bin begins; the bins lie evenly round 0.
const LOWEST: f64 = -2.0;
/// Width of a bin in the logarithm; the last one ends at 2, a ratio of 7.4.
const WIDTH: f64 = 0.125;
/// Spread of the logarithm before any answer ended: two thirds of the answers within a factor of
/// 1.65, which is how far such estimates are usually off.
const PRIOR_SPREAD: f64 = 0.5;
/// Answers that the assumption before any answer ended counts for.
const PRIOR_WEIGHT: f64 = 10.0;
/// Answers after which an older one counts for a third: a shift of lengths shows after as many.
const MEMORY: f64 = 100.0;

/// Distribution of the ratio of tokens made to tokens estimated.
#[derive(Debug, Clone)]
pub struct LengthDistribution {
    weights: [f64; BINS],
    total: f64,
}

impl LengthDistribution {
    /// The assumption before any answer ended.
    pub fn new() -> Self {
        let density = |bin: usize| {
            let z = (LOWEST + WIDTH * (bin as f64 + 0.5)) / PRIOR_SPREAD;
            (-z * z / 2.0).exp()
        };
        let mut weights: [f64; BINS] = std::array::from_fn(density);
        let sum: f64 = weights.iter().sum();
        for weight in &mut weights {
            *weight *= PRIOR_WEIGHT / sum;
        }
        Self {
            weights,
            total: PRIOR_WEIGHT,
        }
    }

    /// Notes that an answer had `made` tokens where `estimate` were expected.
    pub fn record(&mut self, made: f64, estimate: f64) {
        let kept = 1.0 - 1.0 / MEMORY;
        for weight in &mut self.weights {
            *weight *= kept;
        }
        let bin = place(made, estimate).clamp(0.0, BINS as f64 - 1.0) as usize;
        self.weights[bin] += 1.0;
        self.total = self.total * kept + 1.0;
    }

    /// Share of answers that have more than `made` tokens where `estimate` are expected.
    pub fn share_longer_than(&self, made: f64, estimate: f64) -> f64 {
        if made <= 0.0 {
            return 1.0;
        }
        let place = place(made, estimate);
        if place < 0.0 {
            return 1.0;
        }
        let bin = place as usize;
        if bin >= BINS {
            return 0.0;
        }
        let above: f64 = self.weights[bin + 1..].iter().sum();
        let part = 1.0 - place.fract();
        (above + part * self.weights[bin]) / self.total
    }
}

impl Default for LengthDistribution {
    fn default() -> Self {
        Self::new()
    }
}

/// Where a ratio lies, in bins from the beginning of the first one.
fn place(made: f64, estimate: f64) -> f64 {
    let ratio = made.max(1.0) / estimate.max(1.0);
    (ratio.ln() - LOWEST) / WIDTH
}
