//! Routes of the forwarder and their text form.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// A listening port and its target, written `port=ip:port`.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Port to listen on; 0 selects a free one.
    pub port: u16,
    /// Address to which connections are forwarded.
    pub target: SocketAddr,
}

/// A string that is not a route.
#[derive(Debug)]
pub struct ParseError(String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a route of the form port=ip:port", self.0)
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Route {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (port, target) = text.split_once('=')?;
            Some(Self {
                port: port.parse().ok()?,
                target: target.parse().ok()?,
            })
        };
        parse().ok_or_else(|| ParseError(text.to_owned()))
    }
}
