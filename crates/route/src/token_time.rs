//! Models the time between tokens as a function of the batch size.

/// Factor on the weight of earlier samples for each new one.
const DECAY: f64 = 0.999;
/// Samples needed before the fit is used.
const MIN_SAMPLES: f64 = 30.0;
/// Variance of the batch size needed for a fit.
const MIN_VARIANCE: f64 = 0.5;
/// Initial time between tokens, in seconds.
const INITIAL_TIME_S: f64 = 0.025;
/// Fraction of a target that is used.
const TARGET_FRACTION: f64 = 0.998;

/// A linear regression of the time between tokens on the batch size, with decaying weights.
#[derive(Debug, Default)]
pub struct TokenTimeModel {
    count: f64,
    batch: f64,
    time: f64,
    batch_squared: f64,
    batch_times_time: f64,
    slope: Option<f64>,
}

impl TokenTimeModel {
    /// Adds a sample: in a mean batch of `batch`, a request received a token every `seconds`.
    pub fn add(&mut self, batch: f64, seconds: f64) {
        self.count = self.count * DECAY + 1.0;
        self.batch = self.batch * DECAY + batch;
        self.time = self.time * DECAY + seconds;
        self.batch_squared = self.batch_squared * DECAY + batch * batch;
        self.batch_times_time = self.batch_times_time * DECAY + batch * seconds;
        self.refresh_slope();
    }

    /// Expected time between tokens in a batch of `batch`, in seconds.
    pub fn time(&self, batch: f64) -> f64 {
        let Some((mean, time, slope)) = self.regression() else {
            return if self.count > 0.0 {
                self.time / self.count
            } else {
                INITIAL_TIME_S
            };
        };
        (time + slope * (batch - mean)).max(0.0)
    }

    /// The largest batch that keeps `target` seconds between tokens, at most `slots`. A target that
    /// a request misses even alone sets no limit: smaller batches would leave slots free and help
    /// no request.
    pub fn max_batch(&self, target: f64, slots: u32) -> u32 {
        let Some((mean, time, slope)) = self.regression() else {
            return slots;
        };
        if self.time(1.0) > target {
            return slots;
        }
        let most = mean + (target * TARGET_FRACTION - time) / slope;
        (most.max(1.0) as u32).min(slots)
    }

    /// Mean batch, mean time and slope, once there is a fit.
    fn regression(&self) -> Option<(f64, f64, f64)> {
        let slope = self.slope?;
        Some((self.batch / self.count, self.time / self.count, slope))
    }

    /// Updates the slope. The last one stays where batches hardly vary, as in a full pool.
    fn refresh_slope(&mut self) {
        let (mean, time) = (self.batch / self.count, self.time / self.count);
        let variance = self.batch_squared / self.count - mean * mean;
        if self.count < MIN_SAMPLES || variance < MIN_VARIANCE {
            return;
        }
        let slope = (self.batch_times_time / self.count - mean * time) / variance;
        if slope > 0.0 {
            self.slope = Some(slope);
        }
    }
}
