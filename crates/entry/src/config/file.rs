//! The format of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::Config;
use super::Limits;
use super::Listen;
use super::Seed;
use super::Timing;
use super::field;
use super::field::SecretText;

/// An error in a settings file.
#[derive(Debug)]
pub(super) struct ParseError {
    /// Line, counted from 1; 0 if unknown.
    pub(super) line: usize,
    /// The field and what is wrong with it.
    pub(super) cause: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(deserialize_with = "field::name")]
    name: String,
    #[serde(deserialize_with = "field::name")]
    data_centre: String,
    listen: ListenPart,
    #[serde(deserialize_with = "field::address")]
    platform: SocketAddr,
    #[serde(default)]
    seeds: Vec<SeedPart>,
    secret: SecretText,
    operators: BTreeMap<String, SecretText>,
    #[serde(default)]
    timing: TimingPart,
    #[serde(default)]
    limits: LimitsPart,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenPart {
    #[serde(deserialize_with = "field::address")]
    caller: SocketAddr,
    #[serde(deserialize_with = "field::address")]
    peer: SocketAddr,
    #[serde(deserialize_with = "field::address")]
    admin: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SeedPart {
    #[serde(deserialize_with = "field::name")]
    name: String,
    #[serde(deserialize_with = "field::address")]
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct TimingPart {
    #[serde(deserialize_with = "field::positive")]
    lease_ms: u64,
    #[serde(deserialize_with = "field::positive")]
    window_s: u64,
    #[serde(deserialize_with = "field::positive")]
    address_ttl_ms: u64,
    #[serde(deserialize_with = "field::positive")]
    orphan_grace_ms: u64,
    #[serde(deserialize_with = "field::positive")]
    inspect_ms: u64,
    #[serde(deserialize_with = "field::positive")]
    poll_ms: u64,
}

impl Default for TimingPart {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            window_s: 600,
            address_ttl_ms: 5_000,
            orphan_grace_ms: 4_000,
            inspect_ms: 250,
            poll_ms: 500,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LimitsPart {
    #[serde(deserialize_with = "field::positive")]
    open: u64,
    #[serde(deserialize_with = "field::positive")]
    keys: u64,
    #[serde(deserialize_with = "field::positive")]
    body_bytes: u64,
}

impl Default for LimitsPart {
    fn default() -> Self {
        Self {
            open: 4_096,
            keys: 65_536,
            body_bytes: 1 << 20,
        }
    }
}

/// Parses and checks settings.
pub(super) fn parse(text: &str) -> Result<Config, ParseError> {
    let file: File = serde_norway::from_str(text).map_err(|error| parse_error(&error))?;
    check(&file)?;
    Ok(config(file))
}

fn parse_error(error: &serde_norway::Error) -> ParseError {
    let cause = error.to_string();
    let Some(location) = error.location() else {
        return ParseError { line: 0, cause };
    };
    // The library appends the location to its message; our errors start with it.
    let suffix = format!(" at line {} column {}", location.line(), location.column());
    let cause = cause
        .strip_suffix(suffix.as_str())
        .unwrap_or(&cause)
        .to_owned();
    ParseError {
        line: location.line(),
        cause,
    }
}

fn check(file: &File) -> Result<(), ParseError> {
    let ListenPart {
        caller,
        peer,
        admin,
    } = file.listen;
    if caller == peer || peer == admin || caller == admin {
        let cause = "listen: two addresses are equal; write three different ports".to_owned();
        return Err(ParseError { line: 0, cause });
    }
    Ok(())
}

fn config(file: File) -> Config {
    let ListenPart {
        caller,
        peer,
        admin,
    } = file.listen;
    let seeds = file.seeds.into_iter().map(|seed| Seed {
        name: seed.name,
        address: seed.address,
    });
    let operators = file
        .operators
        .into_iter()
        .map(|(name, token)| (name, token.0));
    Config {
        name: file.name,
        data_centre: file.data_centre,
        listen: Listen {
            caller,
            peer,
            admin,
        },
        platform: file.platform,
        seeds: seeds.collect(),
        secret: file.secret.0,
        operators: operators.collect(),
        timing: timing(&file.timing),
        limits: limits(&file.limits),
    }
}

fn timing(part: &TimingPart) -> Timing {
    Timing {
        lease: Duration::from_millis(part.lease_ms),
        window: Duration::from_secs(part.window_s),
        address_ttl: Duration::from_millis(part.address_ttl_ms),
        orphan_grace: Duration::from_millis(part.orphan_grace_ms),
        inspect_every: Duration::from_millis(part.inspect_ms),
        poll_every: Duration::from_millis(part.poll_ms),
    }
}

fn limits(part: &LimitsPart) -> Limits {
    Limits {
        open: part.open as usize,
        keys: part.keys as usize,
        body_bytes: part.body_bytes as usize,
    }
}
