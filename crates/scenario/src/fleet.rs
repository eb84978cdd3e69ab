//! A fleet of daemons and stand-ins, run as child processes on the loopback address.
//!
//! ```no_run
//! # async fn example() -> Result<(), scenario::error::Error> {
//! use scenario::fleet::Fleet;
//! use scenario::plan::Plan;
//! use scenario::plan::Replica;
//! use scenario::plan::Role;
//!
//! let plan = Plan::new()
//!     .with_daemon("entry-1", "osijek-a")
//!     .with_daemon("entry-2", "vinkovci-b")
//!     .with_replica(Replica::new("prefill-1", "osijek-a", "ration", Role::Prefill))
//!     .with_replica(Replica::new("decode-1", "osijek-a", "ration", Role::Decode))
//!     .with_link("entry-1", "entry-2");
//! let mut fleet = Fleet::start(plan).await?;
//! fleet.apply("- {service: ration, class: default, pool: ration}").await?;
//! fleet.wait_until_ready().await?;
//! fleet.pause("entry-1")?;
//! fleet.unpause("entry-1")?;
//! println!("{}", fleet.record("decode-1").await?);
//! # Ok(())
//! # }
//! ```
//!
//! All programs are taken from the folder of the running program, so the workspace must be built
//! with the same profile. Dropping the fleet kills only the processes that it started, by id, and
//! removes its temporary folder.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use rustix::process::Signal;
use tempfile::TempDir;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::http_client::HttpClient;
use crate::list::List;
use crate::plan::Plan;
use crate::process::Process;
use crate::process::START_TIMEOUT;
use crate::programs;
use crate::settings::Listen;

/// Interval between two checks of an awaited condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running daemons and stand-ins.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) plan: Plan,
    pub(crate) client: HttpClient,
    pub(crate) programs: PathBuf,
    pub(crate) list: List,
    pub(crate) daemons: BTreeMap<String, Listen>,
    /// Addresses of the platform, the replicas and the forwarder's control port.
    pub(crate) backends: BTreeMap<String, String>,
    /// Listening address of each link, by the names of both ends.
    pub(crate) links: BTreeMap<(String, String), String>,
    /// Declared before `folder`, so that the processes are killed before it is removed.
    pub(crate) processes: BTreeMap<String, Process>,
    pub(crate) folder: TempDir,
}

impl Fleet {
    /// Starts everything in `plan` and waits until each daemon has read the (empty) table and sees
    /// all others.
    ///
    /// The table has no rows yet: call [`Fleet::apply`], then [`Fleet::wait_until_ready`].
    ///
    /// # Errors
    ///
    /// [`Error::MissingProgram`] if a program has not been built; [`Error::Exited`] with its last
    /// lines if a process exits; [`Error::Timeout`] if one does not listen in time.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let mut fleet = Self::with_plan(plan)?;
        fleet.start_backends().await?;
        fleet.publish_list().await?;
        fleet.start_daemons().await?;
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    fn with_plan(plan: Plan) -> Result<Self, Error> {
        let folder = tempfile::Builder::new()
            .prefix("waxwing-")
            .tempdir()
            .map_err(|cause| Error::io("make", "a temporary folder", cause))?;
        Ok(Self {
            plan,
            client: HttpClient::new(),
            programs: programs::program_folder()?,
            list: List::default(),
            daemons: BTreeMap::new(),
            backends: BTreeMap::new(),
            links: BTreeMap::new(),
            processes: BTreeMap::new(),
            folder,
        })
    }

