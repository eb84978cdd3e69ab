//! Forecasts the memory that runs will hold at a replica over the next seconds.
//!
//! A run holds its prompt and its generated tokens: it grows at a known rate until it ends, and
//! then frees everything. The runs of a burst have the same age, so they fit when they are admitted
//! and no longer fit two seconds later. Summing the maximum of each run would leave half of the
//! memory unused, since some runs end while others grow. So the forecast is summed at several
//! horizons, each run weighted with the probability that it is still running.

use serde::Deserialize;
use serde::Serialize;

use crate::length::LengthDistribution;

/// Forecast horizons in seconds, denser where decisions are near. An answer takes some seconds;
/// what follows the last horizon is decided when it is nearer.
pub const HORIZONS: [f64; 6] = [0.0, 0.3, 0.7, 1.4, 2.4, 4.0];
/// Probability of continuing below which a run may end at any moment: it has generated more tokens
/// than any recent answer.
const MIN_SURVIVAL: f64 = 0.01;
/// Mean remaining seconds of such a run.
const OVERLONG_MEAN_S: f64 = 1.0;
/// Shortest time for a token that is taken from a measurement, in seconds.
const MIN_PACE_S: f64 = 1e-6;

/// Memory in tokens at the [`HORIZONS`]: mean, variance, and the amount if no run ends. Where
/// answers add little to the prompts, the last is the tightest bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Curve {
    mean: [f32; HORIZONS.len()],
    variance: [f32; HORIZONS.len()],
    most: [f32; HORIZONS.len()],
}

/// One run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Run {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens generated so far.
    pub generated: f64,
    /// Tokens of the answer that the caller expects.
    pub estimate: f64,
    /// Maximum tokens of the answer.
    pub max_tokens: f64,
    /// Tokens generated per second.
    pub tokens_per_s: f64,
}

impl Run {
    /// Tokens held now.
    pub fn held(&self) -> f64 {
        self.prompt + self.generated
    }

    /// The same run at a replica that takes `seconds` for a token.
    #[must_use]
    pub fn at_pace(&self, seconds: f64) -> Self {
        Self {
            tokens_per_s: 1.0 / seconds.max(MIN_PACE_S),
            ..*self
        }
    }

    /// Probability that the run still generates after `seconds`, given the distribution of answer
    /// lengths.
    pub fn survival(&self, length: &LengthDistribution, seconds: f64) -> f64 {
        let now = length.share_longer_than(self.generated, self.estimate);
        self.survival_given(length, now, seconds)
    }

    /// The same, given the share of answers that are longer than this one `now`.
    fn survival_given(&self, length: &LengthDistribution, now: f64, ahead: f64) -> f64 {
        let generated = self.generated + self.tokens_per_s * ahead;
        match generated {
            _ if ahead == 0.0 => 1.0,
            generated if generated >= self.max_tokens => 0.0,
            _ if now < MIN_SURVIVAL => (-ahead / OVERLONG_MEAN_S).exp(),
            generated => length.share_longer_than(generated, self.estimate) / now,
        }
    }

    /// Forecast of the run's memory, given the distribution of answer lengths.
    pub fn curve(&self, length: &LengthDistribution) -> Curve {
        let now = length.share_longer_than(self.generated, self.estimate);
        let mut curve = Curve::default();
        for (index, ahead) in HORIZONS.into_iter().enumerate() {
            let generated = self.generated + self.tokens_per_s * ahead;
            let survival = self.survival_given(length, now, ahead);
            let size = self.prompt + generated;
            curve.mean[index] = (survival * size) as f32;
            curve.variance[index] = (survival * (1.0 - survival) * size * size) as f32;
            curve.most[index] =
                (self.prompt + generated.min(self.max_tokens.max(self.generated))) as f32;
        }
        curve
    }
}

impl Curve {
    /// A constant amount of memory.
    pub const fn flat(tokens: f64) -> Self {
        Self {
            mean: [tokens as f32; HORIZONS.len()],
            variance: [0.0; HORIZONS.len()],
            most: [tokens as f32; HORIZONS.len()],
        }
    }

    /// Creates a curve from the mean, the standard deviation, and the amount if no run ends.
    pub(crate) fn with_spread(
        mean: [f32; HORIZONS.len()],
        spread: [f32; HORIZONS.len()],
        most: [f32; HORIZONS.len()],
    ) -> Self {
        Self {
            mean,
            variance: spread.map(|spread| spread * spread),
            most,
        }
    }

    /// Expected tokens at each horizon.
    pub const fn mean(&self) -> [f32; HORIZONS.len()] {
        self.mean
    }

    /// Tokens at each horizon if no run ends.
    pub const fn most(&self) -> [f32; HORIZONS.len()] {
        self.most
    }

    /// Standard deviation at each horizon.
    pub fn spread(&self) -> [f32; HORIZONS.len()] {
        self.variance.map(|variance| variance.max(0.0).sqrt())
    }

    /// Sum of two independent curves.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        let mut sum = *self;
        for index in 0..HORIZONS.len() {
            sum.mean[index] += other.mean[index];
            sum.variance[index] += other.variance[index];
            sum.most[index] += other.most[index];
        }
        sum
    }

    /// The curve as seen from `seconds` later.
    #[must_use]
    pub fn shifted(&self, seconds: f64) -> Self {
        let moments = HORIZONS.map(|ahead| ahead + seconds);
        Self {
            mean: moments.map(|at| interpolate(&self.mean, at)),
            variance: moments.map(|at| interpolate(&self.variance, at)),
            most: moments.map(|at| interpolate(&self.most, at)),
        }
    }

    /// Maximum over the horizons of the mean plus `spreads` standard deviations, bounded by the
    /// amount if no run ends.
    pub fn peak(&self, spreads: f64) -> f64 {
        self.peak_within(f64::INFINITY, spreads)
    }

    /// The same for the horizons up to `seconds` ahead.
    pub fn peak_within(&self, seconds: f64, spreads: f64) -> f64 {
        let indices = (0..HORIZONS.len()).filter(|index| HORIZONS[*index] <= seconds);
        let values = indices.map(|index| {
            let spread = f64::from(self.variance[index].max(0.0)).sqrt();
            let upper = f64::from(self.mean[index]) + spreads * spread;
            upper.min(f64::from(self.most[index]))
        });
        values.fold(0.0, f64::max)
    }
}

/// Interpolates linearly at `at` seconds; the last value is constant beyond the last horizon.
fn interpolate(values: &[f32; HORIZONS.len()], at: f64) -> f32 {
    let Some(upper) = HORIZONS.iter().position(|ahead| *ahead >= at) else {
        return values[HORIZONS.len() - 1];
    };
    let lower = upper.saturating_sub(1);
    let width = (HORIZONS[upper] - HORIZONS[lower]).max(f64::MIN_POSITIVE);
    let part = ((at - HORIZONS[lower]) / width) as f32;
    values[lower] + part * (values[upper] - values[lower])
}
