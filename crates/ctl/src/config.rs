//! Addresses and credentials for the instances, from options and environment variables.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use crate::cli::Options;
use crate::error::Error;

const ADMIN_VARIABLE: &str = "WAXWING_ADMIN";
const OPERATOR_VARIABLE: &str = "WAXWING_OPERATOR";
const TOKEN_VARIABLE: &str = "WAXWING_TOKEN";

/// Addresses of the instances and credentials of the operator.
#[derive(Clone)]
pub struct Config {
    /// Admin addresses, in the order in which they are tried.
    pub admins: Vec<SocketAddr>,
    /// Name of the operator.
    pub operator: String,
    /// The operator's token.
    pub token: String,
}

impl std::fmt::Debug for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Config")
            .field("admins", &self.admins)
            .field("operator", &self.operator)
            .finish_non_exhaustive()
    }
}

impl Config {
    /// Reads each value from `options`, or else from its environment variable.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if a value is missing or an address is invalid; [`Error::Read`] if the
    /// token file can't be read.
    pub fn new(options: &Options) -> Result<Self, Error> {
        let operator = options
            .operator
            .clone()
            .or_else(|| env_variable(OPERATOR_VARIABLE));
        Ok(Self {
            admins: admin_addresses(options)?,
            operator: operator
                .ok_or_else(|| missing_error("operator", "--operator NAME", OPERATOR_VARIABLE))?,
            token: load_token(options)?,
        })
    }
}

fn admin_addresses(options: &Options) -> Result<Vec<SocketAddr>, Error> {
    let texts = if options.admins.is_empty() {
        env_variable(ADMIN_VARIABLE)
            .unwrap_or_default()
            .split(',')
            .map(str::to_owned)
            .collect()
    } else {
        options.admins.clone()
    };
    let filled = texts
        .iter()
        .map(|text| text.trim())
        .filter(|text| !text.is_empty());
    let addresses = filled.map(parse_address).collect::<Result<Vec<_>, _>>()?;
    if addresses.is_empty() {
        Err(missing_error(
            "admin address",
            "--admin IP:PORT",
            ADMIN_VARIABLE,
        ))
    } else {
        Ok(addresses)
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse().map_err(|_| Error::Usage {
        cause: format!("`{text}` is not an address of the form ip:port"),
    })
}

fn load_token(options: &Options) -> Result<String, Error> {
    match &options.token_file {
        Some(path) => read_token(path),
        None => env_variable(TOKEN_VARIABLE)
            .ok_or_else(|| missing_error("token", "--token-file FILE", TOKEN_VARIABLE)),
    }
}

fn read_token(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path)
        .map(|text| text.trim().to_owned())
        .map_err(|cause| Error::Read {
            path: path.to_owned(),
            cause,
        })
}

fn env_variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

fn missing_error(what: &str, option: &str, name: &str) -> Error {
    Error::Usage {
        cause: format!("no {what}; give {option} or set {name}"),
    }
}
