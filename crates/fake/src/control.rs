//! Client for the control API of the stand-ins.

use std::fmt;
use std::net::SocketAddr;

use http::Method;
use serde_json::Value;
use volo_http::body::BodyConversion;
use volo_http::client::Client;

/// A control call that failed.
#[derive(Debug)]
pub enum Error {
    /// No complete and valid response was received.
    Unanswered {
        /// The stand-in.
        peer: SocketAddr,
        /// Cause.
        cause: String,
    },
    /// The stand-in answered with an error status.
    Refused {
        /// The stand-in.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered { peer, cause } => write!(f, "control call to {peer}: {cause}"),
            Self::Refused { peer, status } => {
                write!(f, "control call to {peer}: unexpected status {status}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Fetches the record of the stand-in at `peer`.
///
/// # Errors
///
/// See [`Error`].
pub async fn record(peer: SocketAddr) -> Result<Value, Error> {
    send(Method::GET, peer, "/control/record", &Value::Null).await
}

/// Posts `body` to the control path `path` of the stand-in at `peer`.
///
/// # Errors
///
/// See [`Error`].
pub async fn post(peer: SocketAddr, path: &str, body: &Value) -> Result<Value, Error> {
    send(Method::POST, peer, path, body).await
}

async fn send(method: Method, peer: SocketAddr, path: &str, body: &Value) -> Result<Value, Error> {
    let unanswered = |cause: String| Error::Unanswered { peer, cause };
    let response = Client::default()
        .request(method, format!("http://{peer}{path}"))
        .data(body.to_string())
        .send()
        .await
        .map_err(|e| unanswered(e.to_string()))?;
    let status = response.status();
    let text = response
        .into_body()
        .into_bytes()
        .await
        .map_err(|e| unanswered(e.to_string()))?;
    match status.is_success() {
        true if text.is_empty() => Ok(Value::Null),
        true => serde_json::from_slice(&text).map_err(|e| unanswered(e.to_string())),
        false => Err(Error::Refused {
            peer,
            status: status.as_u16(),
        }),
    }
}
