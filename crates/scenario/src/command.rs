//! Runs the operators' command `waxwing` against a fleet.

use std::ffi::OsStr;
use std::process::Command;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::settings::OPERATOR;
use crate::settings::TOKEN;

const COMMAND: &str = "waxwing";

impl Fleet {
    /// Runs `waxwing` with the admin addresses of all daemons and returns its standard output.
    ///
    /// # Errors
    ///
    /// [`Error::Exited`] with the output if the exit code is not 0.
    pub async fn run_waxwing<S: AsRef<OsStr>>(&self, args: &[S]) -> Result<String, Error> {
        let program = self.programs.join(COMMAND);
        if !program.exists() {
            return Err(Error::MissingProgram { program });
        }
        let mut command = Command::new(&program);
        command
            .args(args)
            .env("WAXWING_TOKEN", TOKEN)
            .arg("--operator")
            .arg(OPERATOR);
        for listen in self.daemons.values() {
            command.arg("--admin").arg(&listen.admin);
        }
        let output = tokio::task::spawn_blocking(move || command.output())
            .await
            .map_err(|cause| Error::io("run", COMMAND, cause.into()))?
            .map_err(|cause| Error::io("run", program.display(), cause))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        Err(Error::Exited {
            name: COMMAND.to_owned(),
            log: format!("{text}{errors}"),
        })
    }
}
