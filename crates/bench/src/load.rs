//! Generates load: closed-loop callers, or requests at a fixed rate.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// Upper bound of the histograms, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies and tokens of one request.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time to the first token (plain: to the answer).
    pub first: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u64,
}

/// Results of a load.
#[derive(Debug)]
pub struct Outcome {
    /// Times to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Times to the end, in microseconds.
    pub total: Histogram<u64>,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Other requests.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

impl Outcome {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("fixed bounds are valid")
        };
        Self {
            first: histogram(),
            total: histogram(),
            answered: 0,
            failed: 0,
            tokens: 0,
            elapsed: Duration::ZERO,
        }
    }

    fn add(&mut self, sample: Option<Sample>) {
        match sample {
            Some(sample) => {
                self.first
                    .saturating_record(sample.first.as_micros() as u64);
                self.total
                    .saturating_record(sample.total.as_micros() as u64);
                self.answered += 1;
                self.tokens += sample.tokens;
            }
            None => self.failed += 1,
        }
    }

    /// Median time to the first token, in milliseconds.
    pub fn first_ms(&self) -> f64 {
        self.first.value_at_quantile(0.5) as f64 / 1_000.0
    }

    /// Requests answered per second.
    pub fn rate(&self) -> f64 {
        self.answered as f64 / self.elapsed.as_secs_f64()
    }
}

/// When a load ends.
#[derive(Debug, Clone, Copy)]
pub enum Until {
    /// After this number of requests.
    Count(u64),
    /// After this time; requests in progress are completed.
    Time(Duration),
}

/// Runs `callers` concurrent callers, each of which sends its next request when the last one has
/// ended.
pub async fn run<F, R>(callers: usize, until: Until, request: F) -> Outcome
where
    F: Fn(u64) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Option<Sample>> + Send,
{
    let started = Instant::now();
    let next = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let next = Arc::clone(&next);
        let request = request.clone();
        tasks.spawn(async move {
            let mut samples = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let is_done = match until {
                    Until::Count(count) => number >= count,
                    Until::Time(span) => started.elapsed() >= span,
                };
                if is_done {
                    return samples;
                }
                samples.push(request(number).await);
            }
        });
    }
    collect(started, tasks).await
}

/// Sends `rate` requests per second for `span`, whether or not earlier ones have ended.
pub async fn run_at_rate<F, R>(rate: f64, span: Duration, request: F) -> Outcome
where
    F: Fn(u64) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Option<Sample>> + Send,
{
    let started = Instant::now();
    let count = (rate * span.as_secs_f64()) as u64;
    let mut tasks = JoinSet::new();
    for number in 0..count {
        sleep_until(started + Duration::from_secs_f64(number as f64 / rate)).await;
        let request = request.clone();
        tasks.spawn(async move { vec![request(number).await] });
    }
    collect(started, tasks).await
}

async fn collect(started: Instant, mut tasks: JoinSet<Vec<Option<Sample>>>) -> Outcome {
    let mut outcome = Outcome::new();
    while let Some(ended) = tasks.join_next().await {
        for sample in ended.unwrap_or_default() {
            outcome.add(sample);
        }
    }
    outcome.elapsed = started.elapsed();
    outcome
}
