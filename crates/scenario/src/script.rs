//! The test language: a scenario is a page of YAML.
//!
//! It says what is promised and what fails, what is started under which table, and then step by
//! step what happens and what is expected. the module `play` carries it out. Beside the expectations
//! of a page, `play::promise` checks at the end of each what must hold in all of them.

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
    /// What must hold.
    pub promise: String,
    /// What goes wrong.
    pub failure: String,
    /// What is started.
    #[serde(with = "singleton_map_recursive")]
    pub start: Start,
    /// Rows of the table that is in force before the first step.
    pub table: Vec<Value>,
    /// What happens and what is expected, in order.
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
