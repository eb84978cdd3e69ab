//! The format of scenarios, which are YAML files.
//!
//! A scenario names the promise and the failure, the processes to start, the initial table, and a
//! list of actions and expectations. The module `runner` executes it; at the end of each scenario,
//! `runner::invariants` checks what must hold in all of them.

pub mod expect;
pub mod start;
pub mod step;

use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde_norway::Value;
use serde_norway::with::singleton_map_recursive;

use crate::error::Error;
use crate::script::start::Start;
use crate::script::step::Step;

/// A scenario.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Property under test.
    pub promise: String,
    /// Failure under which it must hold.
    pub failure: String,
    /// Processes to start.
    #[serde(with = "singleton_map_recursive")]
    pub start: Start,
    /// Rows of the table in force before the first step.
    pub table: Vec<Value>,
    /// Actions and expectations, in order.
    #[serde(with = "singleton_map_recursive")]
    pub steps: Vec<Step>,
}

impl Script {
    /// Reads the scenario in `file`.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if there is no such file, [`Error::InvalidScript`] if it is not a scenario.
    pub fn read(file: &Path) -> Result<Self, Error> {
        let text =
            fs::read_to_string(file).map_err(|cause| Error::io("read", file.display(), cause))?;
        serde_norway::from_str(&text).map_err(|cause| Error::InvalidScript {
            file: file.to_owned(),
            cause: cause.to_string(),
        })
    }
}
