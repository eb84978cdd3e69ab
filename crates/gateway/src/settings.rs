//! Settings of the daemon, validated before it starts.

use std::collections::BTreeMap;
use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use customer::quota::Tolerance;
use launch::error::Error;
use relay::budget::RetryPolicy;
use serde::Deserialize;

/// Memory of an instance whose settings do not state it, in MB.
const DEFAULT_MEMORY_MB: f64 = 512.0;
/// Smallest memory of an instance, in MB: its budget has to hold a few of the largest answers.
const MIN_MEMORY_MB: f64 = 64.0;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance; unique among all.
    pub instance: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Region of each data centre; needed for routes and customers with home regions.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Where it listens.
    pub listen: Listen,
    /// Own address of connections to replicas; the system chooses one if absent.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of instances to contact first; only the IP is used, and they may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time and the store lists no instances yet.
    #[serde(default)]
    pub first_start: bool,
    /// Whether the store keeps which software versions began streams, so that callers can resume them
    /// after all instances have ended.
    #[serde(default = "default_version_records")]
    pub version_records: bool,
    /// Retry budget of all instances together.
    pub retry: Retry,
    /// Fraction of a model's replicas that should prefill; if absent, no replica changes its stage.
    #[serde(default)]
    pub prefill_share: Option<f64>,
    /// Seconds from SIGTERM until the process is killed.
    pub grace_s: f64,
    /// The processor of this instance.
    #[serde(default)]
    pub processor: Processor,
    /// Memory that the process may use, in MB. A part of it is the budget for requests and answers.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// How generations are placed at decode replicas.
    #[serde(default)]
    pub placing: Placing,
    /// Tolerance beyond the quotas of customers.
    #[serde(default)]
    pub quota: Quota,
}

/// Tolerance beyond the quotas of customers, over all instances together. It is used only when
/// instances do not know of each other.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Seconds over which use of a quota is measured.
    pub window_s: f64,
    /// Tolerated excess, as a fraction of what the quota allows in that time.
    pub excess: f64,
    /// Additional tolerated units, as the quota counts them.
    pub slack: f64,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            window_s: 8.0,
            excess: 0.0,
            slack: 0.0,
        }
    }
}

/// How generations are placed at decode replicas.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placing {
    /// Fraction of the expected output tokens for which KV-cache memory is reserved in addition to
    /// the prompt.
    pub reserve: f64,
    /// Safety margin of the memory forecast, in standard deviations.
    pub spreads: f64,
    /// Fraction of the memory that new generations leave free.
    pub spare: f64,
    /// Fraction of the objective for which a generation waits for a decode replica.
    pub wait: f64,
    /// Whether replicas are told the rank of each request, where requests of a service differ in it:
    /// they admit the more urgent first, and preempt the others for them.
    pub ranks: bool,
    /// Whether runs are migrated before the memory of their replica is full.
    pub moves: bool,
}

impl Default for Placing {
    fn default() -> Self {
        Self {
            reserve: 0.0,
            spreads: 3.0,
            spare: 0.0,
            wait: 0.22,
            ranks: false,
            moves: true,
        }
    }
}

/// The processor of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processor {
    /// Fraction of the cores' time that the daemon may use.
    pub share: f64,
    /// Number of cores.
    pub cores: f64,
}

impl Default for Processor {
    fn default() -> Self {
        Self {
            share: 1.0,
            cores: 1.0,
        }
    }
}

impl Processor {
    /// Capacity in thousandths of a core.
    pub fn capacity(&self) -> u32 {
        (self.share * self.cores * 1_000.0) as u32
    }
}

const fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

const fn default_version_records() -> bool {
    true
}

/// Addresses a daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For callers that look up addresses.
    pub addresses: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For scrapers of metrics.
    pub metrics: SocketAddr,
    /// For other daemons, TCP and UDP; the same port on all instances.
    pub peers: SocketAddr,
}

