//! Errors of links.

use std::fmt;
use std::io;

/// Why a connection ended, by step.
#[derive(Debug)]
pub(super) enum Error {
    /// No address is known for the peer.
    NoAddress,
    /// Connecting or configuring the socket failed.
    Connect(io::Error),
    /// The named step timed out.
    Timeout(&'static str),
    /// The named step failed in HTTP/2.
    Http {
        /// The step.
        step: &'static str,
        /// The error of the library.
        cause: h2::Error,
    },
    /// The peer answered the request for frames with another status.
    Status(u16),
    /// The peer closed the connection.
    Closed,
    /// A request to another path or with another method.
    Request(String),
    /// The peer did not prove that it holds the fleet's secret.
    Proof,
    /// The received bytes are not a valid frame.
    Frame(wire::Error),
}

impl Error {
    /// The step as a metrics label.
    pub(super) const fn step(&self) -> &'static str {
        match self {
            Self::NoAddress => "address",
            Self::Connect(_) => "connect",
            Self::Timeout(step) | Self::Http { step, .. } => step,
            Self::Status(_) => "status",
            Self::Closed => "closed",
            Self::Request(_) => "request",
            Self::Proof => "proof",
            Self::Frame(wire::Error::TooLong { .. }) => "frame_length",
            Self::Frame(wire::Error::Version { .. }) => "frame_version",
            Self::Frame(_) => "frame_body",
        }
    }

    /// Returns a function that maps HTTP/2 errors at `step`.
    pub(super) fn http(step: &'static str) -> impl Fn(h2::Error) -> Self {
        move |cause| Self::Http { step, cause }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => write!(f, "no address is known"),
            Self::Connect(cause) => write!(f, "connecting: {cause}"),
            Self::Timeout(step) => write!(f, "{step}: timeout"),
            Self::Http { step, cause } => write!(f, "{step}: {cause}"),
            Self::Status(status) => write!(f, "the peer answered status {status}"),
            Self::Closed => write!(f, "the peer closed the connection"),
            Self::Request(line) => write!(f, "`{line}` carries no frames"),
            Self::Proof => write!(
                f,
                "the peer does not prove that it holds the fleet's secret"
            ),
            Self::Frame(cause) => write!(f, "{cause}"),
        }
    }
}

impl std::error::Error for Error {}
