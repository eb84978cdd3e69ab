//! A child process whose output goes to a file.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::error::Error;

/// Maximum wait until a process listens or becomes ready.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Lines of output included in an error.
const TAIL_LINES: usize = 12;

/// A child process. Dropping it kills and reaps only this process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` with `args`; both output streams are appended to the file `log`.
    ///
    /// # Errors
    ///
    /// [`Error::MissingProgram`] if the program has not been built, [`Error::Io`] if it cannot be
    /// started.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> Result<Self, Error> {
        if !program.exists() {
            return Err(Error::MissingProgram {
                program: program.to_owned(),
            });
        }
        let open = || File::options().create(true).append(true).open(log);
        let output = open().map_err(|cause| Error::io("open", log.display(), cause))?;
        let errors = open().map_err(|cause| Error::io("open", log.display(), cause))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|cause| Error::io("start", program.display(), cause))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log: log.to_owned(),
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`, unless the process has exited.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if the system call fails.
    pub fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        if self.exit_status()?.is_some() {
            return Ok(());
        }
        let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) else {
            return Ok(());
        };
        rustix::process::kill_process(pid, signal)
            .map_err(|cause| Error::io("signal", &self.name, cause.into()))
    }

    /// Returns the exit status, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if the system call fails.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, Error> {
        self.child
            .try_wait()
            .map_err(|cause| Error::io("wait for", &self.name, cause))
    }

    /// Returns the output so far.
    pub fn log(&self) -> String {
        fs::read(&self.log)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }

    /// Returns [`Error::Exited`] with the last lines of output if the process has exited.
    ///
    /// # Errors
    ///
    /// Also [`Error::Io`] if the system call fails.
    pub fn check_running(&mut self) -> Result<(), Error> {
        match self.exit_status()? {
            None => Ok(()),
            Some(_) => Err(Error::Exited {
                name: self.name.clone(),
                log: last_lines(&self.log()),
            }),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already been reaped.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn last_lines(text: &str) -> String {
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
}
