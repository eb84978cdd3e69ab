//! Simulates one run: generates requests and counts what is admitted.

use std::time::Duration;

use customer::bucket::Bucket;
use customer::bucket::Verdict;
use customer::rank::Standing;
use ident::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::quota::load::LENGTH;
use crate::quota::load::Load;
use crate::quota::scheme::Fleet;
use crate::quota::scheme::Scheme;

/// Length of a step.
const STEP: Duration = Duration::from_millis(5);
/// Units of a generation and of a plain call.
const UNITS: [f64; 2] = [3_600.0, 200.0];
/// Fraction of the requests that are generations.
const GENERATIONS: f64 = 0.4;

/// Statistics of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stats {
    /// Most units in a window as a fraction of what the quota allows.
    pub worst: f64,
    /// Most units in a window as a fraction of what is tolerated.
    pub bound: f64,
    /// Fraction of the units admitted by a single bucket that the daemons did not admit.
    pub lost: f64,
    /// Messages per second and daemon.
    pub messages: f64,
}

/// Runs `load` with `scheme`.
pub fn simulate(scheme: Scheme, load: Load, seed: u64) -> Stats {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut fleet = Fleet::new(scheme, load);
    let mut ideal = Bucket::new(Time::ZERO, load.limit.burst);
    let mut admitted: Vec<(Time, f64)> = Vec::new();
    let mut sums = (0.0, 0.0);
    let mean = GENERATIONS * UNITS[0] + (1.0 - GENERATIONS) * UNITS[1];
    let requests_per_step = load.demand_rate() / mean * STEP.as_secs_f64();
    let mut due = 0.0;
    let mut now = Time::ZERO;
    while now.since(Time::ZERO) < LENGTH {
        fleet.step(now);
        for daemon in 0..load.daemons {
            let restarts = load.is_down(now - STEP, daemon) && !load.is_down(now, daemon);
            if restarts {
                fleet.restart(now, daemon);
            }
        }
        // Exponential intervals between requests.
        due += requests_per_step;
        while due > 0.0 {
            due += random.random::<f64>().max(f64::MIN_POSITIVE).ln();
            let daemon = random.random_range(0..load.daemons);
            let generation = random.random::<f64>() < GENERATIONS;
            let units = UNITS[usize::from(!generation)];
            if load.is_down(now, daemon) {
                continue;
            }
            let patience = Duration::ZERO;
            let ideal_verdict =
                ideal.take(now, load.limit_at(now), units, patience, Standing::PLAIN);
            if matches!(ideal_verdict, Verdict::Granted { .. }) {
                sums.0 += units;
            }
            if fleet.admits(now, daemon, units) {
                sums.1 += units;
                admitted.push((now, units));
            }
        }
        now = now + STEP;
    }
    let seconds = LENGTH.as_secs_f64() * load.daemons as f64;
    let (worst, bound) = worst(&load, &admitted);
    Stats {
        worst,
        bound,
        lost: (1.0 - sums.1 / sums.0).max(0.0),
        messages: fleet.messages as f64 / seconds,
    }
}

/// The worst window, as a fraction of the quota and of what is tolerated. For a window in which the
/// quota falls, the quota at its start counts.
fn worst(load: &Load, admitted: &[(Time, f64)]) -> (f64, f64) {
    let window = load.tolerance.window;
    let mut first = 0;
    let mut sum = 0.0;
    let mut worst = (0.0_f64, 0.0_f64);
    for (at, units) in admitted {
        sum += units;
        while at.since(admitted[first].0) >= window {
            sum -= admitted[first].1;
            first += 1;
        }
        let limit = load.limit_at(admitted[first].0);
        let quota = limit.rate * window.as_secs_f64() + limit.burst;
        worst.0 = worst.0.max(sum / quota);
        worst.1 = worst
            .1
            .max(sum / (quota + load.tolerance.tolerated_units(limit)));
    }
    worst
}
