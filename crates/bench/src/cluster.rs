//! Runs real daemons and fast fake replicas as child processes on loopback.

use std::time::Duration;

use scenario::error::Error;
use scenario::fleet::Fleet;
use scenario::http_client::HttpClient;
use scenario::plan::PLATFORM;
use scenario::plan::Plan;
use scenario::plan::Replica;
use scenario::plan::Role;
use scenario::plan::Timing;

use crate::usage;
use crate::usage::Usage;

/// The language-model service.
pub const MODEL: &str = "ration";
/// The plain application.
pub const APPLICATION: &str = "stock";
/// Data centres of the daemons and replicas, in turn.
const ZONES: [&str; 3] = ["osijek-a", "vinkovci-b", "dakovo-c"];
/// Slots of each fake replica; high enough not to limit a measurement.
const SLOTS: u32 = 1_024;
/// Metric of the frames sent to other daemons.
const FRAMES: &str = "waxwing_frames_sent_total";
/// Table whose ceilings and targets are too high to limit a measurement.
const TABLE: &str = "
- service: ration
  class: default
  pool: ration
  tbt_ms: 1000
  max_wait_ms: 60000
  prefill_ceiling: 100000
  decode_ceiling: 100000
- {service: stock, class: default, pool: stock, decode_ceiling: 100000}
";

/// Processes to start.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Entry daemons.
    pub daemons: usize,
    /// Engines of each role.
    pub engines: usize,
    /// Plain applications.
    pub applications: usize,
    /// Time per token of an engine.
    pub token: Duration,
    /// Timing settings of the daemons.
    pub timing: Timing,
}

impl Size {
    /// `daemons` with two engines of each role and two applications, all with the shortest work times.
    pub fn new(daemons: usize) -> Self {
        Self {
            daemons,
            engines: 2,
            applications: 2,
            token: Duration::from_millis(1),
            timing: Timing::default(),
        }
    }

    /// Sets the number of engines of each role and of applications.
    #[must_use]
    pub const fn with_backends(mut self, engines: usize, applications: usize) -> Self {
        self.engines = engines;
        self.applications = applications;
        self
    }

    /// Sets the time per token.
    #[must_use]
    pub const fn with_token(mut self, token: Duration) -> Self {
        self.token = token;
        self
    }

    fn plan(&self) -> Plan {
        let zone = |index: usize| ZONES[index % ZONES.len()];
        let mut plan = Plan::new().with_timing(self.timing);
        for index in 0..self.daemons {
            plan = plan.with_daemon(&daemon(index), zone(index));
        }
        for index in 0..self.engines {
            for role in [Role::Prefill, Role::Decode] {
                plan = plan.with_replica(self.engine(index, zone(index), role));
            }
        }
        for index in 0..self.applications {
            let replica = Replica::new(&application(index), zone(index), APPLICATION, Role::Plain);
            plan = plan.with_replica(replica.with_slots(SLOTS).with_arg("--service-ms=0"));
        }
        plan
    }

    fn engine(&self, index: usize, zone: &str, role: Role) -> Replica {
        let token = self.token.as_secs_f64() * 1_000.0;
        Replica::new(&engine(role, index), zone, MODEL, role)
            .with_slots(SLOTS)
            .with_arg("--queue=1024")
            .with_arg("--prefill-ms=1")
            .with_arg("--prefill-rate=1000000")
            .with_arg(&format!("--decode-ms={token}"))
            .with_arg("--decode-each-ms=0")
            .with_arg("--kv-bytes=1")
            .with_arg("--load-lag-ms=50")
    }
}

/// The name of daemon `index`.
pub fn daemon(index: usize) -> String {
    format!("entry-{}", index + 1)
}

/// The name of engine `index` of `role`.
pub fn engine(role: Role, index: usize) -> String {
    format!("{}-{}", role.as_str(), index + 1)
}

/// The name of application `index`.
pub fn application(index: usize) -> String {
    format!("{APPLICATION}-{}", index + 1)
}

/// The running processes.
#[derive(Debug)]
pub struct Cluster {
    /// The processes.
    pub fleet: Fleet,
    size: Size,
    web: HttpClient,
}

