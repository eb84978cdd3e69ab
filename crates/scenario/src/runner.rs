//! Executes scenarios with real daemons and stand-ins.

pub mod address_cache;
mod check;
pub mod connection;
pub mod decisions;
mod edits;
pub mod invariants;
pub mod record_collector;
pub mod request;
mod steps;
mod submitted_edit;
mod wait;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::path::Path;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_norway::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::runner::address_cache::AddressCache;
use crate::runner::decisions::DecisionLine;
use crate::runner::record_collector::RecordCollector;
use crate::runner::request::Request;
use crate::runner::submitted_edit::SubmittedEdit;
use crate::script::Script;
use crate::script::start::Start;
use crate::script::step::Step;

/// Maximum wait where a scenario sets none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two attempts to apply the initial table.
const APPLY_INTERVAL: Duration = Duration::from_millis(300);

/// A scenario in progress.
#[derive(Debug)]
pub struct Runner {
    name: String,
    start: Start,
    fleet: Fleet,
    collector: RecordCollector,
    address_cache: AddressCache,
    requests: BTreeMap<String, Request>,
    submitted_edits: BTreeMap<String, SubmittedEdit>,
    /// Processes that were killed, paused or restarted, whose connections may be lost.
    disrupted: BTreeSet<String>,
    /// When planned stops were requested.
    stop_times: BTreeMap<String, Instant>,
    /// When replicas were marked to drain, in milliseconds since the Unix epoch.
    drain_times: BTreeMap<String, u64>,
    step: usize,
}

/// Executes `script`. On failure, the logs of all processes are copied to the folder `keep`.
///
/// # Errors
///
/// [`Error::ExpectationFailed`] if an expectation is not met, else the error that stopped the
/// scenario.
pub async fn run(name: &str, script: Script, keep: &Path) -> Result<(), Error> {
    let fleet = Fleet::start(script.start.plan()).await?;
    let mut runner = Runner::new(name, script.start, fleet);
    let result = runner.execute_all(&script.table, script.steps).await;
    if result.is_err() {
        runner.keep_logs(&keep.join(name));
    }
    result
}

impl Runner {
    fn new(name: &str, start: Start, fleet: Fleet) -> Self {
        let names = start.replicas.iter().map(|replica| replica.name.clone());
        let addresses = names.filter_map(|name| {
            let address = fleet.backend_address(&name).ok()?.to_owned();
            Some((name, address))
        });
        let collector = RecordCollector::new(addresses.collect());
        let callers = start.daemons.iter().filter_map(|name| {
            let address = fleet.daemon(name).ok()?.caller.clone();
            Some((name.clone(), address))
        });
        let address_cache = AddressCache::new(callers.collect());
        Self {
            name: name.to_owned(),
            start,
            fleet,
            collector,
            address_cache,
            requests: BTreeMap::new(),
            submitted_edits: BTreeMap::new(),
            disrupted: BTreeSet::new(),
            stop_times: BTreeMap::new(),
            drain_times: BTreeMap::new(),
            step: 0,
        }
    }

    async fn execute_all(&mut self, table: &[Value], steps: Vec<Step>) -> Result<(), Error> {
        self.apply(table).await?;
        self.fleet.wait_until_ready().await?;
        for (index, step) in steps.into_iter().enumerate() {
            self.step = index + 1;
            self.execute(step).await?;
        }
        self.step = 0;
        self.check_invariants().await
    }

    /// Applies `table`. Daemons that have just started reject edits until they see each other.
    async fn apply(&self, table: &[Value]) -> Result<(), Error> {
        let rows = serde_norway::to_string(table).unwrap_or_default();
        let end = Instant::now() + DEFAULT_TIMEOUT;
        loop {
            match self.fleet.apply(&rows).await {
                Ok(_) => return Ok(()),
                Err(cause) if Instant::now() > end => return Err(cause),
                Err(_) => sleep(APPLY_INTERVAL).await,
            }
        }
    }

    /// Creates the error of an expectation that was not met.
    fn failure(&self, found: impl fmt::Display) -> Error {
        Error::ExpectationFailed {
            step: self.step,
            found: found.to_string(),
        }
    }

    /// Returns an error with `found` unless `met`.
    fn ensure(&self, met: bool, found: impl fmt::Display) -> Result<(), Error> {
        if met {
            Ok(())
        } else {
            Err(self.failure(found))
        }
    }

    /// Prints a measured time.
    fn print_measurement(&self, what: &str, seconds: f64) {
        println!("measured {}: {what}: {seconds:.2} s", self.name);
    }

    /// Returns the names of the requests that `name` refers to: itself, or all numbered ones.
    fn matching_requests(&self, name: &str) -> Result<Vec<String>, Error> {
        let numbered = format!("{name}-");
        let same = |other: &String| {
            let number = other.strip_prefix(&numbered);
            other == name || number.is_some_and(|rest| rest.parse::<u32>().is_ok())
        };
        let names: Vec<String> = self
            .requests
            .keys()
            .filter(|other| same(other))
            .cloned()
            .collect();
        self.ensure(!names.is_empty(), format!("no request is named {name}"))?;
        Ok(names)
    }

    fn request(&self, name: &str) -> Result<&Request, Error> {
        let found = self.requests.get(name);
        found.ok_or_else(|| self.failure(format!("no request is named {name}")))
    }

    /// Returns the decision lines of the daemon `name`.
    fn decision_lines(&self, name: &str) -> Vec<DecisionLine> {
        decisions::read(&self.fleet.log(name).unwrap_or_default())
    }

    /// Returns the names of all daemons.
    fn daemons(&self) -> Vec<String> {
        self.start.daemons.clone()
    }

    /// Returns the daemons `named`, or all if it is empty.
    fn daemons_or_all(&self, named: &[String]) -> Vec<String> {
        if named.is_empty() {
            self.daemons()
        } else {
            named.to_vec()
        }
    }

    fn keep_logs(&self, folder: &Path) {
        // Best effort: the scenario has already failed.
        drop(fs::create_dir_all(folder));
        let replicas = self.collector.replica_names();
        for name in self.daemons().into_iter().chain(replicas) {
            drop(fs::copy(
                self.fleet.log_file(&name),
                folder.join(format!("{name}.log")),
            ));
        }
        println!("logs kept in {}", folder.display());
    }
}

/// Returns the time since the Unix epoch in milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Converts seconds to a duration.
fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}
