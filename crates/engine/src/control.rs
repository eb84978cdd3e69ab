//! Control calls, which may be repeated and are answered with JSON.
//!
//! Each call opens its own connection because answers do not identify their call: on a reused
//! connection, a late duplicate answer would be taken for the answer to the next call.

use std::net::SocketAddr;
use std::time::Duration;

use ::call::direct;
use ::call::direct::Limits;
use http::Method;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Step;

/// Sends a request and parses its JSON answer; `timeout` covers the whole exchange.
pub(crate) async fn exchange<T: DeserializeOwned>(
    step: Step,
    peer: SocketAddr,
    timeout: Duration,
    limits: &Limits,
    request: (Method, &str, Vec<u8>),
) -> Result<T, Error> {
    let (status, body) = direct::exchange(step, peer, timeout, limits, request).await?;
    if !status.is_success() {
        return Err(Error::Refused {
            step,
            peer,
            status: status.as_u16(),
            body,
        });
    }
    serde_json::from_slice(&body).map_err(|e| Error::Malformed {
        step,
        peer,
        cause: e.to_string(),
    })
}
