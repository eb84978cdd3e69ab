//! Learns the distribution of answer lengths from completed answers.
//!
//! Callers estimate the tokens of an answer; the estimate is about right at the median and often
//! far off. The memory of a replica depends on how likely a run that has generated some tokens
//! generates a given number more.

/// Bins of the ratio of generated to estimated tokens, on a logarithmic scale.
const BINS: usize = 32;
/// Natural logarithm of the ratio at the start of the first bin; the bins are symmetric around 0.
const MIN_LOG_RATIO: f64 = -2.0;
/// Width of a bin in the logarithm; the last bin ends at 2, a ratio of 7.4.
const BIN_WIDTH: f64 = 0.125;
/// Standard deviation of the logarithm before any answer: two thirds of the answers are within a
/// factor of 1.65, the usual error of such estimates.
const PRIOR_SPREAD: f64 = 0.5;
/// Weight of the prior, in answers.
const PRIOR_WEIGHT: f64 = 10.0;
/// Number of answers after which the weight of an older one falls to 1/e, about a third. A shift of
/// lengths shows after as many.
const DECAY_ANSWERS: f64 = 100.0;

/// Distribution of the ratio of generated to estimated tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct LengthDistribution {
    weights: [f64; BINS],
    total: f64,
}

impl LengthDistribution {
    /// Creates the prior.
    pub fn new() -> Self {
        let density = |bin: usize| {
            let z = (MIN_LOG_RATIO + BIN_WIDTH * (bin as f64 + 0.5)) / PRIOR_SPREAD;
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

    /// Records an answer of `generated` tokens of which `estimate` were expected.
    pub fn record(&mut self, generated: f64, estimate: f64) {
        let kept = 1.0 - 1.0 / DECAY_ANSWERS;
        for weight in &mut self.weights {
            *weight *= kept;
        }
        let bin = bin_position(generated, estimate).clamp(0.0, BINS as f64 - 1.0) as usize;
        self.weights[bin] += 1.0;
        self.total = self.total * kept + 1.0;
    }

    /// Share of answers with more than `generated` tokens when `estimate` are expected.
    pub fn share_longer_than(&self, generated: f64, estimate: f64) -> f64 {
        if generated <= 0.0 {
            return 1.0;
        }
        let position = bin_position(generated, estimate);
        if position < 0.0 {
            return 1.0;
        }
        let bin = position as usize;
        if bin >= BINS {
            return 0.0;
        }
        let above: f64 = self.weights[bin + 1..].iter().sum();
        let part = 1.0 - position.fract();
        (above + part * self.weights[bin]) / self.total
    }
}

impl Default for LengthDistribution {
    fn default() -> Self {
        Self::new()
    }
}

/// Position of a ratio in bins, counted from the start of the first one.
fn bin_position(generated: f64, estimate: f64) -> f64 {
    let ratio = generated.max(1.0) / estimate.max(1.0);
    (ratio.ln() - MIN_LOG_RATIO) / BIN_WIDTH
}