    /// Returns the plan that it was started from.
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the addresses of the daemon `name`.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`].
    pub fn daemon(&self, name: &str) -> Result<&Listen, Error> {
        self.daemons.get(name).ok_or_else(|| Error::UnknownName {
            name: name.to_owned(),
        })
    }

    /// Returns the address of the platform ([`PLATFORM`]) or of a replica.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`].
    pub fn backend_address(&self, name: &str) -> Result<&str, Error> {
        let found = self.backends.get(name).map(String::as_str);
        found.ok_or_else(|| Error::UnknownName {
            name: name.to_owned(),
        })
    }

    /// Returns the process `name`: a daemon, a replica, or the platform.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`].
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| Error::UnknownName {
                name: name.to_owned(),
            })
    }

    /// Returns the output of the process `name` so far: for a daemon, its log lines.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`].
    pub fn log(&self, name: &str) -> Result<String, Error> {
        let found = self.processes.get(name).map(Process::log);
        found.ok_or_else(|| Error::UnknownName {
            name: name.to_owned(),
        })
    }

    /// Returns the file with the output of the process `name`.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// Kills `name` (`SIGKILL`) and reaps it.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`] or [`Error::Io`].
    pub async fn kill(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?.signal(Signal::KILL)?;
        self.wait_for_exit(name, START_TIMEOUT).await.map(drop)
    }

    /// Requests a planned stop of `name` (`SIGTERM`) without waiting for it.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`] or [`Error::Io`].
    pub fn terminate(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?.signal(Signal::TERM)
    }

    /// Pauses `name` (`SIGSTOP`).
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`] or [`Error::Io`].
    pub fn pause(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?.signal(Signal::STOP)
    }

    /// Continues `name` after [`Fleet::pause`] (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`] or [`Error::Io`].
    pub fn unpause(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?.signal(Signal::CONT)
    }

    /// Waits until `name` has exited.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] after `limit`; [`Error::UnknownName`] or [`Error::Io`].
    pub async fn wait_for_exit(
        &mut self,
        name: &str,
        limit: Duration,
    ) -> Result<ExitStatus, Error> {
        let end = Instant::now() + limit;
        loop {
            match self.process(name)?.exit_status()? {
                Some(status) => return Ok(status),
                None if Instant::now() > end => {
                    return Err(Error::Timeout {
                        step: "end",
                        peer: name.to_owned(),
                    });
                }
                None => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Restarts `name` with the same addresses and settings, killing it first if it runs.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`], and [`Error::UnknownName`].
    pub async fn restart(&mut self, name: &str) -> Result<(), Error> {
        self.kill(name).await?;
        self.launch(name).await
    }

    /// Waits until every running daemon answers `/health` with 200.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`], or [`Error::Exited`] if a daemon exits meanwhile.
    pub async fn wait_until_ready(&mut self) -> Result<(), Error> {
        let names: Vec<String> = self.daemons.keys().cloned().collect();
        for name in names {
            if self.process(&name)?.exit_status()?.is_none() {
                self.wait_until_daemon_ready(&name).await?;
            }
        }
        Ok(())
    }

    /// Waits until the daemon `name` answers `/health` with 200.
    ///
    /// # Errors
    ///
    /// As [`Fleet::wait_until_ready`], and [`Error::UnknownName`].
    pub async fn wait_until_daemon_ready(&mut self, name: &str) -> Result<(), Error> {
        let admin = self.daemon(name)?.admin.clone();
        let end = Instant::now() + START_TIMEOUT;
        loop {
            self.process(name)?.check_running()?;
            match self.client.get(&admin, "/health").await {
                Ok(answer) if answer.status == 200 => return Ok(()),
                _ if Instant::now() > end => {
                    return Err(Error::Timeout {
                        step: "become ready",
                        peer: name.to_owned(),
                    });
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Replaces the rows of the table by `yaml` (`waxwing table apply`), and waits until the edit
    /// is in force.
    ///
    /// # Errors
    ///
    /// [`Error::Exited`] with the output if the exit code is not 0.
    pub async fn apply(&self, yaml: &str) -> Result<String, Error> {
        let file = self.folder.path().join("table.yaml");
        fs::write(&file, yaml).map_err(|cause| Error::io("write", file.display(), cause))?;
        let file = file.display().to_string();
        self.run_waxwing(&["table", "apply", &file, "--wait", "20"])
            .await
    }
}
