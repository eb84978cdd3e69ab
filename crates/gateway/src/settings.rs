//! Settings of the daemon, checked before anything starts.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use customer::quota::Tolerance;
use launch::error::Error;
use relay::budget::Rule;
use serde::Deserialize;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance; unique among all.
    pub instance: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of instances to start from, of which only the IP counts; may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that the store lists no instances yet.
    #[serde(default)]
    pub first_start: bool,
    /// What all instances together may retry.
    pub retry: Retry,
    /// Part of the replicas of a model that are to read prompts; absent, none changes its stage.
    #[serde(default)]
    pub prefill_share: Option<f64>,
    /// Seconds from SIGTERM until the process is killed.
    pub grace_s: f64,
    /// The processor of this instance.
    #[serde(default)]
    pub processor: Processor,
    /// How generations get places at decode replicas.
    #[serde(default)]
    pub placing: Placing,
    /// What is tolerated beyond the quotas of customers.
    #[serde(default)]
    pub quota: Quota,
}

/// What is tolerated beyond the quotas of customers, over all instances together. It is used only where instances do not know of
/// each other.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Seconds over which a quota is judged.
    pub window_s: f64,
    /// Part of what a quota allows in that time.
    pub excess: f64,
    /// Units, as the quota counts them, besides.
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

/// How generations get places at decode replicas.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placing {
    /// Part of the tokens that the caller expects for which memory is reserved, beside the prompt.
    pub reserve: f64,
    /// Standard deviations of the forecast that the memory has to last for.
    pub spreads: f64,
    /// Part of the memory that new generations leave free.
    pub spare: f64,
    /// Part of the objective for which a generation waits for a place.
    pub wait: f64,
    /// Whether runs are moved before the memory of their replica ends.
    pub moves: bool,
}

impl Default for Placing {
    fn default() -> Self {
        Self {
            reserve: 0.0,
            spreads: 3.0,
            spare: 0.0,
            wait: 0.22,
            moves: true,
        }
    }
}

/// The processor of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processor {
    /// Part of the cores' time that the daemon may use.
    pub share: f64,
    /// Cores.
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
    /// What it can do, in thousandths of a core.
    pub fn capacity(&self) -> u32 {
        (self.share * self.cores * 1_000.0) as u32
    }
}

/// Where a daemon listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For callers that ask for addresses.
    pub addresses: SocketAddr,
    /// For the platform's question whether it is ready.
    pub readiness: SocketAddr,
    /// For scrapers of metrics.
    pub metrics: SocketAddr,
    /// For other daemons, TCP and UDP; the same port on all instances.
    pub peers: SocketAddr,
}

/// What all instances together may retry, per service.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries for each request of callers.
    pub ratio: f64,
    /// Retries besides.
    pub slack: f64,
    /// Seconds over which both are counted.
    pub window_s: f64,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// `Read` if it cannot be opened, `Settings` with the field if it is wrong.
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
    /// What is wrong, with the field.
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
                "{field}: {value} is not allowed; write a number from 0 up"
            )),
            None if self.instance.is_empty() => Err("instance: must not be empty".to_owned()),
            None if self.retry.window_s == 0.0 => {
                Err("retry.window_s: 0 is not allowed; write a span in seconds".to_owned())
            }
            None if self.quota.window_s == 0.0 => {
                Err("quota.window_s: 0 is not allowed; write a span in seconds".to_owned())
            }
            None => Ok(()),
        }
    }

    /// Whether fields differ from `before` that take effect at a start only.
    pub fn needs_restart(&self, before: &Self) -> bool {
        let fixed = |settings: &Self| {
            (
                settings.instance.clone(),
                settings.data_centre.clone(),
                settings.listen.clone(),
                settings.store,
            )
        };
        fixed(self) != fixed(before)
    }

    /// The same with those fields as in `before`.
    #[must_use]
    pub fn with_fixed_fields_of(self, before: &Self) -> Self {
        Self {
            instance: before.instance.clone(),
            data_centre: before.data_centre.clone(),
            listen: before.listen.clone(),
            store: before.store,
            ..self
        }
    }

    /// The bound on retries.
    pub fn retry_rule(&self) -> Rule {
        Rule {
            ratio: self.retry.ratio,
            slack: self.retry.slack,
            window: Duration::from_secs_f64(self.retry.window_s),
        }
    }

    /// What is tolerated beyond the quotas of customers.
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

    /// Where the daemons of the instances to start from listen for others.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let own: IpAddr = self.listen.peers.ip();
        let others = self.seeds.iter().filter(|seed| seed.ip() != own);
        let port = self.listen.peers.port();
        others.map(|s| SocketAddr::new(s.ip(), port)).collect()
    }
}
