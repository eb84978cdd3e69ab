//! Callers that keep connections idle for nearly as long as the configuration allows, and send heads slowly.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::callers;
use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::common::caller::Caller;
use crate::customer::Customer;

/// Fraction of a limit that callers use.
const USED: f64 = 0.8;
/// Time after which a configuration is in force at every daemon.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Longest time for which a connection is kept idle.
const MAX_IDLE: Duration = Duration::from_millis(3_500);
/// Fraction of the heads that are sent in two halves.
const SLOW_FRACTION: f64 = 0.5;
/// Interval at which an idle caller checks whether it has to stop.
const STEP: Duration = Duration::from_millis(20);
/// Limits of a connection that are drawn.
const IDLE_MS: [u64; 4] = [1_000, 2_000, 4_000, 15_000];
const HEAD_MS: [u64; 3] = [500, 1_000, 3_000];

/// Limits of callers' connections in a configuration.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time without a request.
    pub idle: Duration,
    /// Longest time for a head.
    pub head: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(15),
            head: Duration::from_secs(1),
        }
    }
}

impl Limits {
    /// Draws limits.
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        Self {
            idle: Duration::from_millis(IDLE_MS[rng.random_range(0..IDLE_MS.len())]),
            head: Duration::from_millis(HEAD_MS[rng.random_range(0..HEAD_MS.len())]),
        }
    }

    /// Writes the limits into `config`.
    pub fn write(self, config: &mut Value) {
        config["limits"]["idle-timeout-ms"] = (self.idle.as_millis() as u64).into();
        config["limits"]["header-timeout-ms"] = (self.head.as_millis() as u64).into();
    }

    fn min(self, other: Self) -> Self {
        Self {
            idle: self.idle.min(other.idle),
            head: self.head.min(other.head),
        }
    }
}

/// The limits of all configurations so far.
#[derive(Debug, Default)]
pub struct LimitHistory {
    changes: Mutex<Vec<(Instant, Limits)>>,
}

impl LimitHistory {
    /// Records the limits of the configuration that is written next.
    pub fn record(&self, limits: Limits) {
        self.changes.lock().unwrap().push((Instant::now(), limits));
    }

    /// Number of changes.
    pub fn count(&self) -> usize {
        self.changes.lock().unwrap().len()
    }

    /// The limits of the newest configuration.
    pub fn current(&self) -> Limits {
        let changes = self.changes.lock().unwrap();
        changes
            .last()
            .map(|(_, limits)| *limits)
            .unwrap_or_default()
    }

    /// What callers may use of the smallest limits that a daemon may have had in force since `start`.
    pub fn allowed_since(&self, start: Instant) -> Limits {
        let changes = self.changes.lock().unwrap();
        let first = (Instant::now(), Limits::default());
        let all: Vec<_> = [first].iter().chain(changes.iter()).copied().collect();
        let ends = all.iter().skip(1).map(|(at, _)| Some(*at)).chain([None]);
        let lasted = all.iter().zip(ends);
        let lasted = lasted.filter(|(_, end)| end.is_none_or(|end| end + IN_FORCE > start));
        let smallest = lasted.map(|((_, limits), _)| *limits).reduce(Limits::min);
        let smallest = smallest.unwrap_or_default();
        Limits {
            idle: smallest.idle.mul_f64(USED),
            head: smallest.head.mul_f64(USED),
        }
    }
}

/// A connection that a caller has kept.
#[derive(Debug)]
pub struct Kept {
    /// The connection.
    pub caller: Caller,
    /// When the last answer ended.
    pub idle_since: Instant,
}

/// Sends requests on kept connections until these callers are stopped.
pub fn run(cluster: &Cluster, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x1d1e);
    let mut connections: [Option<Kept>; DAEMONS] = Default::default();
    let mut number = 0;
    while !cluster.idle_callers_stopped() {
        let instance = rng.random_range(0..DAEMONS);
        let connection = &mut connections[instance];
        let since = connection
            .as_ref()
            .map_or_else(Instant::now, |kept| kept.idle_since);
        let allowed = cluster.limits.allowed_since(since);
        let idle = allowed
            .idle
            .min(MAX_IDLE)
            .mul_f64(rng.random_range(0.3..1.0));
        while since.elapsed() < idle && !cluster.idle_callers_stopped() {
            thread::sleep(STEP.min(idle.saturating_sub(since.elapsed())));
        }
        let is_slow = rng.random::<f64>() < SLOW_FRACTION;
        let pause = allowed.head.mul_f64(rng.random_range(0.5..0.95));
        let pause = if is_slow { pause } else { Duration::ZERO };
        let customer = Customer::Unlimited;
        let id = customer.id(&format!("kept-{seed}-{number}"));
        let kind = callers::nth_kind(rng.random_range(0..4));
        callers::send_slowly(cluster, instance, kind, customer, &id, pause, connection);
        number += 1;
    }
}