impl Cluster {
    /// Starts the processes, applies the table and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`].
    pub async fn start(size: Size) -> Result<Self, Error> {
        let mut fleet = Fleet::start(size.plan()).await?;
        fleet.apply(TABLE).await?;
        fleet.wait_until_ready().await?;
        Ok(Self {
            fleet,
            size,
            web: HttpClient::new(),
        })
    }

    /// Caller addresses of all daemons.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`].
    pub fn callers(&self) -> Result<Vec<String>, Error> {
        (0..self.size.daemons)
            .map(|index| Ok(self.fleet.daemon(&daemon(index))?.caller.clone()))
            .collect()
    }

    /// Addresses of the engines of `role`.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`].
    pub fn engines(&self, role: Role) -> Result<Vec<String>, Error> {
        (0..self.size.engines)
            .map(|index| Ok(self.fleet.backend_address(&engine(role, index))?.to_owned()))
            .collect()
    }

    /// Addresses of the applications.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`].
    pub fn applications(&self) -> Result<Vec<String>, Error> {
        (0..self.size.applications)
            .map(|index| Ok(self.fleet.backend_address(&application(index))?.to_owned()))
            .collect()
    }

    /// Resources used by the process `name`.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`] or [`Error::Io`].
    pub fn usage(&mut self, name: &str) -> Result<Usage, Error> {
        let id = self.fleet.process(name)?.id();
        Usage::of(id).map_err(|cause| io("read the usage of", name, cause))
    }

    /// Resources used by all daemons together.
    ///
    /// # Errors
    ///
    /// As [`Cluster::usage`].
    pub fn daemons_usage(&mut self) -> Result<Usage, Error> {
        self.sum((0..self.size.daemons).map(daemon).collect())
    }

    /// Resources used by all replicas of `role` together.
    ///
    /// # Errors
    ///
    /// As [`Cluster::usage`].
    pub fn backends_usage(&mut self, role: Role) -> Result<Usage, Error> {
        let names = match role {
            Role::Plain => (0..self.size.applications).map(application).collect(),
            Role::Prefill | Role::Decode => (0..self.size.engines)
                .map(|index| engine(role, index))
                .collect(),
        };
        self.sum(names)
    }

    fn sum(&mut self, names: Vec<String>) -> Result<Usage, Error> {
        let mut sum = Usage::default();
        for name in names {
            let usage = self.usage(&name)?;
            sum.cpu += usage.cpu;
            sum.rss += usage.rss;
            sum.written += usage.written;
        }
        Ok(sum)
    }

    /// Open file descriptors of daemon `index`.
    ///
    /// # Errors
    ///
    /// As [`Cluster::usage`].
    pub fn descriptors(&mut self, index: usize) -> Result<usize, Error> {
        let name = daemon(index);
        let id = self.fleet.process(&name)?.id();
        usage::descriptors(id).map_err(|cause| io("count the files of", &name, cause))
    }

    /// Bytes that all daemons have written to their logs.
    pub fn logged(&self) -> f64 {
        let files = (0..self.size.daemons).map(|index| self.fleet.log_file(&daemon(index)));
        files
            .filter_map(|file| file.metadata().ok())
            .map(|metadata| metadata.len() as f64)
            .sum()
    }

    /// Frames that the daemons have sent to each other.
    ///
    /// # Errors
    ///
    /// [`Error::Http`].
    pub async fn frames(&self) -> Result<f64, Error> {
        let mut sum = 0.0;
        for index in 0..self.size.daemons {
            let admin = &self.fleet.daemon(&daemon(index))?.admin;
            let answer = self.web.get(admin, "/metrics").await?;
            sum += metric(&answer.body, FRAMES);
        }
        Ok(sum)
    }

    /// Reads and writes that the platform has counted.
    ///
    /// # Errors
    ///
    /// As [`Fleet::record`].
    pub async fn store_calls(&self) -> Result<(f64, f64), Error> {
        let record = self.fleet.record(PLATFORM).await?;
        let count = |name: &str| record[name].as_f64().unwrap_or(0.0);
        Ok((count("reads"), count("writes")))
    }
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.trim().parse().ok());
    number.unwrap_or(0.0)
}

fn io(step: &'static str, peer: &str, cause: std::io::Error) -> Error {
    Error::Io {
        step,
        peer: peer.to_owned(),
        cause,
    }
}