/// Retry budget of all instances together, per service.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries per request of callers.
    pub ratio: f64,
    /// Additional retries.
    pub slack: f64,
    /// Seconds over which both are counted.
    pub window_s: f64,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// `Read` if the file cannot be read, `Settings` with the field if a value is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|cause| Error::Read {
            path: path.to_owned(),
            cause,
        })?;
        Self::parse(&text).map_err(|cause| Error::Settings {
            path: path.to_owned(),
            line: 0,
            cause,
        })
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    /// The invalid field and what is wrong with it.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = serde_norway::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let values = [
            ("grace_s", self.grace_s),
            ("retry.ratio", self.retry.ratio),
            ("retry.slack", self.retry.slack),
            ("retry.window_s", self.retry.window_s),
            ("processor.share", self.processor.share),
            ("processor.cores", self.processor.cores),
            ("memory_mb", self.memory_mb),
            ("placing.reserve", self.placing.reserve),
            ("placing.spreads", self.placing.spreads),
            ("placing.spare", self.placing.spare),
            ("placing.wait", self.placing.wait),
            ("quota.window_s", self.quota.window_s),
            ("quota.excess", self.quota.excess),
            ("quota.slack", self.quota.slack),
        ];
        let wrong = |(_, value): &(&str, f64)| !value.is_finite() || *value < 0.0;
        match values.into_iter().find(wrong) {
            Some((field, value)) => Err(format!(
                "{field}: {value} is not allowed; must be a number of at least 0"
            )),
            None if self.instance.is_empty() => Err("instance: must not be empty".to_owned()),
            None if self.memory_mb < MIN_MEMORY_MB => Err(format!(
                "memory_mb: {} is not allowed; must be at least {MIN_MEMORY_MB}",
                self.memory_mb
            )),
            None if self.retry.window_s == 0.0 => Err(
                "retry.window_s: 0 is not allowed; must be a number of seconds above 0".to_owned(),
            ),
            None if self.quota.window_s == 0.0 => Err(
                "quota.window_s: 0 is not allowed; must be a number of seconds above 0".to_owned(),
            ),
            None => Ok(()),
        }
    }

    /// Whether fields that take effect only at a start differ from `before`.
    pub fn needs_restart(&self, before: &Self) -> bool {
        let fixed = |settings: &Self| {
            (
                settings.instance.clone(),
                settings.data_centre.clone(),
                settings.listen.clone(),
                settings.store,
                settings.memory_mb,
            )
        };
        fixed(self) != fixed(before)
    }

    /// Copies the fields that take effect only at a start from `before`.
    #[must_use]
    pub fn with_fixed_fields_of(self, before: &Self) -> Self {
        Self {
            instance: before.instance.clone(),
            data_centre: before.data_centre.clone(),
            listen: before.listen.clone(),
            store: before.store,
            memory_mb: before.memory_mb,
            ..self
        }
    }

    /// Parameters of the retry budgets.
    pub fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            ratio: self.retry.ratio,
            slack: self.retry.slack,
            window: Duration::from_secs_f64(self.retry.window_s),
        }
    }

    /// Tolerance beyond the quotas of customers.
    pub fn quota_tolerance(&self) -> Tolerance {
        Tolerance {
            window: Duration::from_secs_f64(self.quota.window_s),
            excess: self.quota.excess,
            slack: self.quota.slack,
        }
    }

    /// Time from SIGTERM until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Whether this instance is one of the seeds.
    pub fn is_seed(&self) -> bool {
        let own: IpAddr = self.listen.peers.ip();
        self.seeds.iter().any(|seed| seed.ip() == own)
    }

    /// Peer addresses of the seeds, without this instance.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let own: IpAddr = self.listen.peers.ip();
        let others = self.seeds.iter().filter(|seed| seed.ip() != own);
        let port = self.listen.peers.port();
        others.map(|s| SocketAddr::new(s.ip(), port)).collect()
    }
}
