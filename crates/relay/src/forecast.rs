//! What runs will hold of a replica's memory over the next seconds.
//!
//! A run holds its prompt and the tokens that it has made, so it grows at a known pace until it ends,
//! and then gives everything back. Runs of a burst are of one age: they fit when they are taken and no
//! longer do two seconds later. A sum of what each may need at most would leave half of the memory
//! unused, since some end while others grow. So the sum is taken at several moments ahead, each run
//! with the chance that it is still there.

use serde::Deserialize;
use serde::Serialize;

use crate::length::LengthDistribution;

/// Moments ahead that are looked at, in seconds; closer together where decisions are near. An answer
/// takes some seconds; what comes after the last moment is decided when it is nearer.
pub const HORIZONS: [f64; 6] = [0.0, 0.3, 0.7, 1.4, 2.4, 4.0];
/// Chance of going on below which a run is taken for one that ends at any moment: more tokens were
/// made than any answer had lately.
const RARE: f64 = 0.01;
/// Seconds that such a run goes on for in the mean.
const RARE_STAY: f64 = 1.0;

/// Memory over the moments [`HORIZONS`], in tokens: what is expected, how far that may be off, and what is
/// held if no run ends. Where answers add little to what a run holds, the last is the closest bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Curve {
    mean: [f32; HORIZONS.len()],
    variance: [f32; HORIZONS.len()],
    most: [f32; HORIZONS.len()],
}

/// One run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Run {
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens that it has made.
    pub generated: f64,
    /// Tokens that the caller expects in all.
    pub estimate: f64,
    /// Tokens that it makes at most.
    pub max_tokens: f64,
    /// Tokens that it makes in a second.
    pub tokens_per_s: f64,
}

impl Run {
    /// Tokens that it holds now.
    pub fn held(&self) -> f64 {
        self.prompt + self.generated
    }

    /// What it will hold, where answers are as long as `length` says.
    pub fn curve(&self, length: &LengthDistribution) -> Curve {
        let now = length.share_longer_than(self.generated, self.estimate);
        let mut curve = Curve::default();
        for (index, ahead) in HORIZONS.into_iter().enumerate() {
            let made = self.generated + self.tokens_per_s * ahead;
            let goes_on = match made {
                _ if ahead == 0.0 => 1.0,
                made if made >= self.max_tokens => 0.0,
                _ if now < RARE => (-ahead / RARE_STAY).exp(),
                made => length.share_longer_than(made, self.estimate) / now,
            };
            let size = self.prompt + made;
            curve.mean[index] = (goes_on * size) as f32;
            curve.variance[index] = (goes_on * (1.0 - goes_on) * size * size) as f32;
            curve.most[index] =
                (self.prompt + made.min(self.max_tokens.max(self.generated))) as f32;
        }
        curve
    }
}

impl Curve {
    /// Memory that stays as it is.
    pub const fn flat(tokens: f64) -> Self {
        Self {
            mean: [tokens as f32; HORIZONS.len()],
            variance: [0.0; HORIZONS.len()],
            most: [tokens as f32; HORIZONS.len()],
        }
    }

    /// What is expected at each moment, how far that may be off as standard deviations, and what is held
    /// if no run ends.
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

    /// Tokens expected at each moment.
    pub const fn mean(&self) -> [f32; HORIZONS.len()] {
        self.mean
    }

    /// Tokens held at each moment if no run ends.
    pub const fn most(&self) -> [f32; HORIZONS.len()] {
        self.most
    }

    /// Standard deviation at each moment.
    pub fn spread(&self) -> [f32; HORIZONS.len()] {
        self.variance.map(|variance| variance.max(0.0).sqrt())
    }

    /// Both together.
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

    /// The curve as it is seen `seconds` later.
    #[must_use]
    pub fn shifted(&self, seconds: f64) -> Self {
        let moments = HORIZONS.map(|ahead| ahead + seconds);
        Self {
            mean: moments.map(|at| between(&self.mean, at)),
            variance: moments.map(|at| between(&self.variance, at)),
            most: moments.map(|at| between(&self.most, at)),
        }
    }

    /// Most that is held at any of the moments: what is expected and `spreads` times the standard
    /// deviation on top, and no more than if no run ends.
    pub fn peak(&self, spreads: f64) -> f64 {
        self.peak_within(f64::INFINITY, spreads)
    }

    /// The same for the moments up to `seconds` ahead.
    pub fn peak_within(&self, seconds: f64, spreads: f64) -> f64 {
        let near = (0..HORIZONS.len()).filter(|index| HORIZONS[*index] <= seconds);
        let values = near.map(|index| {
            let spread = f64::from(self.variance[index].max(0.0)).sqrt();
            let surely = f64::from(self.mean[index]) + spreads * spread;
            surely.min(f64::from(self.most[index]))
        });
        values.fold(0.0, f64::max)
    }
}

/// The value at `at` seconds, on straight lines between the moments; the last one holds on.
fn between(values: &[f32; HORIZONS.len()], at: f64) -> f32 {
    let Some(upper) = HORIZONS.iter().position(|ahead| *ahead >= at) else {
        return values[HORIZONS.len() - 1];
    };
    let lower = upper.saturating_sub(1);
    let width = (HORIZONS[upper] - HORIZONS[lower]).max(f64::MIN_POSITIVE);
    let part = ((at - HORIZONS[lower]) / width) as f32;
    values[lower] + part * (values[upper] - values[lower])
}
